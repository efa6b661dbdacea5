//! Sequential comparison of the new version with the old one.
//!
//! Each entry, and all entries together, have one cumulative-sum test for failures, refusals and
//! slow calls. A test that crosses its threshold makes a suspicion. The suspicion is confirmed when
//! the old version, in the same time, was clearly better; a cause that hits both versions is not.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use derive_more::Display;
use smol_str::SmolStr;

use crate::moves::move_settings::Thresholds;
use crate::telemetry::LATENCY_BUCKETS;
use crate::telemetry::LatencyHistogram;
use crate::telemetry::OutcomeCounts;
use crate::types::EntryName;
use crate::types::Millis;

/// Time that one slot of the recent window covers.
const SLOT_MS: u64 = 200;

/// Slots kept: 30 s, the longest window that a suspicion looks back over.
const SLOTS: usize = 150;

/// Window over which a present change of the old version is seen.
const RECENT_MS: u64 = 3_000;

/// A present share of the old version counts from this many calls on.
const RECENT_CALLS: u64 = 20;

/// Consecutive failures over the fleet that make a suspicion, for all thresholds.
const RUN_LENGTH: u64 = 5;

/// Least such run while no call of the new version has succeeded. The first stage gives so few calls
/// that five failures can take longer than the second in which a bad version must lose its calls.
const FIRST_RUN_LENGTH: u64 = 2;

/// Probability of such a shorter run on a version that fails as often as the old one.
const FIRST_RUN_CHANCE: f64 = 1e-4;

/// Share of bad calls above which the wait is short.
const GROSS: f64 = 0.6;

/// Longest wait for calls of the old version when most calls are bad. With the
/// evidence interval it keeps a withdrawal below one second.
const WAIT_GROSS_MS: u64 = 600;

/// Longest wait for calls of the old version when fewer calls are bad.
const WAIT_SLIGHT_MS: u64 = 3_000;

/// Bound of a score, as a multiple of the threshold.
const SCORE_CAP: f64 = 1.25;

/// Log-likelihood ratio that decides an open suspicion at the end of the move.
const LEANING: f64 = 2.5;

/// Share of the new version's bad calls that the old version must clearly stay below. A cause that
/// hits both does not hit them equally.
const BETTER: f64 = 0.7;

/// The same when most calls of the new version fail, relative to that limit: closer shares are not
/// told apart.
const GROSS_BETTER: f64 = 0.8;

/// Expected bad calls of the old version below which its calls say nothing.
const FEW_EXPECTED: f64 = 1.0;

/// Longest time before a suspicion from which the versions are compared.
const LOOK_BACK_MS: u64 = 10_000;

/// Calls of the old version before its own latency sets the limit for slow calls.
const LATENCY_CALLS: u64 = 50;

/// Calls of the old version after which its limit for slow calls stays, so that later
/// counts are compared with the same limit.
const LIMIT_CALLS: u64 = 2_000;

/// Load above the most that the old version carried, beyond which there is nothing to compare with.
const OVERLOAD: f64 = 1.25;

/// Share of bad calls that condemns also above that load.
const OVERLOAD_SHARE: f64 = 0.3;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Fault {
    /// Calls fail.
    #[display("failures")]
    Failures,
    /// Calls are refused before they run.
    #[display("refusals")]
    Refusals,
    /// Calls are slow.
    #[display("slow calls")]
    Slow,
}

const FAULTS: [Fault; 3] = [Fault::Failures, Fault::Refusals, Fault::Slow];

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    calls: u64,
    refused: u64,
    failures: u64,
    timed: u64,
    slow: u64,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.refused += other.refused;
        self.failures += other.failures;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    /// Calls that could show the fault, and those that do.
    fn of(&self, fault: Fault) -> (u64, u64) {
        let ran = self.calls.saturating_sub(self.refused);
        match fault {
            Fault::Failures => (ran, self.failures.min(ran)),
            Fault::Refusals => (self.calls, self.refused.min(self.calls)),
            Fault::Slow => (self.timed, self.slow),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    at: u64,
    old: Tally,
    new: Tally,
}

/// The versions in the same window.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    /// The new version's share of bad calls.
    share: f64,
    /// Log-likelihood ratio of the old version's calls that decide: as usual, over as bad.
    decisive: f64,
    /// The same over all entries.
    all: f64,
    /// Whether the old version's calls are too few to say anything.
    silent: bool,
}

