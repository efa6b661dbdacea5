//! Settings of stored uploads.

use serde::Deserialize;
use serde::Serialize;

/// Section `uploads` of the node settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UploadSettings {
    /// Size of a stored chunk in bytes; a node holds at most one chunk of each upload in memory.
    pub chunk_bytes: usize,
    /// Maximum number of uploads that a node stores concurrently; further ones are refused as "not
    /// run".
    pub max_storing: usize,
    /// Maximum number of uploads that the delivering node delivers concurrently.
    pub max_delivering: usize,
    /// Period of the delivering node's scans for upload rows, in milliseconds.
    pub scan_period_ms: u64,
    /// Pause after the first failed delivery of an upload, in milliseconds; doubles with each
    /// failure.
    pub retry_pause_ms: u64,
    /// Maximum pause between two deliveries of an upload, in milliseconds. With a maximum of one
    /// minute, uploads stayed undelivered long after the targets had recovered from a mass restart.
    pub max_retry_pause_ms: u64,
    /// Time within which a target must respond to a delivery, in milliseconds.
    pub delivery_deadline_ms: u64,
    /// Maximum number of attempts of a write to the platform, including the first.
    pub store_attempts: u32,
    /// Time for which the row of a delivered upload is kept, in milliseconds. Has to exceed the duration of
    /// all attempts of a write to the platform, which must not store the upload again.
    pub delivered_kept_ms: u64,
}

impl Default for UploadSettings {
    fn default() -> Self {
        Self {
            chunk_bytes: 1 << 20,
            max_storing: 8,
            max_delivering: 4,
            scan_period_ms: 2000,
            retry_pause_ms: 1000,
            max_retry_pause_ms: 5_000,
            delivery_deadline_ms: 30_000,
            store_attempts: 4,
            delivered_kept_ms: 60_000,
        }
    }
}
