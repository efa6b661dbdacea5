//! Reads the store: the whole tables at the start, then changes as long as this node is one of the few
//! that watch for all.

use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::decision_log::Stream;
use super::frames::NodeDescriptor;
use super::node::Node;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowTable;
use super::replicated_rows::RowVersion;
use super::store::Change;
use super::store::Watched;
use crate::events::mesh as codes;
use crate::platform::model::PlatformError;
use crate::types::Millis;

/// Table of the nodes' own rows: name to address.
pub const NODES_TABLE: &str = "ibis-nodes";

/// First pause after a failed call; doubled up to [`RETRY_LAST`].
const RETRY_FIRST: Millis = Millis(100);

/// Longest pause after failed calls. The store's return is noticed within it.
const RETRY_LAST: Millis = Millis(800);

/// How often a node that does not watch looks whether it has to.
const ROLE_CHECK: Millis = Millis(150);

/// Time that a starting node gives its peers to tell it the operator's rows.
const PEERS_FIRST: Millis = Millis(400);

/// How often a starting node looks whether they did.
const PEERS_CHECK: Millis = Millis(20);

/// Mean pause before a long row is read that all nodes were told of.
const READ_SPREAD: Millis = Millis(60);

/// Pause between reads after the history was lost; such reads may lie seconds behind.
const REREAD_PAUSE: Millis = Millis(200);

/// Value of a node's row.
#[derive(Serialize, Deserialize)]
struct NodeRow {
    address: std::net::SocketAddr,
    data_centre: SmolStr,
}

impl Node {
    /// Reads and watches the store; never ends.
    pub async fn follow_store(self: Rc<Self>) {
        let mut pause = RETRY_FIRST;
        while let Err(e) = self.enter().await {
            self.store_failed(&e);
            sleep(self.scatter(pause).to_duration()).await;
            pause = Millis((pause.0 * 2).min(RETRY_LAST.0));
        }
        pause = RETRY_FIRST;
        loop {
            let again = tokio::time::timeout(ROLE_CHECK.to_duration(), async {
                if !self.is_reader() {
                    self.read_again.notified().await;
                }
            });
            if again.await.is_err() {
                continue;
            }
            let step = if self.is_reader() && self.watched.get() > RowVersion(0) {
                self.watch_once().await
            } else {
                // Nodes that are told of a long row at the same time do not read it at the same time.
                sleep(self.scatter(READ_SPREAD).to_duration()).await;
                self.read_once().await
            };
            match step {
                Ok(()) => pause = RETRY_FIRST,
                Err(e) => {
                    self.store_failed(&e);
                    sleep(self.scatter(pause).to_duration()).await;
                    pause = Millis((pause.0 * 2).min(RETRY_LAST.0));
                }
            }
        }
    }

    /// Whether this node watches the store for others. A node that has lost the store keeps trying, so
    /// that it notices the return.
    fn is_reader(&self) -> bool {
        !self.store_reached.get() || self.peers.rank(&self.card.node) < self.cfg.peers.readers
    }

    /// Makes the node known and finds the others. Rows of the operator come from peers, if one has
    /// them, or else from the store.
    async fn enter(self: &Rc<Self>) -> Result<(), PlatformError> {
        // At the first start no row can be there, and reading first would be a call too many.
        let known = !self.cfg.first_start && self.read_nodes().await?;
        if !known {
            let row = NodeRow {
                address: self.card.address,
                data_centre: self.card.data_centre.clone().into(),
            };
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let change = Change {
                table: NODES_TABLE,
                key: self.card.node.clone().into(),
                value: Some(value.into()),
                expect: None,
            };
            self.store.write(change).await?;
            // Nodes that entered meanwhile did not see the row and are in the table now.
            self.read_nodes().await?;
        }
        self.store_works();
        self.wait_for_rows().await;
        Ok(())
    }

    /// Waits until peers have told the operator's rows or cannot tell them.
    async fn wait_for_rows(&self) {
        let until = self.clock.now().0 + PEERS_FIRST.0;
        while self.config().is_none() && self.clock.now().0 < until {
            if self.peers.nobody_knows_rows(&self.card.node, self.cfg.peers.readers) {
                return;
            }
            tokio::select! {
                // A peer has rows that are too long to be sent.
                () = self.read_again.notified() => {
                    self.read_again.notify_one();
                    return;
                }
                () = sleep(PEERS_CHECK.to_duration()) => {}
            }
        }
    }

