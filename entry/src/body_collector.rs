//! Collects bodies in memory, up to a limit.
//!
//! The bytes are copied into one buffer: the frames of a body that comes in tiny chunks take many
//! times the memory of their bytes.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// What was collected of a body.
#[derive(Debug, Eq, PartialEq)]
pub enum CollectedBody {
    /// The whole body.
    Whole(Bytes),
    /// The start of a body that is longer than may be collected, a little beyond the limit.
    Start(Bytes),
}

/// Collects a body for as long as `may_hold` allows the number of bytes collected so far. Trailers are
/// dropped.
///
/// # Errors
///
/// Returns the body's error.
pub async fn collect_body<B>(
    body: &mut B,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<CollectedBody, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = PartialBody::Empty;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        collected = collected.with(data);
        if !may_hold(collected.len()) {
            return Ok(CollectedBody::Start(collected.into_bytes()));
        }
    }
    Ok(CollectedBody::Whole(collected.into_bytes()))
}

/// The start of a body; most bodies arrive in one frame, which is not copied.
enum PartialBody {
    Empty,
    Frame(Bytes),
    Buffer(BytesMut),
}

impl PartialBody {
    fn len(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Frame(bytes) => bytes.len(),
            Self::Buffer(buffer) => buffer.len(),
        }
    }

    fn with(self, data: Bytes) -> Self {
        let mut buffer = match self {
            Self::Empty => return Self::Frame(data),
            Self::Frame(bytes) => BytesMut::from(&bytes[..]),
            Self::Buffer(buffer) => buffer,
        };
        buffer.extend_from_slice(&data);
        Self::Buffer(buffer)
    }

    fn into_bytes(self) -> Bytes {
        match self {
            Self::Empty => Bytes::new(),
            Self::Frame(bytes) => bytes,
            Self::Buffer(buffer) => buffer.freeze(),
        }
    }
}
