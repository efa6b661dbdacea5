//! Stages of a move and the new version's share in each of them.

use crate::catalogue::model::Move;
use crate::moves::move_settings::MoveSettings;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Nominal share of the new version in stages 1 to 5, in percent.
pub const STAGE_PERCENT: [f64; 5] = [1.0, 5.0, 25.0, 50.0, 100.0];

/// Number of the last stage. Its actual share is below its nominal one; see [`share`].
pub const LAST_STAGE: u8 = 5;

/// Returns the time between the start of the move and its `finish_by`.
pub fn duration(declared: &Move) -> Millis {
    declared.finish_by.since(declared.start)
}

/// Returns the highest stage permitted at `unix_now`; 0 before the start of the move. The last
/// stage begins after `last_stage_percent` of the duration; the earlier stages divide the time up
/// to it into equal parts.
pub fn stage_at(declared: &Move, settings: &MoveSettings, unix_now: UnixMillis) -> u8 {
    if unix_now < declared.start {
        return 0;
    }
    let elapsed_ms = unix_now.since(declared.start).0 as f64;
    let before_last_stage_ms =
        duration(declared).0.max(1) as f64 * settings.last_stage_percent / 100.0;
    let stage_ms = (before_last_stage_ms / f64::from(LAST_STAGE - 1)).max(1.0);
    1 + (elapsed_ms / stage_ms).min(f64::from(LAST_STAGE - 1)) as u8
}

/// Returns the share of the new version in a stage, as a fraction. The last stage leaves
/// `hold_back_percent` on the old version, so that both versions can be compared under the same
/// conditions until the end.
pub fn share(stage: u8, settings: &MoveSettings) -> f64 {
    match stage {
        0 => 0.0,
        LAST_STAGE.. => 1.0 - settings.hold_back_percent / 100.0,
        _ => STAGE_PERCENT[usize::from(stage) - 1] / 100.0,
    }
}

/// Returns how many calls the new version must have received in a stage before the next stage may
/// begin, given the calls of the service and the new version's share in the stage. It is 0 for a
/// service without calls.
///
/// A limit of half of the expected calls, less three standard deviations, distinguishes a version
/// that receives its share from one that has no targets.
pub fn needed_calls(service_calls: u64, share: f64, settings: &MoveSettings) -> u64 {
    let expected_calls = service_calls as f64 * share;
    let lower_bound = (expected_calls / 2.0 - 3.0 * expected_calls.sqrt()).max(0.0);
    settings.min_stage_calls.min(lower_bound as u64)
}

/// Returns the minimum time in a stage. Without it, a move that starts late would pass through
/// several stages at once.
pub fn min_stage_time(declared: &Move, settings: &MoveSettings) -> Millis {
    settings.min_stage.min(Millis(duration(declared).0 / 20))
}
