//! Tests of listeners on Unix sockets: access rights and the replacement of abandoned sockets. Also tests of the
//! parsing of addresses.

mod support;

use std::io::ErrorKind;
use std::os::unix::fs::PermissionsExt;

use runtime::{Address, AddressError, Listener, OsRuntime, PendingInput, Runtime, Stream};
use support::run_local;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn unix_socket_carries_bytes_and_reports_pending_input() {
    run_local(async {
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
fn unix_socket_is_owner_only_and_replaces_only_an_abandoned_socket() {
    run_local(async {
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
        // Dropping the listener leaves the socket's file in place.
        drop(first);
        assert!(path.exists());
        OsRuntime.listen(at).await.expect("bound again");
        // A file that is not a socket is not touched.
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
fn address_is_parsed_as_it_is_displayed() {
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

#[test]
fn invalid_address_has_its_reason() {
    let cases = [
        (
            "unix:run",
            AddressError::RelativePath("run".into()),
            r#""run" is not the absolute path of a socket"#,
        ),
        (
            "localhost:80",
            AddressError::InvalidSocketAddress("localhost:80".into()),
            r#""localhost:80" is not an IP address with a port"#,
        ),
    ];
    for (text, error, message) in cases {
        assert_eq!(text.parse::<Address>(), Err(error.clone()));
        assert_eq!(error.to_string(), message);
    }
}