/// Cumulative sum of log-likelihood ratios, reset at zero.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    value: f64,
    rise_at: Millis,
    crossed_at: Option<Millis>,
}

#[derive(Clone, Debug, Default)]
struct Watch {
    baseline: Tally,
    pending: Tally,
    slots: VecDeque<Slot>,
    scores: [Score; 3],
    run: u64,
    run_at: Millis,
    run_crossed_at: Option<Millis>,
    /// First call on the new version; kept for all entries together.
    first_new: Option<Millis>,
    latency: LatencyHistogram,
    latency_calls: u64,
    slow_bucket: Option<usize>,
    peak_old_calls: u64,
    new_calls: u64,
    /// When the present stage began.
    stage_at: Millis,
}

impl Watch {
    fn slot(&mut self, now: Millis) -> &mut Slot {
        let at = now.0 / SLOT_MS;
        if self.slots.back().is_none_or(|s| s.at < at) {
            self.slots.push_back(Slot { at, ..Slot::default() });
        }
        while self.slots.len() > SLOTS || self.slots.front().is_some_and(|s| s.at + 150 < at) {
            self.slots.pop_front();
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Sums of the old and the new version since `from`.
    fn window(&self, from: Millis) -> (Tally, Tally) {
        let (mut old, mut new) = (Tally::default(), Tally::default());
        let first = from.0 / SLOT_MS;
        for slot in self.slots.iter().rev().take_while(|s| s.at >= first) {
            old.add(&slot.old);
            new.add(&slot.new);
        }
        (old, new)
    }

    fn add_old(&mut self, now: Millis, tally: &Tally) {
        self.baseline.add(tally);
        self.slot(now).old.add(tally);
        let (recent, _) = self.window(Millis(now.0.saturating_sub(RECENT_MS)));
        self.peak_old_calls = self.peak_old_calls.max(recent.calls);
    }

    fn add_new(&mut self, now: Millis, tally: &Tally) {
        self.pending.add(tally);
        self.slot(now).new.add(tally);
        let (ran, failed) = tally.of(Fault::Failures);
        self.new_calls += ran;
        if ran == 0 {
            return;
        }
        if failed < ran {
            self.run = 0;
            self.run_crossed_at = None;
            return;
        }
        if self.run == 0 {
            self.run_at = now;
        }
        self.run += failed;
    }

    /// The old version's share of bad calls over the whole move.
    fn usual_share(&self, fault: Fault) -> f64 {
        let (calls, bad) = self.baseline.of(fault);
        let floor = if fault == Fault::Failures { 0.002 } else { 0.01 };
        ((bad as f64 + 0.5) / (calls as f64 + 50.0)).max(floor)
    }

    /// The larger of the old version's usual and present share of bad calls.
    fn expected_share(&self, now: Millis, fault: Fault) -> f64 {
        let (recent, _) = self.window(Millis(now.0.saturating_sub(RECENT_MS)));
        let (calls, bad) = recent.of(fault);
        let present = if calls < RECENT_CALLS { 0.0 } else { bad as f64 / calls as f64 };
        self.usual_share(fault).max(present)
    }

    fn advance(&mut self, now: Millis, thresholds: &Thresholds, together: bool) {
        let pending = std::mem::take(&mut self.pending);
        for (i, fault) in FAULTS.into_iter().enumerate() {
            let (calls, bad) = pending.of(fault);
            if calls == 0 {
                continue;
            }
            let expected = self.expected_share(now, fault).min(0.9);
            let excess = excess(fault, thresholds, together);
            let alternative = (2.0 * expected).max(expected + excess).min(0.95);
            let gain = bad as f64 * (alternative / expected).ln()
                + (calls - bad) as f64 * ((1.0 - alternative) / (1.0 - expected)).ln();
            let score = &mut self.scores[i];
            if score.value <= 0.0 {
                score.rise_at = now;
            }
            // The upper bound lets the score fall again soon after a cause that hit both versions.
            score.value = (score.value + gain).clamp(0.0, SCORE_CAP * thresholds.score);
            match (score.value >= thresholds.score, score.crossed_at) {
                (true, None) => score.crossed_at = Some(now),
                (false, Some(_)) => score.crossed_at = None,
                _ => {}
            }
        }
        let length = if together { self.run_length() } else { RUN_LENGTH };
        if self.run >= length && self.run_crossed_at.is_none() {
            self.run_crossed_at = Some(now);
        }
    }

    /// Consecutive failures that make a suspicion at present.
    fn run_length(&self) -> u64 {
        if self.run < self.new_calls {
            return RUN_LENGTH;
        }
        let usual = self.usual_share(Fault::Failures);
        (FIRST_RUN_LENGTH..RUN_LENGTH)
            .find(|length| usual.powf(*length as f64) <= FIRST_RUN_CHANCE)
            .unwrap_or(RUN_LENGTH)
    }

    /// Whether load is above what the old version ever carried, so that nothing compares.
    fn is_overloaded(&self, now: Millis) -> bool {
        let (old, new) = self.window(Millis(now.0.saturating_sub(RECENT_MS)));
        let calls = old.calls + new.calls;
        calls > RECENT_CALLS && calls as f64 > OVERLOAD * self.peak_old_calls as f64
    }

    /// Compares the versions since a score rose.
    ///
    /// The calls of the old version on all entries (`all`) take part when this entry has few: a
    /// cause that hits both versions shows there as well, and a fault on one entry does not. `None`
    /// when the new version shows no fault, or others show it better.
    fn compare(
        &self,
        fault: Fault,
        rise: Millis,
        crossed: Millis,
        all: Option<&Watch>,
    ) -> Option<Comparison> {
        // While the share changes, the versions get their calls at different times. A cause that
        // comes and goes would then hit them unequally, so that only the present stage compares.
        let from = rise.max(self.stage_at).max(Millis(crossed.0.saturating_sub(LOOK_BACK_MS)));
        let (old, new) = self.window(from);
        let (new_calls, new_bad) = new.of(fault);
        if new_bad == 0 {
            return None;
        }
        let (own_calls, own_bad) = old.of(fault);
        let (all_old, all_new) = all.map_or((old, new), |all| all.window(from));
        let (all_calls, all_bad) = all_old.of(fault);
        // Entries differ in how a common cause shows. With few calls of its own, an entry counts as
        // the only faulty one when it has half of all bad calls; otherwise the others decide.
        if own_calls < RECENT_CALLS && 2 * new_bad < all_new.of(fault).1 {
            return None;
        }
        let share = new_bad as f64 / new_calls as f64;
        let common = BETTER * new_bad as f64 / (new_calls + 1) as f64;
        let mut usual = self.usual_share(fault).min(common / 2.0);
        // When most calls of the new version fail, the old version may have a new cause of its own and
        // still be clearly better. Its present share then counts as usual.
        if fault == Fault::Failures && share >= GROSS {
            let (calls, bad) =
                if own_calls < RECENT_CALLS { (all_calls, all_bad) } else { (own_calls, own_bad) };
            let present = bad as f64 / calls.max(1) as f64;
            usual = usual.max(present.min(GROSS_BETTER * common));
        }
        let clear = |calls: u64, bad: u64| {
            bad as f64 * (usual / common).ln()
                + (calls - bad) as f64 * ((1.0 - usual) / (1.0 - common)).ln()
        };
        let (own, all) = (clear(own_calls, own_bad), clear(all_calls, all_bad));
        let decisive = if own_calls < RECENT_CALLS { all } else { own };
        let silent = all_bad == 0 && all_calls as f64 * common < FEW_EXPECTED;
        Some(Comparison { share, decisive, all, silent })
    }

    /// The share of bad calls when the old version did clearly better, or said nothing for too long.
    fn confirm(
        &self,
        now: Millis,
        crossed: Millis,
        found: &Comparison,
        clear_at: f64,
    ) -> Option<f64> {
        let wait = if found.share >= GROSS { WAIT_GROSS_MS } else { WAIT_SLIGHT_MS };
        let waited = found.silent && now.since(crossed).0 >= wait;
        let clear = found.decisive >= clear_at && found.all >= 0.0;
        (clear || waited).then_some(found.share)
    }

    fn verdict(&self, now: Millis, all: Option<&Watch>, clear_at: f64) -> Option<(Fault, f64)> {
        for (score, fault) in self.scores.iter().zip(FAULTS) {
            let Some(crossed) = score.crossed_at else { continue };
            let found = self.compare(fault, score.rise_at, crossed, all);
            let share = found.and_then(|found| self.confirm(now, crossed, &found, clear_at));
            let Some(share) = share else { continue };
            let gross = fault == Fault::Failures && share >= OVERLOAD_SHARE;
            if !gross && self.is_overloaded(now) {
                continue;
            }
            return Some((fault, share));
        }
        let crossed = self.run_crossed_at?;
        let found = self.compare(Fault::Failures, self.run_at, crossed, all)?;
        let share = self.confirm(now, crossed, &found, clear_at)?;
        let usual = self.expected_share(now, Fault::Failures);
        (share >= 0.5 && usual < 0.25).then_some((Fault::Failures, share))
    }
}

/// Excess share that a test is made to find. All entries together have many calls, so that half
/// the excess is found in the same time.
fn excess(fault: Fault, thresholds: &Thresholds, together: bool) -> f64 {
    let factor = if together { 0.5 } else { 1.0 };
    match fault {
        Fault::Failures => thresholds.failure_excess * factor,
        // Refusals depend on capacity, which differs between versions in the middle of a move.
        Fault::Refusals => 0.5,
        Fault::Slow => thresholds.slow_excess * factor,
    }
}

/// A confirmed fault of the new version.
#[derive(Clone, Debug, PartialEq)]
pub struct Condemned {
    /// The entry; `None` when only all entries together show the fault.
    pub entry: Option<EntryName>,
    /// Kind of fault.
    pub fault: Fault,
    /// Share of the new version's calls that were bad, as a fraction.
    pub share: f64,
}

impl Condemned {
    /// The reason as it is recorded and reported.
    pub fn reason(&self) -> SmolStr {
        let percent = (self.share * 100.0).round();
        match &self.entry {
            Some(entry) => SmolStr::new(format!("{} on entry {entry}: {percent}%", self.fault)),
            None => SmolStr::new(format!("{} over all entries: {percent}%", self.fault)),
        }
    }
}

/// Judges one move.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    entries: BTreeMap<EntryName, Watch>,
    together: Watch,
    runs: BTreeMap<SmolStr, Millis>,
}

/// Which slow calls of the new version are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    /// Time after the first call on the new version.
    pub first: Millis,
    /// Calls on the new version: each target has its own cold start.
    pub calls: u64,
    /// Time after the first call, beyond which calls count even when there were fewer.
    pub longest: Millis,
    /// End of the time after the present stage began.
    pub stage_until: Millis,
}

