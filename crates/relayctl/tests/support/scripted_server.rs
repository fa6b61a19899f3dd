//! A server that answers each request with the next reply of a script.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::thread::{self, JoinHandle};

trait Stream: Read + Write + Send {}

impl<T: Read + Write + Send> Stream for T {}

/// The server's reaction to the request of one connection.
pub struct Reply {
    /// The reply's line in the transcript.
    pub shown: String,
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// What happens to the connection after the reply.
    pub ending: Ending,
}

/// What happens to a connection after the reply.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server closes it at once.
    Close,
    /// The connection stays open until the server stops.
    KeepOpen,
}

/// The protocol of the server, and the kind of socket on which it listens.
#[derive(Clone, Copy)]
pub enum Endpoint {
    Tcp,
    UnixSocket,
    ControlSocket,
}

/// A server that answers one request per connection, in the order of its script.
pub struct ScriptedServer {
    /// The server's address, in the form that `--server` accepts.
    pub address: String,
    endpoint: Endpoint,
    thread: JoinHandle<(Vec<String>, Vec<Reply>)>,
}

impl ScriptedServer {
    pub fn start(endpoint: Endpoint, folder: &Path, replies: Vec<Reply>) -> Self {
        if let Endpoint::UnixSocket = endpoint {
            let path = folder.join("api.sock");
            let _ = fs::remove_file(&path);
            let listener = UnixListener::bind(&path).expect("a socket");
            let accept =
                move || Box::new(listener.accept().expect("a client").0) as Box<dyn Stream>;
            return ScriptedServer {
                address: format!("unix:{}", path.display()),
                endpoint,
                thread: thread::spawn(move || serve(accept, read_http_request, replies)),
            };
        }
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let accept = move || Box::new(listener.accept().expect("a client").0) as Box<dyn Stream>;
        let read_request = match endpoint {
            Endpoint::ControlSocket => read_line,
            Endpoint::Tcp | Endpoint::UnixSocket => read_http_request,
        };
        ScriptedServer {
            address,
            endpoint,
            thread: thread::spawn(move || serve(accept, read_request, replies)),
        }
    }

    /// Stops the server by a connection without a request. Returns the requests, and the replies that were not sent.
    pub fn stop(self) -> (Vec<String>, Vec<Reply>) {
        match self.endpoint {
            Endpoint::UnixSocket => drop(UnixStream::connect(&self.address["unix:".len()..])),
            Endpoint::Tcp | Endpoint::ControlSocket => drop(TcpStream::connect(&self.address)),
        }
        self.thread.join().expect("the server ends")
    }
}

fn serve(
    accept: impl Fn() -> Box<dyn Stream>,
    read_request: fn(&mut dyn Stream) -> String,
    mut replies: Vec<Reply>,
) -> (Vec<String>, Vec<Reply>) {
    let mut requests = Vec::new();
    let mut open_connections = Vec::new();
    loop {
        let mut stream = accept();
        let request = read_request(&mut *stream);
        if request.is_empty() {
            return (requests, replies);
        }
        requests.push(request);
        assert!(!replies.is_empty(), "no reply is left for {requests:?}");
        let reply = replies.remove(0);
        // The client may close the connection before it has read the whole reply, so a write error is ignored.
        let _ = stream.write_all(&reply.bytes);
        if reply.ending == Ending::KeepOpen {
            open_connections.push(stream);
        }
    }
}

fn read_line(stream: &mut dyn Stream) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\n") && stream.read(&mut byte).expect("readable") > 0 {
        line.push(byte[0]);
    }
    String::from_utf8(line).expect("UTF-8")
}

fn read_http_request(stream: &mut dyn Stream) -> String {
    let mut request = String::new();
    let mut body_length = 0;
    loop {
        let line = read_line(stream);
        if let Some(length) = line.strip_prefix("content-length: ") {
            body_length = length.trim_end().parse().expect("a length");
        }
        request += &line;
        if line.is_empty() || line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; body_length];
    stream.read_exact(&mut body).expect("a body");
    request + &String::from_utf8(body).expect("UTF-8")
}
