//! The claim row in the platform's table.

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
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// When the claim was made, for clean-up.
    pub unix_ms: UnixMillis,
    /// The answer, once it is known.
    #[serde(default)]
    pub result: Option<ResultRow>,
}

/// A recorded answer as the table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRow {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(SmolStr, SmolStr)>,
    /// Body in hexadecimal digits.
    pub body_hex: String,
}

impl From<&RecordedResponse> for ResultRow {
    fn from(answer: &RecordedResponse) -> Self {
        let mut body_hex = String::with_capacity(answer.body.len() * 2);
        for byte in &answer.body {
            let _ = write!(body_hex, "{byte:02x}");
        }
        Self { status: answer.status, headers: answer.headers.clone(), body_hex }
    }
}

/// A recorded body that is not hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("the recorded body is not hexadecimal")]
pub struct BadBody;

impl std::error::Error for BadBody {}

impl TryFrom<ResultRow> for RecordedResponse {
    type Error = BadBody;

    fn try_from(row: ResultRow) -> Result<Self, BadBody> {
        if !row.body_hex.is_ascii() || !row.body_hex.len().is_multiple_of(2) {
            return Err(BadBody);
        }
        let byte = |i: usize| u8::from_str_radix(&row.body_hex[i..i + 2], 16).map_err(|_| BadBody);
        let body: Result<Vec<u8>, BadBody> = (0..row.body_hex.len()).step_by(2).map(byte).collect();
        Ok(Self { status: row.status, headers: row.headers, body: body? })
    }
}

/// What the row found in the table means for `claim`.
pub fn reply_for(claim: &ClaimWire, value: Option<&serde_json::Value>) -> ClaimReply {
    let Some(value) = value else {
        return ClaimReply::Claimed;
    };
    let Ok(row) = serde_json::from_value::<ClaimRow>(value.clone()) else {
        // An unreadable row still is somebody's claim.
        return ClaimReply::Claimed;
    };
    if row.fingerprint != claim.fingerprint {
        return ClaimReply::Mismatch;
    }
    if let Some(result) = row.result {
        return match RecordedResponse::try_from(result) {
            Ok(answer) => ClaimReply::Recorded(answer),
            Err(BadBody) => ClaimReply::Claimed,
        };
    }
    if row.token == claim.token { ClaimReply::Granted } else { ClaimReply::Claimed }
}
