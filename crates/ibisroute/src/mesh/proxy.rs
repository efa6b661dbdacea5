//! Handler of callers' requests: refuses requests before their body is read, lists the candidate targets,
//! and sends calls to their nodes.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

use super::attempts::Call;
use super::byte_budget::ByteBudget;
use super::frames::ForwardHead;
use super::frames::Outcome;
use super::http_server::Handler;
use super::http_server::Request;
use super::http_server::Response;
use super::http1::Headers;
use super::http1::RequestHead;
use super::node::Node;
use super::picker::Candidate;
use super::registry::InstanceRecord;
use super::registry::LifeState;
use super::routes::ClientLimits;
use super::routes::Route;
use super::slot_queue::RefusalReason;
use crate::events::mesh as codes;
use crate::platform::headers;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::ServiceName;

/// Retry-After of a refusal when no queue has reported its expected wait.
const DEFAULT_RETRY_AFTER: Millis = Millis(150);

/// Lower bound of the expected wait from which Retry-After is derived.
const MIN_QUEUE_WAIT: Millis = Millis(20);

/// Upper bound of Retry-After, as a fraction of the caller's remaining time. Callers wait for at most a
/// third of their remaining time before a retry.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Returns the outcome of a call that was not sent, because its node cannot be reached.
pub fn unreachable_outcome() -> Outcome {
    Outcome::Refused { reason: RefusalReason::Unreachable, retry_after_ms: 0 }
}

/// Handler of the requests of callers.
pub struct Proxy {
    pub node: Rc<Node>,
}

impl Handler for Proxy {
    fn limits(&self) -> ClientLimits {
        self.node.config().map_or_else(ClientLimits::default, |c| c.limits)
    }

    fn refuse_early(&self, head: &RequestHead) -> Option<Response> {
        let node = &self.node;
        node.request_count.set(node.request_count.get() + 1);
        node.last_request_at.set(node.clock.now());
        let log_refusal = |status, reason: &'static str| {
            node.log_refusal(
                &codes::REQUEST_REFUSED,
                head,
                &[("status", status), ("reason", reason.into())],
            );
        };
        let Some(config) = node.config() else {
            log_refusal(503.into(), "no configuration");
            return Some(node.not_run_response(head, None, None));
        };
        if node.refuses_new_requests() {
            log_refusal(503.into(), "stopping");
            return Some(node.not_run_response(head, None, None));
        }
        if !head.headers.has(headers::REQUEST_ID) {
            log_refusal(400.into(), "no request id");
            return Some(Response::status(400));
        }
        let host = head.headers.text("host").unwrap_or_default();
        let Some(route) = config.find(host, &head.target) else {
            log_refusal(404.into(), "no route");
            return Some(echo_request_id(Response::status(404), head));
        };
        let timeout = request_timeout(&head.headers, route);
        if node.graceful_stop.get().is_some_and(|stop| !stop.admits(node.clock.now(), timeout)) {
            log_refusal(503.into(), "stopping");
            return Some(node.not_run_response(head, None, None));
        }
        None
    }

    async fn handle(self: Rc<Self>, req: Request) -> Response {
        let node = &self.node;
        // The node may have begun to refuse requests while the body arrived.
        let Some(config) = node.config().filter(|_| !node.refuses_new_requests()) else {
            return node.not_run_response(&req.head, None, None);
        };
        let host = req.head.headers.text("host").unwrap_or_default();
        // The configuration may have changed while the body arrived.
        let Some(route) = config.find(host, &req.head.target) else {
            return echo_request_id(Response::status(404), &req.head);
        };
        let call = Call::new(node, &config, route, &req);
        let response = call.run().await;
        call.has_response.set(true);
        response
    }

    fn is_closing(&self) -> bool {
        self.node.leaving.get()
    }

    fn body_budget(&self) -> Option<&ByteBudget> {
        Some(&self.node.body_budget)
    }

    fn body_timeout(&self, head: &RequestHead) -> Option<Millis> {
        let config = self.node.config()?;
        let route = config.find(head.headers.text("host").unwrap_or_default(), &head.target)?;
        Some(request_timeout(&head.headers, route))
    }

    fn refuse_body(&self, head: &RequestHead) -> Response {
        let fields = [("status", 503.into()), ("reason", "memory".into())];
        self.node.log_refusal(&codes::REQUEST_REFUSED, head, &fields);
        self.node.not_run_response(head, None, None)
    }

    fn open_requests(&self) -> Option<&Cell<usize>> {
        Some(&self.node.in_flight)
    }
}

