//! Validated identifiers.
//!
//! Text identifiers are validated once, when they enter the process, and are cheap to clone. Their
//! alphabet makes them safe in table keys, headers, paths and metric labels.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// The longest text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// The reason why a text is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdError {
    /// The text is empty.
    #[snafu(display("an identifier must not be empty"))]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[snafu(display("an identifier has at most {MAX_ID_BYTES} bytes, this one has {length}"))]
    TooLong {
        /// The length of the rejected text, in bytes.
        length: usize,
    },
    /// The text holds a byte outside `a-z A-Z 0-9 . _ : -`.
    #[snafu(display("byte {position} of the identifier is not one of a-z A-Z 0-9 . _ : -"))]
    BadByte {
        /// The offset of the first rejected byte.
        position: usize,
    },
}

fn check_id(raw: &[u8]) -> Result<(), IdError> {
    ensure!(!raw.is_empty(), EmptySnafu);
    ensure!(
        raw.len() <= MAX_ID_BYTES,
        TooLongSnafu { length: raw.len() }
    );
    let bad = raw.iter().position(|byte| {
        !byte.is_ascii_alphanumeric() && !matches!(byte, b'.' | b'_' | b':' | b'-')
    });
    match bad {
        Some(position) => BadByteSnafu { position }.fail(),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Bytes);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.0).expect("identifiers are checked to be ASCII")
            }

            /// Returns the identifier's bytes.
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }
        }

        impl TryFrom<Bytes> for $name {
            type Error = IdError;

            fn try_from(raw: Bytes) -> Result<Self, IdError> {
                check_id(&raw)?;
                Ok(Self(raw))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(raw: String) -> Result<Self, IdError> {
                Self::try_from(Bytes::from(raw))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(raw: &str) -> Result<Self, IdError> {
                Self::try_from(Bytes::copy_from_slice(raw.as_bytes()))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.as_str().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.as_str())
            }
        }
    };
}

text_id! {
    /// The name of a customer, whose keys, rate and burst operators manage.
    CustomerId
}
text_id! {
    /// The name of a route: a path prefix that is served by one service.
    RouteId
}
text_id! {
    /// The name of a service: a set of targets that can serve the same requests.
    ServiceId
}
text_id! {
    /// The name of a target: one server process of a service.
    TargetId
}
text_id! {
    /// The name of a data centre.
    DataCentreId
}
text_id! {
    /// The name of a VM of the fleet, as in the platform's VM list.
    VmId
}
text_id! {
    /// The name of an operator's plan; confirming a plan is idempotent.
    PlanId
}
text_id! {
    /// The name of an operator, for authentication and the audit log.
    OperatorId
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(raw: &str) -> Result<Self, Self::Err> {
                raw.parse().map(Self)
            }
        }
    };
}

number_id! {
    /// The number of an accepted state of the configuration; it never decreases on any node.
    Revision
}
number_id! {
    /// The number of an assignment of shares to member incarnations; it never decreases.
    Epoch
}
number_id! {
    /// The number of a start of the process on one VM; a later start has a higher number.
    Incarnation
}

/// One start of the gateway on one VM; shares and probes refer to it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeId {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The start of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation)
    }
}