impl Judge {
    /// Adds counts of the old version.
    pub fn add_old(
        &mut self,
        now: Millis,
        entry: &EntryName,
        counts: &OutcomeCounts,
        objective: Millis,
    ) {
        let watch = self.entries.entry(entry.clone()).or_default();
        watch.latency.add(&counts.latency);
        let due = watch.slow_bucket.is_none() || watch.latency_calls < LIMIT_CALLS;
        let calls = watch.latency_calls + counts.latency.count();
        watch.latency_calls = calls;
        if due {
            watch.slow_bucket = Some(slow_bucket(&watch.latency, calls, objective));
        }
        let tally = tally(counts, watch.slow_bucket);
        watch.add_old(now, &tally);
        self.together.add_old(now, &tally);
    }

    /// Adds counts of the new version. `settled` is false for counts whose time is unknown.
    pub fn add_new(
        &mut self,
        now: Millis,
        entry: &EntryName,
        counts: &OutcomeCounts,
        objective: Millis,
        warm_up: WarmUp,
        settled: bool,
    ) {
        let watch = self.entries.entry(entry.clone()).or_default();
        let bucket = watch
            .slow_bucket
            .unwrap_or_else(|| slow_bucket(&watch.latency, watch.latency_calls, objective));
        let mut tally = tally(counts, Some(bucket));
        let elapsed = now.since(*self.together.first_new.get_or_insert(now));
        let cold = elapsed < warm_up.first || self.together.new_calls < warm_up.calls;
        if !settled || cold && elapsed < warm_up.longest || now < warm_up.stage_until {
            tally.timed = 0;
            tally.slow = 0;
        }
        watch.add_new(now, &tally);
        self.together.add_new(now, &tally);
    }

