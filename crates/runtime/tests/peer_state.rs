//! What a connection tells of its peer without consuming input.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use runtime::{Listener, OsRuntime, OsStream, PeerState, Runtime, Stream};
use support::run_local;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

const INPUT: &[u8] = b"unread";

/// Connects a peer that has sent [`INPUT`].
async fn connected() -> (OsStream, TcpStream) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(address).expect("bound");
    let listener = OsRuntime.listen(unused_port(&socket)).await.expect("bound");
    let peer = TcpStream::connect(unused_port(&socket)).await;
    let mut peer = peer.expect("connected");
    let stream = listener.accept().await.expect("accepted");
    peer.write_all(INPUT).await.expect("written");
    stream.readable().await.expect("readable");
    (stream, peer)
}

/// The address of a bound socket, on the next loopback address.
fn unused_port(socket: &TcpSocket) -> SocketAddr {
    let port = socket.local_addr().expect("bound").port();
    SocketAddr::from(([127, 0, 0, 2], port))
}

async fn wait_for(stream: &OsStream, expected: PeerState) {
    while stream.peer_state() != expected {
        OsRuntime.sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(stream.pending_len(100), INPUT.len());
    assert_eq!(stream.pending_len(3), 3);
}

#[test]
fn close_is_seen_behind_unread_input() {
    run_local(async {
        let (stream, mut peer) = connected().await;
        wait_for(&stream, PeerState::Open).await;
        peer.shutdown().await.expect("shut down");
        wait_for(&stream, PeerState::SendingEnded).await;
    });
}

#[test]
fn reset_is_seen_behind_unread_input() {
    run_local(async {
        let (mut stream, peer) = connected().await;
        // Closing over unread input resets the connection.
        stream.write_all(b"unread, too").await.expect("written");
        peer.readable().await.expect("readable");
        drop(peer);
        wait_for(&stream, PeerState::Gone).await;
    });
}
