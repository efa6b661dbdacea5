//! Clients and formats of two platforms. One is the table service and object store that the nodes use
//! over the project's own protocol ([`client`], [`model`]). The other is the external platform of the
//! mesh, which defines headers, formats and store requests ([`headers`], [`heartbeat`], [`operator`],
//! [`rows`]).

pub mod client;
pub mod headers;
pub mod heartbeat;
pub mod model;
pub mod operator;
pub mod platform_settings;
pub mod rows;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use self::model::Outcome;
use self::model::PlatformError;
use self::model::PutOutcome;
use self::model::Row;
use self::model::Transaction;

/// Future of a platform request; must be polled on the thread that created it.
pub type PlatformFuture<T> = LocalBoxFuture<'static, Result<T, PlatformError>>;

/// Table service and object store. The node uses [`client::HttpPlatform`]; tests use fakes.
pub trait Platform {
    /// Reads the row of a key; `None` when it is absent.
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>>;

    /// Reads at most `limit` rows, in key order, whose keys start with `prefix` and sort after `after`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformFuture<Vec<Row>>;

    /// Commits the writes atomically if all conditions hold. After [`PlatformError::NoAnswer`], the
    /// writes may have taken effect; reading back a row that has a unique token shows whether they did.
    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome>;

    /// Stores an immutable object; never overwrites one.
    fn put_object(&self, name: &str, bytes: Bytes) -> PlatformFuture<PutOutcome>;

    /// Reads an object; `None` when it is absent.
    fn get_object(&self, name: &str) -> PlatformFuture<Option<Bytes>>;

    /// Deletes an object; succeeds when it is absent.
    fn delete_object(&self, name: &str) -> PlatformFuture<()>;
}
