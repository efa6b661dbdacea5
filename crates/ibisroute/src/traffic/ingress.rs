//! The listener for callers.

use std::io;
use std::net::TcpListener;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::Server;
use actix_web::http::Method;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::web::Payload;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::call::BodyBroken;
use super::call::BodyReader;
use super::call::CallBody;
use super::call::CallJob;
use super::call::CallReply;
use super::call::body_stream;
use super::claim;
use super::claim::ClaimGuard;
use super::claim::Claimed;
use super::headers;
use super::refusal::Ran;
use super::refusal::Refusal;
use super::request;
use super::request::Source;
use super::response::Answer;
use super::response::ResponseCx;
use super::response::answer_response;
use super::response::recorded_response;
use super::retry::AttemptOutcome;
use super::retry::may_send_again;
use super::stored_upload;
use super::worker::Attempt;
use super::worker::AttemptEnd;
use super::worker::CallEnd;
use super::worker::InFlightGuard;
use super::worker::Shared;
use super::worker::Worker;
use crate::catalogue::model::Entry;
use crate::peers::PeerError;
use crate::peers::client::CallError;
use crate::snapshot::CompiledCatalogue;
use crate::snapshot::Endpoint;
use crate::types::InstanceId;
use crate::types::RequestId;
use crate::wire::CallHead;
use crate::wire::RefusalWire;
use crate::wire::ReplyHead;

/// Time that a node beside the target gets less than the caller, so that its precise refusal
/// arrives before this node can only say that the call may have run.
const REPLY_MARGIN_MS: u64 = 10;

/// Longest answer that is held until it is whole before the caller gets its head. Without it an
/// answer that ended right at the deadline, or was cut, broke the connection to the caller.
const MAX_HELD_ANSWER_BYTES: u64 = 64 * 1024;

/// Share of the remaining time after which a first attempt without an answer is given up, so that
/// the rest is enough for another target. Silent target connections show no other sign.
const EARLY_RETRY: f64 = 0.6;

/// Longest wait for the last bytes of responses when the listener stops. Calls in flight are waited
/// for before, because the server cannot be stopped at once while it stops gracefully.
const SHUTDOWN_S: u64 = 2;

/// Makes the server for callers on a bound listener.
pub(super) fn serve(shared: Arc<Shared>, listener: TcpListener) -> io::Result<Server> {
    let workers = shared.settings.workers.max(1);
    let index = Arc::new(AtomicU64::new(0));
    let server = HttpServer::new(move || {
        let worker = Worker::start(shared.clone(), index.fetch_add(1, Ordering::Relaxed));
        App::new().app_data(worker).default_service(web::to(handle))
    })
    .workers(workers)
    // A caller that closes its side has gone: its call is cancelled.
    .h1_allow_half_closed(false)
    .client_request_timeout(Duration::from_secs(5))
    .keep_alive(Duration::from_secs(75))
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_S)
    .listen(listener)?
    .run();
    Ok(server)
}

/// A response body that counts as in flight until it is dropped.
struct CountedBody {
    body: BoxBody,
    _in_flight: InFlightGuard,
}

impl MessageBody for CountedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

async fn handle(req: HttpRequest, payload: Payload) -> HttpResponse {
    let Some(worker) = req.app_data::<Rc<Worker>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let in_flight = worker.shared.in_flight.enter();
    let response = answer(&worker, &req, payload).await;
    response.map_body(|_, body| BoxBody::new(CountedBody { body, _in_flight: in_flight }))
}

async fn answer(worker: &Rc<Worker>, req: &HttpRequest, payload: Payload) -> HttpResponse {
    let id = request::request_id(req).unwrap_or_else(|| worker.random_id());
    let snapshot = worker.shared.snapshot.load_full();
    let unavailable = |kind, reason: &str| {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, reason).response(&id, false)
    };
    if worker.is_draining(&snapshot) {
        let mut response = unavailable("draining", "the node is stopping");
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
        return response;
    }
    let Some(config) = snapshot.config.clone() else {
        return unavailable("no-config", "the node has no configuration yet");
    };
    match accept(worker, &config, req, payload, &id).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&id, false),
    }
}

