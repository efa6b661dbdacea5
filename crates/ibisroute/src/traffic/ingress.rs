//! HTTP listener for callers: checks requests, makes attempts and returns responses.

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

use super::call::BodyReader;
use super::call::BodyTruncated;
use super::call::CallBody;
use super::call::CallJob;
use super::call::CallReply;
use super::call::body_stream;
use super::claim;
use super::claim::ClaimGuard;
use super::claim::ClaimOutcome;
use super::headers;
use super::refusal::Execution;
use super::refusal::Refusal;
use super::request;
use super::request::RequestBody;
use super::response::AttemptResponse;
use super::response::ResponseCx;
use super::response::forward_response;
use super::response::recorded_response;
use super::retry::AttemptOutcome;
use super::retry::may_retry;
use super::stored_upload;
use super::worker::Attempt;
use super::worker::AttemptEnd;
use super::worker::CallOutcome;
use super::worker::InFlightGuard;
use super::worker::SharedState;
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

/// Margin by which the deadline sent to the target's node is earlier than that of the caller. It
/// lets a precise refusal arrive before this node's own timeout, which can only report "may have
/// run".
const DEADLINE_MARGIN_MS: u64 = 10;

/// Largest response body that is buffered completely before the response head is sent to the
/// caller. Without the buffer, a response that is truncated or ends right at the deadline breaks
/// the connection to the caller.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 * 1024;

/// Fraction of the remaining time after which a first attempt without a response is abandoned, so
/// that the rest is enough for another target. An unresponsive connection cannot be detected
/// otherwise.
const EARLY_RETRY_TIME_FRACTION: f64 = 0.6;

/// Timeout for writing the rest of buffered responses when the listener stops. The drain waits for
/// calls in flight before it stops the server, because a graceful stop of the server cannot be
/// turned into an immediate one.
const SHUTDOWN_TIMEOUT_S: u64 = 2;

/// Creates the HTTP server for callers on a bound listener.
pub(super) fn serve(shared: Arc<SharedState>, listener: TcpListener) -> io::Result<Server> {
    let workers = shared.settings.workers.max(1);
    let next_worker_index = Arc::new(AtomicU64::new(0));
    let server = HttpServer::new(move || {
        let worker =
            Worker::start(shared.clone(), next_worker_index.fetch_add(1, Ordering::Relaxed));
        App::new().app_data(worker).default_service(web::to(handle_request))
    })
    .workers(workers)
    // A caller that closes its sending side is treated as disconnected, and its call is cancelled.
    .h1_allow_half_closed(false)
    .client_request_timeout(Duration::from_secs(5))
    .keep_alive(Duration::from_secs(75))
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .listen(listener)?
    .run();
    Ok(server)
}

/// A response body whose call counts as in flight until the body is dropped.
struct CountedBody {
    body: BoxBody,
    _in_flight_guard: InFlightGuard,
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

async fn handle_request(req: HttpRequest, payload: Payload) -> HttpResponse {
    let Some(worker) = req.app_data::<Rc<Worker>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let in_flight_guard = worker.shared.in_flight.start_call();
    let response = respond(&worker, &req, payload).await;
    response
        .map_body(|_, body| BoxBody::new(CountedBody { body, _in_flight_guard: in_flight_guard }))
}

/// Refuses a request that this node cannot serve now; otherwise serves it.
async fn respond(worker: &Rc<Worker>, req: &HttpRequest, payload: Payload) -> HttpResponse {
    let id = request::request_id(req).unwrap_or_else(|| worker.random_id());
    let snapshot = worker.shared.snapshot.load_full();
    let unavailable_response = |kind, reason: &str| {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, reason).response(&id, false)
    };
    if worker.is_draining(&snapshot) {
        let mut response = unavailable_response("draining", "the node is stopping");
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
        return response;
    }
    let Some(config) = snapshot.config.clone() else {
        return unavailable_response("no-config", "the node has no configuration yet");
    };
    match route(worker, &config, req, payload, &id).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&id, false),
    }
}

/// Finds the entry of a request, serves the call, and counts it.
async fn route(
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
    let started_at = Instant::now();
    let result = serve_entry(worker, entry, req, payload, id).await;
    let response = result.unwrap_or_else(|refusal| refusal.response(id, false));
    worker.count_call(&entry.name, CallOutcome::of(&response), started_at.elapsed());
    Ok(response)
}

