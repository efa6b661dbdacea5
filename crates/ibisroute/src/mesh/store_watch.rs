//! Reads the store: whole tables at the start, then changes while this node is one of the
//! [`MeshPeerSettings::readers`](super::mesh_settings::MeshPeerSettings::readers) that watch the store on
//! behalf of all nodes.

use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::decision_log::LineClass;
use super::frames::NodeDescriptor;
use super::node::Node;
use super::replicated_rows::RowChange;
use super::replicated_rows::RowOrigin;
use super::replicated_rows::RowTable;
use super::replicated_rows::RowVersion;
use super::store::RowWrite;
use super::store::WatchOutcome;
use crate::events::mesh as codes;
use crate::platform::model::PlatformError;
use crate::types::Millis;

/// Table in which each node writes its address and data centre. The keys are the names of the nodes.
pub const NODES_TABLE: &str = "ibis-nodes";

/// Pause after the first failed call to the store; doubled with each further failure up to
/// [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Millis = Millis(100);

/// Longest pause after failed calls to the store; bounds the time until a node notices that the store
/// has recovered.
const MAX_RETRY_PAUSE: Millis = Millis(800);

/// Interval at which a node that does not watch the store checks whether it has become one of the
/// readers.
const READER_CHECK_INTERVAL: Millis = Millis(150);

/// Time for which a starting node waits for its peers to send the operator's rows before it reads them
/// from the store.
const PEER_ROWS_TIMEOUT: Millis = Millis(400);

/// Interval at which a starting node checks whether the operator's rows have arrived from a peer.
const PEER_ROWS_CHECK_INTERVAL: Millis = Millis(20);

/// Mean pause before reading a row that is too long to be sent between nodes. All nodes discover such a
/// row at the same time, and the jitter of the pause spreads their reads.
const READ_DELAY: Millis = Millis(60);

/// Pause before the tables are read again after the store has discarded its change history. Reads after
/// such a loss may return rows that are seconds old.
const REREAD_PAUSE: Millis = Millis(200);

/// Value of a row in [`NODES_TABLE`].
#[derive(Serialize, Deserialize)]
struct NodeRow {
    address: std::net::SocketAddr,
    data_centre: SmolStr,
}

impl Node {
    /// Reads and watches the store; never returns.
    pub async fn follow_store(self: Rc<Self>) {
        let mut pause = FIRST_RETRY_PAUSE;
        while let Err(e) = self.join().await {
            self.on_store_failure(&e);
            sleep(self.jitter(pause).to_duration()).await;
            pause = Millis((pause.0 * 2).min(MAX_RETRY_PAUSE.0));
        }
        pause = FIRST_RETRY_PAUSE;
        loop {
            let wake_up = tokio::time::timeout(READER_CHECK_INTERVAL.to_duration(), async {
                if !self.is_reader() {
                    self.read_requested.notified().await;
                }
            });
            if wake_up.await.is_err() {
                continue;
            }
            let result = if self.is_reader() && self.watch_version.get() > RowVersion(0) {
                self.watch_once().await
            } else {
                sleep(self.jitter(READ_DELAY).to_duration()).await;
                self.read_missing_rows().await
            };
            match result {
                Ok(()) => pause = FIRST_RETRY_PAUSE,
                Err(e) => {
                    self.on_store_failure(&e);
                    sleep(self.jitter(pause).to_duration()).await;
                    pause = Millis((pause.0 * 2).min(MAX_RETRY_PAUSE.0));
                }
            }
        }
    }

    /// Returns whether this node watches the store for the other nodes. A node that cannot reach the
    /// store also tries to watch it, so that it notices when the store recovers.
    fn is_reader(&self) -> bool {
        !self.store_reached.get() || self.peers.rank(&self.descriptor.node) < self.cfg.peers.readers
    }

    /// Writes this node's row and discovers the other nodes. The operator's rows come from a peer if
    /// one has them, or else from the store.
    async fn join(self: &Rc<Self>) -> Result<(), PlatformError> {
        // At the first start of the system the table is empty, so the first read is skipped.
        let registered = !self.cfg.first_start && self.read_nodes_table().await?;
        if !registered {
            let row = NodeRow {
                address: self.descriptor.address,
                data_centre: self.descriptor.data_centre.clone().into(),
            };
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let row_write = RowWrite {
                table: NODES_TABLE,
                key: self.descriptor.node.clone().into(),
                value: Some(value.into()),
                expected_version: None,
            };
            self.store.write(row_write).await?;
            // A node that read the table before this write does not know this node, but has written its
            // own row, which this second read finds.
            self.read_nodes_table().await?;
        }
        self.on_store_success();
        self.wait_for_operator_rows().await;
        Ok(())
    }

    /// Waits until peers have sent the operator's rows, or until this node has to read them from the
    /// store.
    async fn wait_for_operator_rows(&self) {
        let deadline_ms = self.clock.now().0 + PEER_ROWS_TIMEOUT.0;
        while self.config().is_none() && self.clock.now().0 < deadline_ms {
            if self.peers.must_read_store(&self.descriptor.node, self.cfg.peers.readers) {
                return;
            }
            tokio::select! {
                // A peer has rows that are too long to send, so this node reads them from the store.
                () = self.read_requested.notified() => {
                    self.read_requested.notify_one();
                    return;
                }
                () = sleep(PEER_ROWS_CHECK_INTERVAL.to_duration()) => {}
            }
        }
    }

