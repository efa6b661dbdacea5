//! Stores uploads for the traffic threads and delivers stored uploads to targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::WrapFuture;
use bytes::Bytes;
use futures_util::stream;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::delivery;
use super::row::DELIVERED_PREFIX;
use super::row::UPLOAD_PREFIX;
use super::row::UploadMeta;
use super::row::UploadRow;
use super::state::DeliveredRows;
use super::state::DeliverySchedule;
use super::state::PAGE_ROWS;
use super::store::StoreError;
use super::store::store;
use super::upload_settings::UploadSettings;
use crate::clock::Clock;
use crate::events;
use crate::membership::record::MemberView;
use crate::node::messages::MembersChanged;
use crate::platform::Platform;
use crate::platform::model::Row;
use crate::platform::model::Transaction;
use crate::traffic::call::CallBody;
use crate::types::Millis;

/// Header that marks the delivery of a stored upload, so that the node does not store it again.
pub const STORED_UPLOAD_HEADER: &str = "x-ibis-stored-upload";

/// Request to store an upload that no target can accept.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StoreUpload {
    pub meta: UploadMeta,
    pub body: CallBody,
    pub reply_tx: oneshot::Sender<Result<(), StoreError>>,
}

/// Actor that stores and delivers uploads; runs on the control thread.
pub struct UploadsActor {
    cfg: UploadSettings,
    platform: Rc<dyn Platform>,
    /// Address of this node's own listener for callers; deliveries are dispatched like any call.
    caller_addr: SocketAddr,
    members: Option<Arc<MemberView>>,
    deliveries: DeliverySchedule,
    delivered: DeliveredRows,
    /// Number of uploads that are being stored.
    stores_in_flight: usize,
    /// Whether a scan for upload rows is in flight.
    scan_in_flight: bool,
    clock: Clock,
}

impl UploadsActor {
    /// Creates the actor; deliveries are sent to `caller_addr`, the node's own listener for
    /// callers.
    pub fn new(cfg: UploadSettings, platform: Rc<dyn Platform>, caller_addr: SocketAddr) -> Self {
        Self {
            cfg,
            platform,
            caller_addr,
            members: None,
            deliveries: DeliverySchedule::default(),
            delivered: DeliveredRows::default(),
            stores_in_flight: 0,
            scan_in_flight: false,
            clock: Clock::start(),
        }
    }

    /// Whether this node delivers stored uploads. While two nodes both regard themselves as the
    /// delivering node, an upload may be delivered twice; the target recognises the second delivery
    /// by the upload's id.
    fn is_delivery_node(&self) -> bool {
        let Some(members) = &self.members else { return false };
        members.owners("upload-delivery", 1).first().is_some_and(|m| m.node == members.local)
    }

    /// Starts a scan for upload rows if this is the delivering node; the rows found are delivered.
    fn scan(&mut self, cx: &mut Context<Self>) {
        if self.scan_in_flight || !self.is_delivery_node() {
            return;
        }
        self.scan_in_flight = true;
        let scan_future =
            self.platform.scan(UPLOAD_PREFIX, self.deliveries.scan_after(), PAGE_ROWS);
        cx.spawn(scan_future.into_actor(self).map(|result, act, cx| {
            act.scan_in_flight = false;
            if let Ok(rows) = result {
                act.deliver_due(rows, cx);
            }
        }));
    }

    /// Deletes old rows of delivered uploads if this is the delivering node.
    fn prune_delivered(&self, cx: &mut Context<Self>) {
        if !self.is_delivery_node() {
            return;
        }
        let scan_future =
            self.platform.scan(DELIVERED_PREFIX, self.delivered.scan_after(), PAGE_ROWS);
        cx.spawn(scan_future.into_actor(self).map(|result, act, cx| {
            let Ok(rows) = result else { return };
            let keys: Vec<SmolStr> = rows.into_iter().map(|r| r.key).collect();
            let deletes = act.delivered.expired(act.clock.now(), &keys, &act.cfg);
            if deletes.is_empty() {
                return;
            }
            let deletion = act.platform.transact(Transaction { deletes, ..Transaction::default() });
            // Rows that a failed write leaves are found by a later scan.
            cx.spawn(deletion.into_actor(act).map(|_, _, _| ()));
        }));
    }

