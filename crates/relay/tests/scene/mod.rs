//! Scripted peers on loopback sockets: clients, hosts and discovery around one relay process.
#![allow(dead_code)]

pub mod faults;
pub mod stepped;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use runtime::Signal;
use serde_json::{json, Value};
use socket2::Socket;
use stepped::Inside;

/// Far more than anything here takes, so that a slow machine gives the same verdict.
pub const LONG: Duration = Duration::from_secs(60);

/// Waits until there is something, or fails the test.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < LONG, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A loopback address of its own, so that no outgoing connection can take its port.
fn address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "127.{}.{}.{}:0",
        1 + std::process::id() % 250,
        n / 200,
        1 + n % 200
    )
}

pub fn bind() -> TcpListener {
    TcpListener::bind(address()).expect("a loopback port")
}

/// Binds a socket to a port that this process has just closed. A relay that another test starts holds copies of this
/// process' descriptors until it executes its program, so that the port can be in use for that long.
pub fn bind_again(socket: &Socket, address: SocketAddr) {
    until("the port to be free", || socket.bind(&address.into()).ok());
}

/// A call as a host saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
}

/// What a host does with a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Writes this and keeps the connection.
    Text(String),
    /// The same, after a while.
    Later(u64, String),
    /// Writes these, each after a while.
    Parts(Vec<(u64, String)>),
    /// Writes this and closes the connection.
    Last(String),
    /// Says nothing until the other side closes.
    Hang,
    /// Closes the connection.
    Close,
}

pub fn ok_text() -> String {
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()
}

pub fn ok() -> Answer {
    Answer::Text(ok_text())
}

