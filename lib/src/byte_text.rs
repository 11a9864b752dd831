//! Serialises bytes as JSON text with one character per byte, which is as short as the bytes themselves
//! for most bodies.

use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Writes bytes as the characters U+0000 to U+00FF.
///
/// # Errors
///
/// Fails if the serialiser does.
pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    serializer.serialize_str(&text)
}

/// Reads bytes back.
///
/// # Errors
///
/// Fails if the text contains a character above U+00FF.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes: Result<Vec<u8>, _> = text.chars().map(u8::try_from).collect();
    bytes.map(Bytes::from).map_err(D::Error::custom)
}
