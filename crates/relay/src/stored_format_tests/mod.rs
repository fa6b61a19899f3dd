//! Tests of the stored formats against golden files: the program writes exactly the bytes of the files, and reads them.
//! No test rewrites the files in `tests/golden`.

mod cached_state;
mod handover;
mod journal;

use std::fs;
use std::path::{Path, PathBuf};

use policy::types::{Class, Idempotency};

const DISK_LIMIT: u64 = 3_000_000;

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Creates an empty directory for one test.
fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stored-format-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 200_000,
        objective_stretch: 0.5,
        time_to_live: 60_000_000,
        idempotency,
        value: 5.0,
        late_value: 0.25,
        is_ordered: true,
    }
}
