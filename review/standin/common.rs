//! Stand-ins for clients, hosts, discovery and the platform, by the protocol page. Standard library only.
//! Every address is a loopback address with a free port; every file lies in a temporary folder.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Time after which a case that has not ended by itself is stopped. A case takes 40 s at most on an idle machine.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The relay's process, 0 while there is none, and its folder. They are for the end at [`TIME_LIMIT`].
static RELAY_PROCESS: AtomicU32 = AtomicU32::new(0);
static RELAY_FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends a case that takes too long, with its relay: it could not run.
fn stop_at_time_limit(record: Record) {
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        record.write("result: could not run, the case did not end in time");
        let process = RELAY_PROCESS.load(Ordering::SeqCst);
        if process != 0 {
            let _ = Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        if let Some(folder) = RELAY_FOLDER.lock().unwrap().take() {
            let _ = std::fs::remove_dir_all(folder);
        }
        std::process::exit(COULD_NOT_RUN);
    });
}

/// Whether the disruption is played.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run, with the time in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let record = Record {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            start: Instant::now(),
        };
        stop_at_time_limit(record.clone());
        record
    }

    pub fn write(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }
}

/// A listener on a loopback address of its own, with a free port.
pub fn bind() -> TcpListener {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as usize;
    let address = format!(
        "127.{}.{}.{}:0",
        64 + process % 150,
        1 + n / 200,
        1 + n % 200
    );
    TcpListener::bind(address).expect("a free loopback port")
}

/// Waits until the closure is true; false if that takes longer than `limit`.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

// ---------------------------------------------------------------- HTTP

/// Reads a request or response head: the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    if lines.is_empty() {
        return None;
    }
    let first = lines.remove(0);
    let headers = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some((first, headers))
}

pub fn header(headers: &[(String, String)], name: &str) -> Option<String> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.clone())
}

pub fn answer(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

// ---------------------------------------------------------------- discovery and notices

/// One host of the list.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub block: u16,
    pub health: &'static str,
    pub share: f64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"leith-dc\",\"class\":\"partner\",\"block\":{},\"health\":\"{}\",\"share\":{},\"born_ms\":0}}",
            self.host, self.dial, self.block, self.health, self.share
        )
    }
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Entry]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Entry::json).collect();
    format!(
        "{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}",
        hosts.join(",")
    )
}

#[derive(Default)]
struct Catalog {
    seq: u64,
    hosts: Vec<Entry>,
    changes: Vec<(u64, String)>,
}

