//! In-memory fake of the platform with a table, conditional writes, an object store, outages and
//! lost responses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use ibisroute::platform::Platform;
use ibisroute::platform::PlatformFuture;
use ibisroute::platform::model::Conflict;
use ibisroute::platform::model::Outcome;
use ibisroute::platform::model::PlatformError;
use ibisroute::platform::model::PutOutcome;
use ibisroute::platform::model::Revision;
use ibisroute::platform::model::Row;
use ibisroute::platform::model::Transaction;
use ibisroute::types::Digest;
use serde_json::json;

/// Fault injected into one transaction.
pub(crate) enum Fault {
    /// The writes take effect; the response is lost.
    ResponseLost,
    /// The request is lost: the writes do not take effect, and there is no response.
    RequestLost,
    /// The request is refused.
    Refused,
    /// The closure runs before the transaction, which is then served normally.
    Before(Box<dyn FnOnce()>),
    /// The writes take effect, then the closure runs; the response is lost.
    ResponseLostThen(Box<dyn FnOnce()>),
}

#[derive(Default)]
struct PlatformState {
    /// Value and revision of each row.
    rows: RefCell<BTreeMap<String, (serde_json::Value, u64)>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    last_revision: Cell<u64>,
    faults: RefCell<VecDeque<Fault>>,
    table_down: Cell<bool>,
    objects_down: Cell<bool>,
    down_after_put: Cell<bool>,
    down_after_transact: Cell<bool>,
}

/// Fake platform; clones share their state.
#[derive(Clone, Default)]
pub(crate) struct FakePlatform(Rc<PlatformState>);

fn refused<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Refused("outage".to_string()))
}

fn lost_response<T>() -> Result<T, PlatformError> {
    Err(PlatformError::NoAnswer("lost".to_string()))
}

impl FakePlatform {
    /// Queues a fault; each transaction consumes one.
    pub(crate) fn push_fault(&self, fault: Fault) {
        self.0.faults.borrow_mut().push_back(fault);
    }

    /// Starts or ends an outage of the table, which then refuses all requests.
    pub(crate) fn set_table_down(&self, down: bool) {
        self.0.table_down.set(down);
    }

    /// Starts or ends an outage of the object store, which then refuses reads and writes.
    pub(crate) fn set_objects_down(&self, down: bool) {
        self.0.objects_down.set(down);
    }

    /// Starts an outage of the table after the next object is written.
    pub(crate) fn go_down_after_put(&self) {
        self.0.down_after_put.set(true);
    }

    /// Starts an outage of the table after the next transaction.
    pub(crate) fn go_down_after_transact(&self) {
        self.0.down_after_transact.set(true);
    }

