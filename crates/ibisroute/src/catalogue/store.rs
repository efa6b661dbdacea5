//! Stores the accepted versions of the catalogue in the platform: the head row, the history rows
//! and the catalogue objects.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::canonical_bytes;
use super::diff::ItemChange;
use super::diff::diff;
use super::model::Catalogue;
use super::parse;
use super::store_settings::StoreSettings;
use crate::platform::Platform;
use crate::platform::PlatformFuture;
use crate::platform::model::Condition;
use crate::platform::model::Outcome;
use crate::platform::model::PlatformError;
use crate::platform::model::Put;
use crate::platform::model::PutOutcome;
use crate::platform::model::Revision;
use crate::platform::model::Transaction;
use crate::types::ConfigVersion;
use crate::types::Digest;
use crate::types::Head;
use crate::types::UnixMillis;

/// Key of the head row, which names the highest accepted version.
pub const HEAD_KEY: &str = "head";

/// Key prefix of the history rows, one for each accepted version.
pub const HISTORY_PREFIX: &str = "history/";

/// Number of history rows requested per scan.
const MAX_SCAN_ROWS: usize = 500;

/// Returns the key of the history row of a version.
pub fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{:012}", version.0)
}

/// Returns the name of the object that holds the canonical bytes of a catalogue.
pub fn object_name(digest: Digest) -> String {
    format!("catalogue/{digest}")
}

/// Value of the row `head`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    pub version: ConfigVersion,
    /// Digest of the canonical bytes.
    pub digest: Digest,
    /// Author of the version.
    pub author: SmolStr,
    /// Unique token of the write, by which the writer recognizes its row after a lost response.
    pub token: SmolStr,
}

impl HeadRow {
    /// Returns the version and the digest.
    pub fn head(&self) -> Head {
        Head { version: self.version, digest: self.digest }
    }
}

/// Value of a row `history/<version>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    pub version: ConfigVersion,
    /// Digest of the canonical bytes.
    pub digest: Digest,
    /// Author of the version.
    pub author: SmolStr,
    /// Time of the write, by the clock of the writer.
    pub unix_ms: UnixMillis,
    /// Description of the change by its author.
    pub note: SmolStr,
    /// Unique token of the write. A writer that received no response finds its token here even if
    /// a later version has replaced the head.
    pub token: SmolStr,
}

/// Head row with the revision for a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadWithRevision {
    pub row: HeadRow,
    pub revision: Revision,
}

/// Outcome of [`CatalogueStore::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The catalogue is the new head.
    Accepted(HeadRow),
    /// The head is not the expected one; no row was written, but the catalogue object may have
    /// been.
    Conflict {
        /// Head row that was found instead; `None` when there is no head yet.
        theirs: Option<HeadRow>,
        /// Changes from the catalogue of `theirs` to the one that was to be applied; `None` when
        /// there is no head or its catalogue cannot be read.
        difference: Option<Vec<ItemChange>>,
    },
    /// The platform failed or did not respond in time; the head was not written.
    Unavailable(String),
    /// The response to the write of the head was lost, and whether the write committed could not be
    /// determined in time.
    Unknown(String),
}

/// Error when reading from the store.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The request to the platform failed, or got no response in time.
    #[display("{_0}")]
    Platform(PlatformError),
    /// The version does not exist.
    #[display("there is no version {_0}")]
    NoVersion(ConfigVersion),
    /// A row or object is missing, damaged or in a format that this release does not write.
    #[display("{_0}")]
    Damaged(String),
}

impl std::error::Error for StoreError {}

/// Result of [`CatalogueStore::try_write_head`].
enum AttemptOutcome {
    Done(ApplyOutcome),
    /// The attempt failed for `reason` and is to be retried. `may_have_committed` states whether
    /// the platform may have received the transaction.
    Retry {
        may_have_committed: bool,
        reason: String,
    },
}

/// Rows and condition of a write of the head, shared by all attempts.
struct HeadWrite<'a> {
    catalogue: &'a Catalogue,
    /// Version that must be the head; zero when there must be no head yet.
    expected_version: ConfigVersion,
    head: HeadRow,
    history: HistoryRow,
}

/// Reads and writes the accepted versions of the catalogue in the platform.
pub struct CatalogueStore {
    platform: Rc<dyn Platform>,
    cfg: StoreSettings,
    rng: RefCell<SmallRng>,
}

