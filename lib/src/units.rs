//! Validated sizes and rates.
//!
//! Amounts that are summed over the fleet are integers in a small unit, so that dividing and adding
//! them is exact.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The reason why a text is not a valid size or rate.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum UnitError {
    /// The text does not start with a number.
    #[snafu(display("{text:?} does not start with a number"))]
    NotANumber {
        /// The rejected text.
        text: String,
        /// The error of the number parser.
        source: std::num::ParseFloatError,
    },
    /// The unit is missing or unknown.
    #[snafu(display("{text:?} must end with {expected}"))]
    UnknownUnit {
        /// The rejected text.
        text: String,
        /// The valid units.
        expected: &'static str,
    },
    /// The number is negative, too large or not finite.
    #[snafu(display("{text:?} is out of range"))]
    OutOfRange {
        /// The rejected text.
        text: String,
    },
}

/// The number of millirequests in a request.
pub const MILLIS_PER_REQUEST: u64 = 1_000;

/// A request rate in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from whole requests per second.
    pub const fn from_per_second(requests: u64) -> Self {
        Self(requests * MILLIS_PER_REQUEST)
    }

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis_per_second(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn millis_per_second(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, millis) = (self.0 / MILLIS_PER_REQUEST, self.0 % MILLIS_PER_REQUEST);
        if millis == 0 {
            write!(f, "{whole}/s")
        } else {
            write!(f, "{whole}.{millis:03}/s")
        }
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").context(UnknownUnitSnafu {
            text,
            expected: "\"/s\"",
        })?;
        let rate: f64 = number.trim().parse().context(NotANumberSnafu { text })?;
        ensure!((0.0..=1e12).contains(&rate), OutOfRangeSnafu { text });
        Ok(Self((rate * MILLIS_PER_REQUEST as f64).round() as u64))
    }
}

impl TryFrom<String> for RequestRate {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl From<RequestRate> for String {
    fn from(rate: RequestRate) -> String {
        rate.to_string()
    }
}

/// The number of requests that may arrive at once beyond the rate.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct BurstSize(pub u32);

impl fmt::Display for BurstSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BurstSize {
    type Err = std::num::ParseIntError;

    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        raw.parse().map(Self)
    }
}

/// A size in bytes; written with a binary unit, as in `64KiB`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, factor) = BYTE_UNITS
            .into_iter()
            .find(|(_, factor)| self.0 >= *factor && self.0.is_multiple_of(*factor))
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, factor) = BYTE_UNITS
            .into_iter()
            .find_map(|(unit, factor)| text.strip_suffix(unit).map(|number| (number, factor)))
            .context(UnknownUnitSnafu {
                text,
                expected: "B, KiB, MiB or GiB",
            })?;
        let size: f64 = number.trim().parse().context(NotANumberSnafu { text })?;
        ensure!((0.0..=1e15).contains(&size), OutOfRangeSnafu { text });
        Ok(Self((size * factor as f64) as u64))
    }
}

impl TryFrom<String> for ByteSize {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> String {
        size.to_string()
    }
}
