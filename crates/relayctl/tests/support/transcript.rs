//! Runs `relayctl` and compares the requests, the output and the exit codes with golden files.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

use super::scripted_server::{Ending, Endpoint, Reply, ScriptedServer};

/// Length of 256 random bits in base64 without padding: tokens, secrets and idempotency keys.
const RANDOM_TEXT_LENGTH: usize = 43;
/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_LENGTH: usize = 64;

/// Formats JSON with the keys of all objects sorted.
fn sorted_json(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<(&String, &Value)> = fields.iter().collect();
            fields.sort_by_key(|(name, _)| *name);
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{}:{}", json!(name), sorted_json(value)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(sorted_json).collect();
            format!("[{}]", items.join(","))
        }
        other => other.to_string(),
    }
}

/// Sorts the keys of all objects if the line is JSON, and checks by the length that nothing but the order changes.
fn with_sorted_keys(line: &str) -> String {
    match serde_json::from_str::<Value>(line) {
        Ok(value @ (Value::Object(_) | Value::Array(_))) => {
            let sorted = sorted_json(&value);
            assert_eq!(sorted.len(), line.len(), "{line} is not compact JSON");
            sorted
        }
        _ => line.into(),
    }
}

/// Replaces random values by placeholders.
fn without_random_values(text: &str) -> String {
    let is_random_character = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let mut replaced = String::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.find(|c| !is_random_character(c)).unwrap_or(rest.len());
        let (word, tail) = rest.split_at(end);
        match word.len() {
            RANDOM_TEXT_LENGTH => replaced += "<256 random bits>",
            DIGEST_LENGTH if word.bytes().all(|byte| byte.is_ascii_hexdigit()) => {
                replaced += "<SHA-256 digest>";
            }
            _ => replaced += word,
        }
        let separator = tail.chars().next().map_or(0, char::len_utf8);
        replaced += &tail[..separator];
        rest = &tail[separator..];
    }
    replaced
}

/// The lines of a request, with the headers and the query's parameters sorted, because their order has no meaning.
fn request_lines(request: &str) -> Vec<String> {
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return request.lines().map(String::from).collect();
    };
    let mut lines: Vec<String> = head.split("\r\n").map(String::from).collect();
    lines[0] = with_sorted_query(&lines[0]);
    lines[1..].sort();
    if !body.is_empty() {
        lines.push(with_sorted_keys(body));
    }
    lines
}

fn with_sorted_query(request_line: &str) -> String {
    let Some((before, after)) = request_line.split_once('?') else {
        return request_line.into();
    };
    let (query, protocol) = after.split_once(' ').expect("a protocol");
    let mut parameters: Vec<&str> = query.split('&').collect();
    parameters.sort_unstable();
    format!("{before}?{} {protocol}", parameters.join("&"))
}

/// One run of the program.
pub struct Invocation {
    arguments: Vec<String>,
    environment: Vec<(&'static str, &'static str)>,
    input: &'static str,
    endpoint: Endpoint,
    replies: Vec<Reply>,
    fields_in_any_order: bool,
}

/// Creates an invocation with these arguments, which are split at white space. `<server>` and `<folder>` are replaced by
/// the server's address and the transcript's folder.
pub fn relayctl(arguments: &str) -> Invocation {
    Invocation {
        arguments: arguments.split_whitespace().map(String::from).collect(),
        environment: Vec::new(),
        input: "",
        endpoint: Endpoint::Tcp,
        replies: Vec::new(),
        fields_in_any_order: false,
    }
}

impl Invocation {
    /// Adds an argument that may contain white space.
    pub fn argument(mut self, argument: &str) -> Self {
        self.arguments.push(argument.into());
        self
    }

    pub fn environment(mut self, name: &'static str, value: &'static str) -> Self {
        self.environment.push((name, value));
        self
    }

    pub fn input(mut self, input: &'static str) -> Self {
        self.input = input;
        self
    }

    pub fn endpoint(mut self, endpoint: Endpoint) -> Self {
        self.endpoint = endpoint;
        self
    }

    /// Sorts the printed lines up to the first empty one, because the order of fields depends on `serde_json`'s features.
    pub fn fields_in_any_order(mut self) -> Self {
        self.fields_in_any_order = true;
        self
    }

    fn scripted(mut self, shown: impl Into<String>, bytes: &[u8], ending: Ending) -> Self {
        self.replies.push(Reply {
            shown: shown.into(),
            bytes: bytes.to_vec(),
            ending,
        });
        self
    }

    /// Adds a reply of these bytes, after which the connection is closed.
    pub fn raw_reply(self, shown: &str, bytes: &[u8]) -> Self {
        self.scripted(shown, bytes, Ending::Close)
    }

    /// Lets the server send nothing and keep the connection open.
    pub fn no_reply(self) -> Self {
        self.scripted("(no answer)", b"", Ending::KeepOpen)
    }

    /// Adds a complete response. The connection stays open, as it does with the relay.
    pub fn http_reply(self, status: u16, headers: &str, body: &str) -> Self {
        let shown = format!("{status} {}{body}", headers.replace("\r\n", " "));
        let length = body.len();
        let bytes =
            format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.scripted(shown.trim_end(), bytes.as_bytes(), Ending::KeepOpen)
    }

    pub fn reply(self, status: u16, body: &Value) -> Self {
        self.http_reply(status, "", &sorted_json(body))
    }

    /// Adds a successful response with an entity tag.
    pub fn tagged_reply(self, etag: &str, body: &Value) -> Self {
        self.http_reply(200, &format!("etag: {etag}\r\n"), &sorted_json(body))
    }

