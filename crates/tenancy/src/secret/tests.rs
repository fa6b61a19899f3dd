use super::*;

#[test]
fn digest_is_sha256_in_hexadecimal() {
    // FIPS 180-2, appendix B.1.
    let text = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(Digest::of(b"abc").to_string(), text);
    assert!(Digest::of(b"abc").constant_time_eq(&text.parse().expect("a digest")));
    assert!(!Digest::of(b"abd").constant_time_eq(&text.parse().expect("a digest")));
    for bad in [
        "",
        "ba",
        &text[1..],
        &format!("{text}0"),
        &text.replace('b', "g"),
    ] {
        assert!(bad.parse::<Digest>().is_err(), "{bad}");
    }
}

#[test]
fn digest_depends_on_how_parts_are_split() {
    let digest = |parts: &[&[u8]]| Digest::of_parts(parts.iter().copied());
    assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
    assert_eq!(digest(&[b"a", b"b"]), digest(&[b"a", b"b"]));
}