/// The agent on the relay's machine: the list, its changes, and the platform's notices.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    catalog: Arc<Mutex<Catalog>>,
    /// While set, discovery is down: the agent says nothing, connections stay open. Notices are answered all the same.
    pub silent: Arc<AtomicBool>,
    pub notices: Arc<Mutex<Vec<(Instant, String)>>>,
    pub watches: Arc<AtomicUsize>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, hosts: Vec<Entry>) -> Self {
        let listener = bind();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            catalog: Arc::new(Mutex::new(Catalog {
                seq: 1,
                hosts,
                changes: Vec::new(),
            })),
            silent: Arc::default(),
            notices: Arc::default(),
            watches: Arc::default(),
            record: record.clone(),
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

    /// Applies changes; they are written to all open watches.
    pub fn change(&self, entries: &[Entry]) -> u64 {
        let mut catalog = self.catalog.lock().unwrap();
        catalog.seq += 1;
        let seq = catalog.seq;
        for entry in entries {
            catalog.hosts.retain(|known| known.host != entry.host);
            if entry.health != "removed" {
                catalog.hosts.push(entry.clone());
            }
        }
        let line = list_json(seq, false, entries);
        catalog.changes.push((seq, line.clone()));
        drop(catalog);
        self.record.write(&format!("discovery change {line}"));
        seq
    }

    pub fn notice_of(&self, id: &str) -> Option<String> {
        let wanted = format!("\"id\":\"{id}\"");
        self.notices
            .lock()
            .unwrap()
            .iter()
            .find(|(_, line)| line.contains(&wanted))
            .map(|(_, line)| line.clone())
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let (first, headers) = read_head(&mut reader)?;
            let length = header(&headers, "content-length")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            if first.starts_with("POST /v1/notices ") {
                let text = String::from_utf8_lossy(&body).into_owned();
                for line in text.lines().filter(|line| !line.is_empty()) {
                    self.record.write(&format!("platform notice {line}"));
                    self.notices
                        .lock()
                        .unwrap()
                        .push((Instant::now(), line.to_string()));
                }
                writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                continue;
            }
            self.record.write(&format!("discovery request {first}"));
            if self.silent.load(Ordering::SeqCst) {
                // Silent: this connection never gets an answer.
                let _ = reader.read(&mut [0]);
                return None;
            }
            let Some((_, since)) = first.split_once("since=") else {
                let list = {
                    let catalog = self.catalog.lock().unwrap();
                    list_json(catalog.seq, true, &catalog.hosts)
                };
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}\n",
                    list.len() + 1
                )
                .ok()?;
                continue;
            };
            let since: u64 = since.split_whitespace().next()?.parse().ok()?;
            return self.watch(writer, since);
        }
    }

    fn watch(&self, mut writer: TcpStream, since: u64) -> Option<()> {
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .ok()?;
        self.watches.fetch_add(1, Ordering::SeqCst);
        let mut reached = since;
        let mut last_line = Instant::now();
        loop {
            if self.silent.load(Ordering::SeqCst) {
                // A watch that has fallen silent stays so.
                thread::sleep(Duration::from_secs(60));
                return None;
            }
            let lines: Vec<(u64, String)> = {
                let catalog = self.catalog.lock().unwrap();
                catalog
                    .changes
                    .iter()
                    .filter(|(seq, _)| *seq > reached)
                    .cloned()
                    .collect()
            };
            for (seq, line) in lines {
                write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                self.record.write(&format!("discovery told seq={seq}"));
                reached = seq;
                last_line = Instant::now();
            }
            if last_line.elapsed() > Duration::from_secs(2) {
                writer.write_all(b"1\r\n\n\r\n").ok()?;
                last_line = Instant::now();
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

// ---------------------------------------------------------------- hosts

/// A call that a host has received whole.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub body: String,
    pub connection: usize,
    pub at: Instant,
    /// The number of calls that came before it on its connection.
    pub before: usize,
}

/// What a host writes for a call, in turn: a pause, then a text.
pub type Script = dyn Fn(&Call) -> Vec<(Duration, String)> + Send + Sync;

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
    /// First lines that were written, by id.
    pub answers: Arc<Mutex<Vec<(String, String)>>>,
    record: Record,
}

impl Host {
    pub fn start(
        record: &Record,
        name: &str,
        script: impl Fn(&Call) -> Vec<(Duration, String)> + Send + Sync + 'static,
    ) -> Self {
        let listener = bind();
        let host = Host {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            calls: Arc::default(),
            answers: Arc::default(),
            record: record.clone(),
        };
        let script: Arc<Script> = Arc::new(script);
        let peer = host.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (peer, script) = (peer.clone(), script.clone());
                thread::spawn(move || peer.serve(stream, number, &*script));
            }
        });
        host
    }

    /// The ids to which a first line with 200 was written.
    pub fn delivered(&self, id: &str) -> bool {
        let answers = self.answers.lock().unwrap();
        answers
            .iter()
            .any(|(known, line)| known == id && line.contains(" 200 "))
    }

    fn serve(&self, stream: TcpStream, connection: usize, script: &Script) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        for before in 0.. {
            let (_, headers) = read_head(&mut reader)?;
            let length: usize = header(&headers, "content-length")?.parse().ok()?;
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let call = Call {
                id: header(&headers, "x-trace-id")?,
                body: String::from_utf8_lossy(&body).into_owned(),
                connection,
                at: Instant::now(),
                before,
            };
            self.record.write(&format!(
                "{} connection {connection} runs {}",
                self.name, call.id
            ));
            self.calls.lock().unwrap().push(call.clone());
            for (pause, text) in script(&call) {
                thread::sleep(pause);
                let line = text.lines().next().unwrap_or_default().to_string();
                let sent = writer.write_all(text.as_bytes());
                let result = if sent.is_ok() {
                    "writes"
                } else {
                    "cannot write"
                };
                self.record.write(&format!(
                    "{} connection {connection} {result} '{line}' for {}",
                    self.name, call.id
                ));
                sent.ok()?;
                self.answers.lock().unwrap().push((call.id.clone(), line));
            }
        }
        None
    }
}

/// A network between the relay and a host: each piece that is read is passed on after its delay, in order. `delay` is
/// given the number of the piece.
pub fn network(
    target: SocketAddr,
    delay: impl Fn(usize) -> Duration + Send + Sync + 'static,
) -> SocketAddr {
    let listener = bind();
    let address = listener.local_addr().unwrap();
    let delay = Arc::new(delay);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            for stream in [&near, &far] {
                let _ = stream.set_nodelay(true);
            }
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                carry(from, to, delay.clone());
            }
        }
    });
    address
}

fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    delay: Arc<impl Fn(usize) -> Duration + Send + Sync + 'static>,
) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        static PIECES: AtomicUsize = AtomicUsize::new(0);
        let mut buffer = vec![0; 65536];
        let mut last = Instant::now();
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            let piece = PIECES.fetch_add(1, Ordering::Relaxed);
            last = last.max(Instant::now() + delay(piece));
            if sender.send((last, buffer[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

// ---------------------------------------------------------------- the relay

pub struct Settings {
    pub max_attempts: usize,
    pub drain_grace_us: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_attempts: 12,
            drain_grace_us: 2_000_000,
        }
    }
}

/// The settings that the pages show for this deployment.
pub fn settings_json(settings: &Settings) -> String {
    format!(
        r#"{{"clients":{{"marksRetry":true}},"countedBy":"request","dcs":["leith-dc"],"discovery":"push",
"familyInfo":{{"callsOut":16,"kindApart":[false,false],"late":"linear","notes":"","perCall":[1,1],"refusalCost":0.05,"reportX0":"","reportX1":"","toll":[0.0]}},
"fees":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.02,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.08}},
"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3}},
"limits":{{"cancelling":true,"cpuUsPerRequest":0.0,"cpuUsPerS":69642,"dialTimeout":1000000,"idleClose":10000000,"maxAttempts":{},"maxRetryAfter":2000000,"mayDuplicate":false,"mostHeld":100,"peers":false,"probes":false,"retryAfter":true,"streamsPerConn":1}},
"myZone":0,"ordinal":0,"overShareWorth":0.1,
"rules":{{"askWithin":10000000,"cold":10000000,"coldFrom":0.19,"drainGrace":{},"graceToAnswer":20000,"overloadFactor":2.0,"overloadFor":1500000}},
"services":[{{"aim":2000000,"effect":"dedup","giveUp":24000000,"keyScope":"all","lateWorth":0.5,"name":"loan-event","stream":false,"window":6000000,"worth":1.0}},
{{"aim":3000000,"effect":"retryable","giveUp":24000000,"keyScope":"all","lateWorth":0.3,"name":"status-update","stream":false,"window":5000000,"worth":2.0}},
{{"aim":2500000,"effect":"fragile","giveUp":28000000,"keyScope":"all","lateWorth":0.5,"name":"payout","stream":false,"window":5000000,"worth":5.0}}],
"siblings":2,"skus":["major-partner","partner"],"stage":0,"stats":{{"fields":["x0","x1"],"source":"answers"}},
"tenants":[{{"name":"forthside-cash","quotaPerS":150.0,"share":0.45}},{{"name":"quicklend-scot","quotaPerS":50.0,"share":0.16}}],
"tick":5000,"tiers":["partners"],"weightSource":"nominal","workload":"deliver"}}"#,
        settings.max_attempts, settings.drain_grace_us
    )
}

/// The platform: starts the relay by the deploy file's command, kills it and starts it again.
pub struct Relay {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    command: String,
    root: PathBuf,
    pub process: Option<Child>,
    record: Record,
}

