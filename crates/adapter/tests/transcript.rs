//! Replays a transcript of the simulator's protocol: 900 batches to two relays, with outages, limits and draining hosts,
//! and the replies of the version that wrote the golden file. No test rewrites the file.

mod hex;

use std::fs;
use std::path::Path;

use adapter::Adapter;
use hex::bytes;

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