    /// Reads the rows that this node lacks; does nothing if they have arrived in the meantime. Several
    /// peers may report the same rows while the first read is still running over a slow network link.
    async fn read_missing_rows(self: &Rc<Self>) -> Result<(), PlatformError> {
        let (newest, has_missing) = {
            let rows = self.replicated_rows.borrow();
            (rows.newest(), rows.has_missing())
        };
        if newest > RowVersion(0) && !has_missing && !self.is_reader() {
            return Ok(());
        }
        self.reading_store.set(true);
        let result = match newest {
            RowVersion(0) => self.read_replicated_tables().await,
            // Status rows are short and come from peers.
            _ => self.read_operator_table().await,
        };
        self.reading_store.set(false);
        result
    }

    /// Reads the status table and the operator's table.
    async fn read_replicated_tables(self: &Rc<Self>) -> Result<(), PlatformError> {
        let table = RowTable::Status.name();
        self.read_table(table, |row| self.apply_row(RowTable::Status, row, RowOrigin::TableRead))
            .await?;
        self.read_operator_table().await
    }

    /// Reads the operator's table. The next watch begins at the version of the first page, so that it
    /// misses no change.
    async fn read_operator_table(self: &Rc<Self>) -> Result<(), PlatformError> {
        let table = RowTable::Operator.name();
        let version = self
            .read_table(table, |row| self.apply_row(RowTable::Operator, row, RowOrigin::TableRead));
        self.watch_version.set(version.await?);
        self.on_store_success();
        Ok(())
    }

    /// Reads the table of nodes. Returns whether it holds an up-to-date row of this node.
    async fn read_nodes_table(self: &Rc<Self>) -> Result<bool, PlatformError> {
        let mut registered = false;
        self.read_table(NODES_TABLE, |row| {
            let Some(descriptor) = decode_node_row(&row) else { return };
            registered |= descriptor == self.descriptor;
            self.discover_peer(&descriptor);
        })
        .await?;
        Ok(registered)
    }

    /// Reads a whole table and passes its rows to `on_row`. Returns the version of the store at the first
    /// page.
    async fn read_table(
        &self,
        table: &'static str,
        mut on_row: impl FnMut(RowChange),
    ) -> Result<RowVersion, PlatformError> {
        let mut from = String::new();
        let mut version = None;
        loop {
            let page = self.store.read(table, &from).await?;
            version.get_or_insert(page.version);
            let last_key = page.rows.last().map(|r| r.key.to_string());
            page.rows.into_iter().for_each(&mut on_row);
            match last_key.filter(|_| page.has_more) {
                // The next page begins at the smallest key that is greater than the last one of this
                // page.
                Some(last_key) => from = format!("{last_key}\0"),
                None => return Ok(version.unwrap_or_default()),
            }
        }
    }

    /// Sends one watch request for the operator's table, and applies the changes in its response.
    async fn watch_once(self: &Rc<Self>) -> Result<(), PlatformError> {
        let cfg = self.cfg.peers;
        let table = RowTable::Operator.name();
        match self.store.watch(table, self.watch_version.get(), cfg.watch).await? {
            WatchOutcome::Changes(page) => {
                self.watch_version.set(self.watch_version.get().max(page.version));
                self.on_store_success();
                let has_changes = !page.rows.is_empty();
                for row in page.rows {
                    self.apply_row(RowTable::Operator, row, RowOrigin::Change);
                }
                if has_changes {
                    sleep(cfg.watch_pause.to_duration()).await;
                }
            }
            WatchOutcome::HistoryLost => {
                self.log.line(self.clock.now(), LineClass::Other, &codes::HISTORY_LOST, &[]);
                sleep(self.jitter(REREAD_PAUSE).to_duration()).await;
                self.read_replicated_tables().await?;
            }
        }
        Ok(())
    }

    /// Handles a successful call to the store; logs it and notifies the peers if the previous call
    /// failed or this was the first.
    fn on_store_success(&self) {
        if !self.store_reached.replace(true) {
            self.log.line(self.clock.now(), LineClass::Other, &codes::STORE_REACHED, &[]);
            self.status_changed.notify_one();
        }
    }

    /// Handles a failed call to the store; logs the first failure after a success or after the start.
    pub fn on_store_failure(&self, error: &PlatformError) {
        let was_reached = self.store_reached.replace(false);
        if was_reached || !self.store_failure_logged.replace(true) {
            let fields = [("error", error.to_string().into())];
            self.log.line(self.clock.now(), LineClass::Other, &codes::STORE_LOST, &fields);
            self.status_changed.notify_one();
        }
    }
}

fn decode_node_row(row: &RowChange) -> Option<NodeDescriptor> {
    let value: NodeRow = serde_json::from_slice(row.value.as_ref()?).ok()?;
    Some(NodeDescriptor {
        node: row.key.parse().ok()?,
        address: value.address,
        data_centre: value.data_centre.try_into().ok()?,
    })
}
