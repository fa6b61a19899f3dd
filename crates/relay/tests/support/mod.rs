//! A test bed for the relay: one relay process with scripted clients, hosts and discovery on loopback sockets.
#![allow(dead_code)]

pub mod faults;
pub mod full_backlog;
pub mod in_process;
pub mod repeating_host;
pub mod slow_start;
pub mod upgrade;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use in_process::InProcessRelay;
use runtime::Signal;
use serde_json::{json, Value};
use socket2::Socket;

/// The ports of [`unused_address`]. Test processes that share their IP addresses have different ones.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 10_000;

/// Limit for each wait of a test. It is far longer than any awaited operation takes, so that a slow machine does not
/// fail a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls until the closure returns a value. Fails the test after [`TEST_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Returns a loopback IP address that no other socket uses, so that no outgoing connection can take its ports.
fn unused_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let octets = [1 + std::process::id() % 250, n / 200, 1 + n % 200];
    let [a, b, c] = octets.map(|octet| octet as u8);
    Ipv4Addr::new(127, a, b, c)
}

/// Returns an address for a program to bind. No socket is opened to choose the port: a program that another test starts at
/// that moment would hold a copy of it, and the port would still be in use.
pub fn unused_address() -> SocketAddr {
    let port = FIRST_PORT + (std::process::id() / 250 % PORTS) as u16;
    SocketAddr::from((unused_ip(), port))
}

/// Binds a listener to an unused loopback address.
pub fn bind() -> TcpListener {
    TcpListener::bind((unused_ip(), 0)).expect("a loopback port")
}

/// Binds a socket to a port that this process has just closed. A relay that another test starts holds copies of this
/// process' descriptors until it executes its program; the port can remain in use until then.
pub fn rebind(socket: &Socket, address: SocketAddr) {
    wait_until("the port to be free", || socket.bind(&address.into()).ok());
}

/// A call that a host received.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    pub id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
}

/// How a host responds to a call.
#[derive(Clone, Debug)]
pub enum HostResponse {
    /// Writes the text and keeps the connection open.
    Text(String),
    /// Writes the text after a delay in milliseconds and keeps the connection open.
    Delayed(u64, String),
    /// Writes each part after its delay in milliseconds and keeps the connection open.
    Parts(Vec<(u64, String)>),
    /// Writes the text and closes the connection.
    TextThenClose(String),
    /// Writes nothing until the other side closes the connection.
    Hang,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection without a response, at this time.
    CloseAt(Instant),
}

pub fn ok_text() -> String {
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()
}

pub fn ok() -> HostResponse {
    HostResponse::Text(ok_text())
}

pub fn status(line: &str) -> HostResponse {
    HostResponse::Text(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

/// Returns the response to a call, given the number of calls received before it.
type Script = Box<dyn Fn(&RecordedCall, usize) -> HostResponse + Send + Sync>;

/// A partner host that records each call and responds as scripted.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    pub recorded_calls: Arc<Mutex<Vec<RecordedCall>>>,
    /// Number and end time of each connection that has ended.
    pub ended: Arc<Mutex<Vec<(usize, Instant)>>>,
    script: Arc<Mutex<Script>>,
}

impl Host {
    /// Starts a host. The script is passed each call and the number of calls received before it.
    pub fn new(
        script: impl Fn(&RecordedCall, usize) -> HostResponse + Send + Sync + 'static,
    ) -> Host {
        Host::at(bind(), script)
    }

    /// Starts a host on a listener that the test has bound.
    pub fn at(
        listener: TcpListener,
        script: impl Fn(&RecordedCall, usize) -> HostResponse + Send + Sync + 'static,
    ) -> Host {
        let host = Host {
            address: listener.local_addr().expect("bound"),
            recorded_calls: Arc::default(),
            ended: Arc::default(),
            script: Arc::new(Mutex::new(Box::new(script))),
        };
        let peer = host.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let peer = peer.clone();
                thread::spawn(move || {
                    peer.serve(stream, number);
                    peer.ended.lock().unwrap().push((number, Instant::now()));
                });
            }
        });
        host
    }

    /// Replaces the script; it applies to all later calls.
    pub fn script(
        &self,
        script: impl Fn(&RecordedCall, usize) -> HostResponse + Send + Sync + 'static,
    ) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    pub fn calls(&self) -> Vec<RecordedCall> {
        self.recorded_calls.lock().unwrap().clone()
    }

    pub fn calls_of(&self, id: &str) -> Vec<RecordedCall> {
        self.calls()
            .into_iter()
            .filter(|call| call.id == id)
            .collect()
    }

    fn serve(&self, stream: TcpStream, connection: usize) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let (_, headers) = head(&mut reader)?;
            let mut body = vec![0; header(&headers, "content-length")?.parse().ok()?];
            reader.read_exact(&mut body).ok()?;
            let id = header(&headers, "x-trace-id")?;
            let key = header(&headers, "idempotency-key");
            let call = RecordedCall {
                id,
                key,
                body,
                connection,
                at: Instant::now(),
            };
            let before = {
                let mut all = self.recorded_calls.lock().unwrap();
                all.push(call.clone());
                all.len() - 1
            };
            let answer = (self.script.lock().unwrap())(&call, before);
            match answer {
                HostResponse::Text(text) => writer.write_all(text.as_bytes()).ok()?,
                HostResponse::Delayed(after, text) => {
                    thread::sleep(Duration::from_millis(after));
                    writer.write_all(text.as_bytes()).ok()?;
                }
                HostResponse::Parts(parts) => {
                    for (after, text) in parts {
                        thread::sleep(Duration::from_millis(after));
                        writer.write_all(text.as_bytes()).ok()?;
                    }
                }
                HostResponse::TextThenClose(text) => return writer.write_all(text.as_bytes()).ok(),
                HostResponse::Hang => {
                    drop(reader.read(&mut [0]));
                    return None;
                }
                HostResponse::Close => return None,
                HostResponse::CloseAt(time) => {
                    thread::sleep(time.saturating_duration_since(Instant::now()));
                    return None;
                }
            }
        }
    }
}

