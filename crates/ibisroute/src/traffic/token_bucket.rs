//! Token bucket for rates.

use crate::types::Millis;

/// Allows a rate with a bounded burst. Starts full.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: Option<f64>,
    updated: Millis,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: None, updated: Millis(0) }
    }
}

impl TokenBucket {
    /// Takes one token at `rate` tokens a second; `burst` tokens are kept at most.
    pub fn take(&mut self, now: Millis, rate: f64, burst: f64) -> bool {
        let refill = now.since(self.updated).0 as f64 / 1000.0 * rate;
        let tokens = self.tokens.map_or(burst, |t| (t + refill).min(burst));
        self.updated = now.max(self.updated);
        let taken = tokens >= 1.0;
        self.tokens = Some(if taken { tokens - 1.0 } else { tokens });
        taken
    }
}