/// Checks a request of an entry, claims the key of a booking, and makes the call.
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
    let idempotency_key = match &entry.idempotency_header {
        Some(name) => Some(request::idempotency_key(req, name)?),
        None => None,
    };
    let request_body =
        RequestBody::read(req, payload, entry, settings.replay_body.0, deadline).await?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let claim = match idempotency_key {
        None => None,
        Some(idempotency_key) => {
            let request = (req.method().as_str(), path, &request_body);
            match claim::claim_key(worker, entry, idempotency_key, request, deadline).await? {
                ClaimOutcome::Granted(guard) => Some(guard),
                ClaimOutcome::Recorded(recorded) => return Ok(recorded_response(id, recorded)),
            }
        }
    };
    let call = Call { worker, entry, req, path, id, deadline, depth, request_body };
    Ok(call.run(claim).await)
}

impl CallOutcome {
    /// Classifies a response to a caller. Client errors (4xx) are not failures, except 429, which
    /// reports a limit.
    fn of(response: &HttpResponse) -> Self {
        let status = response.status();
        if !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS {
            return Self::Completed;
        }
        let outcome_header = response.headers().get(headers::OUTCOME);
        if outcome_header.is_some_and(|v| v.as_bytes() == b"not-run") {
            return Self::Refused;
        }
        Self::Failed
    }
}

/// Response of the target to one attempt, or the refusal that takes its place.
enum AttemptResult {
    Response(Box<AttemptResponse>),
    Refusal(Refusal),
}

/// A call with all its attempts.
struct Call<'a> {
    worker: &'a Rc<Worker>,
    entry: &'a Entry,
    req: &'a HttpRequest,
    path: &'a str,
    id: &'a RequestId,
    deadline: Instant,
    depth: u8,
    request_body: RequestBody,
}