/// Reads the start line and the header lines of a request; `None` if the connection ended or sent no start line.
fn head(reader: &mut impl BufRead) -> Option<(String, Vec<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_string()),
        }
    }
    (!lines.is_empty()).then(|| (lines.remove(0), lines))
}

/// Returns the value of the first header with this name, in any letter case.
fn header(lines: &[String], name: &str) -> Option<String> {
    let mut pairs = lines.iter().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_string())
}

const NOTICES_ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Waits for the first byte of the next request, sends the answer to the request before once more, and resets the
/// connection without reading the request.
fn repeat_answer_and_reset(mut stream: TcpStream) -> Option<()> {
    if stream.peek(&mut [0]).ok()? == 0 {
        return None;
    }
    stream.write_all(NOTICES_ACCEPTED).ok()?;
    // The relay reads the answer before the reset discards it.
    thread::sleep(Duration::from_millis(20));
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).ok()
}

/// A discovery service whose host list the test changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// Lines to send on watches, each with its version.
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    hosts: Arc<Mutex<Vec<Value>>>,
    pub notices: Arc<Mutex<Vec<Value>>>,
    /// While set, discovery sends nothing; connections stay open.
    pub silent: Arc<AtomicBool>,
    /// While set, polls for the list are closed without a response, and watches are closed.
    pub close_connections: Arc<AtomicBool>,
    /// While set, new watches send nothing, not even a response head, and remain so after it is cleared.
    pub mute_watches: Arc<AtomicBool>,
    /// While set, watches send nothing more after their next line.
    pub halt_after_line: Arc<AtomicBool>,
    /// While set, new watches begin with a line that is not a list.
    pub malformed_first_line: Arc<AtomicBool>,
    /// Delay before each GET request is handled, in milliseconds.
    pub poll_delay_ms: Arc<AtomicU32>,
    /// While set, notices are rejected with status 503.
    pub reject_notices: Arc<AtomicBool>,
    /// While set, the answer to the notices before is sent again as the first byte of further notices arrives, and the
    /// connection is reset before these are read.
    pub repeat_notice_answers: Arc<AtomicBool>,
    /// Request lines of all requests received.
    pub requests: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let listener = bind();
        let discovery = Discovery {
            address: listener.local_addr().expect("bound"),
            lines: Arc::default(),
            hosts: Arc::default(),
            notices: Arc::default(),
            silent: Arc::default(),
            close_connections: Arc::default(),
            mute_watches: Arc::default(),
            halt_after_line: Arc::default(),
            malformed_first_line: Arc::default(),
            poll_delay_ms: Arc::default(),
            reject_notices: Arc::default(),
            repeat_notice_answers: Arc::default(),
            requests: Arc::default(),
        };
        let peer = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let peer = peer.clone();
                thread::spawn(move || peer.serve(stream));
            }
        });
        discovery
    }

    /// Sends the change to all watches, and applies it to the full snapshot that polls receive.
    pub fn push(&self, seq: u64, hosts: &[Value]) {
        let mut snapshot = self.hosts.lock().unwrap();
        for host in hosts {
            snapshot.retain(|known| known["host"] != host["host"]);
            snapshot.extend((host["health"] != "removed").then(|| host.clone()));
        }
        drop(snapshot);
        self.push_text(
            seq,
            json!({"seq": seq, "whole": false, "hosts": hosts}).to_string(),
        );
    }

    /// Sends a line to all watches that were opened with an earlier version, without changing the full snapshot.
    pub fn push_text(&self, seq: u64, line: String) {
        self.lines.lock().unwrap().push((seq, line));
    }

    /// Sets the full snapshot.
    pub fn set_full_list(&self, hosts: Vec<Value>) {
        *self.hosts.lock().unwrap() = hosts;
    }

    /// Number of requests received whose request line contains the text.
    pub fn request_count(&self, what: &str) -> usize {
        self.requests
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains(what))
            .count()
    }

    /// Waits until at least this number of watches has been opened.
    pub fn wait_for_watches(&self, times: usize) {
        wait_until("a watch", || {
            (self.request_count("follow=1") >= times).then_some(())
        });
    }

    /// Returns the first notice received for the message.
    pub fn notice_for(&self, id: &str) -> Option<Value> {
        self.notices
            .lock()
            .unwrap()
            .iter()
            .find(|notice| notice["id"] == id)
            .cloned()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let (first, headers) = head(&mut reader)?;
            let length = header(&headers, "content-length")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            self.requests.lock().unwrap().push(first.clone());
            if first.starts_with("POST") {
                if self.reject_notices.load(Ordering::SeqCst) {
                    writer
                        .write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
                let text = String::from_utf8(body).expect("notices are text");
                let lines = text
                    .lines()
                    .map(|line| serde_json::from_str(line).expect("a notice is JSON"));
                self.notices.lock().unwrap().extend(lines);
                writer.write_all(NOTICES_ACCEPTED).ok()?;
                if self.repeat_notice_answers.load(Ordering::SeqCst) {
                    return repeat_answer_and_reset(writer);
                }
                continue;
            }
            while self.silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(Duration::from_millis(
                self.poll_delay_ms.load(Ordering::SeqCst).into(),
            ));
            if self.close_connections.load(Ordering::SeqCst) {
                return None;
            }
            let Some((_, since)) = first.split_once("since=") else {
                let seq = self
                    .lines
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|(seq, _)| *seq)
                    .max()
                    .unwrap_or(1);
                let list = json!({"seq": seq, "whole": true, "hosts": *self.hosts.lock().unwrap()});
                let text = format!("{list}\n");
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                )
                .ok()?;
                continue;
            };
            let since: u64 = since.split_whitespace().next()?.parse().ok()?;
            if self.mute_watches.load(Ordering::SeqCst) {
                drop(reader.read(&mut [0]));
                return None;
            }
            writer
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok()?;
            if self.malformed_first_line.load(Ordering::SeqCst) {
                writer.write_all(b"6\r\nnoise\n\r\n").ok()?;
            }
            // A watch that has fallen silent stays silent: only a new watch receives later changes.
            let mut sent = 0;
            let mut last_heartbeat = Instant::now();
            loop {
                if self.silent.load(Ordering::SeqCst) {
                    drop(reader.read(&mut [0]));
                    return None;
                }
                if self.close_connections.load(Ordering::SeqCst) {
                    return None;
                }
                let lines: Vec<_> = self
                    .lines
                    .lock()
                    .unwrap()
                    .iter()
                    .skip(sent)
                    .cloned()
                    .collect();
                sent += lines.len();
                for (_, line) in lines.into_iter().filter(|(seq, _)| *seq > since) {
                    write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                    if self.halt_after_line.load(Ordering::SeqCst) {
                        drop(reader.read(&mut [0]));
                        return None;
                    }
                }
                if last_heartbeat.elapsed() > Duration::from_millis(500) {
                    last_heartbeat = Instant::now();
                    writer.write_all(b"1\r\n\n\r\n").ok()?;
                }
                thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

/// An entry of the host list.
pub fn entry(name: &str, address: SocketAddr, block: u16, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "dc", "class": "partner", "block": block,
        "health": health, "share": 200.0, "born_ms": 0})
}

