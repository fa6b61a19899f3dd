//! Stand-ins for the cases 6 to 10: clients, partners' hosts, and the platform's discovery, on loopback addresses. They use
//! the standard library alone, and a case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The time that a client waits for the answer to a request (PROTOCOL: 400 ms).
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes what was sent, answered and run to `record.txt`, with the time since the start of the case in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new() -> Record {
        let folder = PathBuf::from(std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into()));
        thread::spawn(|| {
            thread::sleep(HARD_STOP);
            eprintln!("the case takes too long");
            give_up(NOT_RUN)
        });
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("no record.txt: {error}");
            std::process::exit(NOT_RUN)
        });
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn at(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.start).as_millis() as u64
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:8} {text}\n", self.ms());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).ok();
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.say(text);
    }
}

/// Whether the case makes its disruption (`TROUBLE=0`: no).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

/// The longest time that a case may take before it ends itself.
const HARD_STOP: Duration = Duration::from_secs(110);

/// The processes that this case has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that the case has started, and the case.
fn give_up(code: i32) -> ! {
    let started = STARTED.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in started {
        Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -KILL {id}"))
            .status()
            .ok();
    }
    remove_folders();
    std::process::exit(code)
}

/// Removes the temporary folders of this case.
fn remove_folders() {
    let prefix = format!("relay-review-{}-", std::process::id());
    for entry in std::fs::read_dir(std::env::temp_dir())
        .into_iter()
        .flatten()
        .flatten()
    {
        if entry.file_name().to_string_lossy().starts_with(&prefix) {
            std::fs::remove_dir_all(entry.path()).ok();
        }
    }
}

/// Ends the case if something could not be set up.
pub fn need<T, E: std::fmt::Debug>(result: Result<T, E>, what: &str) -> T {
    result.unwrap_or_else(|error| {
        eprintln!("the case cannot run: {what}: {error:?}");
        give_up(NOT_RUN)
    })
}

/// A loopback address that no other socket of this machine is likely to use.
fn unused_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        (1 + pid % 250) as u8,
        (1 + pid / 250 % 250) as u8,
        (1 + n % 250) as u8,
    )
}

pub fn bind() -> TcpListener {
    need(TcpListener::bind((unused_ip(), 0)), "a free port")
}

/// A free address: the port was free a moment ago, at an IP address that only this case uses.
pub fn free_address() -> SocketAddr {
    need(bind().local_addr(), "a free port")
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = need(
        std::fs::read_to_string(root().join("deploy/balancer.toml")),
        "deploy/balancer.toml",
    );
    let line = text.lines().find(|line| line.starts_with("run ="));
    let line = need(line.ok_or("no run line"), "deploy/balancer.toml");
    line.split('"').nth(1).unwrap_or_default().to_string()
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("relay-review-{}-{number}", std::process::id()));
        std::fs::remove_dir_all(&path).ok();
        need(std::fs::create_dir_all(path.join("state")), "a temporary folder");
        Folder(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.0).ok();
        }
    }
}

/// A relay process.
pub struct Relay {
    child: Child,
}

impl Relay {
    /// Starts the program with the command of the deploy file. `extra` is appended to that command.
    pub fn start(folder: &Folder, config: &Path, env: &[(&str, String)], extra: &str) -> Relay {
        let log = need(
            File::options().create(true).append(true).open(folder.path("log")),
            "a log file",
        );
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {extra}", run_command()))
            .current_dir(root())
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_STATE", folder.path("state"))
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_CONTROL")
            .env_remove("BALANCER_SOCKET_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        for (name, value) in env {
            command.env(name, value);
        }
        Relay::started(need(command.spawn(), "the relay"))
    }

    /// Starts the program with the clients' listening socket as descriptor 4, and with a control socket of its own.
    pub fn start_with_socket(
        folder: &Folder,
        socket: std::os::fd::OwnedFd,
        control_address: SocketAddr,
        log: &Path,
    ) -> Relay {
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("exec 4<&0 </dev/null; {}", run_command()))
            .current_dir(root())
            .env("BALANCER_CONFIG", folder.path("config.json"))
            .env("BALANCER_STATE", folder.path("state"))
            .env("BALANCER_SOCKET_FD", "4")
            .env("BALANCER_CONTROL", control_address.to_string())
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .stdin(Stdio::from(socket))
            .stdout(Stdio::null())
            .stderr(need(File::create(log), "a log file"));
        Relay::started(need(command.spawn(), "the relay"))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Keeps the process to be ended with the case.
    fn started(child: Child) -> Relay {
        STARTED.lock().unwrap().push(child.id());
        Relay { child }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
        need(status, "kill");
    }