impl Relay {
    pub fn new(record: &Record, name: &str) -> Self {
        let root =
            PathBuf::from(std::env::var("ROOT").expect("ROOT: the folder of the repository"));
        let deploy =
            std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
        let command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|rest| rest.strip_suffix('"'))
            .expect("the command of the deploy file")
            .to_string();
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        std::fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        *RELAY_FOLDER.lock().unwrap() = Some(folder.clone());
        let listen = bind().local_addr().unwrap();
        Relay {
            listen,
            folder,
            command,
            root,
            process: None,
            record: record.clone(),
        }
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn config_text(&self, discovery: SocketAddr, settings: &Settings, known: &str) -> String {
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{known},\"settings\":{}}}",
            self.listen,
            settings_json(settings)
        )
    }

    pub fn write_config(&self, text: &str) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).expect("a file");
        std::fs::rename(new, self.config_path()).expect("a file");
    }

    /// Starts the relay and waits until it answers PING; false if it doesn't within `limit`.
    pub fn start(&mut self, discovery: SocketAddr, limit: Duration) -> bool {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log");
        let process = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.command)
            .current_dir(&self.root)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_STATE", self.folder.join("state"))
            .env("BALANCER_CONFIG", self.config_path())
            .env("TMPDIR", self.folder.join("tmp"))
            .env_remove("BALANCER_CONTROL")
            .env_remove("BALANCER_SOCKET_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the relay starts");
        self.record
            .write(&format!("platform starts the relay: {}", self.command));
        RELAY_PROCESS.store(process.id(), Ordering::SeqCst);
        self.process = Some(process);
        let ready = wait_until(limit, || self.has_exited().is_some() || self.ping());
        let exited = self.has_exited();
        let ready = ready && exited.is_none();
        self.record
            .write(&format!("relay ready={ready} exited={exited:?}"));
        ready
    }

    pub fn has_exited(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    fn ping(&self) -> bool {
        let ping = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.listen, Duration::from_millis(200))?;
            stream.set_read_timeout(Some(Duration::from_millis(400)))?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut pong = [0; 7];
            stream.read_exact(&mut pong)?;
            Ok(&pong == b"+PONG\r\n")
        };
        ping().unwrap_or(false)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            RELAY_PROCESS.store(0, Ordering::SeqCst);
            let _ = process.wait();
            self.record
                .write("platform SIGKILL to the relay; it is gone");
        }
    }

    /// Another signal, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            self.record.write(&format!("platform signal {name}"));
            let _ = Command::new("kill")
                .args([name, &process.id().to_string()])
                .status();
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
        self.record.write("the relay's log:");
        for line in self.log().lines() {
            self.record.write(&format!("  {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---------------------------------------------------------------- clients

/// A message that a client handed in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub dest: u16,
    /// When its time is up.
    pub due: Instant,
    pub reply: Option<String>,
}

impl Message {
    pub fn is_taken(&self) -> bool {
        self.reply
            .as_deref()
            .is_some_and(|reply| reply.starts_with('+'))
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// The list of names and values of a request.
pub fn fields(id: &str, tenant: &str, class: &str, dest: u16, time_ms: u64) -> String {
    let key = if class == "loan-event" {
        format!(",k=key-{id}")
    } else {
        String::new()
    };
    format!("c={class},t={tenant},d={time_ms}{key},dest={dest}")
}

/// A request to hand in a message.
pub fn request(id: &str, list: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = b"*5\r\n".to_vec();
    for part in [
        b"ENQUEUE".as_slice(),
        b"0000000000000000",
        id.as_bytes(),
        list.as_bytes(),
        body,
    ] {
        bytes.extend(format!("${}\r\n", part.len()).bytes());
        bytes.extend(part);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// A client with a connection that it keeps; it opens another when that one has ended.
pub struct Client {
    listen: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    record: Record,
}

impl Client {
    pub fn new(record: &Record, listen: SocketAddr) -> Self {
        Client {
            listen,
            stream: None,
            record: record.clone(),
        }
    }

    /// Hands in a message, and waits 400 ms for the answer.
    pub fn hand_in(&mut self, class: &str, dest: u16, time_ms: u64, body: &[u8]) -> Message {
        let id = new_id();
        self.hand_in_as(&id, "forthside-cash", class, dest, time_ms, body)
    }

    pub fn hand_in_as(
        &mut self,
        id: &str,
        tenant: &str,
        class: &str,
        dest: u16,
        time_ms: u64,
        body: &[u8],
    ) -> Message {
        let list = fields(id, tenant, class, dest, time_ms);
        let bytes = request(id, &list, body);
        let due = Instant::now() + Duration::from_millis(time_ms);
        let mut reply = None;
        // A request that crosses the end of a kept connection is sent once more on a new one.
        for _ in 0..2 {
            let is_new = self.stream.is_none();
            reply = self.exchange(&bytes);
            if reply.is_some() || is_new {
                break;
            }
            self.stream = None;
        }
        if reply.is_none() {
            self.stream = None;
        }
        self.record.write(&format!(
            "client hands in {id} {list}: {}",
            reply.as_deref().unwrap_or("no answer")
        ));
        Message {
            id: id.into(),
            class: class.into(),
            tenant: tenant.into(),
            dest,
            due,
            reply,
        }
    }

    fn exchange(&mut self, bytes: &[u8]) -> Option<String> {
        if self.stream.is_none() {
            let stream =
                TcpStream::connect_timeout(&self.listen, Duration::from_millis(400)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream
                .set_read_timeout(Some(Duration::from_millis(400)))
                .ok()?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut()?;
        reader.get_mut().write_all(bytes).ok()?;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.strip_suffix("\r\n")?;
        Some(line.to_string())
    }
}

/// Counts by name, for the summary.
pub type Counts = BTreeMap<&'static str, usize>;