/// Checks the request, claims the key of a booking, and makes the call.
async fn accept(
    worker: &Rc<Worker>,
    config: &CompiledCatalogue,
    req: &HttpRequest,
    payload: Payload,
    id: &RequestId,
) -> Result<HttpResponse, Refusal> {
    let path = req.uri().path();
    let Some(entry) = config.match_entry(req.method().as_str(), path) else {
        let reason = format!("no entry for {} {path}", req.method());
        return Err(Refusal::not_run(StatusCode::NOT_FOUND, "unknown", reason));
    };
    metrics::counter!("ibis_calls_total", "entry" => entry.name.to_string()).increment(1);
    let began = Instant::now();
    let result = serve_entry(worker, entry, req, payload, id).await;
    let response = result.unwrap_or_else(|refusal| refusal.response(id, false));
    worker.count_call(&entry.name, CallEnd::of(&response), began.elapsed());
    Ok(response)
}

/// Serves a call of an entry.
async fn serve_entry(
    worker: &Rc<Worker>,
    entry: &Entry,
    req: &HttpRequest,
    payload: Payload,
    id: &RequestId,
) -> Result<HttpResponse, Refusal> {
    let settings = &worker.shared.settings;
    let deadline = request::deadline(req, entry)?;
    let depth = request::depth(req, settings.max_depth)?;
    let key = match &entry.idempotency_header {
        Some(name) => Some(request::idempotency_key(req, name)?),
        None => None,
    };
    let source = Source::read(req, payload, entry, settings.replay_body.0, deadline).await?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let claim = match key {
        None => None,
        Some(key) => {
            let request = (req.method().as_str(), path, &source);
            match claim::claim(worker, entry, key, request, deadline).await? {
                Claimed::Granted(guard) => Some(guard),
                Claimed::Recorded(answer) => return Ok(recorded_response(id, answer)),
            }
        }
    };
    let call = Call { worker, entry, req, path, id, deadline, depth, source };
    Ok(call.run(claim).await)
}

impl CallEnd {
    /// What the caller gets: mistakes of callers (4xx) are no failures, but a limit is a refusal.
    fn of(response: &HttpResponse) -> Self {
        let status = response.status();
        if !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS {
            return Self::Answered;
        }
        let outcome = response.headers().get(headers::OUTCOME);
        if outcome.is_some_and(|v| v.as_bytes() == b"not-run") {
            return Self::Refused;
        }
        Self::Failed
    }
}

/// What is known after an attempt.
enum Attempted {
    Answer(Box<Answer>),
    Refusal(Refusal),
}

/// One call with all its attempts.
struct Call<'a> {
    worker: &'a Rc<Worker>,
    entry: &'a Entry,
    req: &'a HttpRequest,
    path: &'a str,
    id: &'a RequestId,
    deadline: Instant,
    depth: u8,
    source: Source,
}

