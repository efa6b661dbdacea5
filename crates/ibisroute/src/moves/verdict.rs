//! Sequential comparison of the new version with the old one during a move.
//!
//! Each entry, and all entries together, have one cumulative-sum (CUSUM) test each for failures,
//! refusals and slow calls. A test whose score reaches its threshold raises an alarm: a suspected
//! fault of the new version. The fault is confirmed if the old version was clearly better in the
//! same window. A cause that affects both versions raises an alarm but is not confirmed.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use derive_more::Display;
use smol_str::SmolStr;

use crate::moves::move_settings::Thresholds;
use crate::telemetry::LATENCY_BUCKET_COUNT;
use crate::telemetry::LatencyHistogram;
use crate::telemetry::OutcomeCounts;
use crate::types::EntryName;
use crate::types::Millis;

/// Width of one slot of the sliding window, in ms.
const WINDOW_SLOT_MS: u64 = 200;

/// Number of slots kept: 30 s, which covers the longest window of a comparison.
const WINDOW_SLOTS: usize = 150;

/// Width of the window from which current shares and rates of the versions are computed, in ms.
const RECENT_WINDOW_MS: u64 = 3_000;

/// Minimum number of the old version's calls in a window. With fewer calls, the old version's share
/// of faulty calls in that window is not used.
const MIN_RECENT_CALLS: u64 = 20;

/// Number of consecutive failures of the new version, counted over all nodes, that raises an alarm
/// whatever the [`Thresholds`] are.
const CONSECUTIVE_FAILURES_LIMIT: u64 = 5;

/// Lower bound of the number of consecutive failures that raises an alarm, for a new version
/// without a successful call. The first stage sends so few calls that five failures can take longer
/// than the 1 s within which calls to a faulty version must stop.
const MIN_CONSECUTIVE_FAILURES: u64 = 2;

/// Maximum probability of a false alarm after fewer consecutive failures than
/// [`CONSECUTIVE_FAILURES_LIMIT`]: the probability that so many calls in a row fail at the old
/// version's failure rate.
const MAX_FALSE_ALARM_PROBABILITY: f64 = 1e-4;

/// Share of faulty calls of the new version at or above which an alarm waits only
/// [`HIGH_SHARE_WAIT_MS`] for calls of the old version. For failures the old version's current
/// share may then serve as the baseline.
const HIGH_FAULT_SHARE: f64 = 0.6;

/// Maximum wait for calls of the old version if the new version's share of faulty calls is at least
/// [`HIGH_FAULT_SHARE`], in ms. Together with the evidence interval it keeps the delay of a
/// withdrawal below one second.
const HIGH_SHARE_WAIT_MS: u64 = 600;

/// Maximum wait for calls of the old version if the new version's share of faulty calls is below
/// [`HIGH_FAULT_SHARE`], in ms.
const LOW_SHARE_WAIT_MS: u64 = 3_000;

/// Upper bound of a score, as a multiple of the threshold.
const MAX_SCORE_FACTOR: f64 = 1.25;

/// Log-likelihood ratio of the old version's calls at or above which a suspected fault counts as
/// likely at the end of the move.
const LIKELY_FAULT_LOG_LIKELIHOOD: f64 = 2.5;

/// Expected share of faulty calls of the old version if one cause affects both versions, as a
/// fraction of the new version's share. It is less than 1 because such a cause does not affect both
/// versions equally.
const COMMON_CAUSE_FACTOR: f64 = 0.7;

/// Upper bound of the baseline when it is the old version's current share of failed calls. It is a
/// fraction of the share expected if one cause affects both versions. A baseline closer to that
/// share could not be distinguished from it.
const MAX_CURRENT_SHARE_FACTOR: f64 = 0.8;

/// Minimum number of faulty calls of the old version that are expected if one cause affects both
/// versions. If fewer are expected and none is observed, the comparison is inconclusive.
const MIN_EXPECTED_FAULTY_CALLS: f64 = 1.0;

