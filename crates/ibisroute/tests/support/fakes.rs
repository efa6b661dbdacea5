//! Fakes of the platform and of the control transport, for tests of actors.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::ready;
use ibisroute::peers::ControlTransport;
use ibisroute::peers::PeerError;
use ibisroute::platform::Platform;
use ibisroute::platform::PlatformFuture;
use ibisroute::platform::model::Outcome;
use ibisroute::platform::model::PlatformError;
use ibisroute::platform::model::PutOutcome;
use ibisroute::platform::model::Revision;
use ibisroute::platform::model::Row;
use ibisroute::platform::model::Transaction;
use ibisroute::types::Millis;
use ibisroute::wire::ControlReply;
use ibisroute::wire::ControlRequest;

/// In-memory platform that ignores the conditions of transactions. While `down` is set, every
/// request returns an error, but objects are written and deleted nevertheless.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) down: Cell<bool>,
    pub(crate) rows: RefCell<BTreeMap<String, serde_json::Value>>,
    pub(crate) objects: RefCell<BTreeMap<String, Bytes>>,
}

impl FakePlatform {
    fn respond<T: 'static>(&self, value: T) -> PlatformFuture<T> {
        let refused = PlatformError::Refused("outage".to_string());
        ready(if self.down.get() { Err(refused) } else { Ok(value) }).boxed_local()
    }
}

fn row(key: &str, value: &serde_json::Value) -> Row {
    Row { key: key.into(), value: value.clone(), revision: Revision(1) }
}

impl Platform for FakePlatform {
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>> {
        let found_row = self.rows.borrow().get(key).map(|value| row(key, value));
        self.respond(found_row)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformFuture<Vec<Row>> {
        let rows = self.rows.borrow();
        let matching_rows =
            rows.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let matching_rows = matching_rows.take(limit).map(|(k, v)| row(k, v)).collect();
        self.respond(matching_rows)
    }

    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome> {
        if !self.down.get() {
            let mut rows = self.rows.borrow_mut();
            for put in transaction.puts {
                rows.insert(put.key.to_string(), put.value);
            }
            for key in transaction.deletes {
                rows.remove(key.as_str());
            }
        }
        self.respond(Outcome::Committed)
    }

    fn put_object(&self, name: &str, bytes: Bytes) -> PlatformFuture<PutOutcome> {
        self.objects.borrow_mut().insert(name.to_string(), bytes);
        self.respond(PutOutcome::Created)
    }

    fn get_object(&self, name: &str) -> PlatformFuture<Option<Bytes>> {
        let object = self.objects.borrow().get(name).cloned();
        self.respond(object)
    }

    fn delete_object(&self, name: &str) -> PlatformFuture<()> {
        self.objects.borrow_mut().remove(name);
        self.respond(())
    }
}

type RequestHandler = Rc<dyn Fn(ControlRequest) -> LocalBoxFuture<'static, ControlReply>>;

/// Control transport that passes each request to the handler registered for its address, on the
/// same thread.
#[derive(Clone, Default)]
pub(crate) struct FakeTransport {
    /// Request handlers by the address of the server.
    pub(crate) servers: Rc<RefCell<BTreeMap<SocketAddr, RequestHandler>>>,
}

impl ControlTransport for FakeTransport {
    fn request(
        &self,
        addr: SocketAddr,
        request: ControlRequest,
        _: Millis,
    ) -> LocalBoxFuture<'static, Result<ControlReply, PeerError>> {
        let Some(handler) = self.servers.borrow().get(&addr).cloned() else {
            return ready(Err(PeerError::Unreachable(addr, "no server".into()))).boxed_local();
        };
        async move { Ok(handler(request).await) }.boxed_local()
    }
}
