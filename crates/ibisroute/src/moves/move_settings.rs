//! Settings of moves: evidence, stages, verdicts and reports.

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::model::WithdrawalSensitivity;
use crate::types::Millis;

/// Evidence needed to judge a new version faulty.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// Cumulative log-likelihood ratio that raises an alarm. The expected number of calls between
    /// false alarms grows exponentially with it.
    pub score: f64,
    /// Log-likelihood ratio at or above which the old version counts as clearly better in the time
    /// since the score began to rise. If one cause affects both versions, the likelihood ratio is a
    /// martingale, so that even repeated checks exceed `clear` with a probability of at most
    /// `exp(-clear)`.
    pub clear: f64,
    /// Excess of the new version's share of failures over the old version's that the test is
    /// designed to detect, as a fraction of the calls.
    pub failure_excess: f64,
    /// Excess of the new version's share of slow calls over the old version's that the test is
    /// designed to detect, as a fraction of the calls.
    pub slow_excess: f64,
}

/// Settings of moves, common to all services except for the thresholds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MoveSettings {
    /// Interval at which a node sends changed evidence to the evaluators.
    pub evidence_interval: Millis,
    /// Time before the start of a move at which nodes begin to send evidence about the old version.
    pub evidence_before: Millis,
    /// Number of nodes that evaluate each move.
    pub evaluators: usize,
    /// Number of random peers that receive a notice of changed states immediately.
    pub push_peers: usize,
    /// Delay before a notice is sent to further random peers.
    pub push_again: Millis,
    /// Maximum rate of calls to the new version over the fleet in the first stage, per second.
    pub first_stage_rate: f64,
    /// Percentage of the time between start and `finish_by` after which the last stage begins.
    pub last_stage_percent: f64,
    /// Share that the old version keeps in the last stage until `finish_by`, in percent.
    pub hold_back_percent: f64,
    /// Number of calls on the new version in a stage after which the next stage may begin. For a
    /// service with few calls, half of the calls expected from the new version's share, less three
    /// standard deviations, is enough.
    pub min_stage_calls: u64,
    /// Minimum time in a stage; a twentieth of the move's duration if that is shorter.
    pub min_stage: Millis,
    /// Time after the first call on the new version in which slow calls are ignored; a tenth of the
    /// move's duration if that is shorter.
    pub warm_up: Millis,
    /// Number of calls per target of the new version until which slow calls are ignored even after
    /// `warm_up`, but not beyond the second stage.
    pub warm_up_calls: u64,
    /// Time after the start of a stage in which slow calls are ignored; a fiftieth of the
    /// move's duration if that is shorter.
    pub stage_warm_up: Millis,
    /// Delay between `finish_by` and the decision on the outcome, in which late withdrawals can
    /// arrive.
    pub settle: Millis,
    /// Time for which a node keeps its own share at zero after consecutive failures.
    pub local_stop: Millis,
    /// Delay before a failed request to the table is retried for the first time. It doubles with
    /// each failure up to 30 times this value. Reports to the owner wait five times as long.
    pub retry: Millis,
    /// Delay per rank before an evaluator writes the outcome: the highest-ranked one writes
    /// immediately, and each further one waits for this time longer, in case those before it fail.
    pub outcome_takeover: Millis,
    /// Delay per rank before an evaluator reports to the owner: the highest-ranked one reports
    /// immediately, and each further one waits for this time longer, in case those before it fail.
    pub report_takeover: Millis,
    /// Timeout of a control request to a peer.
    pub peer_timeout: Millis,
    /// Timeout of a report to the owner.
    pub report_timeout: Millis,
    pub cautious: Thresholds,
    pub balanced: Thresholds,
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
    /// Returns the thresholds of a service with this withdrawal setting.
    pub fn thresholds(&self, withdrawal: WithdrawalSensitivity) -> Thresholds {
        match withdrawal {
            WithdrawalSensitivity::Cautious => self.cautious,
            WithdrawalSensitivity::Balanced => self.balanced,
            WithdrawalSensitivity::Tolerant => self.tolerant,
        }
    }
}