    /// Starts the deliveries of the uploads that are due.
    fn deliver_due(&mut self, rows: Vec<Row>, cx: &mut Context<Self>) {
        let keys: Vec<SmolStr> = rows.iter().map(|r| r.key.clone()).collect();
        let due_keys = self.deliveries.start(self.clock.now(), &keys, &self.cfg);
        for row in rows.into_iter().filter(|r| due_keys.contains(&r.key)) {
            let key = row.key.clone();
            let delivery = deliver_row(
                self.platform.clone(),
                row,
                self.caller_addr,
                Millis(self.cfg.delivery_deadline_ms),
            );
            cx.spawn(delivery.into_actor(self).map(move |result, act, _| {
                let now = act.clock.now();
                act.deliveries.finish(now, &key, result.is_ok(), &act.cfg);
                match result {
                    Ok(()) => events::emit(&events::uploads::DELIVERED, format_args!("{key}")),
                    Err(e) => {
                        events::emit(&events::uploads::DELIVERY_FAILED, format_args!("{key}: {e}"));
                    }
                }
            }));
        }
    }
}

/// Sends a stored upload through this node to a target, then deletes the row and the chunks.
async fn deliver_row(
    platform: Rc<dyn Platform>,
    row: Row,
    caller_addr: SocketAddr,
    deadline: Millis,
) -> eyre::Result<()> {
    let revision = row.revision;
    let upload: UploadRow = serde_json::from_value(row.value)?;
    let method = awc::http::Method::from_bytes(upload.meta.method.as_bytes())?;
    let url = format!("http://{caller_addr}{}", upload.meta.path);
    let client = awc::Client::builder().disable_timeout().finish();
    let mut req = client
        .request(method, url)
        .timeout(deadline.to_duration())
        .insert_header(("x-request-id", upload.meta.id.to_string()))
        .insert_header(("x-ibis-deadline-ms", deadline.0.to_string()))
        .insert_header((STORED_UPLOAD_HEADER, "1"));
    for (name, value) in &upload.meta.headers {
        req = req.append_header((name.as_str(), value.as_str()));
    }
    let body = chunk_stream(platform.clone(), upload.clone());
    let response =
        req.send_stream(Box::pin(body)).await.map_err(|e| eyre::eyre!("delivery failed: {e}"))?;
    if !response.status().is_success() {
        eyre::bail!("delivery failed: status {}", response.status());
    }
    delivery::complete(&platform, revision, &upload).await
}

/// Streams the stored body with one chunk in memory at a time.
fn chunk_stream(
    platform: Rc<dyn Platform>,
    upload: UploadRow,
) -> impl stream::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold((platform, upload, 0), |(platform, upload, n)| async move {
        if n >= upload.chunks {
            return None;
        }
        let chunk = match platform.get_object(&upload.chunk_name(n)).await {
            Ok(Some(chunk)) => Ok(chunk),
            Ok(None) => Err(std::io::Error::other("a chunk of the stored upload is missing")),
            Err(e) => Err(std::io::Error::other(e)),
        };
        Some((chunk, (platform, upload, n + 1)))
    })
}

impl Actor for UploadsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        let scan_period = Millis(self.cfg.scan_period_ms).to_duration();
        cx.run_interval(scan_period, |act, cx| act.scan(cx));
        let prune_period = Millis(self.cfg.delivered_kept_ms / 4).to_duration();
        cx.run_interval(prune_period, |act, cx| act.prune_delivered(cx));
    }
}

impl Handler<MembersChanged> for UploadsActor {
    type Result = ();

    fn handle(&mut self, message: MembersChanged, _cx: &mut Self::Context) {
        self.members = Some(message.0);
    }
}

impl Handler<StoreUpload> for UploadsActor {
    type Result = ();

    fn handle(&mut self, message: StoreUpload, cx: &mut Self::Context) {
        let StoreUpload { meta, body, reply_tx } = message;
        if self.stores_in_flight >= self.cfg.max_storing {
            let _ = reply_tx.send(Err(StoreError::Busy));
            return;
        }
        self.stores_in_flight += 1;
        let id = meta.id.clone();
        let store_future =
            store(self.platform.clone(), self.cfg.clone(), meta, body).into_actor(self);
        cx.spawn(store_future.map(move |result, act, _| {
            act.stores_in_flight -= 1;
            match &result {
                Ok(row) => events::emit(
                    &events::uploads::STORED,
                    format_args!("{id}: {} bytes in {} chunks", row.bytes, row.chunks),
                ),
                Err(e) => events::emit(&events::uploads::NOT_STORED, format_args!("{id}: {e}")),
            }
            let _ = reply_tx.send(result.map(|_| ()));
        }));
    }
}
