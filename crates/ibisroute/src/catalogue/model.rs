//! The validated catalogue. Catalogues that come from bytes always pass through the parser, and
//! therefore satisfy every rule of `docs/catalogue.md`.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::ByteSize;
use crate::types::EntryName;
use crate::types::Millis;
use crate::types::MoveId;
use crate::types::ParseError;
use crate::types::Percent;
use crate::types::RatePerSecond;
use crate::types::ServiceName;
use crate::types::UnixMillis;
use crate::types::VersionName;

/// A validated catalogue.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalogue {
    /// Display name.
    pub name: SmolStr,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Entries, sorted by name.
    pub entries: Vec<Entry>,
    /// Declared moves, sorted by id; at most one for each service.
    pub moves: Vec<Move>,
}

/// A service, provided by the targets that announce themselves for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    /// Contact responsible for the service, for example a mail address.
    pub owner: SmolStr,
    /// Version that receives the calls, except those that a move sends to its new version.
    pub version: VersionName,
    /// HTTP URL that receives a report when a move ends.
    pub report_url: Option<SmolStr>,
    /// How much evidence is needed to judge a new version faulty.
    pub withdrawal: WithdrawalSensitivity,
}

/// How quickly a new version is judged faulty and withdrawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalSensitivity {
    /// A small amount of evidence suffices; some healthy versions are withdrawn.
    Cautious,
    /// A moderate amount of evidence is needed.
    #[default]
    Balanced,
    /// A large amount of evidence is needed; healthy versions are rarely withdrawn.
    Tolerant,
}

impl WithdrawalSensitivity {
    /// All levels, the one that needs the least evidence first.
    pub const ALL: [Self; 3] = [Self::Cautious, Self::Balanced, Self::Tolerant];

    /// Returns the name used in the catalogue document.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cautious => "cautious",
            Self::Balanced => "balanced",
            Self::Tolerant => "tolerant",
        }
    }
}

impl FromStr for WithdrawalSensitivity {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        Self::ALL.into_iter().find(|w| w.as_str() == s).ok_or_else(|| ParseError {
            kind: "withdrawal",
            value: s.to_string(),
            expected: "cautious, balanced or tolerant",
        })
    }
}

/// Class of traffic; determines whether calls may be retried and when they are shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Request that must not run twice, for example an order or a deposit; requires an idempotency
    /// key.
    Booking,
    /// Latency-critical query from a caller; may be retried.
    CounterQuery,
    /// Latency-critical query from inside the mesh; may be retried.
    InternalQuery,
    /// Upload with a streamed body that must not be lost.
    Upload,
}

impl Class {
    /// All classes in the order of [`Class::shed_rank`]; under overload the first is shed last.
    pub const ALL: [Self; 4] =
        [Self::Booking, Self::CounterQuery, Self::InternalQuery, Self::Upload];

    /// Whether a request may be retried after an attempt that "may have run".
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::CounterQuery | Self::InternalQuery)
    }

    /// Returns the rank for load shedding; calls with the highest rank are shed first.
    pub fn shed_rank(self) -> usize {
        self as usize
    }

    /// Returns the name used in the catalogue document.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Booking => "booking",
            Self::CounterQuery => "counter_query",
            Self::InternalQuery => "internal_query",
            Self::Upload => "upload",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        Self::ALL.into_iter().find(|class| class.as_str() == s).ok_or_else(|| ParseError {
            kind: "class of traffic",
            value: s.to_string(),
            expected: "booking, counter_query, internal_query or upload",
        })
    }
}

/// A route with its owner, class, limits and objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: EntryName,
    /// Contact responsible for the entry.
    pub owner: SmolStr,
    pub class: Class,
    /// Service that runs the calls; always declared in the same catalogue.
    pub service: ServiceName,
    /// Path prefix, matched at segment boundaries; starts with `/`.
    pub path: SmolStr,
    /// Allowed HTTP methods, upper case, sorted.
    pub methods: Vec<SmolStr>,
    /// Header that carries the idempotency key; set for bookings only.
    pub idempotency_header: Option<SmolStr>,
    pub limits: Limits,
    pub objective: Objective,
}

/// Limits of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Highest number of calls per second in the whole fleet.
    pub rate: RatePerSecond,
    /// Highest number of calls in flight in the whole fleet.
    pub concurrency: u32,
    /// Default deadline of a call, and the longest one that a caller may request.
    pub deadline: Millis,
    /// Largest number of retries, as a percentage of successful calls.
    pub retry: Percent,
    /// Largest request body.
    pub max_body: ByteSize,
}

/// Service-level objective of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Required percentage of calls that succeed within `latency`.
    pub min_success: Percent,
    /// Highest latency of a call that meets the objective.
    pub latency: Millis,
}

/// Declared move of the traffic of a service to another version.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    pub id: MoveId,
    pub service: ServiceName,
    /// Version that serves the traffic before the move.
    pub from: VersionName,
    /// Version that takes over the traffic.
    pub to: VersionName,
    /// Earliest time of a call to the new version.
    pub start: UnixMillis,
    /// Time by which the move has finished or is withdrawn.
    pub finish_by: UnixMillis,
}
