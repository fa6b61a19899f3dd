//! Upgrades: several relay processes that inherit one listening socket.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Child, Stdio};

use socket2::{Domain, Socket, Type};

use super::{rebind, unused_address, wait_until, TestBed};

/// The listening socket for clients, which the platform holds and every process inherits.
pub struct SharedListener {
    socket: Socket,
}

impl SharedListener {
    pub fn new(test_bed: &TestBed) -> SharedListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        rebind(&socket, test_bed.listen);
        socket.listen(128).expect("listens");
        socket.set_cloexec(false).expect("set");
        SharedListener { socket }
    }

    /// Starts a process with its own control socket beside the running ones.
    pub fn start(&self, test_bed: &TestBed) -> (Child, SocketAddr) {
        let control_address = unused_address();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(test_bed.folder.join("log"));
        let mut command = test_bed.command();
        command.env("BALANCER_SOCKET_FD", self.socket.as_raw_fd().to_string());
        command.env("BALANCER_CONTROL", control_address.to_string());
        let child = command
            .stdout(Stdio::null())
            .stderr(log.expect("a log"))
            .spawn()
            .expect("starts");
        (child, control_address)
    }
}

/// Waits until the process with this control socket serves.
pub fn wait_until_ready(control_address: SocketAddr) {
    wait_until("the process to be ready", || {
        let mut stream = TcpStream::connect(control_address).ok()?;
        stream.write_all(b"ready\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        line.starts_with("ok").then_some(())
    });
}

/// Kills a process and reaps it.
pub fn kill(mut child: Child) {
    drop(child.kill());
    drop(child.wait());
}
