//! The row of a stored upload.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::EntryName;
use crate::types::RequestId;
use crate::types::UnixMillis;

/// Prefix of upload rows and of chunk objects.
pub const PREFIX: &str = "upload/";

/// What an upload needs to be sent to a target later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadMeta {
    /// Identity of the upload: the request id of its call, which the target sees on delivery.
    pub id: RequestId,
    /// Entry.
    pub entry: EntryName,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// End-to-end headers whose values are text.
    pub headers: Vec<(SmolStr, String)>,
}

impl UploadMeta {
    /// Key of the upload's row.
    pub fn row_key(&self) -> String {
        format!("{PREFIX}{}", self.id)
    }
}

/// Value of an upload row. The row exists from the acceptance of the upload to its delivery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadRow {
    /// The upload.
    pub meta: UploadMeta,
    /// Number of chunk objects.
    pub chunks: u32,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// When it was accepted.
    pub unix_ms: UnixMillis,
}

impl UploadRow {
    /// Name of chunk object `n`.
    pub fn chunk_name(&self, n: u32) -> String {
        chunk_name(&self.meta.id, n)
    }
}

/// Name of chunk object `n` of an upload.
pub fn chunk_name(id: &RequestId, n: u32) -> String {
    format!("{PREFIX}{id}/{n}")
}
