//! Percent-decoding of single values.

/// Decodes `%XX`, and `+` as a space; malformed escapes are kept unchanged.
pub fn percent_decode(raw: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(raw.len());
    let mut rest = raw;
    while let Some((&first, tail)) = rest.split_first() {
        match (first, tail) {
            (b'%', [high, low, after @ ..]) => match (hex_digit(*high), hex_digit(*low)) {
                (Some(high), Some(low)) => {
                    decoded.push(high * 16 + low);
                    rest = after;
                }
                _ => {
                    decoded.push(first);
                    rest = tail;
                }
            },
            (b'+', _) => {
                decoded.push(b' ');
                rest = tail;
            }
            _ => {
                decoded.push(first);
                rest = tail;
            }
        }
    }
    decoded
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte)
        .to_digit(16)
        .and_then(|digit| u8::try_from(digit).ok())
}
