//! Settings of moves.

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::model::Withdrawal;
use crate::types::Millis;

/// How much evidence condemns a new version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// Log-likelihood ratio that condemns; the expected calls between false alarms grow with its
    /// exponential.
    pub score: f64,
    /// Log-likelihood ratio at which the old version, in the same time, counts as clearly better.
    /// It is a martingale when one cause hits both versions, so that looking at it again and again
    /// exceeds this with a chance of at most its negative exponential.
    pub clear: f64,
    /// Excess of the failure share that the test is made to find, as a fraction.
    pub failure_excess: f64,
    /// Excess of the share of slow calls that the test is made to find, as a fraction.
    pub slow_excess: f64,
}

/// Settings of moves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MoveSettings {
    /// Interval at which changed evidence is sent.
    pub evidence_interval: Millis,
    /// Evidence about the old version is sent from this long before the start.
    pub evidence_before: Millis,
    /// Nodes that judge a move.
    pub evaluators: usize,
    /// Peers that get each state notice.
    pub push_peers: usize,
    /// Delay before the notice goes to other peers.
    pub push_again: Millis,
    /// Calls a second on the new version over the fleet in the first stage.
    pub first_stage_rate: f64,
    /// Part of the time after which the last stage begins, in percent.
    pub last_stage_percent: f64,
    /// Share left on the old version in the last stage until `finish_by`, in percent.
    pub hold_back_percent: f64,
    /// Calls on the new version that let a busy service go to the next stage.
    pub min_stage_calls: u64,
    /// Least time in a stage; a twentieth of the move when that is shorter.
    pub min_stage: Millis,
    /// Slow calls are ignored for this long after the first call on the new version; a tenth of
    /// the move when that is shorter.
    pub warm_up: Millis,
    /// Slow calls are also ignored among this many first calls for each target of the new version,
    /// but not beyond the second stage.
    pub warm_up_calls: u64,
    /// Slow calls are ignored for this long after a stage begins; a fiftieth of the move when that
    /// is shorter.
    pub stage_warm_up: Millis,
    /// Time after `finish_by` for withdrawals on their way to arrive before "finished" is written.
    pub settle: Millis,
    /// How long a node keeps its own share at zero after a run of failures.
    pub local_stop: Millis,
    /// First wait before a failed request to the table or the owner is repeated; doubles up to 30
    /// times this.
    pub retry: Millis,
    /// The next evaluator in rank writes the outcome after this long.
    pub outcome_takeover: Millis,
    /// The next evaluator in rank reports to the owner after this long.
    pub report_takeover: Millis,
    /// Timeout of a control request to a peer.
    pub peer_timeout: Millis,
    /// Timeout of a report to the owner.
    pub report_timeout: Millis,
    /// Thresholds of cautious services.
    pub cautious: Thresholds,
    /// Thresholds of balanced services.
    pub balanced: Thresholds,
    /// Thresholds of tolerant services.
    pub tolerant: Thresholds,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            evidence_interval: Millis(200),
            evidence_before: Millis(120_000),
            evaluators: 3,
            push_peers: 4,
            push_again: Millis(100),
            first_stage_rate: 50.0,
            last_stage_percent: 70.0,
            hold_back_percent: 10.0,
            min_stage_calls: 30,
            min_stage: Millis(10_000),
            warm_up: Millis(15_000),
            warm_up_calls: 10,
            stage_warm_up: Millis(3_000),
            settle: Millis(500),
            local_stop: Millis(5_000),
            retry: Millis(200),
            outcome_takeover: Millis(2_000),
            report_takeover: Millis(10_000),
            peer_timeout: Millis(400),
            report_timeout: Millis(5_000),
            cautious: Thresholds {
                score: 10.0,
                clear: 5.5,
                failure_excess: 0.02,
                slow_excess: 0.10,
            },
            balanced: Thresholds {
                score: 12.0,
                clear: 6.5,
                failure_excess: 0.03,
                slow_excess: 0.12,
            },
            tolerant: Thresholds {
                score: 14.0,
                clear: 7.5,
                failure_excess: 0.05,
                slow_excess: 0.15,
            },
        }
    }
}

impl MoveSettings {
    /// The thresholds of a service.
    pub fn thresholds(&self, withdrawal: Withdrawal) -> Thresholds {
        match withdrawal {
            Withdrawal::Cautious => self.cautious,
            Withdrawal::Balanced => self.balanced,
            Withdrawal::Tolerant => self.tolerant,
        }
    }
}
