//! The relay serves on while its log cannot be written.

mod support;

use std::fs::File;

use support::*;

#[test]
fn process_does_not_end_when_its_log_cannot_be_written() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    let full = File::options().write(true).open("/dev/full");
    let mut command = test_bed.command();
    command.stderr(full.expect("a device that is always full"));
    test_bed.relay = Some(command.spawn().expect("starts"));
    test_bed.wait_until_ready();
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || host.calls_of(&id).first().cloned());
    // A rejected configuration is logged.
    std::fs::write(test_bed.folder.join("config.json"), "{").expect("a file");
    test_bed.signal("-HUP");
    let (_, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    let process = test_bed.relay.as_mut().expect("was started");
    assert!(process.try_wait().expect("waits").is_none());
}
