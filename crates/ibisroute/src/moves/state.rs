//! State of a move that nodes exchange. It is a join-semilattice, so that the order and the
//! repetition of messages do not matter.

use std::collections::BTreeMap;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::membership::record::StableHasher;
use crate::types::MoveId;
use crate::types::ParseError;
use crate::wire::MoveStateWire;

/// Maximum length of a reason, in bytes. It lets four states fit into one datagram.
pub const MAX_REASON_BYTES: usize = 160;

/// State of one move. In stage 0 the new version receives no calls; in stage `n` it receives the
/// n-th share of the schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MoveState {
    /// Highest permitted stage.
    pub stage: u8,
    /// Whether the outcome row records "finished". Set only by a node that read or wrote the row.
    pub finished: bool,
    /// Whether the new version is withdrawn, because of a fault or for lack of evidence.
    pub withdrawn: bool,
    /// Reason of the withdrawal. Of two reasons the lexicographically greater one is kept, so that
    /// all nodes keep the same.
    pub reason: SmolStr,
}

/// Which version receives the calls of the service, derived from a [`MoveState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version receives no calls yet.
    Waiting,
    /// The new version receives the share of the current stage.
    Moving,
    /// The new version receives all calls.
    Finished,
    /// The old version receives all calls.
    Withdrawn,
}

impl MoveState {
    /// Replaces this state by the least upper bound of itself and `other`; returns whether it
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let previous = self.clone();
        self.stage = self.stage.max(other.stage);
        self.finished |= other.finished;
        self.withdrawn |= other.withdrawn;
        if other.reason > self.reason {
            self.reason = other.reason.clone();
        }
        *self != previous
    }

    /// Returns the phase. `finished` takes precedence over `withdrawn`: it comes from the outcome
    /// row, whose first write is final, and the owner may already have stopped the old version.
    pub fn phase(&self) -> Phase {
        if self.finished {
            return Phase::Finished;
        }
        if self.withdrawn {
            return Phase::Withdrawn;
        }
        if self.stage == 0 { Phase::Waiting } else { Phase::Moving }
    }

    /// Returns the state of the move `id` in the format that nodes exchange.
    pub fn to_wire(&self, id: &MoveId) -> MoveStateWire {
        MoveStateWire {
            id: id.clone().into(),
            stage: self.stage,
            finished: self.finished,
            withdrawn: self.withdrawn,
            reason: self.reason.clone(),
        }
    }
}

impl TryFrom<MoveStateWire> for (MoveId, MoveState) {
    type Error = ParseError;

    fn try_from(wire: MoveStateWire) -> Result<Self, ParseError> {
        let state = MoveState {
            stage: wire.stage.min(crate::moves::schedule::LAST_STAGE),
            finished: wire.finished,
            withdrawn: wire.withdrawn,
            reason: truncate_reason(&wire.reason),
        };
        Ok((wire.id.try_into()?, state))
    }
}

/// Truncates a reason to at most [`MAX_REASON_BYTES`] at a character boundary.
pub fn truncate_reason(reason: &str) -> SmolStr {
    let end = (0..=reason.len().min(MAX_REASON_BYTES))
        .rev()
        .find(|i| reason.is_char_boundary(*i))
        .unwrap_or(0);
    SmolStr::new(&reason[..end])
}

/// Returns a hash over the states that is the same on every host and in every release. Default
/// states are skipped, so that nodes agree whether or not they store them.
pub fn hash_states<'a>(states: impl Iterator<Item = (&'a MoveId, &'a MoveState)>) -> u64 {
    let sorted_states: BTreeMap<_, _> =
        states.filter(|(_, s)| **s != MoveState::default()).collect();
    let mut hasher = StableHasher::default();
    for (id, state) in sorted_states {
        hasher.write(id.as_str().as_bytes());
        hasher.write(&[0, state.stage, u8::from(state.finished), u8::from(state.withdrawn)]);
        hasher.write(state.reason.as_bytes());
        hasher.write(&[0]);
    }
    hasher.finish()
}