/// Maximum time before an alarm from which calls are used to compare the versions, in ms.
const MAX_COMPARISON_MS: u64 = 10_000;

/// Calls of the old version that are needed to derive the limit for slow calls from its latency.
const MIN_LATENCY_CALLS: u64 = 50;

/// Calls of the old version after which the limit for slow calls is fixed, so that all later counts
/// are compared with the same limit.
const FIXED_LIMIT_CALLS: u64 = 2_000;

/// Rate of the calls of both versions, as a multiple of the old version's peak rate, above which
/// the versions cannot be compared.
const OVERLOAD_FACTOR: f64 = 1.25;

/// Share of failed calls at or above which the new version is judged faulty even if the rate of
/// calls exceeds [`OVERLOAD_FACTOR`].
const OVERLOAD_FAILURE_SHARE: f64 = 0.3;

/// Kind of fault of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Fault {
    #[display("failures")]
    Failures,
    /// Calls are refused before they are executed.
    #[display("refusals")]
    Refusals,
    /// Calls exceed the latency limit that is derived from the old version and the objective.
    #[display("slow calls")]
    Slow,
}

const FAULTS: [Fault; 3] = [Fault::Failures, Fault::Refusals, Fault::Slow];

/// Calls of one version by result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct CallCounts {
    calls: u64,
    refused: u64,
    failures: u64,
    /// Calls with a recorded latency.
    timed_calls: u64,
    /// Calls whose latency exceeds the limit for slow calls.
    slow: u64,
}

impl CallCounts {
    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.refused += other.refused;
        self.failures += other.failures;
        self.timed_calls += other.timed_calls;
        self.slow += other.slow;
    }

    /// Returns the number of calls that can show the fault, and the number of those that show it.
    fn for_fault(&self, fault: Fault) -> (u64, u64) {
        let executed = self.calls.saturating_sub(self.refused);
        match fault {
            Fault::Failures => (executed, self.failures.min(executed)),
            Fault::Refusals => (self.calls, self.refused.min(self.calls)),
            Fault::Slow => (self.timed_calls, self.slow),
        }
    }
}

/// Counts of one interval of [`WINDOW_SLOT_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    index: u64,
    old: CallCounts,
    new: CallCounts,
}

/// Comparison of both versions over the same window.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    /// Share of faulty calls of the new version, as a fraction.
    new_faulty_share: f64,
    /// Log-likelihood ratio of the old version's calls. Positive values favour the hypothesis that
    /// its share of faulty calls is the baseline share, negative ones that a common cause affects
    /// both versions. Computed over all entries if the old version has few calls on this
    /// entry.
    log_likelihood: f64,
    /// Log-likelihood ratio like `log_likelihood`, but always computed over all entries.
    overall_log_likelihood: f64,
    /// Whether the old version has too few calls for a conclusion.
    inconclusive: bool,
}

/// Cumulative sum of log-likelihood ratios, bounded below by zero.
#[derive(Clone, Copy, Debug, Default)]
struct CusumScore {
    value: f64,
    /// When the value last began to rise from zero.
    rising_since: Millis,
    /// When the value reached the threshold; `None` while it is below.
    alarm_at: Option<Millis>,
}