impl Call<'_> {
    async fn run(&self, mut claim: Option<ClaimGuard>) -> HttpResponse {
        let began = Instant::now();
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut ran = Ran::NotRun;
        let Some(mut attempt) = self.worker.choose(self.entry, self.id, &tried) else {
            let reason = format!("no target of {} is ready", self.entry.service);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-target", reason);
            return self.refuse(refusal, false).await;
        };
        loop {
            tried.push(attempt.endpoint.instance.clone());
            if let Some(claim) = claim.as_mut() {
                claim.set_may_have_run(true);
            }
            let (attempted, early) = self.attempt(attempt, &tried).await;
            let outcome = outcome_of(&attempted);
            if let Some(claim) = claim.as_mut() {
                claim.set_may_have_run(outcome != AttemptOutcome::NotRun);
            }
            if outcome != AttemptOutcome::NotRun {
                ran = Ran::MayHaveRun;
            }
            let next = early.or_else(|| self.next_attempt(&attempted, outcome, &tried));
            let retried = tried.len() > 1;
            let Some(next) = next else {
                return match attempted {
                    // An earlier attempt may have run even if the last one did not.
                    Attempted::Refusal(refusal) => {
                        self.refuse(Refusal { ran, ..refusal }, retried).await
                    }
                    Attempted::Answer(answer) => self.respond(*answer, retried, claim, began),
                };
            };
            if let Attempted::Answer(answer) = attempted {
                answer.discard();
            }
            self.worker.count_retry(&self.entry.name, &next.version);
            attempt = next;
        }
    }

    /// Chooses a target for another attempt, if one is safe and affordable.
    fn next_attempt(
        &self,
        attempted: &Attempted,
        outcome: AttemptOutcome,
        tried: &[InstanceId],
    ) -> Option<Attempt> {
        let (transient, retried) = match attempted {
            Attempted::Answer(answer) => (answer.is_transient(), answer.is_retried()),
            Attempted::Refusal(_) => (false, false),
        };
        let class = self.entry.class;
        let safe = may_send_again(class, outcome, self.source.state(), transient) && !retried;
        let connection = matches!(attempted, Attempted::Refusal(r) if r.is_of_connection());
        safe.then(|| self.choose_next(tried, connection)).flatten()
    }

    /// Chooses another target. A retry after a failed connection costs no budget: the budget limits
    /// work that targets do twice, and all calls of a connection fail together.
    fn choose_next(&self, tried: &[InstanceId], connection: bool) -> Option<Attempt> {
        if tried.len() >= self.worker.shared.settings.max_attempts
            || Instant::now() >= self.deadline
        {
            return None;
        }
        let choose = |tried: &[InstanceId]| self.worker.choose(self.entry, self.id, tried);
        // Connections to all targets may fail together; the client has replaced them by now.
        let next = choose(tried).or_else(|| connection.then(|| choose(&[])).flatten())?;
        // A target that was not reached has done nothing. Refusals of an overloaded one draw on the
        // budget for every class: sent again without limit, they would add load where there is too
        // much already.
        let paid = connection || self.worker.take_retry(self.entry);
        paid.then_some(next)
    }

    /// The point at which a first attempt without an answer is given up for another target. Only
    /// for repeatable calls whose body is held.
    fn early_retry(&self, tried: &[InstanceId]) -> Option<Instant> {
        let permitted = self.entry.class.is_repeatable()
            && tried.len() == 1
            && matches!(self.source, Source::Whole(_));
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        permitted.then(|| Instant::now() + remaining.mul_f64(EARLY_RETRY))
    }

    /// Makes an attempt. Returns the next one as well when this one was given up early.
    async fn attempt(
        &self,
        attempt: Attempt,
        tried: &[InstanceId],
    ) -> (Attempted, Option<Attempt>) {
        let (body, _copying) = self.source.open();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let head = CallHead {
            request_id: self.id.0.clone(),
            entry: self.entry.name.clone().into(),
            config_version: attempt.config_version,
            instance: attempt.endpoint.instance.clone().into(),
            deadline_ms: millis.saturating_sub(REPLY_MARGIN_MS.min(millis / 10)),
            depth: self.depth,
            method: SmolStr::new(self.req.method().as_str()),
            path: self.path.to_string(),
            headers: request::end_to_end_headers(self.req),
            body_bytes: self.source.len(),
            // A call that cannot be sent again must not meet a connection that went silent while it
            // was idle, and a second attempt must not meet another one.
            new_connection: tried.len() > 1 || !self.entry.class.is_repeatable(),
        };
        let endpoint = attempt.endpoint.clone();
        let mut sending = std::pin::pin!(self.send_held(&endpoint, head, body));
        if let Some(early) = self.early_retry(tried) {
            if let Ok(sent) = timeout_at(early.into(), &mut sending).await {
                return (self.attempted(attempt, Some(sent)), None);
            }
            if let Some(next) = self.choose_next(tried, false) {
                attempt.finish(AttemptEnd::Failed, None);
                return (
                    Attempted::Refusal(self.failure("slow", "no answer yet".to_string())),
                    Some(next),
                );
            }
        }
        let sent = timeout_at(self.deadline.into(), sending).await.ok();
        (self.attempted(attempt, sent), None)
    }

    /// Classifies the end of an attempt; `sent` is absent when the deadline has passed.
    fn attempted(&self, attempt: Attempt, sent: Option<Result<CallReply, CallError>>) -> Attempted {
        let reply = match sent {
            Some(Ok(reply)) => reply,
            Some(Err(CallError::NotSent(e))) => {
                attempt.finish(AttemptEnd::NodeUnreachable, None);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Attempted::Refusal(Refusal::not_run(status, "peer", e.to_string()));
            }
            Some(Err(CallError::Reset(e))) => {
                attempt.finish(AttemptEnd::Failed, None);
                return Attempted::Refusal(self.failure("target", e.to_string()));
            }
            Some(Err(CallError::Failed(e))) => {
                attempt.finish(AttemptEnd::Broken, None);
                return Attempted::Refusal(self.failure("peer", e.to_string()));
            }
            None => {
                attempt.finish(AttemptEnd::Failed, None);
                return Attempted::Refusal(
                    self.failure("deadline", "no answer in time".to_string()),
                );
            }
        };
        let CallReply { head, body } = reply;
        match head {
            ReplyHead::Answer { status, headers, body_bytes, load, .. } => {
                let mut answer = Answer { status, headers, body_bytes, body, load, attempt };
                if let Some(service) = answer.service_time() {
                    answer.attempt.note_service_time(service);
                }
                Attempted::Answer(Box::new(answer))
            }
            ReplyHead::Refused { reason, load, .. } => {
                let unreachable = reason == RefusalWire::Unreachable;
                let end = if unreachable { AttemptEnd::Unreachable } else { AttemptEnd::Refused };
                attempt.finish(end, Some(load));
                Attempted::Refusal(Refusal::of_target(reason))
            }
            ReplyHead::Failed { reason, load, .. } => {
                attempt.finish(AttemptEnd::Failed, Some(load));
                Attempted::Refusal(self.failure("target", reason.to_string()))
            }
        }
    }

    /// Sends a call, and waits for the whole body of a short answer. Once the head of a response is
    /// on its way, a body that is cut or late can only break the connection to the caller.
    async fn send_held(
        &self,
        endpoint: &Endpoint,
        head: CallHead,
        body: CallBody,
    ) -> Result<CallReply, CallError> {
        let mut reply = self.send(endpoint, head, body).await?;
        let is_short = matches!(&reply.head,
            ReplyHead::Answer { body_bytes: Some(n), .. } if *n <= MAX_HELD_ANSWER_BYTES);
        if let Some(body) = reply.body.take_if(|_| is_short) {
            let held = hold(body).await.map_err(|e| {
                CallError::Reset(PeerError::Broken(endpoint.peer_addr, e.to_string()))
            })?;
            reply.body = Some(held);
        }
        Ok(reply)
    }

    /// Sends a call to the node beside the target, or directly to a target beside this node.
    async fn send(
        &self,
        endpoint: &Endpoint,
        head: CallHead,
        body: CallBody,
    ) -> Result<CallReply, CallError> {
        if !endpoint.local {
            return self.worker.peers.call(endpoint.peer_addr, &head, body).await;
        }
        let ended = || {
            let reason = "the dispatch thread has ended".to_string();
            PeerError::Unreachable(endpoint.peer_addr, reason)
        };
        let (reply, rx) = oneshot::channel();
        if !self.worker.shared.dispatch.call(CallJob { head, body, reply }) {
            return Err(CallError::NotSent(ended()));
        }
        rx.await.map_err(|_| CallError::Failed(ended()))
    }

    fn failure(&self, kind: &'static str, reason: String) -> Refusal {
        if let Some(refusal) = self.source.overrun() {
            return refusal;
        }
        let passed = Instant::now() >= self.deadline;
        let status =
            if passed { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::SERVICE_UNAVAILABLE };
        Refusal::may_have_run(status, kind, reason)
    }

    /// Stores an upload that no target can take; anything else gets the refusal.
    async fn refuse(&self, refusal: Refusal, retried: bool) -> HttpResponse {
        if !stored_upload::can_store(self.req, self.entry, &self.source, &refusal) {
            return refusal.response(self.id, retried);
        }
        let request = (self.req, self.path, self.id);
        let stored =
            stored_upload::store(self.worker, request, self.entry, &self.source, self.deadline);
        match stored.await {
            Ok(response) => response,
            Err(refusal) => refusal.response(self.id, retried),
        }
    }

    fn respond(
        &self,
        answer: Answer,
        retried: bool,
        claim: Option<ClaimGuard>,
        began: Instant,
    ) -> HttpResponse {
        if let Some(service) = answer.service_time() {
            let added = began.elapsed().saturating_sub(service);
            metrics::histogram!("ibis_added_latency_seconds").record(added.as_secs_f64());
        }
        let cx = ResponseCx {
            worker: self.worker,
            entry: self.entry,
            id: self.id,
            head_only: self.req.method() == Method::HEAD,
            deadline: self.deadline,
            retried,
        };
        answer_response(&cx, answer, claim)
    }
}

/// Reads a short body to its end; the reader returned gives it without waiting.
async fn hold(mut body: BodyReader) -> Result<BodyReader, BodyBroken> {
    let mut buf = BytesMut::new();
    while let Some(data) = body.next().await {
        buf.extend_from_slice(&data?);
    }
    let (writer, _, reader) = body_stream();
    // The channel has room for a chunk and the end.
    if !buf.is_empty() {
        writer.send(buf.freeze()).await;
    }
    writer.end().await;
    Ok(reader)
}

fn outcome_of(attempted: &Attempted) -> AttemptOutcome {
    match attempted {
        Attempted::Answer(_) => AttemptOutcome::Answer,
        Attempted::Refusal(refusal) if refusal.ran == Ran::NotRun => AttemptOutcome::NotRun,
        Attempted::Refusal(_) => AttemptOutcome::MayHaveRun,
    }
}
