//! Tests of the error messages, which `docs/operations.md` quotes.

use std::io;

use super::OwnershipError;

#[test]
fn each_error_is_one_line_for_the_operator() {
    let directory = || "/var/lib/relay".into();
    let cases = [
        (
            OwnershipError::Unusable {
                directory: directory(),
                source: io::Error::new(io::ErrorKind::PermissionDenied, "no access"),
            },
            "cannot lock the folder /var/lib/relay: no access",
        ),
        (
            OwnershipError::InUse {
                directory: directory(),
            },
            "another process uses the folder /var/lib/relay",
        ),
        (
            OwnershipError::SuccessorExists,
            "another process is already waiting to take over",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(error.to_string(), message);
    }
}
