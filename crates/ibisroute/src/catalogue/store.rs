//! Accepted versions in the platform: the head, the history and the bodies.

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
use super::diff::Change;
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

/// Key of the head row.
pub const HEAD_KEY: &str = "head";

/// Prefix of the history rows.
pub const HISTORY_PREFIX: &str = "history/";

/// Rows of one scan of the history.
const SCAN_ROWS: usize = 500;

/// Key of the history row of a version.
pub fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{:012}", version.0)
}

/// Name of the object that holds a body.
pub fn object_name(digest: Digest) -> String {
    format!("catalogue/{digest}")
}

/// The row `head`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Highest accepted version.
    pub version: ConfigVersion,
    /// Digest of its canonical bytes.
    pub digest: Digest,
    /// Who made it.
    pub author: SmolStr,
    /// Unique token of the write, to recognise it after a lost answer.
    pub token: SmolStr,
}

impl HeadRow {
    /// Version and digest.
    pub fn head(&self) -> Head {
        Head { version: self.version, digest: self.digest }
    }
}

/// A row `history/<version>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Version.
    pub version: ConfigVersion,
    /// Digest of its canonical bytes.
    pub digest: Digest,
    /// Who made it.
    pub author: SmolStr,
    /// When.
    pub unix_ms: UnixMillis,
    /// Why, in the author's words.
    pub note: SmolStr,
    /// Token of the write; a writer whose answer was lost finds it here when the head has moved on.
    pub token: SmolStr,
}

/// A head row with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadHead {
    /// The row.
    pub row: HeadRow,
    /// Its revision.
    pub revision: Revision,
}

/// Outcome of [`Store::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The catalogue is the new head.
    Accepted(HeadRow),
    /// The head is not the expected one; nothing was written but perhaps the object.
    Conflict {
        /// The head found; `None` when there is none.
        theirs: Option<HeadRow>,
        /// What the operator's catalogue would change in theirs; `None` when theirs cannot be read.
        difference: Option<Vec<Change>>,
    },
    /// The platform could not be reached in time; the head was not written.
    Unavailable(String),
    /// An answer was lost and could not be resolved in time: the head may have been written.
    Unknown(String),
}

/// Why something could not be read.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The platform did not answer in time.
    #[display("{_0}")]
    Platform(PlatformError),
    /// There is no such version.
    #[display("there is no version {_0}")]
    NoVersion(ConfigVersion),
    /// A row or object is not what this release writes.
    #[display("{_0}")]
    Damaged(String),
}

impl std::error::Error for StoreError {}

/// What one attempt to write the head showed.
enum Attempt {
    Done(ApplyOutcome),
    /// Try again; whether the attempt may have taken effect, and why it failed.
    Again {
        uncertain: bool,
        reason: String,
    },
}

/// What is constant over the attempts of one `apply`.
struct Write<'a> {
    catalogue: &'a Catalogue,
    expected: ConfigVersion,
    head: HeadRow,
    history: HistoryRow,
}

/// Reads and writes accepted versions.
pub struct Store {
    platform: Rc<dyn Platform>,
    cfg: StoreSettings,
    rng: RefCell<SmallRng>,
}