    /// SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether a relay answers `PING` with `+PONG`.
pub fn ping(address: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer).ok()?;
        (&answer == b"+PONG\r\n").then_some(())
    };
    ask().is_some()
}

/// Waits until a relay is ready; false if it is not within `limit`.
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    wait_for(limit, || ping(address))
}

pub fn wait_for(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if is_done() {
            return true;
        }
        sleep_ms(10);
    }
    is_done()
}

/// A call to the control socket: one line to a connection.
pub fn control(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok();
    Some(answer)
}

/// A message of a client.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub ttl_ms: u64,
    pub dest: u16,
    pub key: Option<String>,
}

impl Message {
    fn request(&self) -> Vec<u8> {
        let key = self
            .key
            .as_ref()
            .map(|key| format!("k={key},"))
            .unwrap_or_default();
        let list = format!(
            "c={},t={},d={},{key}dest={}",
            self.class, self.tenant, self.ttl_ms, self.dest
        );
        let parts: [&[u8]; 5] = [
            b"ENQUEUE",
            b"0000000000000000",
            self.id.as_bytes(),
            list.as_bytes(),
            b"body",
        ];
        let mut out = format!("*{}\r\n", parts.len()).into_bytes();
        for part in parts {
            out.extend(format!("${}\r\n", part.len()).bytes());
            out.extend(part);
            out.extend(b"\r\n");
        }
        out
    }
}

/// A client that keeps its connection.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            stream: None,
        }
    }

    /// Hands a message in and returns the first line of the answer, or what went wrong.
    pub fn submit(&mut self, message: &Message) -> String {
        let answer = self.exchange(message);
        if answer.is_err() {
            self.stream = None;
        }
        answer.unwrap_or_else(|error| format!("no answer: {error}"))
    }

    fn exchange(&mut self, message: &Message) -> std::io::Result<String> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
        let mut writer = stream.try_clone()?;
        writer.write_all(&message.request())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if line.is_empty() {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.stream = Some(reader.into_inner());
        Ok(line.trim_end().to_string())
    }
}

/// A call that has arrived whole at a host.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub key: Option<String>,
    pub connection: usize,
    /// When the first byte and the last byte came.
    pub began: Instant,
    pub arrived: Instant,
}

/// What a host does with a call.
pub enum Act {
    /// Answers with this status after a time in milliseconds. `headers` are whole lines with their ends.
    Answer {
        after_ms: u64,
        status: u16,
        headers: String,
    },
    /// Answers nothing until the other side closes the connection, or the host resets it.
    Hang,
}

pub fn answer(after_ms: u64, status: u16) -> Act {
    Act::Answer {
        after_ms,
        status,
        headers: String::new(),
    }
}

type Script = dyn Fn(&Call) -> Act + Send + Sync;

/// A partner's host. It carries one call at a time on a connection, and keeps connections.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    record: Record,
    script: Arc<Script>,
    calls: Arc<Mutex<Vec<Call>>>,
    open: Arc<Mutex<BTreeMap<usize, TcpStream>>>,
    connections: Arc<AtomicUsize>,
    /// While set, connections are not taken from the port's queue.
    holds_up: Arc<AtomicBool>,
}