/// Default settings: three message classes, and one tenant, `acme`.
pub fn settings() -> Value {
    json!({
        "dcs": ["dc"], "discovery": "push", "skus": ["major-partner", "partner"],
        "familyInfo": {"callsOut": 16, "kindApart": [false, false], "late": "linear", "perCall": [1, 1],
            "toll": [0.0]},
        "fees": {"crossZone": 0.0},
        "limits": {"cancelling": true, "dialTimeout": 1000000, "idleClose": 10000000, "maxAttempts": 12,
            "maxRetryAfter": 2000000, "mostHeld": 100, "probes": false, "retryAfter": true},
        "myZone": 0, "overShareWorth": 0.1, "siblings": 1, "tick": 5000, "weightSource": "nominal",
        "rules": {"cold": 1000000, "coldFrom": 0.9, "overloadFactor": 2.0, "overloadFor": 1500000},
        "services": [
            {"name": "event", "aim": 200000, "giveUp": 60000000, "effect": "dedup", "keyScope": "all",
                "window": 30000000, "worth": 1.0, "lateWorth": 0.5},
            {"name": "update", "aim": 200000, "giveUp": 60000000, "effect": "retryable", "worth": 2.0,
                "lateWorth": 0.3},
            {"name": "payout", "aim": 200000, "giveUp": 60000000, "effect": "fragile", "worth": 5.0,
                "lateWorth": 0.5}],
        "stats": {"fields": ["x0", "x1"], "source": "answers"},
        "tenants": [{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}]
    })
}