    /// Returns the keys of all rows.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.0.rows.borrow().keys().cloned().collect()
    }

    /// Returns the names of all objects.
    pub(crate) fn objects(&self) -> Vec<String> {
        self.0.objects.borrow().keys().cloned().collect()
    }

    /// Writes head, history row and object of a version as another operator would, regardless of
    /// the current head.
    pub(crate) fn force_version(&self, version: u64, body: &[u8], author: &str) {
        let digest = Digest::of(body);
        let head = json!({"version": version, "digest": digest, "author": author,
            "token": format!("token of {author}")});
        let mut history = head.clone();
        history["unix_ms"] = json!(1);
        history["note"] = json!("");
        let revision = self.0.last_revision.get() + 1;
        self.0.last_revision.set(revision);
        let mut rows = self.0.rows.borrow_mut();
        rows.insert("head".to_string(), (head, revision));
        rows.insert(format!("history/{version:012}"), (history, revision));
        let body = Bytes::copy_from_slice(body);
        self.0.objects.borrow_mut().insert(format!("catalogue/{digest}"), body);
    }

    fn commit(&self, transaction: &Transaction) -> Outcome {
        let mut rows = self.0.rows.borrow_mut();
        let mut conflicts = Vec::new();
        for condition in &transaction.conditions {
            let row = rows.get(condition.key.as_str());
            let revision = row.map(|(_, r)| Revision(*r));
            if revision != condition.revision {
                let value = row.map(|(v, _)| v.clone());
                conflicts.push(Conflict { key: condition.key.clone(), revision, value });
            }
        }
        if !conflicts.is_empty() {
            return Outcome::Conflicts(conflicts);
        }
        let revision = self.0.last_revision.get() + 1;
        self.0.last_revision.set(revision);
        for put in &transaction.puts {
            rows.insert(put.key.to_string(), (put.value.clone(), revision));
        }
        for key in &transaction.deletes {
            rows.remove(key.as_str());
        }
        Outcome::Committed
    }

    /// Serves a transaction with the next queued fault, if there is one.
    fn serve(&self, transaction: &Transaction) -> Result<Outcome, PlatformError> {
        let fault = self.0.faults.borrow_mut().pop_front();
        match fault {
            None => Ok(self.commit(transaction)),
            Some(Fault::Refused) => refused(),
            Some(Fault::RequestLost) => lost_response(),
            Some(Fault::ResponseLost) => {
                self.commit(transaction);
                lost_response()
            }
            Some(Fault::Before(run)) => {
                run();
                Ok(self.commit(transaction))
            }
            Some(Fault::ResponseLostThen(run)) => {
                self.commit(transaction);
                run();
                lost_response()
            }
        }
    }

    fn put(&self, name: String, bytes: Bytes) -> Result<PutOutcome, PlatformError> {
        if self.0.objects_down.get() {
            return refused();
        }
        if self.0.down_after_put.take() {
            self.0.table_down.set(true);
        }
        let mut objects = self.0.objects.borrow_mut();
        match objects.get(&name) {
            Some(existing) if existing == &bytes => Ok(PutOutcome::Same),
            Some(_) => Ok(PutOutcome::Different),
            None => {
                objects.insert(name, bytes);
                Ok(PutOutcome::Created)
            }
        }
    }
}

/// Completes after yielding to the executor once, as a real request does.
fn respond_after_yield<T: 'static>(
    run: impl FnOnce() -> Result<T, PlatformError> + 'static,
) -> PlatformFuture<T> {
    async move {
        tokio::task::yield_now().await;
        run()
    }
    .boxed_local()
}

impl Platform for FakePlatform {
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>> {
        let (platform, key) = (self.clone(), key.to_string());
        respond_after_yield(move || {
            if platform.0.table_down.get() {
                return refused();
            }
            let rows = platform.0.rows.borrow();
            Ok(rows.get(&key).map(|(value, revision)| Row {
                key: key.as_str().into(),
                value: value.clone(),
                revision: Revision(*revision),
            }))
        })
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformFuture<Vec<Row>> {
        let (platform, prefix, after) = (self.clone(), prefix.to_string(), after.to_string());
        respond_after_yield(move || {
            if platform.0.table_down.get() {
                return refused();
            }
            let rows = platform.0.rows.borrow();
            let matching_rows = rows.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let row = |(key, (value, revision)): (&String, &(serde_json::Value, u64))| Row {
                key: key.as_str().into(),
                value: value.clone(),
                revision: Revision(*revision),
            };
            Ok(matching_rows.take(limit).map(row).collect())
        })
    }

    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome> {
        let platform = self.clone();
        respond_after_yield(move || {
            if platform.0.table_down.get() {
                return refused();
            }
            let result = platform.serve(&transaction);
            if platform.0.down_after_transact.take() {
                platform.0.table_down.set(true);
            }
            result
        })
    }

    fn put_object(&self, name: &str, bytes: Bytes) -> PlatformFuture<PutOutcome> {
        let (platform, name) = (self.clone(), name.to_string());
        respond_after_yield(move || platform.put(name, bytes))
    }

    fn get_object(&self, name: &str) -> PlatformFuture<Option<Bytes>> {
        let (platform, name) = (self.clone(), name.to_string());
        respond_after_yield(move || {
            if platform.0.objects_down.get() {
                return refused();
            }
            Ok(platform.0.objects.borrow().get(&name).cloned())
        })
    }

    fn delete_object(&self, name: &str) -> PlatformFuture<()> {
        let (platform, name) = (self.clone(), name.to_string());
        respond_after_yield(move || {
            platform.0.objects.borrow_mut().remove(&name);
            Ok(())
        })
    }
}
