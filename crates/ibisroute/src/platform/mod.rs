//! Adapters of platforms: the table service and object store of the project's own protocol, and the names,
//! formats and calls of the users' platform ([`headers`], [`heartbeat`], [`operator`], [`rows`]).

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
use self::model::Row;
use self::model::Stored;
use self::model::Transaction;

/// Future of a platform request; runs on the thread that made it.
pub type PlatformFuture<T> = LocalBoxFuture<'static, Result<T, PlatformError>>;

/// The platform as the modules see it. The node uses an HTTP client; tests use small fakes.
pub trait Platform {
    /// Reads a row; `None` when it is absent.
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformFuture<Vec<Row>>;

    /// Commits writes under conditions. After [`PlatformError::NoAnswer`] the writes may have taken
    /// effect; a read of a row with a unique token tells.
    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome>;

    /// Stores an immutable object.
    fn put_object(&self, name: &str, bytes: Bytes) -> PlatformFuture<Stored>;

    /// Reads an object; `None` when it is absent.
    fn get_object(&self, name: &str) -> PlatformFuture<Option<Bytes>>;

    /// Deletes an object; succeeds when it is absent.
    fn delete_object(&self, name: &str) -> PlatformFuture<()>;
}
