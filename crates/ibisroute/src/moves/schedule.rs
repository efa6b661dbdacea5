//! Shares of a move over the time between its start and the time it must finish by.

use crate::catalogue::model::Move;
use crate::moves::move_settings::MoveSettings;
use crate::types::Millis;
use crate::types::UnixMillis;

/// Share of the new version in stages 1 to 5, in percent.
pub const STAGE_PERCENT: [f64; 5] = [1.0, 5.0, 25.0, 50.0, 100.0];

/// The last stage.
pub const LAST_STAGE: u8 = 5;

/// Time between start and `finish_by`.
pub fn duration(declared: &Move) -> Millis {
    declared.finish_by.since(declared.start)
}

/// Highest stage that the time permits: 0 before the start; the stages before the last one share
/// the time up to `last_stage_percent` evenly.
pub fn stage_at(declared: &Move, settings: &MoveSettings, unix_now: UnixMillis) -> u8 {
    if unix_now < declared.start {
        return 0;
    }
    let elapsed = unix_now.since(declared.start).0 as f64;
    let before_last = duration(declared).0.max(1) as f64 * settings.last_stage_percent / 100.0;
    let step = (before_last / f64::from(LAST_STAGE - 1)).max(1.0);
    1 + (elapsed / step).min(f64::from(LAST_STAGE - 1)) as u8
}

/// Share of the new version in a stage, as a fraction. The last stage leaves `hold_back_percent`
/// on the old version, so that both can be compared under the same conditions until the end.
pub fn share(stage: u8, settings: &MoveSettings) -> f64 {
    match stage {
        0 => 0.0,
        LAST_STAGE.. => 1.0 - settings.hold_back_percent / 100.0,
        _ => STAGE_PERCENT[usize::from(stage) - 1] / 100.0,
    }
}

/// Calls on the new version that a stage needs before the next one, given the calls of the service
/// and the share during the stage. A service with few calls needs few; one without needs none.
///
/// Half of the expected calls, less three standard deviations, tells a version that gets its share
/// from one that has no targets.
pub fn needed_calls(service_calls: u64, share: f64, settings: &MoveSettings) -> u64 {
    let expected = service_calls as f64 * share;
    let low = (expected / 2.0 - 3.0 * expected.sqrt()).max(0.0);
    settings.min_stage_calls.min(low as u64)
}

/// Least time in a stage, so that a late start does not run through the stages at once.
pub fn least_stage_time(declared: &Move, settings: &MoveSettings) -> Millis {
    settings.min_stage.min(Millis(duration(declared).0 / 20))
}