/// Returns the time from the arrival of a request to its deadline.
pub(super) fn request_timeout(headers: &Headers, route: &Route) -> Millis {
    caller_timeout(headers).map_or(route.timeout, |t| t.min(route.timeout))
}

/// Returns the time that the caller still waits; `None` if it does not report one.
pub(super) fn caller_timeout(headers: &Headers) -> Option<Millis> {
    let reported_ms = headers.text(headers::DEADLINE_MS)?.trim().parse::<f64>().ok()?;
    (reported_ms.is_finite() && reported_ms >= 0.0).then_some(Millis(reported_ms as u64))
}

/// Copies the request id to the response if the request has one.
pub(super) fn echo_request_id(response: Response, head: &RequestHead) -> Response {
    match head.headers.value(headers::REQUEST_ID) {
        Some(id) => response.with_header(headers::REQUEST_ID, id.clone()),
        None => response,
    }
}

impl Node {
    /// Returns the response to a request that did not run and will not. `queue_wait` is the shortest wait
    /// that a queue reported; `remaining` is the time that the caller still waits, by default the timeout
    /// in the head. Retry-After has jitter, so that refused callers do not retry at the same time.
    pub fn not_run_response(
        &self,
        head: &RequestHead,
        queue_wait: Option<Millis>,
        remaining: Option<Millis>,
    ) -> Response {
        let remaining =
            remaining.or_else(|| caller_timeout(&head.headers)).unwrap_or(Millis(1_000));
        let max_wait_ms = remaining.0 as f64 * RETRY_AFTER_SHARE;
        let wait_ms = queue_wait.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_QUEUE_WAIT).0 as f64;
        let wait_ms = (wait_ms * (0.75 + 0.75 * self.random())).min(max_wait_ms);
        let response = Response::status(503)
            .with_header(headers::RETRY_AFTER, format!("{:.3}", wait_ms / 1000.0).into_bytes());
        echo_request_id(response, head)
    }

    /// Returns the targets of a service that accept requests and whose node can be reached.
    pub(super) fn candidates(&self, service: &ServiceName) -> Vec<(Candidate, InstanceRecord)> {
        let mut candidates = Vec::new();
        let is_ready = |r: &InstanceRecord| r.service == *service && r.state == LifeState::Ready;
        if let Some(record) = self.target.record().filter(is_ready)
            && self.target.is_available()
        {
            let candidate = Candidate {
                node: self.descriptor.node.clone(),
                same_data_centre: true,
                cold: self.target.is_cold(),
                load: self.target.load(),
            };
            candidates.push((candidate, record));
        }
        for (name, peer) in self.peers.by_name.borrow().iter() {
            let Some(status) = peer.status.as_ref().filter(|_| peer.is_reachable()) else {
                continue;
            };
            let Some(record) = status.instance.as_ref().filter(|r| is_ready(r)) else { continue };
            if status.leaving || !status.available {
                continue;
            }
            let candidate = Candidate {
                node: name.clone(),
                same_data_centre: peer.descriptor.data_centre == self.descriptor.data_centre,
                cold: status.cold,
                load: status.load,
            };
            candidates.push((candidate, record.clone()));
        }
        candidates
    }

    /// Sends a call to the node next to a target; a call to the local target needs no connection.
    pub(super) async fn send_call(&self, to: &NodeId, head: ForwardHead, body: Bytes) -> Outcome {
        if *to == self.descriptor.node {
            return self.target.call(head, body).await.0;
        }
        let link = self.peers.by_name.borrow().get(to).and_then(|p| p.link.clone());
        let Some(link) = link else { return unreachable_outcome() };
        let (outcome, load) = link.call(head, body).await;
        if let Some(load) = load {
            self.peers.apply_load(to, load);
            // The reported load does not include the call that has just ended.
            self.picker.borrow_mut().on_load_report_at_end(to);
        }
        outcome
    }
}