impl Call<'_> {
    /// Makes attempts until one succeeds or no further attempt is safe or permitted.
    async fn run(&self, mut claim: Option<ClaimGuard>) -> HttpResponse {
        let started_at = Instant::now();
        let mut tried_instances: Vec<InstanceId> = Vec::new();
        let mut execution = Execution::NotRun;
        let Some(mut attempt) = self.worker.choose_attempt(self.entry, self.id, &tried_instances)
        else {
            let reason = format!("no target of {} is ready", self.entry.service);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-target", reason);
            return self.refuse(refusal, false).await;
        };
        loop {
            tried_instances.push(attempt.endpoint.instance.clone());
            if let Some(claim) = claim.as_mut() {
                claim.set_may_have_run(true);
            }
            let (result, early_retry_attempt) = self.make_attempt(attempt, &tried_instances).await;
            let outcome = outcome_of(&result);
            if let Some(claim) = claim.as_mut() {
                claim.set_may_have_run(outcome != AttemptOutcome::NotRun);
            }
            if outcome != AttemptOutcome::NotRun {
                execution = Execution::MayHaveRun;
            }
            let retry_attempt = early_retry_attempt
                .or_else(|| self.next_attempt(&result, outcome, &tried_instances));
            let retried = tried_instances.len() > 1;
            let Some(retry_attempt) = retry_attempt else {
                return match result {
                    // An earlier attempt may have run even if the last one has not.
                    AttemptResult::Refusal(refusal) => {
                        self.refuse(Refusal { execution, ..refusal }, retried).await
                    }
                    AttemptResult::Response(resp) => {
                        self.respond(*resp, retried, claim, started_at)
                    }
                };
            };
            if let AttemptResult::Response(response) = result {
                response.discard();
            }
            self.worker.count_retry(&self.entry.name, &retry_attempt.version);
            attempt = retry_attempt;
        }
    }

    /// Chooses a target for another attempt, if a retry is safe and within the budget.
    fn next_attempt(
        &self,
        result: &AttemptResult,
        outcome: AttemptOutcome,
        tried_instances: &[InstanceId],
    ) -> Option<Attempt> {
        let (is_transient, retried) = match result {
            AttemptResult::Response(response) => (response.is_transient(), response.is_retried()),
            AttemptResult::Refusal(_) => (false, false),
        };
        let class = self.entry.class;
        let is_safe =
            may_retry(class, outcome, self.request_body.body_state(), is_transient) && !retried;
        let connection_failed =
            matches!(result, AttemptResult::Refusal(r) if r.is_connection_failure());
        is_safe.then(|| self.choose_next(tried_instances, connection_failed)).flatten()
    }

    /// Chooses another target. A retry after a failed connection is not charged to the retry
    /// budget: the budget limits work that targets do twice, and all calls of a connection fail
    /// together.
    fn choose_next(
        &self,
        tried_instances: &[InstanceId],
        connection_failed: bool,
    ) -> Option<Attempt> {
        if tried_instances.len() >= self.worker.shared.settings.max_attempts
            || Instant::now() >= self.deadline
        {
            return None;
        }
        let choose_excluding = |tried_instances: &[InstanceId]| {
            self.worker.choose_attempt(self.entry, self.id, tried_instances)
        };
        // Connections to all targets may fail together. The peer client opens new ones, so a target
        // that was tried on a failed connection may be tried again.
        let retry_attempt = choose_excluding(tried_instances)
            .or_else(|| connection_failed.then(|| choose_excluding(&[])).flatten())?;
        // A target that was not reached has done no work. Retries after refusals by an overloaded
        // target are charged, whatever the class of the entry: without a limit they would add to
        // the overload.
        let within_budget = connection_failed || self.worker.try_spend_retry(self.entry);
        within_budget.then_some(retry_attempt)
    }

    /// Returns the time at which a first attempt without a response is abandoned for another
    /// target. `None` unless the call is retryable and its body is in memory.
    fn early_retry_at(&self, tried_instances: &[InstanceId]) -> Option<Instant> {
        let is_permitted = self.entry.class.is_repeatable()
            && tried_instances.len() == 1
            && matches!(self.request_body, RequestBody::Whole(_));
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        is_permitted.then(|| Instant::now() + time_left.mul_f64(EARLY_RETRY_TIME_FRACTION))
    }

    /// Makes an attempt. Also returns the next attempt when this one was abandoned early.
    async fn make_attempt(
        &self,
        attempt: Attempt,
        tried_instances: &[InstanceId],
    ) -> (AttemptResult, Option<Attempt>) {
        let (body, _copy_task) = self.request_body.body_for_attempt();
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let head = CallHead {
            request_id: self.id.0.clone(),
            entry: self.entry.name.clone().into(),
            config_version: attempt.config_version,
            instance: attempt.endpoint.instance.clone().into(),
            deadline_ms: remaining_ms.saturating_sub(DEADLINE_MARGIN_MS.min(remaining_ms / 10)),
            depth: self.depth,
            method: SmolStr::new(self.req.method().as_str()),
            path: self.path.to_string(),
            headers: request::end_to_end_headers(self.req),
            body_bytes: self.request_body.len(),
            // An idle connection may have become unresponsive. It must not be used for a call that
            // cannot be retried, nor for a second attempt, since the first may have failed on an
            // unresponsive connection.
            new_connection: tried_instances.len() > 1 || !self.entry.class.is_repeatable(),
        };
        let endpoint = attempt.endpoint.clone();
        let mut reply_future = std::pin::pin!(self.send_buffered(&endpoint, head, body));
        if let Some(early_retry_at) = self.early_retry_at(tried_instances) {
            if let Ok(result) = timeout_at(early_retry_at.into(), &mut reply_future).await {
                return (self.classify_result(attempt, Some(result)), None);
            }
            if let Some(retry_attempt) = self.choose_next(tried_instances, false) {
                attempt.finish(AttemptEnd::Failed, None);
                return (
                    AttemptResult::Refusal(
                        self.failure_refusal("slow", "no answer yet".to_string()),
                    ),
                    Some(retry_attempt),
                );
            }
        }
        let result = timeout_at(self.deadline.into(), reply_future).await.ok();
        (self.classify_result(attempt, result), None)
    }

    /// Ends an attempt and classifies its result. `result` is `None` when the deadline has expired.
    fn classify_result(
        &self,
        attempt: Attempt,
        result: Option<Result<CallReply, CallError>>,
    ) -> AttemptResult {
        let reply = match result {
            Some(Ok(reply)) => reply,
            Some(Err(CallError::NotSent(e))) => {
                attempt.finish(AttemptEnd::NodeUnreachable, None);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return AttemptResult::Refusal(Refusal::not_run(status, "peer", e.to_string()));
            }
            Some(Err(CallError::Reset(e))) => {
                attempt.finish(AttemptEnd::Failed, None);
                return AttemptResult::Refusal(self.failure_refusal("target", e.to_string()));
            }
            Some(Err(CallError::Failed(e))) => {
                attempt.finish(AttemptEnd::ConnectionLost, None);
                return AttemptResult::Refusal(self.failure_refusal("peer", e.to_string()));
            }
            None => {
                attempt.finish(AttemptEnd::Failed, None);
                return AttemptResult::Refusal(
                    self.failure_refusal("deadline", "no answer in time".to_string()),
                );
            }
        };
        let CallReply { head, body } = reply;
        match head {
            ReplyHead::Answer { status, headers, body_bytes, load, .. } => {
                let mut response =
                    AttemptResponse { status, headers, body_bytes, body, load, attempt };
                if let Some(service) = response.service_time() {
                    response.attempt.record_service_time(service);
                }
                AttemptResult::Response(Box::new(response))
            }
            ReplyHead::Refused { reason, load, .. } => {
                let unreachable = reason == RefusalWire::Unreachable;
                let end = if unreachable { AttemptEnd::Unreachable } else { AttemptEnd::Refused };
                attempt.finish(end, Some(load));
                AttemptResult::Refusal(Refusal::of_target(reason))
            }
            ReplyHead::Failed { reason, load, .. } => {
                attempt.finish(AttemptEnd::Failed, Some(load));
                AttemptResult::Refusal(self.failure_refusal("target", reason.to_string()))
            }
        }
    }

    /// Sends a call, and buffers the whole body of a short response. Once the response head has
    /// been sent to the caller, a truncated or late body can only break the connection to the
    /// caller.
    async fn send_buffered(
        &self,
        endpoint: &Endpoint,
        head: CallHead,
        body: CallBody,
    ) -> Result<CallReply, CallError> {
        let mut reply = self.send(endpoint, head, body).await?;
        let is_short_response = matches!(&reply.head,
            ReplyHead::Answer { body_bytes: Some(n), .. } if *n <= MAX_BUFFERED_RESPONSE_BYTES);
        if let Some(body) = reply.body.take_if(|_| is_short_response) {
            let buffered_body = buffer_body(body).await.map_err(|e| {
                CallError::Reset(PeerError::Broken(endpoint.peer_addr, e.to_string()))
            })?;
            reply.body = Some(buffered_body);
        }
        Ok(reply)
    }

    /// Sends a call to the target's node, or directly to a local target.
    async fn send(
        &self,
        endpoint: &Endpoint,
        head: CallHead,
        body: CallBody,
    ) -> Result<CallReply, CallError> {
        if !endpoint.local {
            return self.worker.peers.call(endpoint.peer_addr, &head, body).await;
        }
        let thread_ended_error = || {
            let reason = "the dispatch thread has ended".to_string();
            PeerError::Unreachable(endpoint.peer_addr, reason)
        };
        let (reply_tx, reply_rx) = oneshot::channel();
        let job = CallJob { head, body, reply_tx };
        if !self.worker.shared.dispatch.call(job) {
            return Err(CallError::NotSent(thread_ended_error()));
        }
        reply_rx.await.map_err(|_| CallError::Failed(thread_ended_error()))
    }

    /// Returns the "may have run" refusal of a failed attempt. If the attempt failed because the
    /// request body exceeded its limit, the refusal reports that instead.
    fn failure_refusal(&self, kind: &'static str, reason: String) -> Refusal {
        if let Some(refusal) = self.request_body.too_large_refusal() {
            return refusal;
        }
        let deadline_passed = Instant::now() >= self.deadline;
        let status = if deadline_passed {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Refusal::may_have_run(status, kind, reason)
    }

    /// Ends a call without a response from a target: stores it if it is an upload that can be
    /// delivered later, otherwise returns the refusal.
    async fn refuse(&self, refusal: Refusal, retried: bool) -> HttpResponse {
        if !stored_upload::can_store(self.req, self.entry, &self.request_body, &refusal) {
            return refusal.response(self.id, retried);
        }
        let request = (self.req, self.path, self.id);
        let store_future = stored_upload::store(
            self.worker,
            request,
            self.entry,
            &self.request_body,
            self.deadline,
        );
        match store_future.await {
            Ok(response) => response,
            Err(refusal) => refusal.response(self.id, retried),
        }
    }

    /// Forwards a target's response to the caller, and records the latency that the nodes added.
    fn respond(
        &self,
        response: AttemptResponse,
        retried: bool,
        claim: Option<ClaimGuard>,
        started_at: Instant,
    ) -> HttpResponse {
        if let Some(service) = response.service_time() {
            let added_latency = started_at.elapsed().saturating_sub(service);
            metrics::histogram!("ibis_added_latency_seconds").record(added_latency.as_secs_f64());
        }
        let cx = ResponseCx {
            worker: self.worker,
            entry: self.entry,
            id: self.id,
            is_head_request: self.req.method() == Method::HEAD,
            deadline: self.deadline,
            retried,
        };
        forward_response(&cx, response, claim)
    }
}

/// Reads a short body to its end. The returned reader yields it without waiting.
async fn buffer_body(mut body: BodyReader) -> Result<BodyReader, BodyTruncated> {
    let mut buf = BytesMut::new();
    while let Some(data) = body.next().await {
        buf.extend_from_slice(&data?);
    }
    let (writer, _, reader) = body_stream();
    // The channel has room for one chunk and the end marker.
    if !buf.is_empty() {
        writer.send(buf.freeze()).await;
    }
    writer.end().await;
    Ok(reader)
}

fn outcome_of(result: &AttemptResult) -> AttemptOutcome {
    match result {
        AttemptResult::Response(_) => AttemptOutcome::Response,
        AttemptResult::Refusal(r) if r.execution == Execution::NotRun => AttemptOutcome::NotRun,
        AttemptResult::Refusal(_) => AttemptOutcome::MayHaveRun,
    }
}
