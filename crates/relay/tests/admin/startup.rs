//! Startup of the API, and validation of the operator file.

use super::*;

#[test]
fn api_listens_on_unix_socket() {
    let mut test_bed = TestBed::new(Vec::new());
    let path = test_bed.folder.join("admin.sock");
    test_bed.operator = Some(operator(
        &test_bed,
        &format!("unix:{}", path.display()),
        "",
        "",
    ));
    test_bed.start();
    let ask = || {
        let mut stream = std::os::unix::net::UnixStream::connect(&path).expect("connects");
        let head = format!(
            "GET /v1/tenants/acme HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n",
            token("eyes")
        );
        stream
            .write_all(format!("{head}Connection: close\r\n\r\n").as_bytes())
            .expect("sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        text
    };
    assert!(ask().starts_with("HTTP/1.1 200 OK\r\n"));
    // A killed relay leaves its socket file behind; the next one can still listen on that path.
    test_bed.kill();
    test_bed.start();
    assert!(ask().contains("\"name\":\"acme\""));
}

#[test]
fn invalid_operator_file_fails_startup_with_one_line() {
    let test_bed = TestBed::new(Vec::new());
    let good = operator(&test_bed, "127.0.0.1:0", "", "");
    let repeated = good.clone() + &good[good.find("[[admin").expect("a token")..];
    let cases = [
        ("[tenants]\nfolder = \"relative\"".to_string(), "absolute"),
        (good.replace("[admin]", "[admin]\nnothing = 1"), "nothing"),
        (good.replace("[tenants]", "[tenant]"), "tenant"),
        (good.replace("127.0.0.1:0", "10.0.0.1:80"), "loopback"),
        (good.replace("127.0.0.1:0", "localhost"), "address"),
        (
            good.replace("second = 10000", "second = 0"),
            "requests_per_second",
        ),
        (
            good.replace("[admin]\n", "[admin]\nconnections = 0\n"),
            "connections",
        ),
        (
            good.replace("[tenants]\n", "[tenants]\nstore_mb = 0\n"),
            "store_mb",
        ),
        (
            good.replace("[tenants]\n", "[tenants]\naudit_files = 5000\n"),
            "audit_files",
        ),
        (good.replace("\"viewer\"", "\"boss\""), "boss"),
        (repeated, "twice"),
        (
            good[good.find("[admin]").expect("a section")..].to_string(),
            "requires tenants",
        ),
        (good.replace("tenants\"\n", "nowhere\"\n"), "nowhere"),
        ("\u{0}".to_string(), "operator file"),
    ];
    for (text, named) in cases {
        let mut test_bed = TestBed::new(Vec::new());
        test_bed.operator = Some(text.clone());
        let output = test_bed.command().output().expect("runs");
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{text}");
        assert_eq!(line.lines().count(), 1, "{text}: {line}");
        assert!(
            line.starts_with("madderpitch: ") && line.contains(named),
            "{named}: {line}"
        );
    }
    let mut command = TestBed::new(Vec::new()).command();
    let output = command
        .args(["--operator", "/nowhere/at/all"])
        .output()
        .expect("runs");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).lines().count() == 1
    );
}

/// A relay accepts the shipped file once its folder and address are replaced.
#[test]
fn example_operator_file_is_valid() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml");
    let shipped = fs::read_to_string(shipped).expect("a file");
    let mut test_bed = TestBed::new(Vec::new());
    for name in ["tenants", "undeliverable"] {
        fs::create_dir_all(test_bed.folder.join(name)).expect("a folder");
    }
    let address = unused_address().to_string();
    let text = shipped.replace(
        "/var/lib/madderpitch",
        &test_bed.folder.display().to_string(),
    );
    let text = text.replace("127.0.0.1:8700", &address);
    // The token, partner and rule in its commented-out examples are valid, too.
    let example = |line: &str| {
        let word = |text: &str| text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
        let key = line.split_once(" = ").is_some_and(|(key, _)| word(key));
        line.starts_with("[[") || key
    };
    let plain = |line| match str::strip_prefix(line, "# ") {
        Some(shown) if example(shown) => shown,
        _ => line,
    };
    test_bed.operator = Some(text.lines().map(plain).collect::<Vec<_>>().join("\n"));
    test_bed.start();
    assert_eq!(Api::new(&address, None).get("/v1/tenants").status, 401);
}