/// Sends a signal, such as `-HUP`, to a running process.
pub fn send_signal(process: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([name, &process.id().to_string()])
        .status()
        .expect("kill runs")
        .success());
}

/// A relay with its state folder and its discovery service. Dropping it kills the relay and deletes the folder.
pub struct TestBed {
    pub discovery: Discovery,
    pub listen: SocketAddr,
    pub folder: PathBuf,
    pub config: Value,
    pub relay: Option<Child>,
    /// The contents of the operator file; without it, the relay is started without `--operator`.
    pub operator: Option<String>,
    /// Faults to inject into the relay's system calls.
    pub faults: Option<faults::Faults>,
    next_id: u32,
}

impl TestBed {
    /// Prepares a relay whose configuration and discovery list these hosts, without starting it.
    pub fn new(hosts: Vec<Value>) -> TestBed {
        let discovery = Discovery::new();
        let listen = unused_address();
        let folder = std::env::temp_dir().join(format!(
            "madderpitch-{}-{}",
            std::process::id(),
            listen.ip()
        ));
        drop(std::fs::remove_dir_all(&folder));
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        discovery.set_full_list(hosts.clone());
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"seq": 1, "whole": true, "hosts": hosts}});
        TestBed {
            discovery,
            listen,
            folder,
            config,
            relay: None,
            operator: None,
            faults: None,
            next_id: 1,
        }
    }

    /// Starts a relay whose configuration and discovery list these hosts, and waits until it is ready.
    pub fn started(hosts: Vec<Value>) -> TestBed {
        let mut test_bed = TestBed::new(hosts);
        test_bed.start();
        test_bed
    }

    /// Writes the configuration and operator files, and returns the command that starts the relay.
    pub fn command(&self) -> Command {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderpitch"));
        command
            .env("BALANCER_CONFIG", path)
            .env("BALANCER_STATE", self.folder.join("state"));
        command
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY");
        if let Some(faults) = &self.faults {
            faults.apply_to(&mut command);
        }
        if let Some(operator) = &self.operator {
            let path = self.folder.join("operator.toml");
            std::fs::write(&path, operator).expect("a file");
            command.arg("--operator").arg(path);
        }
        command
    }

    pub fn start(&mut self) {
        self.spawn();
        self.wait_until_ready();
    }

    /// Starts the process without waiting until it is ready; appends its standard error to the log.
    pub fn spawn(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let mut command = self.command();
        command.stdout(Stdio::null()).stderr(log.expect("a log"));
        self.relay = Some(command.spawn().expect("starts"));
    }

    /// Starts the relay in a thread of this process, where the test can hook into its system calls. The signals in
    /// `first` are pending before its event loop starts.
    pub fn start_in_process(&self, first: &[Signal]) -> InProcessRelay {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string()).expect("a file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let variable =
            |name: &str, path: PathBuf| (name.into(), path.to_string_lossy().into_owned());
        let variables = vec![
            variable("BALANCER_CONFIG", path),
            variable("BALANCER_STATE", self.folder.join("state")),
        ];
        InProcessRelay::start(variables, log.expect("a log"), first)
    }

    /// Waits until the relay answers a client.
    pub fn wait_until_ready(&self) {
        wait_until("the relay to be ready", || {
            let mut client = TcpStream::connect(self.listen).ok()?;
            client.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
            let mut pong = [0; 7];
            client.read_exact(&mut pong).ok()?;
            (&pong == b"+PONG\r\n").then_some(())
        });
    }

    /// Returns all log output so far, over restarts; empty if there is none.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Kills the process with SIGKILL and waits for it to exit.
    pub fn kill(&mut self) {
        let mut relay = self.relay.take().expect("runs");
        relay.kill().expect("killed");
        relay.wait().expect("ends");
    }

    /// Sends a signal, such as `-HUP`, to the relay's process.
    pub fn signal(&self, name: &str) {
        send_signal(self.relay.as_ref().expect("runs"), name);
    }

    /// Sends SIGTERM without waiting for the process to exit.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Changes the address of discovery in the configuration and sends SIGHUP.
    pub fn move_discovery(&mut self, to: &Discovery) {
        self.config["discovery"] = to.address.to_string().into();
        std::fs::write(self.folder.join("config.json"), self.config.to_string()).expect("a file");
        self.signal("-HUP");
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut relay = self.relay.take().expect("runs");
        wait_until("the relay to exit", || relay.try_wait().expect("waits"))
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        Client::connect(self.listen).expect("connects")
    }

    /// Submits a message with a deadline of 20 s; returns its id and the reply.
    pub fn enqueue(&mut self, class: &str, block: u16) -> (String, String) {
        self.enqueue_body(class, block, 20_000, b"body")
    }

    /// Submits a message for tenant `acme`; returns its id and the reply.
    pub fn enqueue_body(
        &mut self,
        class: &str,
        block: u16,
        deadline_ms: u64,
        body: &[u8],
    ) -> (String, String) {
        let id = self.id();
        let mut client = self.client();
        client.send(&request(&id, class, block, deadline_ms, body));
        (id, client.line())
    }

    /// Returns a new message id.
    pub fn id(&mut self) -> String {
        self.next_id += 1;
        format!("m{:04}", self.next_id - 1)
    }

    /// Submits a message for a tenant; returns its id and the reply.
    pub fn enqueue_for(
        &mut self,
        tenant: &str,
        class: &str,
        block: u16,
        deadline_ms: u64,
    ) -> (String, String) {
        let id = self.id();
        let mut client = self.client();
        client.send(&request_for(
            tenant,
            &id,
            class,
            block,
            deadline_ms,
            b"body",
        ));
        (id, client.line())
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        if let Some(relay) = &mut self.relay {
            drop(relay.kill());
            drop(relay.wait());
        }
        if thread::panicking() {
            eprintln!("the relay's log:\n{}", self.log());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Encodes a RESP2 array of bulk strings.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

pub fn request(id: &str, class: &str, block: u16, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    request_for("acme", id, class, block, deadline_ms, body)
}

/// Encodes an `ENQUEUE` request. `block` is the destination; only a message of class `event` has an idempotency key.
pub fn request_for(
    tenant: &str,
    id: &str,
    class: &str,
    block: u16,
    deadline_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let key = if class == "event" {
        format!("k=k-{id},")
    } else {
        String::new()
    };
    let list = format!("c={class},t={tenant},d={deadline_ms},{key}dest={block}");
    frame(&[
        b"ENQUEUE",
        b"0000000000000000",
        id.as_bytes(),
        list.as_bytes(),
        body,
    ])
}

/// A client connection to the relay.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the client port of a relay.
    pub fn connect(listen: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).expect("sent");
    }

    /// Returns whether the client has something to read: the end of the connection, an error or data.
    pub fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).expect("set");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("set");
        !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends bytes on a connection that the relay may have closed.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the next line, without its line end; `None` if the connection ended before the line was complete.
    pub fn complete_line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        Some(line.strip_suffix("\r\n")?.to_string())
    }

    /// Reads the next line, without its line end; empty if the connection has ended.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        // If the relay closes the connection with unread input, the read fails with a connection reset.
        drop(self.reader.read_line(&mut line));
        line.trim_end().to_string()
    }
}