impl CatalogueStore {
    /// Creates a store. `seed` must differ between processes, because the write tokens derive from
    /// it.
    pub fn new(platform: Rc<dyn Platform>, cfg: StoreSettings, seed: u64) -> Self {
        Self { platform, cfg, rng: RefCell::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Reads the head; returns `None` before the first version.
    pub async fn head(&self) -> Result<Option<HeadWithRevision>, StoreError> {
        let row = self.with_retries(|| self.platform.get(HEAD_KEY)).await?;
        row.map(|row| {
            Ok(HeadWithRevision {
                revision: row.revision,
                row: parse_row_value(&row.key, row.value)?,
            })
        })
        .transpose()
    }

    /// Reads the history row of a version.
    pub async fn history_row(&self, version: ConfigVersion) -> Result<HistoryRow, StoreError> {
        let key = history_key(version);
        let row = self.with_retries(|| self.platform.get(&key)).await?;
        let row = row.ok_or(StoreError::NoVersion(version))?;
        parse_row_value(&row.key, row.value)
    }

    /// Reads all history rows, oldest first.
    pub async fn history(&self) -> Result<Vec<HistoryRow>, StoreError> {
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            let scan_page = || self.platform.scan(HISTORY_PREFIX, &after, MAX_SCAN_ROWS);
            let page = self.with_retries(scan_page).await?;
            let Some(last_row) = page.last() else { return Ok(rows) };
            let is_last_page = page.len() < MAX_SCAN_ROWS;
            after = last_row.key.to_string();
            for row in page {
                rows.push(parse_row_value(&row.key, row.value)?);
            }
            if is_last_page {
                return Ok(rows);
            }
        }
    }

    /// Reads the value of the row with this key; returns `None` when the row is absent.
    pub async fn row_value(&self, key: &str) -> Result<Option<serde_json::Value>, StoreError> {
        Ok(self.with_retries(|| self.platform.get(key)).await?.map(|row| row.value))
    }

    /// Reads the catalogue object with this digest, verifies the digest of its bytes and validates
    /// the catalogue.
    pub async fn catalogue(&self, digest: Digest) -> Result<Catalogue, StoreError> {
        let name = object_name(digest);
        let bytes = self.with_retries(|| self.platform.get_object(&name)).await?;
        let bytes =
            bytes.ok_or_else(|| StoreError::Damaged(format!("object {name} does not exist")))?;
        if Digest::of(&bytes) != digest {
            return Err(StoreError::Damaged(format!("object {name} does not match its digest")));
        }
        parse(&bytes).map_err(|e| StoreError::Damaged(format!("object {name}: {e}")))
    }

    /// Writes `catalogue` as the version after `expected_version`, provided that `expected_version`
    /// is still the version of the head. Zero requires that there is no head yet.
    pub async fn apply(
        &self,
        catalogue: &Catalogue,
        expected_version: ConfigVersion,
        author: &str,
        note: &str,
    ) -> ApplyOutcome {
        let bytes = Bytes::from(canonical_bytes(catalogue));
        let write = self.new_head_write(catalogue, &bytes, expected_version, author, note);
        let name = object_name(write.head.digest);
        match self.with_retries(|| self.platform.put_object(&name, bytes.clone())).await {
            Ok(PutOutcome::Created | PutOutcome::Same) => {}
            Ok(PutOutcome::Different) => {
                return ApplyOutcome::Unavailable(format!(
                    "object {name} exists with other content"
                ));
            }
            Err(e) => return ApplyOutcome::Unavailable(e.to_string()),
        }
        self.write_head(&write).await
    }

    fn new_head_write<'a>(
        &self,
        catalogue: &'a Catalogue,
        bytes: &[u8],
        expected_version: ConfigVersion,
        author: &str,
        note: &str,
    ) -> HeadWrite<'a> {
        let digest = Digest::of(bytes);
        let token = SmolStr::new(format!("{:032x}", self.rng.borrow_mut().random::<u128>()));
        let author = SmolStr::new(author);
        let version = expected_version.next();
        let history = HistoryRow {
            version,
            digest,
            author: author.clone(),
            unix_ms: UnixMillis::now(),
            note: SmolStr::new(note),
            token: token.clone(),
        };
        HeadWrite {
            catalogue,
            expected_version,
            head: HeadRow { version, digest, author, token },
            history,
        }
    }

    /// Writes the head, and retries with the same token. An earlier attempt that commits only after
    /// the next one was sent does no harm: all attempts require the same revision of the head, so
    /// that at most one commits.
    async fn write_head(&self, write: &HeadWrite<'_>) -> ApplyOutcome {
        let deadline = self.retry_deadline();
        let mut earlier_may_have_committed = false;
        for failed_attempts in 0.. {
            let (may_have_committed, reason) =
                match self.try_write_head(write, earlier_may_have_committed).await {
                    AttemptOutcome::Done(outcome) => return outcome,
                    AttemptOutcome::Retry { may_have_committed, reason } => {
                        (may_have_committed, reason)
                    }
                };
            earlier_may_have_committed |= may_have_committed;
            let pause = self.retry_pause(failed_attempts);
            if Instant::now() + pause < deadline {
                tokio::time::sleep(pause).await;
            } else if earlier_may_have_committed {
                return ApplyOutcome::Unknown(reason);
            } else {
                return ApplyOutcome::Unavailable(reason);
            }
        }
        unreachable!("the loop ends at the deadline")
    }

    /// Reads the head, and writes the new one if the head is the expected one.
    async fn try_write_head(
        &self,
        write: &HeadWrite<'_>,
        earlier_may_have_committed: bool,
    ) -> AttemptOutcome {
        let retry = |may_have_committed, reason: String| AttemptOutcome::Retry {
            may_have_committed,
            reason,
        };
        let row = match self.platform.get(HEAD_KEY).await {
            Ok(row) => row,
            Err(e) => return retry(false, e.to_string()),
        };
        let revision = row.as_ref().map(|row| row.revision);
        let theirs =
            match row.map(|row| parse_row_value::<HeadRow>(&row.key, row.value)).transpose() {
                Ok(theirs) => theirs,
                Err(e) => return retry(false, e.to_string()),
            };
        let found_version = theirs.as_ref().map_or(ConfigVersion(0), |row| row.version);
        if found_version != write.expected_version {
            return self.resolve_conflict(write, theirs, earlier_may_have_committed).await;
        }
        match self.platform.transact(head_transaction(write, revision)).await {
            Ok(Outcome::Committed) => {
                AttemptOutcome::Done(ApplyOutcome::Accepted(write.head.clone()))
            }
            // The write that changed the head may be an earlier attempt of this one; the token in
            // the head row, read by the next attempt, decides.
            Ok(Outcome::Conflicts(_)) => retry(false, "the head changed".to_string()),
            Err(PlatformError::Refused(reason)) => retry(false, reason),
            Err(e) => retry(true, e.to_string()),
        }
    }

    /// Determines the outcome when the head is not the expected one. An earlier attempt has
    /// committed if its token is in the head row, or in the history row when a later version has
    /// replaced the head since.
    async fn resolve_conflict(
        &self,
        write: &HeadWrite<'_>,
        theirs: Option<HeadRow>,
        earlier_may_have_committed: bool,
    ) -> AttemptOutcome {
        if theirs.as_ref().is_some_and(|row| row.token == write.head.token) {
            return AttemptOutcome::Done(ApplyOutcome::Accepted(write.head.clone()));
        }
        if earlier_may_have_committed {
            match self.platform.get(&history_key(write.head.version)).await {
                Ok(row) if row.as_ref().is_some_and(|row| contains_token(&row.value, write)) => {
                    return AttemptOutcome::Done(ApplyOutcome::Accepted(write.head.clone()));
                }
                Ok(_) => {}
                Err(e) => {
                    return AttemptOutcome::Retry {
                        may_have_committed: true,
                        reason: e.to_string(),
                    };
                }
            }
        }
        let difference = match &theirs {
            None => None,
            Some(row) => self.catalogue(row.digest).await.ok().map(|c| diff(&c, write.catalogue)),
        };
        AttemptOutcome::Done(ApplyOutcome::Conflict { theirs, difference })
    }

    /// Retries an idempotent request until it succeeds, fails permanently, or `retry_for_ms` has
    /// passed.
    async fn with_retries<T>(
        &self,
        request: impl Fn() -> PlatformFuture<T>,
    ) -> Result<T, StoreError> {
        let deadline = self.retry_deadline();
        let mut failed_attempts = 0;
        loop {
            let last_error = match request().await {
                Ok(value) => return Ok(value),
                Err(e) => e,
            };
            let pause = self.retry_pause(failed_attempts);
            let is_permanent = matches!(last_error, PlatformError::Protocol(_));
            if is_permanent || Instant::now() + pause >= deadline {
                return Err(StoreError::Platform(last_error));
            }
            failed_attempts += 1;
            tokio::time::sleep(pause).await;
        }
    }

    fn retry_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.cfg.retry_for_ms)
    }

    /// Returns a pause with exponential backoff and full jitter, so that operators whose requests
    /// failed at the same time do not retry at the same time.
    fn retry_pause(&self, failed_attempts: u32) -> Duration {
        let max_pause_ms = self.cfg.first_pause_ms.saturating_mul(1 << failed_attempts.min(16));
        let max_pause_ms = max_pause_ms.clamp(1, self.cfg.max_pause_ms.max(1));
        Duration::from_millis(self.rng.borrow_mut().random_range(1..=max_pause_ms))
    }
}

fn head_transaction(write: &HeadWrite<'_>, revision: Option<Revision>) -> Transaction {
    let history = SmolStr::new(history_key(write.head.version));
    let head_value =
        serde_json::to_value(&write.head).expect("a row has only string keys and finite numbers");
    let history_value = serde_json::to_value(&write.history)
        .expect("a row has only string keys and finite numbers");
    Transaction {
        conditions: vec![
            Condition { key: SmolStr::new_static(HEAD_KEY), revision },
            Condition { key: history.clone(), revision: None },
        ],
        puts: vec![
            Put { key: SmolStr::new_static(HEAD_KEY), value: head_value },
            Put { key: history, value: history_value },
        ],
        deletes: Vec::new(),
    }
}

fn contains_token(value: &serde_json::Value, write: &HeadWrite<'_>) -> bool {
    value.get("token").and_then(|t| t.as_str()) == Some(write.head.token.as_str())
}

fn parse_row_value<T: DeserializeOwned>(
    key: &str,
    value: serde_json::Value,
) -> Result<T, StoreError> {
    serde_json::from_value(value)
        .map_err(|e| StoreError::Damaged(format!("row {key} cannot be read: {e}")))
}
