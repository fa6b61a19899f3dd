//! A payout is written late, since the connection to its partner comes up late. It is given up, and sent again after the
//! partner's word, which is asked for too early by the time that the relay counts from.
#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that the partner works on a call, also on one that the relay has given up.
const WORK_MS: u64 = 2_800;
/// `settle_s` of the operator file: "Set it above the longest time that a partner works on a call."
const SETTLE_S: f64 = 3.0;
/// How long the payout may be delivered.
const TTL_MS: u64 = 2_000;

/// The payouts that have taken effect, and how often.
type Ledger = Arc<Mutex<BTreeMap<String, Vec<Instant>>>>;

fn main() {
    std::process::exit(run());
}

/// Answers what has taken effect of a message so far: `done` or `absent`.
fn serve_status(listener: TcpListener, ledger: Ledger, record: Record) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (ledger, record) = (ledger.clone(), record.clone());
            thread::spawn(move || answer_status(stream, &ledger, &record));
        }
    });
}

fn answer_status(mut stream: TcpStream, ledger: &Ledger, record: &Record) -> Option<()> {
    let mut input = Vec::new();
    let mut buffer = [0; 1024];
    while !input.windows(4).any(|part| part == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        input.extend(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&input).into_owned();
    let id = text.split('/').nth(2)?.split_whitespace().next()?.to_string();
    let word = if ledger.lock().unwrap().contains_key(&id) {
        "done"
    } else {
        "absent"
    };
    record.say(&format!("partner: asked for {id}: {word}"));
    let body = format!("{{\"status\":\"{word}\"}}");
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .ok()
}

fn run() -> i32 {
    let record = Record::new();
    let folder = Folder::new();
    let trouble = has_trouble();
    need(std::fs::create_dir_all(folder.path("kept")), "a folder");
    let ledger: Ledger = Arc::default();
    let (of_host, of_record) = (ledger.clone(), record.clone());
    // Each call takes effect after `WORK_MS`, whether or not the relay still waits for it.
    let host = Host::start("s-1", &record, move |call| {
        if call.id.starts_with('b') {
            return answer(100, 200);
        }
        let (ledger, record, id) = (of_host.clone(), of_record.clone(), call.id.clone());
        thread::spawn(move || {
            sleep_ms(WORK_MS);
            record.say(&format!("partner: {id} takes effect"));
            ledger.lock().unwrap().entry(id).or_default().push(Instant::now());
        });
        answer(WORK_MS, 200)
    });
    let status = bind();
    let status_address = need(status.local_addr(), "a port");
    serve_status(status, ledger.clone(), record.clone());

    // Seven other partners' hosts, which are as fast as usual: one host of eight is slow.
    let others: Vec<Host> = (2..=8u16)
        .map(|block| Host::start(&format!("s-{block}"), &record, |_| answer(150, 200)))
        .collect();
    let mut hosts = vec![Entry::of(&host, 1, 10.0)];
    hosts.extend(
        others
            .iter()
            .zip(2..)
            .map(|(host, block)| Entry::of(host, block, 10.0)),
    );
    let known = list_json(41, true, &hosts);
    let discovery = Discovery::start(&record, 41, hosts);
    let (listen, admin) = (free_address(), free_address());
    let config = folder.path("config.json");
    // Connections may take 1.5 s to come up.
    let settings = settings(10, 60, SERVICES).replace("\"dialTimeout\":1000000", "\"dialTimeout\":1500000");
    write_config(&config, listen, discovery.address, &known, &settings);
    let (token, entry) = make_token("ops", "operator");
    let operator = format!(
        "[admin]\nlisten = \"{admin}\"\n{entry}\n[undeliverable]\nfolder = \"{}\"\nsettle_s = {SETTLE_S:?}\n\
         [[undeliverable.partners]]\ndestination = 1\naddress = \"{status_address}\"\npath = \"/payouts/{{id}}\"\n\
         field = \"status\"\napplied = [\"done\"]\nnot_applied = [\"absent\"]\n",
        folder.path("kept").display()
    );
    need(
        std::fs::write(folder.path("operator.toml"), operator),
        "an operator file",
    );
    let relay = Relay::start(
        &folder,
        &config,
        &[],
        &format!("--operator {}", folder.path("operator.toml").display()),
    );
    if !wait_ready(listen, Duration::from_secs(5)) {
        record.tell("the relay is not ready");
        return NOT_RUN;
    }
    // The other partners get a message each, over a connection each.
    for block in 2..=8u16 {
        let message = Message {
            id: format!("c{block:015x}"),
            class: "status-update".into(),
            tenant: "forthside-cash".into(),
            ttl_ms: 24_000,
            dest: block,
            key: None,
        };
        let answer = Client::new(listen).submit(&message);
        record.say(&format!("client: {} status-update -> {answer}", message.id));
    }
    let crowd = trouble.then(|| host.hold_up_connections());
    let id = "00000000000000a1".to_string();
    let message = Message {
        id: id.clone(),
        class: "payout".into(),
        tenant: "forthside-cash".into(),
        ttl_ms: TTL_MS,
        dest: 1,
        key: None,
    };
    let sent_at = Instant::now();
    let answer = Client::new(listen).submit(&message);
    record.tell(&format!("client: {id} payout -> {answer}"));
    if answer != "+OK" {
        return NOT_RUN;
    }
    sleep_ms(300);
    if let Some(crowd) = crowd {
        host.let_connections_come(crowd);
    }
    // Other messages for the partner, which it answers at once.
    let traffic = thread::spawn(move || {
        sleep_ms(800);
        let mut client = Client::new(listen);
        for n in 0..35 {
            let message = Message {
                id: format!("b{n:015x}"),
                class: "status-update".into(),
                tenant: "forthside-cash".into(),
                ttl_ms: 24_000,
                dest: 1,
                key: None,
            };
            client.submit(&message);
            sleep_ms(300);
        }
    });
    // An operator looks for what was given up. Once the attempt can take effect no more, by `settle_s` and the time that the
    // relay tells for the attempt, the operator asks the partner and sends the payout again.
    sleep_ms(TTL_MS);
    let mut number = None;
    while number.is_none() && sent_at.elapsed() < Duration::from_secs(6) {
        let list = api(admin, &token, "GET", "/v1/undeliverable?limit=10")
            .map(|(_, list)| list)
            .unwrap_or_default();
        let digits = list
            .split("\"id\":")
            .nth(1)
            .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
        number = digits.filter(|digits| !digits.is_empty());
        if let Some(number) = &number {
            record.say(&format!("operator: finds record {number}: {list}"));
        }
        sleep_ms(20);
    }
    let settled = sent_at + Duration::from_secs_f64(SETTLE_S) + Duration::from_millis(50);
    thread::sleep(settled.saturating_duration_since(Instant::now()));
    let mut is_resent = false;
    if let Some(number) = number {
        let asked = api(admin, &token, "POST", &format!("/v1/undeliverable/{number}/ask"));
        record.say(&format!("operator: ask {number} -> {asked:?}"));
        for _ in 0..10 {
            sleep_ms(50);
            let answer = api(
                admin,
                &token,
                "POST",
                &format!("/v1/undeliverable/{number}/resend"),
            );
            record.say(&format!("operator: resend {number} -> {answer:?}"));
            is_resent = answer.is_some_and(|(code, _)| code == 202);
            if is_resent {
                break;
            }
        }
    }
    let end = sent_at + Duration::from_secs(12);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    traffic.join().ok();
    drop(relay);
    for call in host.calls().iter().filter(|call| call.id == id) {
        record.tell(&format!(
            "call of {} arrived {} ms after it was handed in",
            call.id,
            (call.arrived - sent_at).as_millis()
        ));
    }
    let mut connections: Vec<_> = host.calls().iter().map(|call| call.connection).collect();
    connections.sort_unstable();
    connections.dedup();
    let to_others = others.iter().filter(|host| !host.calls().is_empty()).count();
    record.tell(&format!(
        "connections with calls: {} to the slow host, {to_others} or more to the others; late: {}",
        connections.len(),
        u32::from(trouble)
    ));
    let effects = ledger.lock().unwrap().get(&id).cloned().unwrap_or_default();
    let times: Vec<u128> = effects.iter().map(|at| (*at - sent_at).as_millis()).collect();
    record.tell(&format!(
        "resent: {is_resent}; took effect {} times, {times:?} ms after it was handed in",
        effects.len()
    ));
    let came_late = host
        .calls()
        .iter()
        .find(|call| call.id == id)
        .is_some_and(|call| call.arrived - sent_at > Duration::from_millis(500));
    if effects.is_empty() || trouble != came_late {
        record.tell("the payout's first call did not come when it should");
        return NOT_RUN;
    }
    if effects.len() > 1 {
        record.tell("BROKEN: a resend applied the payout twice");
        return BROKEN;
    }
    record.tell("held");
    HELD
}
