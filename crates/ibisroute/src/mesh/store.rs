//! The port to a store of rows. The users' platform is behind it; tests use a stand-in.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use smol_str::SmolStr;

use super::replicated_rows::RowChange;
use super::replicated_rows::RowVersion;
use crate::platform::model::PlatformError;
use crate::types::Millis;

/// Future of a call to the store; runs on the thread that made it.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, PlatformError>>;

/// Write of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: SmolStr,
    /// New value; `None` removes the row.
    pub value: Option<Bytes>,
    /// Version that the row must have; zero requires that it is absent.
    pub expect: Option<RowVersion>,
}

/// Rows as of one moment, or changes in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadPage {
    /// The rows.
    pub rows: Vec<RowChange>,
    /// Whether further rows follow.
    pub more: bool,
    /// Newest version of the store; a watch resumes from it.
    pub version: RowVersion,
}

/// Outcome of a write whose answer arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Written {
    /// The row has this version now.
    Committed(RowVersion),
    /// The condition does not hold; the row as it is.
    Conflict(Vec<RowChange>),
}

/// Outcome of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Watched {
    /// Changes; empty when none came within the time.
    Changes(ReadPage),
    /// The store has dropped the history; the table has to be read again.
    HistoryLost,
}

/// A store of rows in tables.
pub trait RowStore {
    /// Reads a table from the key `from`.
    fn read(&self, table: &'static str, from: &str) -> StoreFuture<ReadPage>;

    /// Waits at most `wait` for changes of a table after a version.
    fn watch(&self, table: &'static str, after: RowVersion, wait: Millis) -> StoreFuture<Watched>;

    /// Writes a row. After [`PlatformError::NoAnswer`] the write may have taken effect.
    fn write(&self, change: Change) -> StoreFuture<Written>;
}
