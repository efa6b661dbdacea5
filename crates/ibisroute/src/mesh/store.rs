//! Interface to a store of rows. [`HttpPlatform`](crate::platform::client::HttpPlatform) implements it;
//! tests run a stand-in of the platform.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use smol_str::SmolStr;

use super::replicated_rows::RowChange;
use super::replicated_rows::RowVersion;
use crate::platform::model::PlatformError;
use crate::types::Millis;

/// Future of a call to the store; it is polled on the thread that created it.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, PlatformError>>;

/// Write or removal of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    pub table: &'static str,
    pub key: SmolStr,
    /// New value; `None` removes the row.
    pub value: Option<Bytes>,
    /// Version that the row must have; zero requires that the row is absent, `None` requires nothing.
    pub expected_version: Option<RowVersion>,
}

/// Page of the rows of a table in key order, or of its changes in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowPage {
    pub rows: Vec<RowChange>,
    /// Whether further rows follow after this page.
    pub has_more: bool,
    /// Newest version of the store; a watch resumes from it.
    pub version: RowVersion,
}

/// Outcome of a write to which the store has responded.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version.
    Committed(RowVersion),
    /// The row does not have the expected version; contains its current state.
    Conflict(Vec<RowChange>),
}

/// Outcome of watching a table.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchOutcome {
    /// Changes; empty when there were none within the requested wait.
    Changes(RowPage),
    /// The store has discarded the changes after the given version; the table has to be read again.
    HistoryLost,
}

/// Store of rows in tables, with conditional writes and watches.
pub trait RowStore {
    /// Reads a page of a table that begins at the key `from`, which may be absent.
    fn read(&self, table: &'static str, from: &str) -> StoreFuture<RowPage>;

    /// Waits at most `wait` for changes of a table after the version `after`.
    fn watch(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Millis,
    ) -> StoreFuture<WatchOutcome>;

    /// Writes a row. After [`PlatformError::NoAnswer`] the write may have taken effect.
    fn write(&self, row_write: RowWrite) -> StoreFuture<WriteOutcome>;
}