pub fn status(line: &str) -> Answer {
    Answer::Text(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

type Script = Box<dyn Fn(&Seen, usize) -> Answer + Send + Sync>;

#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// When connections ended, by number.
    pub ended: Arc<Mutex<Vec<(usize, Instant)>>>,
    script: Arc<Mutex<Script>>,
}

impl Host {
    /// A host whose script gets each call and how many calls came before it.
    pub fn new(script: impl Fn(&Seen, usize) -> Answer + Send + Sync + 'static) -> Host {
        Host::at(bind(), script)
    }

    /// The same at a port of the test's own.
    pub fn at(
        listener: TcpListener,
        script: impl Fn(&Seen, usize) -> Answer + Send + Sync + 'static,
    ) -> Host {
        let host = Host {
            address: listener.local_addr().expect("bound"),
            seen: Arc::default(),
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

    pub fn script(&self, script: impl Fn(&Seen, usize) -> Answer + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    pub fn calls(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub fn calls_of(&self, id: &str) -> Vec<Seen> {
        self.calls()
            .into_iter()
            .filter(|seen| seen.id == id)
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
            let seen = Seen {
                id,
                key,
                body,
                connection,
                at: Instant::now(),
            };
            let before = {
                let mut all = self.seen.lock().unwrap();
                all.push(seen.clone());
                all.len() - 1
            };
            let answer = (self.script.lock().unwrap())(&seen, before);
            match answer {
                Answer::Text(text) => writer.write_all(text.as_bytes()).ok()?,
                Answer::Later(after, text) => {
                    thread::sleep(Duration::from_millis(after));
                    writer.write_all(text.as_bytes()).ok()?;
                }
                Answer::Parts(parts) => {
                    for (after, text) in parts {
                        thread::sleep(Duration::from_millis(after));
                        writer.write_all(text.as_bytes()).ok()?;
                    }
                }
                Answer::Last(text) => return writer.write_all(text.as_bytes()).ok(),
                Answer::Hang => {
                    drop(reader.read(&mut [0]));
                    return None;
                }
                Answer::Close => return None,
            }
        }
    }
}

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

fn header(lines: &[String], name: &str) -> Option<String> {
    let mut pairs = lines.iter().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_string())
}

/// Discovery with a list that tests change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// Lines that watches are sent, each with its version.
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    hosts: Arc<Mutex<Vec<Value>>>,
    pub notices: Arc<Mutex<Vec<Value>>>,
    /// Says nothing while set; connections stay open.
    pub silent: Arc<AtomicBool>,
    /// Calls for the list are closed unanswered while set, and watches end.
    pub closes: Arc<AtomicBool>,
    /// Watches say nothing at all from their first byte on, while set, and for good.
    pub mute: Arc<AtomicBool>,
    /// Watches say nothing more once they have sent a line, while set.
    pub halts: Arc<AtomicBool>,
    /// Watches begin with a line that is no list, while set.
    pub spoils: Arc<AtomicBool>,
    /// Delay of answers to polls for the list, in milliseconds.
    pub slow: Arc<AtomicU32>,
    /// Notices are answered 503 while set.
    pub refuses: Arc<AtomicBool>,
    /// First lines of all requests.
    pub asked: Arc<Mutex<Vec<String>>>,
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
            closes: Arc::default(),
            mute: Arc::default(),
            halts: Arc::default(),
            spoils: Arc::default(),
            slow: Arc::default(),
            refuses: Arc::default(),
            asked: Arc::default(),
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

    /// Sends the change to all watches, and the full snapshot to later polls.
    pub fn push(&self, seq: u64, hosts: &[Value]) {
        let mut whole = self.hosts.lock().unwrap();
        for host in hosts {
            whole.retain(|known| known["host"] != host["host"]);
            whole.extend((host["health"] != "removed").then(|| host.clone()));
        }
        drop(whole);
        self.push_text(
            seq,
            json!({"seq": seq, "whole": false, "hosts": hosts}).to_string(),
        );
    }

    pub fn push_text(&self, seq: u64, line: String) {
        self.lines.lock().unwrap().push((seq, line));
    }

    /// Sets the full snapshot.
    pub fn set_whole(&self, hosts: Vec<Value>) {
        *self.hosts.lock().unwrap() = hosts;
    }

    /// Requests so far whose first line has this.
    pub fn asked_for(&self, what: &str) -> usize {
        self.asked
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains(what))
            .count()
    }

    /// Waits until this number of watches was opened, or fails the test.
    pub fn until_watched(&self, times: usize) {
        until("a watch", || {
            (self.asked_for("follow=1") >= times).then_some(())
        });
    }

    pub fn notice_of(&self, id: &str) -> Option<Value> {
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
            self.asked.lock().unwrap().push(first.clone());
            if first.starts_with("POST") {
                if self.refuses.load(Ordering::SeqCst) {
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
                writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                continue;
            }
            while self.silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(Duration::from_millis(
                self.slow.load(Ordering::SeqCst).into(),
            ));
            if self.closes.load(Ordering::SeqCst) {
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
            if self.mute.load(Ordering::SeqCst) {
                drop(reader.read(&mut [0]));
                return None;
            }
            writer
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok()?;
            if self.spoils.load(Ordering::SeqCst) {
                writer.write_all(b"6\r\nnoise\n\r\n").ok()?;
            }
            // A watch that fell silent stays so: only a new one gets later changes.
            let mut told = 0;
            let mut beat = Instant::now();
            loop {
                if self.silent.load(Ordering::SeqCst) {
                    drop(reader.read(&mut [0]));
                    return None;
                }
                if self.closes.load(Ordering::SeqCst) {
                    return None;
                }
                let lines: Vec<_> = self
                    .lines
                    .lock()
                    .unwrap()
                    .iter()
                    .skip(told)
                    .cloned()
                    .collect();
                told += lines.len();
                for (_, line) in lines.into_iter().filter(|(seq, _)| *seq > since) {
                    write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                    if self.halts.load(Ordering::SeqCst) {
                        drop(reader.read(&mut [0]));
                        return None;
                    }
                }
                if beat.elapsed() > Duration::from_millis(500) {
                    beat = Instant::now();
                    writer.write_all(b"1\r\n\n\r\n").ok()?;
                }
                thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, block: u16, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "dc", "class": "partner", "block": block,
        "health": health, "share": 200.0, "born_ms": 0})
}

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

/// Sends a signal, such as `-HUP`, to a process that runs.
pub fn send_signal(process: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([name, &process.id().to_string()])
        .status()
        .expect("kill runs")
        .success());
}

/// A relay, its folder and its discovery.
pub struct Scene {
    pub discovery: Discovery,
    pub listen: SocketAddr,
    pub folder: PathBuf,
    pub config: Value,
    pub relay: Option<Child>,
    /// The text of the operator file, if there is one.
    pub operator: Option<String>,
    /// Faults of the relay's system calls.
    pub faults: Option<faults::Faults>,
    next: u32,
}

impl Scene {
    /// A relay that knows these hosts; it is not started yet.
    pub fn new(known: Vec<Value>) -> Scene {
        let discovery = Discovery::new();
        let listen = bind().local_addr().expect("bound");
        let folder = std::env::temp_dir().join(format!(
            "madderpitch-{}-{}",
            std::process::id(),
            listen.ip()
        ));
        drop(std::fs::remove_dir_all(&folder));
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        discovery.set_whole(known.clone());
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"seq": 1, "whole": true, "hosts": known}});
        Scene {
            discovery,
            listen,
            folder,
            config,
            relay: None,
            operator: None,
            faults: None,
            next: 1,
        }
    }

    /// The same, started.
    pub fn started(known: Vec<Value>) -> Scene {
        let mut scene = Scene::new(known);
        scene.start();
        scene
    }

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
        self.until_ready();
    }

    /// Starts the process without waiting until it is ready.
    pub fn spawn(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let mut command = self.command();
        command.stdout(Stdio::null()).stderr(log.expect("a log"));
        self.relay = Some(command.spawn().expect("starts"));
    }

    /// The same relay in this process, where the test has points between its lines; `first` has come before its first turn.
    pub fn inside(&self, first: &[Signal]) -> Inside {
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
        Inside::start(variables, log.expect("a log"), first)
    }

    /// Waits until the relay takes clients.
    pub fn until_ready(&self) {
        until("the relay to be ready", || {
            let mut client = TcpStream::connect(self.listen).ok()?;
            client.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
            let mut pong = [0; 7];
            client.read_exact(&mut pong).ok()?;
            (&pong == b"+PONG\r\n").then_some(())
        });
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let mut relay = self.relay.take().expect("runs");
        relay.kill().expect("killed");
        relay.wait().expect("ends");
    }

    /// Sends a signal, such as `-HUP`, to the relay's process.
    pub fn signal(&self, name: &str) {
        send_signal(self.relay.as_ref().expect("runs"), name);
    }

    /// SIGTERM; the process goes on.
    pub fn term(&self) {
        self.signal("-TERM");
    }

    /// SIGHUP, with discovery elsewhere.
    pub fn move_discovery(&mut self, to: &Discovery) {
        self.config["discovery"] = to.address.to_string().into();
        std::fs::write(self.folder.join("config.json"), self.config.to_string()).expect("a file");
        self.signal("-HUP");
    }

    pub fn end(&mut self) -> ExitStatus {
        let mut relay = self.relay.take().expect("runs");
        until("the relay to end", || relay.try_wait().expect("waits"))
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("connects");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Client {
            reader: BufReader::new(stream),
        }
    }

    /// Submits a message and returns its id and the reply.
    pub fn enqueue(&mut self, class: &str, block: u16) -> (String, String) {
        self.enqueue_body(class, block, 20_000, b"body")
    }

    pub fn enqueue_body(
        &mut self,
        class: &str,
        block: u16,
        left: u64,
        body: &[u8],
    ) -> (String, String) {
        let id = self.id();
        let mut client = self.client();
        client.send(&request(&id, class, block, left, body));
        (id, client.line())
    }

    /// A new id.
    pub fn id(&mut self) -> String {
        self.next += 1;
        format!("m{:04}", self.next - 1)
    }

    /// The same for a tenant.
    pub fn enqueue_for(
        &mut self,
        tenant: &str,
        class: &str,
        block: u16,
        left: u64,
    ) -> (String, String) {
        let id = self.id();
        let mut client = self.client();
        client.send(&request_for(tenant, &id, class, block, left, b"body"));
        (id, client.line())
    }
}

impl Drop for Scene {
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

pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

pub fn request(id: &str, class: &str, block: u16, left: u64, body: &[u8]) -> Vec<u8> {
    request_for("acme", id, class, block, left, body)
}

pub fn request_for(
    tenant: &str,
    id: &str,
    class: &str,
    block: u16,
    left: u64,
    body: &[u8],
) -> Vec<u8> {
    let key = if class == "event" {
        format!("k=k-{id},")
    } else {
        String::new()
    };
    let list = format!("c={class},t={tenant},d={left},{key}dest={block}");
    frame(&[
        b"ENQUEUE",
        b"0000000000000000",
        id.as_bytes(),
        list.as_bytes(),
        body,
    ])
}

pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).expect("sent");
    }

    /// Whether the relay has ended the connection, as far as is known here.
    pub fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).expect("set");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("set");
        !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends where the connection may have ended.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// The next line without its end; none where the connection ended before the whole of it.
    pub fn whole_line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        Some(line.strip_suffix("\r\n")?.to_string())
    }

    /// The next line, or nothing where the connection has ended.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        // A close with bytes of ours unread comes as a reset.
        drop(self.reader.read_line(&mut line));
        line.trim_end().to_string()
    }
}
