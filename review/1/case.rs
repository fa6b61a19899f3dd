//! A bad client uses the id of another client's open request, with another tenant. The relay takes its message on under
//! the same id, and tells the platform by a notice for that id that it is refused. The payout of the other client is out
//! at its host just then. Its client is told that handing it in again is harmless, and the payout runs twice.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Payouts that are handed in, one after the other.
const PAYOUTS: usize = 4;
/// How long a payout takes at its host, and another message at another.
const PAYOUT_WORK: Duration = Duration::from_millis(700);
const OTHER_WORK: Duration = Duration::from_millis(200);
/// Commands that the bad client sends at once; the first one has the id of the payout.
const COMMANDS: usize = 16;
const BAD_CLIENT_TIME_MS: u64 = 150;

fn main() {
    std::process::exit(run());
}

/// Sends all commands at once, and reads what it is sent.
fn bad_client(record: &Record, listen: SocketAddr, id: &str) {
    let mut bytes = Vec::new();
    for number in 1..=COMMANDS {
        let id = if number == 1 {
            id.to_string()
        } else {
            new_id()
        };
        let list = fields(
            &id,
            "quicklend-scot",
            "status-update",
            9,
            BAD_CLIENT_TIME_MS,
        );
        record.write(&format!("bad client hands in {id} {list}"));
        bytes.extend(request(&id, &list, b"{\"status\":\"open\"}"));
    }
    let Ok(mut stream) = TcpStream::connect(listen) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    let _ = stream.write_all(&bytes);
    let mut answers = String::new();
    let _ = stream.read_to_string(&mut answers);
    record.write(&format!(
        "bad client reads {:?}",
        answers.replace("\r\n", " ")
    ));
}

fn run() -> i32 {
    let record = Record::new();
    record.write(&format!("trouble={}", with_trouble()));
    let payouts = Host::start(&record, "s-5be2a07c", |_| {
        vec![(PAYOUT_WORK, answer("200 OK"))]
    });
    let others = Host::start(&record, "s-71c3e94d", |_| {
        vec![(OTHER_WORK, answer("200 OK"))]
    });
    let entry = |host: &Host, block: u16| Entry {
        host: host.name.clone(),
        dial: host.address,
        block,
        health: "up",
        share: 10.0,
    };
    let list = vec![entry(&payouts, 7), entry(&others, 9)];
    let discovery = Discovery::start(&record, list.clone());
    let mut relay = Relay::new(&record, "case-1");
    relay.write_config(&relay.config_text(
        discovery.address,
        &Settings::default(),
        &list_json(1, true, &list),
    ));
    if !relay.start(discovery.address, Duration::from_secs(30)) {
        record.write("result: could not run, the relay is not ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(300));
    let mut client = Client::new(&record, relay.listen);
    let (mut taken, mut refused, mut twice) = (0, 0, 0);
    for number in 0..PAYOUTS {
        let body = format!("{{\"payout\":\"P-{number}\",\"amount\":\"120.00\"}}");
        let message = client.hand_in("payout", 7, 28_000, body.as_bytes());
        taken += usize::from(message.is_taken());
        // The bad client comes while the payout is out.
        thread::sleep(Duration::from_millis(150));
        if with_trouble() {
            let (record, listen, id) = (record.clone(), relay.listen, message.id.clone());
            thread::spawn(move || bad_client(&record, listen, &id));
        }
        // The client comes again after a refusal (`deferred`), as the page says, under a new id.
        let started = Instant::now();
        let mut again = None;
        while started.elapsed() < Duration::from_secs(3) {
            let notice = discovery.notice_of(&message.id);
            if again.is_none() && notice.is_some_and(|line| line.contains("deferred")) {
                let has_run = payouts
                    .calls
                    .lock()
                    .unwrap()
                    .iter()
                    .any(|call| call.id == message.id);
                if has_run {
                    refused += 1;
                    record.write(&format!(
                        "REFUSED payout {} of P-{number} after it had come to its host",
                        message.id
                    ));
                }
                thread::sleep(Duration::from_millis(360));
                again = Some(client.hand_in("payout", 7, 27_000, body.as_bytes()));
            }
            thread::sleep(Duration::from_millis(5));
        }
        let runs = payouts
            .calls
            .lock()
            .unwrap()
            .iter()
            .filter(|call| call.body == body)
            .count();
        if runs > 1 {
            twice += 1;
            record.write(&format!("TWICE payout P-{number} ran {runs} times"));
        }
    }
    record.write(&format!("result: payouts taken {taken}, refused after they had come to their host {refused}, run twice {twice}"));
    if taken < PAYOUTS {
        record.write("result: could not run, a payout was not taken");
        return COULD_NOT_RUN;
    }
    if refused + twice == 0 {
        HELD
    } else {
        BROKEN
    }
}
