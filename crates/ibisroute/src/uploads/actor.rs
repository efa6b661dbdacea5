//! Stores uploads for the traffic threads and delivers stored ones.

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

use super::row::PREFIX;
use super::row::UploadMeta;
use super::row::UploadRow;
use super::state::Deliveries;
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

/// Rows that one scan reads.
const SCAN_LIMIT: usize = 64;

/// Header of a delivery: the upload is stored already and must not be stored again.
pub const STORED_UPLOAD_HEADER: &str = "x-ibis-stored-upload";

/// Stores an upload that no target can take.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StoreUpload {
    /// The upload.
    pub meta: UploadMeta,
    /// Its body.
    pub body: CallBody,
    /// Takes the outcome.
    pub reply: oneshot::Sender<Result<(), StoreError>>,
}

/// The actor; lives on the control thread.
pub struct UploadsActor {
    cfg: UploadSettings,
    platform: Rc<dyn Platform>,
    /// This node's address for callers: deliveries take the path of a call.
    caller_addr: SocketAddr,
    members: Option<Arc<MemberView>>,
    deliveries: Deliveries,
    storing: usize,
    scanning: bool,
    clock: Clock,
}

impl UploadsActor {
    /// Makes the actor; deliveries are sent to `caller_addr`, the node's own listener for callers.
    pub fn new(cfg: UploadSettings, platform: Rc<dyn Platform>, caller_addr: SocketAddr) -> Self {
        Self {
            cfg,
            platform,
            caller_addr,
            members: None,
            deliveries: Deliveries::default(),
            storing: 0,
            scanning: false,
            clock: Clock::start(),
        }
    }

    /// Whether this node delivers stored uploads. Two nodes that both believe so deliver twice,
    /// which the upload's id lets the target recognise.
    fn delivers(&self) -> bool {
        let Some(members) = &self.members else { return false };
        members.owners("upload-delivery", 1).first().is_some_and(|m| m.node == members.local)
    }

    fn scan(&mut self, cx: &mut Context<Self>) {
        if self.scanning || !self.delivers() {
            return;
        }
        self.scanning = true;
        let rows = self.platform.scan(PREFIX, "", SCAN_LIMIT).into_actor(self);
        cx.spawn(rows.map(|result, act, cx| {
            act.scanning = false;
            if let Ok(rows) = result {
                act.deliver(rows, cx);
            }
        }));
    }

    fn deliver(&mut self, rows: Vec<Row>, cx: &mut Context<Self>) {
        let keys: Vec<SmolStr> = rows.iter().map(|r| r.key.clone()).collect();
        let chosen = self.deliveries.start(self.clock.now(), &keys, &self.cfg);
        for row in rows.into_iter().filter(|r| chosen.contains(&r.key)) {
            let key = row.key.clone();
            let delivery = deliver_row(
                self.platform.clone(),
                row,
                self.caller_addr,
                Millis(self.cfg.delivery_deadline_ms),
            );
            cx.spawn(delivery.into_actor(self).map(move |delivered, act, _| {
                let now = act.clock.now();
                act.deliveries.finish(now, &key, delivered.is_ok(), &act.cfg);
                match delivered {
                    Ok(()) => events::emit(&events::uploads::DELIVERED, format_args!("{key}")),
                    Err(e) => {
                        events::emit(&events::uploads::DELIVERY_FAILED, format_args!("{key}: {e}"));
                    }
                }
            }));
        }
    }
}

/// Sends a stored upload through this node to a target; then deletes the row and the chunks.
async fn deliver_row(
    platform: Rc<dyn Platform>,
    row: Row,
    caller_addr: SocketAddr,
    deadline: Millis,
) -> eyre::Result<()> {
    let key = row.key.clone();
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
    let body = chunks(platform.clone(), upload.clone());
    let answer =
        req.send_stream(Box::pin(body)).await.map_err(|e| eyre::eyre!("delivery failed: {e}"))?;
    if !answer.status().is_success() {
        eyre::bail!("delivery was answered with status {}", answer.status());
    }
    // The row goes first: chunks without a row are garbage, a row without chunks cannot be delivered.
    let transaction = Transaction {
        conditions: vec![crate::platform::model::Condition {
            key: key.clone(),
            revision: Some(revision),
        }],
        deletes: vec![key],
        ..Transaction::default()
    };
    platform.transact(transaction).await?;
    for n in 0..upload.chunks {
        platform.delete_object(&upload.chunk_name(n)).await?;
    }
    Ok(())
}

/// The stored body as a stream, one chunk in memory at a time.
fn chunks(
    platform: Rc<dyn Platform>,
    upload: UploadRow,
) -> impl stream::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold((platform, upload, 0), |(platform, upload, n)| async move {
        if n >= upload.chunks {
            return None;
        }
        let part = match platform.get_object(&upload.chunk_name(n)).await {
            Ok(Some(chunk)) => Ok(chunk),
            Ok(None) => Err(std::io::Error::other("a chunk is missing")),
            Err(e) => Err(std::io::Error::other(e)),
        };
        Some((part, (platform, upload, n + 1)))
    })
}

impl Actor for UploadsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        let period = Millis(self.cfg.scan_period_ms).to_duration();
        cx.run_interval(period, |act, cx| act.scan(cx));
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
        let StoreUpload { meta, body, reply } = message;
        if self.storing >= self.cfg.max_storing {
            let _ = reply.send(Err(StoreError::Busy));
            return;
        }
        self.storing += 1;
        let id = meta.id.clone();
        let stored = store(self.platform.clone(), self.cfg.clone(), meta, body).into_actor(self);
        cx.spawn(stored.map(move |result, act, _| {
            act.storing -= 1;
            match &result {
                Ok(row) => events::emit(
                    &events::uploads::STORED,
                    format_args!("{id}: {} bytes in {} chunks", row.bytes, row.chunks),
                ),
                Err(e) => events::emit(&events::uploads::NOT_STORED, format_args!("{id}: {e}")),
            }
            let _ = reply.send(result.map(|_| ()));
        }));
    }
}
