//! Rows of stored uploads.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::types::Digest;
use crate::types::EntryName;
use crate::types::RequestId;
use crate::types::UnixMillis;

/// Prefix of the keys of upload rows and of the names of chunk objects.
pub const UPLOAD_PREFIX: &str = "upload/";

/// Prefix of the keys of the rows of delivered uploads.
pub const DELIVERED_PREFIX: &str = "delivered-upload/";

/// Data other than the body that is needed to deliver an upload to a target later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadMeta {
    /// Request id of the call; identifies the upload and is sent to the target on delivery.
    pub id: RequestId,
    pub entry: EntryName,
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// End-to-end headers; those whose values are not UTF-8 are left out.
    pub headers: Vec<(SmolStr, String)>,
}

impl UploadMeta {
    /// Returns the key of the upload's row.
    pub fn row_key(&self) -> String {
        format!("{UPLOAD_PREFIX}{}", self.id)
    }

    /// Returns the key of the row that replaces the upload's row after the delivery.
    pub fn delivered_key(&self) -> String {
        format!("{DELIVERED_PREFIX}{}", self.id)
    }
}

/// Value of an upload row. The row exists from the acceptance of the upload until its delivery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadRow {
    pub meta: UploadMeta,
    /// Number of chunk objects.
    pub chunks: u32,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// Wall-clock time at which the node began to store the upload.
    pub unix_ms: UnixMillis,
    /// Random token of the attempt to store the upload, part of the names of its chunks: attempts for the
    /// same upload neither share nor delete each other's chunks. Empty in rows of older versions.
    #[serde(default)]
    pub attempt: SmolStr,
    /// Digest of the digests of the chunks; `None` in rows of older versions.
    #[serde(default)]
    pub digest: Option<Digest>,
}

impl UploadRow {
    /// Returns the name of chunk object `n`.
    pub fn chunk_name(&self, n: u32) -> String {
        let Self { meta, attempt, .. } = self;
        if attempt.is_empty() {
            return format!("{UPLOAD_PREFIX}{}/{n}", meta.id);
        }
        format!("{UPLOAD_PREFIX}{}/{attempt}/{n}", meta.id)
    }

    /// Returns whether both rows are of the same upload, whichever attempt stored them.
    pub fn is_same_upload(&self, other: &Self) -> bool {
        let Self { meta, chunks, bytes, digest, .. } = self;
        (meta, chunks, bytes, digest) == (&other.meta, &other.chunks, &other.bytes, &other.digest)
    }
}
