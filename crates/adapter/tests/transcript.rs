//! A transcript of the simulator's wire: 900 batches to two instances, through outages, limits and drains, and the
//! replies of the version that wrote the golden file. No test rewrites it.

use std::fs;
use std::path::Path;

use adapter::Adapter;

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| u8::from_str_radix(&String::from_utf8_lossy(pair), 16).expect("hex");
    hex.as_bytes().chunks(2).map(byte).collect()
}

#[test]
fn replies_are_as_in_the_golden_transcript() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/simulator.transcript");
    let text = fs::read_to_string(path).expect("a golden file");
    let mut adapter = Adapter::default();
    let mut batches = 0;
    for line in text.lines() {
        let [clock, batch, reply] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let actual = adapter
            .handle_batch(clock.parse().expect("a clock"), &bytes(batch))
            .expect("a reply");
        assert_eq!(actual, bytes(reply), "batch {batches} at {clock}");
        batches += 1;
    }
    assert_eq!(batches, 900);
}
