//! A host whose connections come up late, as its backlog is full at first.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::{rebind, unused_address, Host, HostResponse, RecordedCall};

/// More than the number of connections established at once, so that none is established on the relay's side only.
const BACKLOG: i32 = 32;
/// A connection that is not established after this time is not in the backlog.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A host that accepts no connection, and whose backlog is full.
pub struct FullBacklog {
    listener: TcpListener,
    /// Connections that fill the backlog.
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn new() -> Self {
        let address: SocketAddr = unused_address();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        rebind(&socket, address);
        socket.listen(BACKLOG).expect("listens");
        let connect = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        FullBacklog {
            fillers: std::iter::from_fn(connect).collect(),
            listener: socket.into(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts connections from now on. One that was attempted before comes up with the next packet of its peer, a second
    /// after the first.
    pub fn open(
        self,
        script: impl Fn(&RecordedCall, usize) -> HostResponse + Send + Sync + 'static,
    ) -> Host {
        drop(self.fillers);
        Host::at(self.listener, script)
    }
}