impl Host {
    pub fn start(name: &str, record: &Record, script: impl Fn(&Call) -> Act + Send + Sync + 'static) -> Host {
        let listener = bind();
        let host = Host {
            name: name.into(),
            address: need(listener.local_addr(), "a port"),
            record: record.clone(),
            script: Arc::new(script),
            calls: Arc::default(),
            open: Arc::default(),
            connections: Arc::default(),
            holds_up: Arc::default(),
        };
        let peer = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                while peer.holds_up.load(Ordering::SeqCst) {
                    sleep_ms(1);
                }
                let host = peer.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    /// Fills the queue of the port, so that new connections do not come up until [`Host::let_connections_come`]. The system
    /// tries one that is held up again about a second after its start.
    pub fn hold_up_connections(&self) -> Vec<TcpStream> {
        self.holds_up.store(true, Ordering::SeqCst);
        let mut crowd = Vec::new();
        // The thread that accepts may still take one connection after the queue was full for the first time.
        let mut failures = 0;
        while failures < 3 && crowd.len() < 8_192 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(50)) {
                Ok(stream) => {
                    crowd.push(stream);
                    failures = 0;
                }
                Err(_) => failures += 1,
            }
        }
        self.record.say(&format!(
            "host {}: {} connections fill its queue",
            self.name,
            crowd.len()
        ));
        crowd
    }

    pub fn let_connections_come(&self, crowd: Vec<TcpStream>) {
        drop(crowd);
        self.holds_up.store(false, Ordering::SeqCst);
        self.record
            .say(&format!("host {}: connections come up again", self.name));
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Shuts all open connections, as an end of the host's process does.
    pub fn close_connections(&self) {
        let open = self.open.lock().unwrap();
        self.record
            .say(&format!("host {}: closes {} connections", self.name, open.len()));
        for stream in open.values() {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        stream.set_nodelay(true).ok();
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().insert(number, copy);
        }
        self.serve_calls(&stream, number);
        self.open.lock().unwrap().remove(&number);
    }

    fn serve_calls(&self, stream: &TcpStream, number: usize) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream.try_clone().ok()?;
        loop {
            let (began, lines) = read_head(&mut reader)?;
            let length: usize = header(&lines, "content-length")?.parse().ok()?;
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let call = Call {
                id: header(&lines, "x-trace-id")?,
                key: header(&lines, "idempotency-key"),
                connection: number,
                began,
                arrived: Instant::now(),
            };
            self.calls.lock().unwrap().push(call.clone());
            match (self.script)(&call) {
                Act::Answer {
                    after_ms,
                    status,
                    headers,
                } => {
                    self.record.say(&format!(
                        "host {}: call {} -> {status} after {after_ms} ms",
                        self.name, call.id
                    ));
                    sleep_ms(after_ms);
                    let text = format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n{headers}\r\n");
                    writer.write_all(text.as_bytes()).ok()?;
                }
                Act::Hang => {
                    self.record
                        .say(&format!("host {}: call {} -> no answer", self.name, call.id));
                    reader.read(&mut [0]).ok();
                    self.record.say(&format!(
                        "host {}: connection of call {} ended",
                        self.name, call.id
                    ));
                    return None;
                }
            }
        }
    }
}

/// Reads a request's first line and headers, and when the first byte came.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(Instant, Vec<String>)> {
    if reader.fill_buf().ok()?.is_empty() {
        return None;
    }
    let began = Instant::now();
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            return Some((began, lines));
        }
        lines.push(line);
    }
}

fn header(lines: &[String], name: &str) -> Option<String> {
    let mut pairs = lines.iter().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_string())
}

/// An entry of the host list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub block: u16,
    pub health: &'static str,
    pub share: f64,
}

impl Entry {
    pub fn of(host: &Host, block: u16, share: f64) -> Entry {
        Entry {
            host: host.name.clone(),
            dial: host.address,
            block,
            health: "up",
            share,
        }
    }

    pub fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"leith-dc\",\"class\":\"major-partner\",\"block\":{},\
             \"health\":\"{}\",\"share\":{:?},\"born_ms\":0}}",
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

/// The platform's discovery: pushes the list, and takes notices.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<(u64, Vec<Entry>)>>,
    /// Lines of changes, each with its version.
    changes: Arc<Mutex<Vec<(u64, String)>>>,
    notices: Arc<Mutex<Vec<(Instant, String)>>>,
    /// When it first wrote its list to a relay.
    first_told: Arc<Mutex<Option<Instant>>>,
    pub ended: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(record: &Record, seq: u64, hosts: Vec<Entry>) -> Discovery {
        let listener = bind();
        let discovery = Discovery {
            address: need(listener.local_addr(), "a port"),
            record: record.clone(),
            state: Arc::new(Mutex::new((seq, hosts))),
            changes: Arc::default(),
            notices: Arc::default(),
            first_told: Arc::default(),
            ended: Arc::default(),
        };
        let peer = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = peer.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The notices so far, with the time of each.
    pub fn notices(&self) -> Vec<(Instant, String)> {
        self.notices.lock().unwrap().clone()
    }

    pub fn first_told(&self) -> Option<Instant> {
        *self.first_told.lock().unwrap()
    }

    /// The notice for a message, if there is one.
    pub fn notice_for(&self, id: &str) -> Option<(Instant, String)> {
        let wanted = format!("\"{id}\"");
        self.notices()
            .into_iter()
            .find(|(_, line)| line.contains(&wanted))
    }

    /// Sends changed entries.
    pub fn push(&self, entries: &[Entry]) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        for entry in entries {
            state.1.retain(|known| known.host != entry.host);
            if entry.health != "removed" {
                state.1.push(entry.clone());
            }
        }
        let line = list_json(state.0, false, entries);
        self.record.say(&format!("discovery: change {line}"));
        self.changes.lock().unwrap().push((state.0, line));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let (_, lines) = read_head(&mut reader)?;
            let first = lines.first()?.clone();
            let length = header(&lines, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            if first.starts_with("POST") {
                let text = String::from_utf8_lossy(&body).into_owned();
                for line in text.lines().filter(|line| !line.is_empty()) {
                    self.record.say(&format!("discovery: notice {line}"));
                    self.notices
                        .lock()
                        .unwrap()
                        .push((Instant::now(), line.to_string()));
                }
                writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                continue;
            }
            let Some((_, since)) = first.split_once("since=") else {
                let list = {
                    let state = self.state.lock().unwrap();
                    list_json(state.0, true, &state.1) + "\n"
                };
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                )
                .ok()?;
                self.first_told.lock().unwrap().get_or_insert(Instant::now());
                continue;
            };
            let since: u64 = since.split_whitespace().next()?.parse().ok()?;
            return self.follow(writer, since);
        }
    }

    fn follow(&self, mut writer: TcpStream, since: u64) -> Option<()> {
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .ok()?;
        let mut sent = 0;
        let mut last = Instant::now();
        loop {
            let lines: Vec<_> = self.changes.lock().unwrap().iter().skip(sent).cloned().collect();
            sent += lines.len();
            for (_, line) in lines.into_iter().filter(|(seq, _)| *seq > since) {
                write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
                last = Instant::now();
            }
            if last.elapsed() >= Duration::from_secs(2) {
                writer.write_all(b"1\r\n\n\r\n").ok()?;
                last = Instant::now();
            }
            sleep_ms(5);
        }
    }
}