/// Tests and statistics of one entry, or of all entries together.
#[derive(Clone, Debug, Default)]
struct Detector {
    /// Calls of the old version during the whole move.
    baseline: CallCounts,
    /// Calls of the new version that the scores do not include yet.
    pending: CallCounts,
    slots: VecDeque<WindowSlot>,
    scores: [CusumScore; 3],
    /// Failed calls of the new version since its last successful one.
    consecutive_failures: u64,
    /// Time of the first of the consecutive failures.
    failing_since: Millis,
    /// When the consecutive failures reached their limit; `None` while they are below.
    consecutive_failures_alarm_at: Option<Millis>,
    /// Time of the first calls on the new version. Set only in the detector of all entries
    /// together.
    first_new_call_at: Option<Millis>,
    /// Latencies of the old version's calls.
    latency: LatencyHistogram,
    latency_calls: u64,
    /// First latency bucket whose calls count as slow; `None` until the old version has calls.
    first_slow_bucket: Option<usize>,
    /// Maximum number of calls of the old version within [`RECENT_WINDOW_MS`].
    peak_old_calls: u64,
    /// Executed calls of the new version during the whole move.
    new_calls: u64,
    /// When the current stage began; calls before it are not compared.
    stage_began_at: Millis,
}

impl Detector {
    /// Returns the window slot that contains `now`, adding it if it does not exist, and drops slots
    /// older than the last [`WINDOW_SLOTS`].
    fn current_slot(&mut self, now: Millis) -> &mut WindowSlot {
        let index = now.0 / WINDOW_SLOT_MS;
        if self.slots.back().is_none_or(|s| s.index < index) {
            self.slots.push_back(WindowSlot { index, ..WindowSlot::default() });
        }
        while self.slots.len() > WINDOW_SLOTS
            || self.slots.front().is_some_and(|s| s.index + (WINDOW_SLOTS as u64) < index)
        {
            self.slots.pop_front();
        }
        let last_index = self.slots.len() - 1;
        &mut self.slots[last_index]
    }

    /// Returns the call counts of the old and the new version since `from`.
    fn window(&self, from: Millis) -> (CallCounts, CallCounts) {
        let (mut old, mut new) = (CallCounts::default(), CallCounts::default());
        let first_index = from.0 / WINDOW_SLOT_MS;
        for slot in self.slots.iter().rev().take_while(|s| s.index >= first_index) {
            old.add(&slot.old);
            new.add(&slot.new);
        }
        (old, new)
    }

    fn add_old_calls(&mut self, now: Millis, call_counts: &CallCounts) {
        self.baseline.add(call_counts);
        self.current_slot(now).old.add(call_counts);
        let (recent, _) = self.window(Millis(now.0.saturating_sub(RECENT_WINDOW_MS)));
        self.peak_old_calls = self.peak_old_calls.max(recent.calls);
    }

    fn add_new_calls(&mut self, now: Millis, call_counts: &CallCounts) {
        self.pending.add(call_counts);
        self.current_slot(now).new.add(call_counts);
        let (executed, failed) = call_counts.for_fault(Fault::Failures);
        self.new_calls += executed;
        if executed == 0 {
            return;
        }
        if failed < executed {
            self.consecutive_failures = 0;
            self.consecutive_failures_alarm_at = None;
            return;
        }
        if self.consecutive_failures == 0 {
            self.failing_since = now;
        }
        self.consecutive_failures += failed;
    }

    /// Returns the old version's share of faulty calls over the whole move, but at least 0.2% for
    /// failures and 1% for other faults.
    fn baseline_share(&self, fault: Fault) -> f64 {
        let (calls, faulty) = self.baseline.for_fault(fault);
        let lower_bound = if fault == Fault::Failures { 0.002 } else { 0.01 };
        ((faulty as f64 + 0.5) / (calls as f64 + 50.0)).max(lower_bound)
    }

    /// Returns the old version's share of faulty calls over the whole move or over the last
    /// [`RECENT_WINDOW_MS`], whichever is larger.
    fn expected_share(&self, now: Millis, fault: Fault) -> f64 {
        let (recent, _) = self.window(Millis(now.0.saturating_sub(RECENT_WINDOW_MS)));
        let (calls, faulty) = recent.for_fault(fault);
        let current_share =
            if calls < MIN_RECENT_CALLS { 0.0 } else { faulty as f64 / calls as f64 };
        self.baseline_share(fault).max(current_share)
    }

