//! Claim rows in the platform's table.

use std::fmt::Write as _;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::UnixMillis;
use crate::wire::ClaimReply;
use crate::wire::ClaimWire;
use crate::wire::RecordedResponse;

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Token of the attempt that owns the claim.
    pub token: SmolStr,
    /// Fingerprint of the request; detects a key that is reused for another request.
    pub fingerprint: SmolStr,
    /// Wall-clock time at which the claim, or its result, was written; for the clean-up of old
    /// rows.
    pub unix_ms: UnixMillis,
    /// Response of the target; `None` until it is recorded.
    #[serde(default)]
    pub result: Option<ResultRow>,
}

/// Stored form of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRow {
    pub status: u16,
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body as lower-case hexadecimal digits.
    pub body_hex: String,
}

impl From<&RecordedResponse> for ResultRow {
    fn from(response: &RecordedResponse) -> Self {
        let mut body_hex = String::with_capacity(response.body.len() * 2);
        for byte in &response.body {
            let _ = write!(body_hex, "{byte:02x}");
        }
        Self { status: response.status, headers: response.headers.clone(), body_hex }
    }
}

/// Error of decoding a recorded body that is not hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("the recorded body is not hexadecimal")]
pub struct InvalidBody;

impl std::error::Error for InvalidBody {}

impl TryFrom<ResultRow> for RecordedResponse {
    type Error = InvalidBody;

    fn try_from(row: ResultRow) -> Result<Self, InvalidBody> {
        if !row.body_hex.is_ascii() || !row.body_hex.len().is_multiple_of(2) {
            return Err(InvalidBody);
        }
        let decode_byte =
            |i: usize| u8::from_str_radix(&row.body_hex[i..i + 2], 16).map_err(|_| InvalidBody);
        let body: Result<Vec<u8>, InvalidBody> =
            (0..row.body_hex.len()).step_by(2).map(decode_byte).collect();
        Ok(Self { status: row.status, headers: row.headers, body: body? })
    }
}

/// Returns the reply to `claim` after its insert conflicted; `value` is the value of the existing
/// row, `None` if the platform did not return one.
pub fn reply_for(claim: &ClaimWire, value: Option<&serde_json::Value>) -> ClaimReply {
    let Some(value) = value else {
        return ClaimReply::Claimed;
    };
    let Ok(row) = serde_json::from_value::<ClaimRow>(value.clone()) else {
        // A row that cannot be decoded still proves that an attempt has claimed the key.
        return ClaimReply::Claimed;
    };
    if row.fingerprint != claim.fingerprint {
        return ClaimReply::Mismatch;
    }
    if let Some(result) = row.result {
        return match RecordedResponse::try_from(result) {
            Ok(response) => ClaimReply::Recorded(response),
            Err(InvalidBody) => ClaimReply::Claimed,
        };
    }
    if row.token == claim.token { ClaimReply::Granted } else { ClaimReply::Claimed }
}
