//! Value types that all modules share: names, ids, sizes, rates and points in time.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;

/// Longest name that the catalogue and the settings accept, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid name, id, digest or enumeration value.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{value:?} is not a valid {kind}: expected {expected}")]
pub struct ParseError {
    /// Kind of value expected, for example `service name`.
    pub kind: &'static str,
    /// The invalid text, possibly shortened.
    pub value: String,
    /// Description of the allowed values.
    pub expected: &'static str,
}

impl std::error::Error for ParseError {}

/// Whether `s` has the form that all names and ids share.
fn is_valid_name(s: &str) -> bool {
    let mut chars = s.chars();
    s.len() <= MAX_NAME_BYTES
        && chars.next().is_some_and(|c| c.is_ascii_lowercase())
        && chars.all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-')
}

/// Defines a text type whose values pass [`is_valid_name`]. `$kind` names the type in error
/// messages.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(s: &str) -> Result<Self, ParseError> {
                Self::try_from(SmolStr::new(s))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseError;

            fn try_from(s: SmolStr) -> Result<Self, ParseError> {
                if is_valid_name(&s) {
                    return Ok(Self(s));
                }
                Err(ParseError {
                    kind: $kind,
                    value: s.to_string(),
                    expected: "1 to 63 of a-z, 0-9 and '-', starting with a letter",
                })
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// Name of a service, unique in the catalogue.
    ServiceName, "service name"
);
name_type!(
    /// Name of a version of a service.
    VersionName, "version name"
);
name_type!(
    /// Name of a catalogue entry (a route), unique in the catalogue.
    EntryName, "entry name"
);
name_type!(
    /// Id of a move; never used twice, because its outcome row is written only once.
    MoveId, "move id"
);
name_type!(
    /// Id of a node: the name of its host.
    NodeId, "node id"
);
name_type!(
    /// Id of one incarnation of a target process, chosen by the target.
    InstanceId, "instance id"
);
name_type!(
    /// Name of a data centre.
    DataCentre, "data centre"
);
name_type!(
    /// Name of a region: a group of data centres.
    Region, "region"
);

/// Version of the configuration; increases by one with each accepted change. Zero means that there
/// is no version yet.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::FromStr,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// SHA-256 digest of the bytes of an object; displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let parse_error = || ParseError {
            kind: "digest",
            value: s.chars().take(80).collect(),
            expected: "64 hexadecimal digits",
        };
        if s.len() != 64 || !s.is_ascii() {
            return Err(parse_error());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| parse_error())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<SmolStr> for Digest {
    type Error = ParseError;

    fn try_from(s: SmolStr) -> Result<Self, ParseError> {
        s.parse()
    }
}

impl From<Digest> for SmolStr {
    fn from(digest: Digest) -> Self {
        SmolStr::new(digest.to_string())
    }
}

/// The head of the configuration: the highest accepted version and the digest of its bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Head {
    pub version: ConfigVersion,
    /// Digest of the canonical catalogue bytes.
    pub digest: Digest,
}

/// Id of a call, passed on from node to node; 128 random bits unless the caller chooses the id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub struct RequestId(pub SmolStr);

impl RequestId {
    /// Formats 128 random bits as an id.
    pub fn from_bits(bits: u128) -> Self {
        Self(SmolStr::new(format!("{bits:032x}")))
    }
}

/// Point in time on the monotonic clock of the process, or a duration; in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::Sum,
    derive_more::FromStr,
)]
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to this point; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a [`Duration`], the type that the timers of the runtime take.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::FromStr,
)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Reads the wall clock. Decision logic must not call this; it receives the time as an
    /// argument.
    pub fn now() -> Self {
        let duration_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(Millis::from(duration_since_epoch).0)
    }

    /// Returns the duration from `earlier` to this time; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// Percentage from 0 to 100.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    PartialOrd,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::FromStr,
)]
#[display("{_0}%")]
pub struct Percent(pub f64);

impl Percent {
    /// Returns the percentage as a fraction from 0.0 to 1.0.
    pub fn fraction(self) -> f64 {
        self.0 / 100.0
    }
}

/// Size in bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::FromStr,
)]
#[display("{_0} B")]
pub struct ByteSize(pub u64);

/// Rate in events per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    PartialOrd,
    Display,
    From,
    Serialize,
    Deserialize,
    derive_more::FromStr,
)]
#[display("{_0}/s")]
pub struct RatePerSecond(pub f64);
