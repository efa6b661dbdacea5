//! Token bucket for rate limits.

use crate::types::Millis;

/// Limits a rate and allows a bounded burst. Starts full.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens at the time `refilled_at`; `None` before the first use, when the bucket is full.
    tokens: Option<f64>,
    refilled_at: Millis,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: None, refilled_at: Millis(0) }
    }
}

impl TokenBucket {
    /// Takes one token; `false` when there is none. The bucket refills at `rate_per_s` tokens per
    /// second and holds at most `burst` tokens.
    pub fn try_take(&mut self, now: Millis, rate_per_s: f64, burst: f64) -> bool {
        let refilled_tokens = now.since(self.refilled_at).0 as f64 / 1000.0 * rate_per_s;
        let tokens = self.tokens.map_or(burst, |t| (t + refilled_tokens).min(burst));
        self.refilled_at = now.max(self.refilled_at);
        let has_token = tokens >= 1.0;
        self.tokens = Some(if has_token { tokens - 1.0 } else { tokens });
        has_token
    }
}
