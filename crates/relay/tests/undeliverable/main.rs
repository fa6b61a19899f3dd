//! Undeliverable messages are recorded, shown, and resent without taking effect twice.

#[path = "../api/mod.rs"]
mod api;
mod batches_and_rules;
mod late_calls;
mod load;
mod records;
mod resends;
mod store;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use api::*;
use serde_json::{json, Value};
use support::*;

/// A partner that answers queries about whether a message took effect.
#[derive(Clone)]
struct Ledger {
    address: SocketAddr,
    /// Number of times each message was applied.
    applied: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Response body to send in place of the true status. An empty one is sent only after 4 s.
    forced_response: Arc<Mutex<Option<String>>>,
    queries: Arc<Mutex<Vec<String>>>,
}

impl Ledger {
    fn new() -> Ledger {
        let listener = bind();
        let ledger = Ledger {
            address: listener.local_addr().expect("bound"),
            applied: Arc::default(),
            forced_response: Arc::default(),
            queries: Arc::default(),
        };
        let peer = ledger.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let peer = peer.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().ok()?);
                    let mut first = String::new();
                    reader.read_line(&mut first).ok()?;
                    let id = first
                        .split('/')
                        .nth(2)?
                        .split_whitespace()
                        .next()?
                        .to_string();
                    peer.queries.lock().unwrap().push(id.clone());
                    let known = peer.applied.lock().unwrap().contains_key(&id);
                    let forced = peer.forced_response.lock().unwrap().clone();
                    let actual =
                        json!({"status": if known { "done" } else { "absent" }}).to_string();
                    let body = forced.unwrap_or(actual);
                    if body.is_empty() {
                        thread::sleep(Duration::from_millis(4000));
                    }
                    let mut stream = stream;
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    stream.write_all(text.as_bytes()).ok()
                });
            }
        });
        ledger
    }

    fn apply(&self, id: &str) {
        *self.applied.lock().unwrap().entry(id.into()).or_default() += 1;
    }

    fn applied_count(&self, id: &str) -> u32 {
        self.applied.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    fn force_response(&self, response: Option<&str>) {
        *self.forced_response.lock().unwrap() = response.map(String::from);
    }
}

/// A relay that records undeliverable messages, with a client of its administration API.
struct UndeliverableTestBed {
    test_bed: TestBed,
    api: Api,
    address: String,
}

const JSON: (&str, &str) = ("content-type", "application/json");

impl UndeliverableTestBed {
    /// Starts the relay. `more` is appended to the `[undeliverable]` section; `held` is the limit of held messages.
    fn new(hosts: Vec<Value>, ledger: &Ledger, more: &str, held: u32) -> UndeliverableTestBed {
        let more = format!("settle_s = 0.0\n{more}");
        let mut bed = UndeliverableTestBed::prepare(hosts, ledger, &more, held);
        bed.test_bed.start();
        bed
    }

    /// As [`UndeliverableTestBed::new`], without starting the relay. `more` sets `settle_s`, too.
    fn prepare(hosts: Vec<Value>, ledger: &Ledger, more: &str, held: u32) -> UndeliverableTestBed {
        let (mut test_bed, address) = new_with_tenants(hosts, "", "");
        test_bed.config["settings"]["limits"]["mostHeld"] = json!(held);
        if held > 1000 {
            test_bed.config["limits"]["disk_mb"] = json!(64);
        }
        let folder = test_bed.folder.join("kept");
        std::fs::create_dir_all(&folder).expect("a folder");
        let text = test_bed.operator.take().expect("a file");
        let (admin, tokens) = text.split_once("[[admin.tokens]]").expect("tokens");
        let section = format!(
            "[undeliverable]\nfolder = {:?}\n{more}\n[[undeliverable.partners]]\ndestination = 1\n\
             address = \"{}\"\npath = \"/s/{{id}}\"\napplied = [\"done\"]\nnot_applied = [\"absent\"]\n\
             timeout_ms = 2000\n",
            folder.display().to_string(),
            ledger.address
        );
        // The tenants come from the settings, unless the test asks for tenants managed by the API (`# hosted`).
        let (tenants, admin) = admin.split_once("[admin]").expect("a section");
        let tenants = if more.contains("# hosted") {
            tenants
        } else {
            ""
        };
        let operator = |name: &str, scope: &str| {
            let digest = tenancy::secret::Digest::of(token(name).as_bytes());
            let head = format!("[[admin.tokens]]\nname = {name:?}\nrole = \"operator\"\n");
            format!("{head}sha256 = \"{digest}\"\ntenants = [{scope}]\n")
        };
        let more_tokens = operator("second", "\"*\"") + &operator("nobodys", "");
        test_bed.operator = Some(format!(
            "{tenants}[admin]{admin}[[admin.tokens]]{tokens}{more_tokens}{section}"
        ));
        let api = Api::new(&address, Some(&token("ops")));
        UndeliverableTestBed {
            test_bed,
            api,
            address,
        }
    }