    /// Updates all scores with the counts added since the last update. `is_overall` is set for the
    /// detector of all entries together.
    fn update_scores(&mut self, now: Millis, thresholds: &Thresholds, is_overall: bool) {
        let pending = std::mem::take(&mut self.pending);
        for (i, fault) in FAULTS.into_iter().enumerate() {
            let (calls, faulty) = pending.for_fault(fault);
            if calls == 0 {
                continue;
            }
            let expected_share = self.expected_share(now, fault).min(0.9);
            let detectable_excess = detectable_excess(fault, thresholds, is_overall);
            let alternative_share =
                (2.0 * expected_share).max(expected_share + detectable_excess).min(0.95);
            let log_likelihood_increment = faulty as f64
                * (alternative_share / expected_share).ln()
                + (calls - faulty) as f64
                    * ((1.0 - alternative_share) / (1.0 - expected_share)).ln();
            let score = &mut self.scores[i];
            if score.value <= 0.0 {
                score.rising_since = now;
            }
            // The upper bound limits how long the score stays above the threshold after a cause
            // that affected both versions has ended.
            score.value = (score.value + log_likelihood_increment)
                .clamp(0.0, MAX_SCORE_FACTOR * thresholds.score);
            match (score.value >= thresholds.score, score.alarm_at) {
                (true, None) => score.alarm_at = Some(now),
                (false, Some(_)) => score.alarm_at = None,
                _ => {}
            }
        }
        let failure_limit =
            if is_overall { self.consecutive_failures_limit() } else { CONSECUTIVE_FAILURES_LIMIT };
        if self.consecutive_failures >= failure_limit
            && self.consecutive_failures_alarm_at.is_none()
        {
            self.consecutive_failures_alarm_at = Some(now);
        }
    }

    /// Returns the number of consecutive failures that raises an alarm. It is below
    /// [`CONSECUTIVE_FAILURES_LIMIT`] only while the new version has no successful call.
    fn consecutive_failures_limit(&self) -> u64 {
        if self.consecutive_failures < self.new_calls {
            return CONSECUTIVE_FAILURES_LIMIT;
        }
        let baseline_share = self.baseline_share(Fault::Failures);
        (MIN_CONSECUTIVE_FAILURES..CONSECUTIVE_FAILURES_LIMIT)
            .find(|failure_limit| {
                baseline_share.powf(*failure_limit as f64) <= MAX_FALSE_ALARM_PROBABILITY
            })
            .unwrap_or(CONSECUTIVE_FAILURES_LIMIT)
    }

    /// Whether the rate of calls of both versions exceeds [`OVERLOAD_FACTOR`] times the old
    /// version's peak rate, so that the old version's statistics do not apply.
    fn is_overloaded(&self, now: Millis) -> bool {
        let (old, new) = self.window(Millis(now.0.saturating_sub(RECENT_WINDOW_MS)));
        let calls = old.calls + new.calls;
        calls > MIN_RECENT_CALLS && calls as f64 > OVERLOAD_FACTOR * self.peak_old_calls as f64
    }