    /// Adds a reply of the control socket, and uses a control socket as the server.
    pub fn control_reply(self, text: &str) -> Self {
        self.endpoint(Endpoint::ControlSocket)
            .raw_reply(&format!("{text:?}"), text.as_bytes())
    }

    fn command(&self, placeholders: &Placeholders) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_relayctl"));
        command
            .env_clear()
            .env("MADDERPITCH_SERVER", &placeholders.server);
        for (name, value) in &self.environment {
            command.env(name, placeholders.expand(value));
        }
        for argument in &self.arguments {
            command.arg(placeholders.expand(argument));
        }
        command
    }

    /// The command line as it would be typed in a shell.
    fn command_line(&self) -> String {
        let mut line = String::new();
        for (name, value) in &self.environment {
            line += &format!("{name}={value} ");
        }
        line += "relayctl";
        for argument in &self.arguments {
            let is_plain = !argument.is_empty() && !argument.contains(char::is_whitespace);
            let quote = if is_plain { "" } else { "'" };
            let argument = argument.replace('\n', "\\n");
            line += &format!(" {quote}{argument}{quote}");
        }
        line
    }
}

/// The values of the placeholders, which differ from run to run.
struct Placeholders {
    server: String,
    folder: String,
}

impl Placeholders {
    fn expand(&self, text: &str) -> String {
        text.replace("<server>", &self.server)
            .replace("<folder>", &self.folder)
    }

    fn insert_into(&self, text: &str) -> String {
        let text = text
            .replace(&self.server, "<server>")
            .replace(&self.folder, "<folder>");
        without_random_values(&text)
    }
}

/// The recorded invocations with their requests, replies and output.
pub struct Transcript {
    folder: tempfile::TempDir,
    text: String,
}

impl Transcript {
    pub fn new() -> Self {
        Transcript {
            folder: tempfile::tempdir().expect("a folder"),
            text: String::new(),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("written");
    }

    fn add(&mut self, prefix: &str, line: &str) {
        let line = format!("{prefix}{line}");
        self.text += if line.len() == prefix.len() {
            line.trim_end()
        } else {
            &line
        };
        self.text.push('\n');
    }

    /// Runs the program and records the requests, the replies, the output and the exit code.
    pub fn run(&mut self, mut invocation: Invocation) -> Output {
        let replies = std::mem::take(&mut invocation.replies);
        let shown_replies: Vec<String> = replies.iter().map(|reply| reply.shown.clone()).collect();
        let server = ScriptedServer::start(invocation.endpoint, self.folder.path(), replies);
        let placeholders = Placeholders {
            server: server.address.clone(),
            folder: self.folder.path().display().to_string(),
        };
        let output = run_with_input(invocation.command(&placeholders), invocation.input);
        let (requests, unused) = server.stop();
        let command_line = invocation.command_line();
        assert!(unused.is_empty(), "{command_line}: unused replies");
        assert_eq!(requests.len(), shown_replies.len(), "{command_line}");

        self.add("$ ", &command_line);
        for line in invocation.input.lines() {
            self.add("0| ", line);
        }
        for (number, (request, reply)) in requests.iter().zip(&shown_replies).enumerate() {
            if number > 0 && *request == requests[number - 1] {
                self.add("> ", "(the same, byte for byte)");
            } else {
                for line in request_lines(request) {
                    self.add("> ", &placeholders.insert_into(&line));
                }
            }
            self.add("< ", &placeholders.insert_into(reply));
        }
        self.add_output(&output, &placeholders, invocation.fields_in_any_order);
        output
    }

    fn add_output(&mut self, output: &Output, placeholders: &Placeholders, any_order: bool) {
        let mut printed = lines_of(&output.stdout);
        if any_order {
            let end = printed.iter().position(String::is_empty);
            let end = end.unwrap_or(printed.len());
            printed[..end].sort();
        }
        for line in printed {
            self.add("1| ", &placeholders.insert_into(&with_sorted_keys(&line)));
        }
        for line in lines_of(&output.stderr) {
            self.add("2| ", &placeholders.insert_into(&line));
        }
        let code = output.status.code().expect("an exit code");
        self.add("= ", &format!("{code}\n"));
    }

    /// Records the content of a file that the program wrote.
    pub fn add_file(&mut self, name: &str) {
        let text = fs::read(self.path(name)).expect("a file");
        self.add("file ", &format!("<folder>/{name}:"));
        for line in lines_of(&text) {
            self.add("f| ", &with_sorted_keys(&line));
        }
        self.text.push('\n');
    }

    /// Compares the transcript with a golden file. If they differ, the actual transcript is left in the build's temporary
    /// folder.
    pub fn verify(self, name: &str) {
        let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let expected = fs::read_to_string(golden.join(name)).unwrap_or_default();
        if expected == self.text {
            return;
        }
        let actual = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&actual, &self.text).expect("written");
        let (mut left, mut right) = (expected.lines(), self.text.lines());
        for number in 1.. {
            let (wanted, got) = (left.next(), right.next());
            assert!(
                wanted == got && wanted.is_some(),
                "{name}:{number}: {wanted:?}, but got {got:?}; the actual transcript is in {}",
                actual.display()
            );
        }
    }
}

pub fn run_with_input(mut command: Command, input: &str) -> Output {
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut stdin = child.stdin.take().expect("standard input");
    // A program that does not read its input may have exited, so a write error is ignored.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("ends")
}

/// The lines of an output. A last line without a line break is marked.
pub fn lines_of(output: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(output).expect("UTF-8");
    let mut lines: Vec<String> = text.lines().map(String::from).collect();
    if !text.is_empty() && !text.ends_with('\n') {
        lines.push("(no line break)".into());
    }
    lines
}