/// The settings of a small deployment like that of the site file. `calls_out` and `most_held` are the relay's slots and the
/// number of messages that it may hold.
pub fn settings(calls_out: u32, most_held: u32, services: &str) -> String {
    format!(
        r#"{{"clients":{{"marksRetry":true}},"countedBy":"request","dcs":["leith-dc"],"discovery":"push",
"familyInfo":{{"callsOut":{calls_out},"kindApart":[false,false],"late":"linear","perCall":[1,1],"refusalCost":0.05,"toll":[0.0]}},
"fees":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.02,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.08}},
"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3}},
"limits":{{"cancelling":true,"cpuUsPerRequest":0.0,"cpuUsPerS":69642,"dialTimeout":1000000,"idleClose":10000000,"maxAttempts":12,"maxRetryAfter":2000000,"mayDuplicate":false,"mostHeld":{most_held},"peers":false,"probes":false,"retryAfter":true,"streamsPerConn":1}},
"myZone":0,"ordinal":0,"overShareWorth":0.1,
"rules":{{"askWithin":10000000,"cold":10000000,"coldFrom":0.19,"drainGrace":2000000,"graceToAnswer":20000,"overloadFactor":2.0,"overloadFor":1500000}},
"services":[{services}],
"siblings":1,"skus":["major-partner","partner"],"stage":0,"stats":{{"fields":["x0","x1"],"source":"answers"}},
"tenants":[{{"name":"forthside-cash","quotaPerS":60.0,"share":1.0}}],
"tick":5000,"tiers":["partners"],"weightSource":"nominal","workload":"deliver"}}"#
    )
}

/// The classes of the site.
pub const SERVICES: &str = r#"{"aim":2000000,"effect":"dedup","giveUp":24000000,"keyScope":"all","lateWorth":0.5,"name":"loan-event","stream":false,"window":6000000,"worth":1.0},
{"aim":3000000,"effect":"retryable","giveUp":24000000,"keyScope":"all","lateWorth":0.3,"name":"status-update","stream":false,"window":5000000,"worth":2.0},
{"aim":2500000,"effect":"fragile","giveUp":28000000,"keyScope":"all","lateWorth":0.5,"name":"payout","stream":false,"window":5000000,"worth":5.0}"#;

/// Writes a configuration file.
pub fn write_config(path: &Path, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) {
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{settings}}}"#
    );
    let temporary = path.with_extension("part");
    need(std::fs::write(&temporary, text), "a configuration");
    need(std::fs::rename(&temporary, path), "a configuration");
}

/// A request to the administration API: the status and the body of the answer.
pub fn api(address: SocketAddr, token: &str, method: &str, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {token}\r\nIf-Match: *\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string())
        .unwrap_or_default();
    Some((status, body))
}

/// Makes a bearer token with `relayctl`: the token and its entry for the operator file.
pub fn make_token(name: &str, role: &str) -> (String, String) {
    let output = Command::new(root().join("target/release/relayctl"))
        .args(["token", name, "--role", role])
        .output();
    let text = String::from_utf8_lossy(&need(output, "relayctl").stdout).into_owned() + "\n";
    let token = text
        .lines()
        .find_map(|line| line.strip_prefix("token: "))
        .unwrap_or_default()
        .to_string();
    let entry = text
        .split_once("[[admin.tokens]]")
        .map(|(_, entry)| format!("[[admin.tokens]]{entry}"));
    (token, entry.unwrap_or_default())
}