    /// Compares the versions since `rising_since`, the time at which the score or the consecutive
    /// failures began to rise.
    ///
    /// `overall` is the detector of all entries together, or `None` if this is that detector. Its
    /// calls of the old version are used when this entry has few: they show a cause that affects
    /// both versions, but not a fault of one entry. Returns `None` when the new version has no
    /// faulty call, or when the old version has few calls on this entry and most faulty calls of
    /// the new version are on other entries.
    fn compare_versions(
        &self,
        fault: Fault,
        rising_since: Millis,
        alarm_at: Millis,
        overall: Option<&Detector>,
    ) -> Option<Comparison> {
        // When the share changes, the versions receive their calls at different times, and a
        // temporary cause affects them unequally. The comparison is therefore limited to the
        // current stage.
        let from = rising_since
            .max(self.stage_began_at)
            .max(Millis(alarm_at.0.saturating_sub(MAX_COMPARISON_MS)));
        let (old, new) = self.window(from);
        let (new_calls, new_faulty) = new.for_fault(fault);
        if new_faulty == 0 {
            return None;
        }
        let (entry_calls, entry_faulty) = old.for_fault(fault);
        let (all_old, all_new) = overall.map_or((old, new), |overall| overall.window(from));
        let (all_calls, all_faulty) = all_old.for_fault(fault);
        // A common cause affects entries to different degrees. An entry on which the old version
        // has few calls is judged only if it has at least half of all faulty calls; otherwise the
        // other entries decide.
        if entry_calls < MIN_RECENT_CALLS && 2 * new_faulty < all_new.for_fault(fault).1 {
            return None;
        }
        let new_faulty_share = new_faulty as f64 / new_calls as f64;
        let common_cause_share = COMMON_CAUSE_FACTOR * new_faulty as f64 / (new_calls + 1) as f64;
        let mut baseline_share = self.baseline_share(fault).min(common_cause_share / 2.0);
        // When most calls of the new version fail, the old version may have a fault of its own and
        // still be clearly better. Its current share then serves as the baseline.
        if fault == Fault::Failures && new_faulty_share >= HIGH_FAULT_SHARE {
            let (calls, faulty) = if entry_calls < MIN_RECENT_CALLS {
                (all_calls, all_faulty)
            } else {
                (entry_calls, entry_faulty)
            };
            let current_share = faulty as f64 / calls.max(1) as f64;
            baseline_share = baseline_share
                .max(current_share.min(MAX_CURRENT_SHARE_FACTOR * common_cause_share));
        }
        let log_likelihood_ratio = |calls: u64, faulty: u64| {
            faulty as f64 * (baseline_share / common_cause_share).ln()
                + (calls - faulty) as f64
                    * ((1.0 - baseline_share) / (1.0 - common_cause_share)).ln()
        };
        let (entry_log_likelihood, overall_log_likelihood) = (
            log_likelihood_ratio(entry_calls, entry_faulty),
            log_likelihood_ratio(all_calls, all_faulty),
        );
        let log_likelihood = if entry_calls < MIN_RECENT_CALLS {
            overall_log_likelihood
        } else {
            entry_log_likelihood
        };
        let inconclusive =
            all_faulty == 0 && all_calls as f64 * common_cause_share < MIN_EXPECTED_FAULTY_CALLS;
        Some(Comparison { new_faulty_share, log_likelihood, overall_log_likelihood, inconclusive })
    }

    /// Returns the new version's share of faulty calls if the log-likelihood ratio of the old
    /// version's calls is at least `min_log_likelihood` and not negative over all entries, or if
    /// these calls were still inconclusive after the maximum wait.
    fn confirmed_share(
        &self,
        now: Millis,
        alarm_at: Millis,
        comparison: &Comparison,
        min_log_likelihood: f64,
    ) -> Option<f64> {
        let max_wait_ms = if comparison.new_faulty_share >= HIGH_FAULT_SHARE {
            HIGH_SHARE_WAIT_MS
        } else {
            LOW_SHARE_WAIT_MS
        };
        let stayed_inconclusive = comparison.inconclusive && now.since(alarm_at).0 >= max_wait_ms;
        let clearly_better = comparison.log_likelihood >= min_log_likelihood
            && comparison.overall_log_likelihood >= 0.0;
        (clearly_better || stayed_inconclusive).then_some(comparison.new_faulty_share)
    }