    /// Notes that a node saw a run of failures of the new version. Runs of two nodes within ten
    /// seconds raise the same suspicion as a run over the fleet.
    pub fn add_run(&mut self, now: Millis, node: &str) {
        self.runs.insert(SmolStr::new(node), now);
        self.runs.retain(|_, at| now.since(*at) < Millis(10_000));
        if self.runs.len() >= 2 && self.together.run < RUN_LENGTH {
            self.together.run = RUN_LENGTH;
            self.together.run_at = now;
        }
    }

    /// Calls of the new version that ran, and calls of both versions.
    pub fn calls(&self) -> (u64, u64) {
        (self.together.new_calls, self.together.baseline.calls + self.together.new_calls)
    }

    /// Notes that another stage began.
    pub fn begin_stage(&mut self, now: Millis) {
        self.entries.values_mut().chain([&mut self.together]).for_each(|w| w.stage_at = now);
    }

    /// Whether a suspicion is open that the old version's calls do not speak against.
    pub fn is_suspicious(&self) -> bool {
        self.entries.values().any(|w| w.is_suspicious(Some(&self.together)))
            || self.together.is_suspicious(None)
    }

    /// The open suspicion that the calls of the old version speak for rather than against, when the
    /// new version still shows it. Asked at the end of the move, when no time is left for more calls.
    pub fn leaning(&self, now: Millis) -> Option<Condemned> {
        for (entry, watch) in &self.entries {
            if let Some((fault, share)) = watch.leaning(now, Some(&self.together)) {
                return Some(Condemned { entry: Some(entry.clone()), fault, share });
            }
        }
        let (fault, share) = self.together.leaning(now, None)?;
        Some(Condemned { entry: None, fault, share })
    }

