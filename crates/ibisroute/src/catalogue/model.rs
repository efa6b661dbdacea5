//! The checked catalogue. Values of these types satisfy every rule of `docs/catalogue.md`; the only
//! way to get one from bytes is the parser.

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

/// A whole catalogue document.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalogue {
    /// Name of the catalogue, for people.
    pub name: SmolStr,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Entries, sorted by name.
    pub entries: Vec<Entry>,
    /// Declared moves, sorted by id; at most one a service.
    pub moves: Vec<Move>,
}

/// A service that targets announce themselves for.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Who answers for the service, for example a mail address.
    pub owner: SmolStr,
    /// The version that gets the traffic that no move shifts.
    pub version: VersionName,
    /// HTTP address that gets a report when a move ends.
    pub report_url: Option<SmolStr>,
    /// How much evidence condemns a new version.
    pub withdrawal: Withdrawal,
}

/// How quickly a new version is condemned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Withdrawal {
    /// Little evidence is enough; some good versions are withdrawn.
    Cautious,
    /// Between the two.
    #[default]
    Balanced,
    /// Much evidence is needed; good versions are rarely withdrawn.
    Tolerant,
}

impl Withdrawal {
    /// All values.
    pub const ALL: [Self; 3] = [Self::Cautious, Self::Balanced, Self::Tolerant];

    /// The name that the catalogue uses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cautious => "cautious",
            Self::Balanced => "balanced",
            Self::Tolerant => "tolerant",
        }
    }
}

impl FromStr for Withdrawal {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        Self::ALL.into_iter().find(|w| w.as_str() == s).ok_or_else(|| ParseError {
            kind: "withdrawal",
            value: s.to_string(),
            expected: "cautious, balanced or tolerant",
        })
    }
}

/// A class of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Order, deposit or pour booking: not repeatable, needs an idempotency key.
    Booking,
    /// Repeatable and latency-critical query of a caller.
    CounterQuery,
    /// Repeatable and latency-critical query from inside.
    InternalQuery,
    /// Streamed body that must not be lost.
    Upload,
}

impl Class {
    /// All classes, in the order in which load is shed last to first.
    pub const ALL: [Self; 4] =
        [Self::Booking, Self::CounterQuery, Self::InternalQuery, Self::Upload];

    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::CounterQuery | Self::InternalQuery)
    }

    /// Rank for shedding: rank 0 is kept longest.
    pub fn shed_rank(self) -> usize {
        self as usize
    }

    /// The name that the catalogue uses.
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

/// A route with its owner, class and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Unique name.
    pub name: EntryName,
    /// Who answers for the entry.
    pub owner: SmolStr,
    /// Class of traffic.
    pub class: Class,
    /// The service that runs the calls; always one of the same catalogue.
    pub service: ServiceName,
    /// Path prefix, matched at segment borders; starts with `/`.
    pub path: SmolStr,
    /// Allowed HTTP methods, upper case, sorted.
    pub methods: Vec<SmolStr>,
    /// Header that carries the idempotency key; set for bookings only.
    pub idempotency_header: Option<SmolStr>,
    /// Limits that hold over the fleet.
    pub limits: Limits,
    /// Service-level objective.
    pub objective: Objective,
}

/// Limits of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls a second over the fleet.
    pub rate: RatePerSecond,
    /// Calls in flight over the fleet.
    pub concurrency: u32,
    /// Deadline of a call that brings none, and the longest that a caller may ask for.
    pub deadline: Millis,
    /// Retries as a share of successes.
    pub retry: Percent,
    /// Largest request body.
    pub max_body: ByteSize,
}

/// Service-level objective of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Share of calls that are answered well and in time.
    pub success: Percent,
    /// A slower answer counts against the objective.
    pub latency: Millis,
}

/// A declared move of a service's traffic to another version.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Unique id.
    pub id: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that takes it over.
    pub to: VersionName,
    /// First call to the new version at the earliest.
    pub start: UnixMillis,
    /// The move has finished by then, or is withdrawn.
    pub finish_by: UnixMillis,
}
