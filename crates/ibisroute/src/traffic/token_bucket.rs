//! Token bucket for rate limits.

use crate::types::Millis;

/// Limits a rate and allows a bounded burst. Starts full.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens at the time `updated`; `None` before the first use, when the bucket is full.
    tokens: Option<f64>,
    updated: Millis,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: None, updated: Millis(0) }
    }
}

impl TokenBucket {
    /// Takes one token; `false` when there is none. The bucket refills at `rate` tokens per second
    /// and holds at most `burst` tokens.
    pub fn try_take(&mut self, now: Millis, rate: f64, burst: f64) -> bool {
        let refill = now.since(self.updated).0 as f64 / 1000.0 * rate;
        let tokens = self.tokens.map_or(burst, |t| (t + refill).min(burst));
        self.updated = now.max(self.updated);
        let has_token = tokens >= 1.0;
        self.tokens = Some(if has_token { tokens - 1.0 } else { tokens });
        has_token
    }
}