    /// Returns the first suspected fault for which [`Self::confirmed_share`] returns a share, and
    /// that share.
    fn confirmed_fault(
        &self,
        now: Millis,
        overall: Option<&Detector>,
        min_log_likelihood: f64,
    ) -> Option<(Fault, f64)> {
        for (score, fault) in self.scores.iter().zip(FAULTS) {
            let Some(alarm_at) = score.alarm_at else { continue };
            let comparison = self.compare_versions(fault, score.rising_since, alarm_at, overall);
            let share = comparison.and_then(|comparison| {
                self.confirmed_share(now, alarm_at, &comparison, min_log_likelihood)
            });
            let Some(share) = share else { continue };
            let high_failure_share = fault == Fault::Failures && share >= OVERLOAD_FAILURE_SHARE;
            if !high_failure_share && self.is_overloaded(now) {
                continue;
            }
            return Some((fault, share));
        }
        // Consecutive failures show a fault only if the new version fails at least half of its
        // calls, and the old version less than a quarter.
        let alarm_at = self.consecutive_failures_alarm_at?;
        let comparison =
            self.compare_versions(Fault::Failures, self.failing_since, alarm_at, overall)?;
        let share = self.confirmed_share(now, alarm_at, &comparison, min_log_likelihood)?;
        let expected_share = self.expected_share(now, Fault::Failures);
        (share >= 0.5 && expected_share < 0.25).then_some((Fault::Failures, share))
    }
}

/// Returns the excess over the expected share of faulty calls that a CUSUM test is designed to
/// detect. The test of all entries together (`is_overall`) has more calls, so that it detects half
/// the excess of failures or slow calls in the same time.
fn detectable_excess(fault: Fault, thresholds: &Thresholds, is_overall: bool) -> f64 {
    let excess_factor = if is_overall { 0.5 } else { 1.0 };
    match fault {
        Fault::Failures => thresholds.failure_excess * excess_factor,
        // Refusals depend on capacity, which differs between the versions during a move, so that
        // only a large excess indicates a fault.
        Fault::Refusals => 0.5,
        Fault::Slow => thresholds.slow_excess * excess_factor,
    }
}

/// A confirmed fault of the new version.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultDetected {
    /// Entry on which the fault was detected; `None` if it was detected over all entries together.
    pub entry: Option<EntryName>,
    pub fault: Fault,
    /// Share of the new version's calls that show the fault, as a fraction.
    pub share: f64,
}

impl FaultDetected {
    /// Returns the reason that is recorded in the outcome row and reported to the owner.
    pub fn reason(&self) -> SmolStr {
        let percent = (self.share * 100.0).round();
        match &self.entry {
            Some(entry) => SmolStr::new(format!("{} on entry {entry}: {percent}%", self.fault)),
            None => SmolStr::new(format!("{} over all entries: {percent}%", self.fault)),
        }
    }
}

/// Canary analysis of one move: compares the new version with the old one.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    entries: BTreeMap<EntryName, Detector>,
    overall: Detector,
    /// Nodes that reported consecutive failures, with the time of the last report. Reports older
    /// than ten seconds are removed when the next one arrives.
    failing_nodes: BTreeMap<SmolStr, Millis>,
}

/// Limits of the periods in which slow calls of the new version are ignored because its targets may
/// have cold starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    /// Time after the first call on the new version for which slow calls are always ignored.
    pub min_duration: Millis,
    /// Number of calls on the new version up to which slow calls are ignored, because each target
    /// has its own cold start.
    pub min_calls: u64,
    /// Time after the first call on the new version from which slow calls count even if `min_calls`
    /// is not reached.
    pub max_duration: Millis,
    /// Time until which slow calls are ignored because a stage has just begun.
    pub stage_warm_up_until: Millis,
}