    /// Returns a client that uses the token with this name.
    fn as_of(&self, name: &str) -> Api {
        Api::new(&self.address, Some(&token(name)))
    }

    /// Submits messages and waits until all are recorded; returns all records by message id.
    fn given_up(&mut self, class: &str, count: usize) -> BTreeMap<String, Value> {
        let ids: Vec<String> = (0..count)
            .map(|_| {
                let (id, answer) = self.test_bed.enqueue(class, 1);
                assert_eq!(answer, "+OK");
                id
            })
            .collect();
        wait_until("the records", || {
            let all = self.all("");
            ids.iter().all(|id| all.contains_key(id)).then_some(all)
        })
    }

    /// All records by message id, over all pages.
    fn all(&self, filter: &str) -> BTreeMap<String, Value> {
        let (mut all, mut cursor) = (BTreeMap::new(), String::new());
        loop {
            let page = self
                .api
                .get(&format!("/v1/undeliverable?limit=200{filter}{cursor}"));
            assert_eq!(page.status, 200, "{:?}", page.body);
            for item in page.body["items"].as_array().expect("items") {
                all.insert(
                    item["message"].as_str().expect("a name").to_string(),
                    item.clone(),
                );
            }
            let Some(next) = page.body["next"].as_str() else {
                return all;
            };
            cursor = format!("&cursor={next}");
        }
    }

    fn one(&self, id: &Value) -> Value {
        self.api.get(&format!("/v1/undeliverable/{id}")).body
    }

    fn act(&self, id: &Value, act: &str) -> ApiResponse {
        act_as(&self.api, id, act, "*")
    }

    fn in_state(&self, id: &Value, state: &str) -> Value {
        wait_until(state, || {
            Some(self.one(id)).filter(|record| record["state"] == state)
        })
    }
}

/// Requests an action on a record with this `If-Match`, and repeats it while the record is settling.
fn act_as(api: &Api, id: &Value, act: &str, tag: &str) -> ApiResponse {
    // A record can't be resent until a second after its message became undeliverable.
    wait_until("a response after the record's rest", || {
        let reply = api.send(
            "POST",
            &format!("/v1/undeliverable/{id}/{act}"),
            &[("if-match", tag)],
            "",
        );
        Some(reply).filter(|reply| problem(reply).1 != "record-resting")
    })
}

/// Attests as an operator whether the message was applied.
fn attest(api: &Api, id: &Value, says: &str) -> ApiResponse {
    let body = json!({ "says": says }).to_string();
    api.send(
        "POST",
        &format!("/v1/undeliverable/{id}/attest"),
        &[("if-match", "*"), JSON],
        &body,
    )
}

/// Sends live messages that succeed, so that the destination's circuit breaker stays closed, until it is dropped.
struct Good(
    Arc<std::sync::atomic::AtomicBool>,
    Option<thread::JoinHandle<()>>,
);

impl Good {
    fn traffic(test_bed: &TestBed) -> Good {
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let (mut client, stopped) = (test_bed.client(), stop.clone());
        let thread = thread::spawn(move || {
            for n in 0.. {
                if stopped.load(std::sync::atomic::Ordering::Relaxed) {
                    return;
                }
                client.send(&request(&format!("g{n:06}"), "update", 1, 20_000, b"good"));
                client.line();
                thread::sleep(Duration::from_millis(5));
            }
        });
        Good(stop, Some(thread))
    }
}

impl Drop for Good {
    fn drop(&mut self) {
        self.0.store(true, std::sync::atomic::Ordering::Relaxed);
        self.1
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

/// Answers messages whose body is `good`, and closes the connection for all others.
fn only_good(seen: &RecordedCall, _: usize) -> HostResponse {
    if seen.body == b"good" {
        ok()
    } else {
        HostResponse::Close
    }
}

fn up(host: &Host) -> Vec<Value> {
    vec![entry("a", host.address, 1, "up")]
}

/// Returns the status and the last part of the problem type.
fn problem(reply: &ApiResponse) -> (u16, String) {
    let kind = reply.body["type"]
        .as_str()
        .unwrap_or("")
        .rsplit(':')
        .next()
        .unwrap_or("")
        .to_string();
    (reply.status, kind)
}