    /// Reads the rows that are missing here. Several peers may have told of the same ones, and a read of
    /// a long row over a slow link takes longer than it takes them.
    async fn read_once(self: &Rc<Self>) -> Result<(), PlatformError> {
        let newest = self.facts.borrow().newest();
        if newest > RowVersion(0) && newest >= self.newest_told.get() && !self.is_reader() {
            return Ok(());
        }
        self.reading.set(true);
        let read = match newest {
            RowVersion(0) => self.read_facts().await,
            // Status rows are short and come from peers.
            _ => self.read_operator().await,
        };
        self.reading.set(false);
        read
    }

    /// Reads the status and the operator's table.
    async fn read_facts(self: &Rc<Self>) -> Result<(), PlatformError> {
        let table = RowTable::Status.name();
        self.read_table(table, |row| self.learn(RowTable::Status, row, "store")).await?;
        self.read_operator().await
    }

    /// Reads the operator's table; a watch from its version misses no change.
    async fn read_operator(self: &Rc<Self>) -> Result<(), PlatformError> {
        let table = RowTable::Operator.name();
        let version = self.read_table(table, |row| self.learn(RowTable::Operator, row, "store"));
        self.watched.set(version.await?);
        self.store_works();
        Ok(())
    }

    /// Reads the table of nodes; true when the own row is there as it should be.
    async fn read_nodes(self: &Rc<Self>) -> Result<bool, PlatformError> {
        let mut own = false;
        self.read_table(NODES_TABLE, |row| {
            let Some(card) = card_of(&row) else { return };
            own |= card == self.card;
            self.learn_peer(&card);
        })
        .await?;
        Ok(own)
    }

    /// Reads a whole table; returns the version of the store at its first page.
    async fn read_table(
        &self,
        table: &'static str,
        mut each: impl FnMut(RowChange),
    ) -> Result<RowVersion, PlatformError> {
        let mut from = String::new();
        let mut version = None;
        loop {
            let page = self.store.read(table, &from).await?;
            version.get_or_insert(page.version);
            let last = page.rows.last().map(|r| r.key.to_string());
            page.rows.into_iter().for_each(&mut each);
            match last.filter(|_| page.more) {
                // The smallest key after the last one.
                Some(last) => from = format!("{last}\0"),
                None => return Ok(version.unwrap_or_default()),
            }
        }
    }

    async fn watch_once(self: &Rc<Self>) -> Result<(), PlatformError> {
        let cfg = self.cfg.peers;
        let table = RowTable::Operator.name();
        match self.store.watch(table, self.watched.get(), cfg.watch).await? {
            Watched::Changes(page) => {
                self.watched.set(self.watched.get().max(page.version));
                self.store_works();
                let any = !page.rows.is_empty();
                for row in page.rows {
                    self.learn(RowTable::Operator, row, "store");
                }
                if any {
                    sleep(cfg.watch_pause.to_duration()).await;
                }
            }
            Watched::HistoryLost => {
                self.log.line(self.clock.now(), Stream::Other, &codes::HISTORY_LOST, &[]);
                sleep(self.scatter(REREAD_PAUSE).to_duration()).await;
                self.read_facts().await?;
            }
        }
        Ok(())
    }

    fn store_works(&self) {
        if !self.store_reached.replace(true) {
            self.log.line(self.clock.now(), Stream::Other, &codes::STORE_REACHED, &[]);
            self.status_changed.notify_one();
        }
    }

    /// Notes a failed call to the store.
    pub fn store_failed(&self, error: &PlatformError) {
        let lost = self.store_reached.replace(false);
        if lost || !self.store_failure_told.replace(true) {
            let fields = [("error", error.to_string().into())];
            self.log.line(self.clock.now(), Stream::Other, &codes::STORE_LOST, &fields);
            self.status_changed.notify_one();
        }
    }
}

fn card_of(row: &RowChange) -> Option<NodeDescriptor> {
    let value: NodeRow = serde_json::from_slice(row.value.as_ref()?).ok()?;
    Some(NodeDescriptor {
        node: row.key.parse().ok()?,
        address: value.address,
        data_centre: value.data_centre.try_into().ok()?,
    })
}