impl CanaryAnalysis {
    /// Adds call counts of the old version on `entry`. The limit for slow calls is derived from its
    /// latencies and `objective`.
    pub fn add_old_calls(
        &mut self,
        now: Millis,
        entry: &EntryName,
        counts: &OutcomeCounts,
        objective: Millis,
    ) {
        let detector = self.entries.entry(entry.clone()).or_default();
        detector.latency.add(&counts.latency);
        let limit_is_adjustable =
            detector.first_slow_bucket.is_none() || detector.latency_calls < FIXED_LIMIT_CALLS;
        let calls = detector.latency_calls + counts.latency.count();
        detector.latency_calls = calls;
        if limit_is_adjustable {
            detector.first_slow_bucket =
                Some(first_slow_bucket(&detector.latency, calls, objective));
        }
        let call_counts = call_counts(counts, detector.first_slow_bucket);
        detector.add_old_calls(now, &call_counts);
        self.overall.add_old_calls(now, &call_counts);
    }

    /// Adds call counts of the new version on `entry`. If `counts_are_recent` is false, the calls
    /// may have been made long before `now`, and their latencies are ignored.
    pub fn add_new_calls(
        &mut self,
        now: Millis,
        entry: &EntryName,
        counts: &OutcomeCounts,
        objective: Millis,
        warm_up: WarmUp,
        counts_are_recent: bool,
    ) {
        let detector = self.entries.entry(entry.clone()).or_default();
        let bucket = detector.first_slow_bucket.unwrap_or_else(|| {
            first_slow_bucket(&detector.latency, detector.latency_calls, objective)
        });
        let mut call_counts = call_counts(counts, Some(bucket));
        let elapsed = now.since(*self.overall.first_new_call_at.get_or_insert(now));
        let is_cold = elapsed < warm_up.min_duration || self.overall.new_calls < warm_up.min_calls;
        if !counts_are_recent
            || is_cold && elapsed < warm_up.max_duration
            || now < warm_up.stage_warm_up_until
        {
            call_counts.timed_calls = 0;
            call_counts.slow = 0;
        }
        detector.add_new_calls(now, &call_counts);
        self.overall.add_new_calls(now, &call_counts);
    }

    /// Records that a node observed consecutive failures of the new version. If two nodes report
    /// them within ten seconds, this raises the same alarm as consecutive failures over the whole
    /// fleet.
    pub fn add_consecutive_failures(&mut self, now: Millis, node: &str) {
        self.failing_nodes.insert(SmolStr::new(node), now);
        self.failing_nodes.retain(|_, at| now.since(*at) < Millis(10_000));
        if self.failing_nodes.len() >= 2
            && self.overall.consecutive_failures < CONSECUTIVE_FAILURES_LIMIT
        {
            self.overall.consecutive_failures = CONSECUTIVE_FAILURES_LIMIT;
            self.overall.failing_since = now;
        }
    }

    /// Returns the number of executed calls of the new version, and the sum of that number and all
    /// calls of the old version.
    pub fn new_and_all_calls(&self) -> (u64, u64) {
        (self.overall.new_calls, self.overall.baseline.calls + self.overall.new_calls)
    }

    /// Records the start of a stage. Later comparisons use only calls from then on.
    pub fn begin_stage(&mut self, now: Millis) {
        self.entries.values_mut().chain([&mut self.overall]).for_each(|d| d.stage_began_at = now);
    }

    /// Whether there is a suspected fault for which the old version's calls do not indicate a cause
    /// that affects both versions.
    pub fn has_suspected_fault(&self) -> bool {
        self.entries.values().any(|d| d.has_suspected_fault(Some(&self.overall)))
            || self.overall.has_suspected_fault(None)
    }

    /// Returns a suspected fault that the old version's calls make likely, if the new version's
    /// calls of the last 3 s still show it. Used at the end of the move, when no time is left to
    /// confirm it.
    pub fn likely_fault(&self, now: Millis) -> Option<FaultDetected> {
        for (entry, detector) in &self.entries {
            if let Some((fault, share)) = detector.likely_fault(now, Some(&self.overall)) {
                return Some(FaultDetected { entry: Some(entry.clone()), fault, share });
            }
        }
        let (fault, share) = self.overall.likely_fault(now, None)?;
        Some(FaultDetected { entry: None, fault, share })
    }

