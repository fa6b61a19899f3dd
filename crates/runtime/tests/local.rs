//! Unix sockets of the machine: whose they are, and what becomes of those that were left behind.

use std::io::ErrorKind;
use std::os::unix::fs::PermissionsExt;

use runtime::{Address, Listener, OsRuntime, PendingInput, Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_unix_socket_carries_what_a_port_does() {
    local(async {
        let folder = tempfile::tempdir().expect("a folder");
        let at = Address::Unix(folder.path().join("socket"));
        let listener = OsRuntime.listen(at.clone()).await.expect("bound");
        let mut one = OsRuntime.connect(at).await.expect("connected");
        let mut other = listener.accept().await.expect("accepted");
        assert!(one.set_nodelay().is_ok());
        assert_eq!(one.pending_input(), PendingInput::Empty);
        other.write_all(b"hello").await.expect("written");
        one.readable().await.expect("readable");
        assert_eq!(one.pending_input(), PendingInput::Bytes);
        let mut text = [0; 5];
        one.read_exact(&mut text).await.expect("read");
        assert_eq!(&text, b"hello");
        drop(other);
        one.readable().await.expect("readable");
        assert_eq!(one.pending_input(), PendingInput::Closed);
    });
}

#[test]
fn a_socket_is_its_owners_and_replaces_only_one_that_nobody_listens_at() {
    local(async {
        let folder = tempfile::tempdir().expect("a folder");
        let (path, file) = (folder.path().join("socket"), folder.path().join("file"));
        let at = Address::Unix(path.clone());
        let first = OsRuntime.listen(at.clone()).await.expect("bound");
        let mode = std::fs::metadata(&path)
            .expect("a socket")
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600);
        let second = OsRuntime.listen(at.clone()).await.map(|_| ());
        assert_eq!(second.expect_err("taken").kind(), ErrorKind::AddrInUse);
        // Its process is gone, the socket is left.
        drop(first);
        assert!(path.exists());
        OsRuntime.listen(at).await.expect("bound again");
        // What is no socket is not touched.
        std::fs::write(&file, "text").expect("a file");
        let taken = OsRuntime
            .listen(Address::Unix(file.clone()))
            .await
            .map(|_| ());
        assert_eq!(taken.expect_err("taken").kind(), ErrorKind::AddrInUse);
        assert_eq!(std::fs::read_to_string(file).expect("a file"), "text");
    });
}

#[test]
fn addresses_are_read_as_they_are_shown() {
    for (text, is_local) in [
        ("127.0.0.1:8700", true),
        ("[::1]:8700", true),
        ("10.0.0.4:8700", false),
        ("0.0.0.0:8700", false),
        ("unix:/run/admin.sock", true),
    ] {
        let address: Address = text.parse().expect(text);
        assert_eq!(
            (address.to_string(), address.is_local()),
            (text.into(), is_local)
        );
    }
    for bad in ["", "unix:", "unix:run", "localhost:80", "127.0.0.1", "8700"] {
        assert!(bad.parse::<Address>().is_err(), "{bad}");
    }
}
