//! Helpers shared by several test files; each file uses some of them.
#![allow(dead_code, reason = "no test file uses all helpers")]

pub(crate) mod cluster;
pub(crate) mod fleet;
pub(crate) mod load;
pub(crate) mod mesh;
pub(crate) mod moves;
pub(crate) mod owner;

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Returns a `quickcheck` runner with a fixed seed. It checks the same `tests` cases in every run,
/// so that results of CI are reproducible.
pub(crate) fn quickcheck_with_fixed_seed(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).tests(tests)
}