    /// Updates the scores with all counts added since the previous evaluation and returns a
    /// confirmed fault, if there is one.
    pub fn evaluate(&mut self, now: Millis, thresholds: &Thresholds) -> Option<FaultDetected> {
        for (entry, detector) in &mut self.entries {
            detector.update_scores(now, thresholds, false);
            if let Some((fault, share)) =
                detector.confirmed_fault(now, Some(&self.overall), thresholds.clear)
            {
                return Some(FaultDetected { entry: Some(entry.clone()), fault, share });
            }
        }
        self.overall.update_scores(now, thresholds, true);
        let (fault, share) = self.overall.confirmed_fault(now, None, thresholds.clear)?;
        Some(FaultDetected { entry: None, fault, share })
    }
}

impl Detector {
    fn likely_fault(&self, now: Millis, overall: Option<&Detector>) -> Option<(Fault, f64)> {
        let (fault, share) = self.confirmed_fault(now, overall, LIKELY_FAULT_LOG_LIKELIHOOD)?;
        let (_, recent) = self.window(Millis(now.0.saturating_sub(RECENT_WINDOW_MS)));
        let (calls, faulty) = recent.for_fault(fault);
        (faulty as f64 >= share / 2.0 * calls as f64).then_some((fault, share))
    }

    /// Whether there is a suspected fault for which the old version's calls do not indicate a cause
    /// that affects both versions.
    fn has_suspected_fault(&self, overall: Option<&Detector>) -> bool {
        let scores = self.scores.iter().zip(FAULTS);
        let score_alarms = scores.filter_map(|(s, f)| s.alarm_at.map(|at| (f, s.rising_since, at)));
        let failures_alarm =
            self.consecutive_failures_alarm_at.map(|at| (Fault::Failures, self.failing_since, at));
        score_alarms.chain(failures_alarm).any(|(fault, rising_since, alarm_at)| {
            self.compare_versions(fault, rising_since, alarm_at, overall)
                .is_some_and(|comparison| comparison.overall_log_likelihood >= 0.0)
        })
    }
}

fn call_counts(counts: &OutcomeCounts, first_slow_bucket: Option<usize>) -> CallCounts {
    let first_slow_index = first_slow_bucket.unwrap_or(LATENCY_BUCKET_COUNT);
    let buckets = counts.latency.buckets();
    CallCounts {
        calls: counts.calls,
        refused: counts.refused,
        failures: counts.failures,
        timed_calls: buckets.iter().sum(),
        slow: buckets.iter().skip(first_slow_index).sum(),
    }
}

/// Returns the first histogram bucket whose calls count as slow: above twice the old version's 90th
/// percentile, or above the latency objective if that is lower and the old version meets it.
fn first_slow_bucket(latency: &LatencyHistogram, calls: u64, objective: Millis) -> usize {
    let objective_micros = objective.0 as f64 * 1000.0;
    let objective_bucket = (0..LATENCY_BUCKET_COUNT)
        .find(|i| LatencyHistogram::bucket_bound_micros(*i) > objective_micros)
        .unwrap_or(LATENCY_BUCKET_COUNT);
    if calls < MIN_LATENCY_CALLS {
        return objective_bucket;
    }
    let rank = (calls as f64 * 0.9).ceil() as u64;
    let mut cumulative_calls = 0;
    let quantile_bucket = latency.buckets().iter().position(|n| {
        cumulative_calls += n;
        cumulative_calls >= rank
    });
    let quantile_bucket = quantile_bucket.unwrap_or(LATENCY_BUCKET_COUNT);
    // Bucket bounds double every two buckets, so the first bucket that lies above twice the bound
    // of the quantile's bucket is the third one after it.
    let twice_quantile_bucket = quantile_bucket + 3;
    if objective_bucket > quantile_bucket + 1 {
        twice_quantile_bucket.min(objective_bucket)
    } else {
        twice_quantile_bucket
    }
}
