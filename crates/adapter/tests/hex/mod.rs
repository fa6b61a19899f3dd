//! Conversion of hexadecimal digits into bytes.

/// Decodes hexadecimal digits. White space between them is ignored.
pub fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(&String::from_utf8_lossy(pair), 16);
    digits
        .chunks(2)
        .map(|pair| byte(pair).expect("hexadecimal digits"))
        .collect()
}