    /// Looks at all counts added since the last look.
    pub fn judge(&mut self, now: Millis, thresholds: &Thresholds) -> Option<Condemned> {
        for (entry, watch) in &mut self.entries {
            watch.advance(now, thresholds, false);
            if let Some((fault, share)) = watch.verdict(now, Some(&self.together), thresholds.clear)
            {
                return Some(Condemned { entry: Some(entry.clone()), fault, share });
            }
        }
        self.together.advance(now, thresholds, true);
        let (fault, share) = self.together.verdict(now, None, thresholds.clear)?;
        Some(Condemned { entry: None, fault, share })
    }
}

impl Watch {
    fn leaning(&self, now: Millis, all: Option<&Watch>) -> Option<(Fault, f64)> {
        let (fault, share) = self.verdict(now, all, LEANING)?;
        let (_, recent) = self.window(Millis(now.0.saturating_sub(RECENT_MS)));
        let (calls, bad) = recent.of(fault);
        (bad as f64 >= share / 2.0 * calls as f64).then_some((fault, share))
    }

    /// Whether a suspicion is open that the old version's calls do not speak against.
    fn is_suspicious(&self, all: Option<&Watch>) -> bool {
        let scores = self.scores.iter().zip(FAULTS);
        let scores = scores.filter_map(|(s, f)| s.crossed_at.map(|at| (f, s.rise_at, at)));
        let run = self.run_crossed_at.map(|at| (Fault::Failures, self.run_at, at));
        scores.chain(run).any(|(fault, rise, crossed)| {
            self.compare(fault, rise, crossed, all).is_some_and(|found| found.all >= 0.0)
        })
    }
}

fn tally(counts: &OutcomeCounts, slow_bucket: Option<usize>) -> Tally {
    let limit = slow_bucket.unwrap_or(LATENCY_BUCKETS);
    let buckets = counts.latency.buckets();
    Tally {
        calls: counts.calls,
        refused: counts.refused,
        failures: counts.failures,
        timed: buckets.iter().sum(),
        slow: buckets.iter().skip(limit).sum(),
    }
}

/// First bucket whose calls count as slow: beyond twice the old version's 90% quantile, or beyond
/// the objective when the old version keeps that and it is lower.
fn slow_bucket(latency: &LatencyHistogram, calls: u64, objective: Millis) -> usize {
    let limit = objective.0 as f64 * 1000.0;
    let of_objective = (0..LATENCY_BUCKETS)
        .find(|i| LatencyHistogram::bound_micros(*i) > limit)
        .unwrap_or(LATENCY_BUCKETS);
    if calls < LATENCY_CALLS {
        return of_objective;
    }
    let rank = (calls as f64 * 0.9).ceil() as u64;
    let mut seen = 0;
    let of_quantile = latency.buckets().iter().position(|n| {
        seen += n;
        seen >= rank
    });
    let of_quantile = of_quantile.unwrap_or(LATENCY_BUCKETS);
    // Two buckets are a factor of two.
    let twice = of_quantile + 3;
    if of_objective > of_quantile + 1 { twice.min(of_objective) } else { twice }
}