impl Store {
    /// Makes a store; `seed` must differ between processes, because it makes the write tokens.
    pub fn new(platform: Rc<dyn Platform>, cfg: StoreSettings, seed: u64) -> Self {
        Self { platform, cfg, rng: RefCell::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Reads the head; `None` before the first version.
    pub async fn head(&self) -> Result<Option<ReadHead>, StoreError> {
        let row = self.patiently(|| self.platform.get(HEAD_KEY)).await?;
        row.map(|row| {
            Ok(ReadHead { revision: row.revision, row: read_value(&row.key, row.value)? })
        })
        .transpose()
    }

    /// Reads the history row of a version.
    pub async fn version(&self, version: ConfigVersion) -> Result<HistoryRow, StoreError> {
        let key = history_key(version);
        let row = self.patiently(|| self.platform.get(&key)).await?;
        let row = row.ok_or(StoreError::NoVersion(version))?;
        read_value(&row.key, row.value)
    }

    /// Reads all history rows, oldest first.
    pub async fn history(&self) -> Result<Vec<HistoryRow>, StoreError> {
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            let scan = || self.platform.scan(HISTORY_PREFIX, &after, SCAN_ROWS);
            let page = self.patiently(scan).await?;
            let Some(last) = page.last() else { return Ok(rows) };
            let full = page.len() >= SCAN_ROWS;
            after = last.key.to_string();
            for row in page {
                rows.push(read_value(&row.key, row.value)?);
            }
            if !full {
                return Ok(rows);
            }
        }
    }

    /// Reads the value of any row; `None` when it is absent.
    pub async fn value(&self, key: &str) -> Result<Option<serde_json::Value>, StoreError> {
        Ok(self.patiently(|| self.platform.get(key)).await?.map(|row| row.value))
    }

    /// Reads a body, verified by its digest.
    pub async fn body(&self, digest: Digest) -> Result<Catalogue, StoreError> {
        let name = object_name(digest);
        let bytes = self.patiently(|| self.platform.get_object(&name)).await?;
        let bytes = bytes.ok_or_else(|| StoreError::Damaged(format!("object {name} is absent")))?;
        if Digest::of(&bytes) != digest {
            return Err(StoreError::Damaged(format!("object {name} has another digest")));
        }
        parse(&bytes).map_err(|e| StoreError::Damaged(format!("object {name}: {e}")))
    }

    /// Makes `catalogue` the version after `expected`, if `expected` is still the head (zero: there
    /// is no head yet).
    pub async fn apply(
        &self,
        catalogue: &Catalogue,
        expected: ConfigVersion,
        author: &str,
        note: &str,
    ) -> ApplyOutcome {
        let bytes = Bytes::from(canonical_bytes(catalogue));
        let write = self.prepare(catalogue, &bytes, expected, author, note);
        let name = object_name(write.head.digest);
        match self.patiently(|| self.platform.put_object(&name, bytes.clone())).await {
            Ok(PutOutcome::Created | PutOutcome::Same) => {}
            Ok(PutOutcome::Different) => {
                return ApplyOutcome::Unavailable(format!("object {name} holds other bytes"));
            }
            Err(e) => return ApplyOutcome::Unavailable(e.to_string()),
        }
        self.write_head(&write).await
    }

    fn prepare<'a>(
        &self,
        catalogue: &'a Catalogue,
        bytes: &[u8],
        expected: ConfigVersion,
        author: &str,
        note: &str,
    ) -> Write<'a> {
        let digest = Digest::of(bytes);
        let token = SmolStr::new(format!("{:032x}", self.rng.borrow_mut().random::<u128>()));
        let author = SmolStr::new(author);
        let version = expected.next();
        let history = HistoryRow {
            version,
            digest,
            author: author.clone(),
            unix_ms: UnixMillis::now(),
            note: SmolStr::new(note),
            token: token.clone(),
        };
        Write { catalogue, expected, head: HeadRow { version, digest, author, token }, history }
    }

    /// Repeats attempts with one token. An earlier attempt that takes effect late cannot do harm:
    /// all attempts share the condition on the head's revision, so that at most one commits.
    async fn write_head(&self, write: &Write<'_>) -> ApplyOutcome {
        let deadline = self.deadline();
        let mut maybe_written = false;
        for failures in 0.. {
            let (uncertain, reason) = match self.attempt(write, maybe_written).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Again { uncertain, reason } => (uncertain, reason),
            };
            maybe_written |= uncertain;
            let pause = self.pause(failures);
            if Instant::now() + pause < deadline {
                tokio::time::sleep(pause).await;
            } else if maybe_written {
                return ApplyOutcome::Unknown(reason);
            } else {
                return ApplyOutcome::Unavailable(reason);
            }
        }
        unreachable!("the loop ends at the deadline")
    }

    /// Reads the head, and writes when it is the expected one.
    async fn attempt(&self, write: &Write<'_>, maybe_written: bool) -> Attempt {
        let again = |uncertain, reason: String| Attempt::Again { uncertain, reason };
        let row = match self.platform.get(HEAD_KEY).await {
            Ok(row) => row,
            Err(e) => return again(false, e.to_string()),
        };
        let revision = row.as_ref().map(|row| row.revision);
        let theirs = match row.map(|row| read_value::<HeadRow>(&row.key, row.value)).transpose() {
            Ok(theirs) => theirs,
            Err(e) => return again(false, e.to_string()),
        };
        let found = theirs.as_ref().map_or(ConfigVersion(0), |row| row.version);
        if found != write.expected {
            return self.resolve(write, theirs, maybe_written).await;
        }
        match self.platform.transact(transaction(write, revision)).await {
            Ok(Outcome::Committed) => Attempt::Done(ApplyOutcome::Accepted(write.head.clone())),
            // The next read tells whose head it is; an earlier attempt may have committed.
            Ok(Outcome::Conflicts(_)) => again(false, "the head changed".to_string()),
            Err(PlatformError::Refused(reason)) => again(false, reason),
            Err(e) => again(true, e.to_string()),
        }
    }

    /// Decides whether a head other than the expected one is, or follows, this operator's write.
    async fn resolve(
        &self,
        write: &Write<'_>,
        theirs: Option<HeadRow>,
        maybe_written: bool,
    ) -> Attempt {
        if theirs.as_ref().is_some_and(|row| row.token == write.head.token) {
            return Attempt::Done(ApplyOutcome::Accepted(write.head.clone()));
        }
        if maybe_written {
            match self.platform.get(&history_key(write.head.version)).await {
                Ok(row) if row.as_ref().is_some_and(|row| is_ours(&row.value, write)) => {
                    return Attempt::Done(ApplyOutcome::Accepted(write.head.clone()));
                }
                Ok(_) => {}
                Err(e) => return Attempt::Again { uncertain: true, reason: e.to_string() },
            }
        }
        let difference = match &theirs {
            None => None,
            Some(row) => self.body(row.digest).await.ok().map(|body| diff(&body, write.catalogue)),
        };
        Attempt::Done(ApplyOutcome::Conflict { theirs, difference })
    }

    /// Repeats a request that can be repeated without harm until it succeeds or time is over.
    async fn patiently<T>(&self, request: impl Fn() -> PlatformFuture<T>) -> Result<T, StoreError> {
        let deadline = self.deadline();
        let mut failures = 0;
        loop {
            let error = match request().await {
                Ok(value) => return Ok(value),
                Err(e) => e,
            };
            let pause = self.pause(failures);
            let final_error = matches!(error, PlatformError::Protocol(_));
            if final_error || Instant::now() + pause >= deadline {
                return Err(StoreError::Platform(error));
            }
            failures += 1;
            tokio::time::sleep(pause).await;
        }
    }

    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.cfg.retry_for_ms)
    }

    /// Full jitter: operators who fail together do not come back together.
    fn pause(&self, failures: u32) -> Duration {
        let bound = self.cfg.first_pause_ms.saturating_mul(1 << failures.min(16));
        let bound = bound.clamp(1, self.cfg.max_pause_ms.max(1));
        Duration::from_millis(self.rng.borrow_mut().random_range(1..=bound))
    }
}

fn transaction(write: &Write<'_>, revision: Option<Revision>) -> Transaction {
    let history = SmolStr::new(history_key(write.head.version));
    let head_value = serde_json::to_value(&write.head).expect("a row is plain data");
    let history_value = serde_json::to_value(&write.history).expect("a row is plain data");
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

fn is_ours(value: &serde_json::Value, write: &Write<'_>) -> bool {
    value.get("token").and_then(|t| t.as_str()) == Some(write.head.token.as_str())
}

fn read_value<T: DeserializeOwned>(key: &str, value: serde_json::Value) -> Result<T, StoreError> {
    serde_json::from_value(value)
        .map_err(|e| StoreError::Damaged(format!("row {key} cannot be read: {e}")))
}
