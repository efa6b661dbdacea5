//! The attempts of one request: target selection, retries, and the final response to the caller.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::sleep_until;

use super::decision_log::LineClass;
use super::frames::Failure;
use super::frames::ForwardHead;
use super::frames::Outcome;
use super::http_server::Request;
use super::http_server::Response;
use super::local_target;
use super::node::Node;
use super::picker::Candidate;
use super::picker::ChoiceInput;
use super::proxy;
use super::registry::InstanceRecord;
use super::retry_budget::RetryCause;
use super::rollout::AllowedVersions;
use super::routes::Route;
use super::routes::RouteTable;
use super::slot_queue::Load;
use super::slot_queue::RefusalReason;
use crate::events::EventCode;
use crate::events::mesh as codes;
use crate::platform::headers;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::ServiceName;
use crate::types::VersionName;

/// Maximum number of attempts of a request that are refused before dispatch; after that many, no
/// further target is tried. Each refusal costs a round trip between nodes.
const MAX_UNDISPATCHED_ATTEMPTS: u32 = 3;

/// Assumed round-trip time to the node next to a target. It is deducted from the deadline that the
/// target's node receives, so that its response arrives before this node times out.
const HOP_MARGIN: Millis = Millis(3);

/// Multiple of a route's average response time after which a retryable request is hedged: sent to a
/// second target as well. One request in a hundred needs up to five times the average work; with a
/// lower factor, such a request would be hedged although its target is not slow.
const HEDGE_FACTOR: f64 = 5.0;

/// Minimum time after which a request is hedged.
const HEDGE_MIN_DELAY: Millis = Millis(150);

/// Counts a request as outstanding at its target until the guard is dropped.
struct OutstandingGuard<'a>(&'a Node, &'a NodeId);

impl<'a> OutstandingGuard<'a> {
    fn new(node: &'a Node, target_node: &'a NodeId) -> Self {
        node.picker.borrow_mut().on_sent(target_node);
        Self(node, target_node)
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.0.picker.borrow_mut().on_ended(self.1);
    }
}

/// Target that was selected for an attempt, as known at the time of the selection.
#[derive(Clone, Debug)]
struct ChosenTarget {
    node: NodeId,
    record: InstanceRecord,
    /// Load of the target that the selection was based on.
    load: Load,
}

struct TargetResponse {
    chosen: ChosenTarget,
    status: u16,
    headers: Vec<(SmolStr, Bytes)>,
    body: Bytes,
}

/// Results of the attempts that a request has made so far.
#[derive(Default)]
struct AttemptState {
    tried_nodes: Vec<NodeId>,
    /// Number of attempts that were refused before dispatch.
    undispatched_count: u32,
    /// Shortest wait that a refusing queue reported.
    retry_after: Option<Millis>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Failure response of a target; returned to the caller if no attempt succeeds.
    failure_response: Option<TargetResponse>,
    /// Random number, 0.0 to 1.0. During a move, the request goes to the new version if the number is
    /// below the version's traffic share.
    version_draw: f64,
}

/// Next step after an attempt that gave no final response.
enum NextStep {
    /// The request was refused before dispatch, for the given reason; another target is tried without
    /// spending a retry token.
    TryAnother(&'static str),
    /// The target rejected the request, reported a failure or gave no usable response; another
    /// attempt spends a retry token.
    Retry(RetryCause, &'static str),
}

/// A caller's request and the progress of its attempts.
pub(super) struct Call<'a> {
    node: &'a Rc<Node>,
    config: &'a Arc<RouteTable>,
    route: &'a Route,
    req: &'a Request,
    id: SmolStr,
    /// End of the time within which a response meets the latency objective.
    objective: Instant,
    deadline: Instant,
    /// Number of attempts that were sent to a target; attempts that were refused before dispatch do
    /// not count.
    dispatch_count: Cell<u32>,
    /// Whether the call has its final response. A call that is dropped without one counts as abandoned by
    /// the caller.
    pub(super) has_response: Cell<bool>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.has_response.get() {
            self.log(LineClass::Other, &codes::REQUEST_ABANDONED, &[]);
            metrics::counter!("ibis_requests_total", "end" => "abandoned").increment(1);
        }
    }
}

impl<'a> Call<'a> {
    pub(super) fn new(
        node: &'a Rc<Node>,
        config: &'a Arc<RouteTable>,
        route: &'a Route,
        req: &'a Request,
    ) -> Self {
        let caller_timeout = proxy::caller_timeout(&req.head.headers);
        let timeout = proxy::request_timeout(&req.head.headers, route).to_duration();
        // A caller that retries after a refusal has less time left than at its first attempt; the
        // latency objective counts from the first attempt.
        let already_elapsed = node.time_on_earlier_attempts(&route.name, caller_timeout);
        Self {
            node,
            config,
            route,
            req,
            id: SmolStr::new(req.head.headers.text(headers::REQUEST_ID).unwrap_or_default()),
            objective: req.arrived
                + route.objective.to_duration().saturating_sub(already_elapsed.to_duration()),
            deadline: req.arrived + timeout,
            dispatch_count: Cell::new(0),
            has_response: Cell::new(false),
        }
    }

    fn remaining(&self) -> Millis {
        self.deadline.saturating_duration_since(Instant::now()).into()
    }

    /// Makes attempts until there is a final response, and returns it.
    pub(super) async fn run(&self) -> Response {
        let now = self.node.clock.now();
        let split_position = self.node.random();
        let Some(service) =
            self.node.split_chooser.borrow_mut().choose(self.route, split_position).cloned()
        else {
            return self.refuse("no service", None);
        };
        self.node.count_request(&service, now);
        let mut state =
            AttemptState { version_draw: self.node.random(), ..AttemptState::default() };
        let mut in_flight = FuturesUnordered::new();
        let mut hedge_at = None;
        loop {
            if in_flight.is_empty() {
                if self.remaining() <= HOP_MARGIN {
                    return self.finish_without_response(state, 504, "deadline");
                }
                let Some(chosen) = self.choose(&service, &state) else {
                    let reason =
                        if state.tried_nodes.is_empty() { "no target" } else { "no other target" };
                    return self.finish_without_response(state, 502, reason);
                };
                state.tried_nodes.push(chosen.node.clone());
                in_flight.push(self.attempt(chosen));
                hedge_at = self.hedge_at();
            }
            let ended = tokio::select! {
                biased;
                Some(ended) = in_flight.next() => ended,
                () = sleep_until(hedge_at.unwrap_or(self.deadline).into()), if hedge_at.is_some() => {
                    hedge_at = None;
                    if let Some(chosen) = self.choose_hedge(&service, &state) {
                        state.tried_nodes.push(chosen.node.clone());
                        in_flight.push(self.attempt(chosen));
                    }
                    continue;
                }
                () = sleep_until(self.deadline.into()) => {
                    state.may_have_run = true;
                    return self.finish_without_response(state, 504, "deadline");
                }
                () = self.node.requests_given_up() => {
                    state.may_have_run = true;
                    return self.finish_without_response(state, 502, "node stops");
                }
            };
            let (chosen, outcome, began) = ended;
            let next_step = match outcome {
                Outcome::Answer { status, headers, body, .. } => {
                    self.node.record_response_time(&self.route.name, began.elapsed().into());
                    state.may_have_run = true;
                    let response = TargetResponse { chosen, status, headers, body };
                    if status < 500 || !self.route.kind.is_retryable() {
                        return self.respond(response);
                    }
                    self.log_attempt_end(&response.chosen, "failure of the target");
                    state.failure_response = Some(response);
                    NextStep::Retry(RetryCause::TargetFailure, "failure of the target")
                }
                Outcome::Refused { reason: RefusalReason::Rejected, .. } => {
                    self.log_attempt_end(&chosen, "rejected by the target");
                    self.avoid(&chosen);
                    NextStep::Retry(RetryCause::Rejected, "rejected by the target")
                }
                Outcome::Refused { reason, retry_after_ms } => {
                    self.log_attempt_end(&chosen, refusal_text(reason));
                    self.dispatch_count.set(self.dispatch_count.get().saturating_sub(1));
                    if reason == RefusalReason::Overloaded {
                        let reported = Millis(u64::from(retry_after_ms));
                        state.retry_after =
                            Some(state.retry_after.map_or(reported, |r| r.min(reported)));
                    } else {
                        self.avoid(&chosen);
                    }
                    state.undispatched_count += 1;
                    NextStep::TryAnother(refusal_text(reason))
                }
                Outcome::Failed(failure) => {
                    self.log_attempt_end(&chosen, failure_text(failure));
                    state.may_have_run = true;
                    NextStep::Retry(RetryCause::NoResponse, failure_text(failure))
                }
            };
            if !in_flight.is_empty() {
                // The first attempt or its hedge is still in flight and may succeed.
                continue;
            }
            match next_step {
                NextStep::TryAnother(reason)
                    if state.undispatched_count >= MAX_UNDISPATCHED_ATTEMPTS =>
                {
                    return self.finish_without_response(state, 502, reason);
                }
                NextStep::TryAnother(_) => {}
                NextStep::Retry(cause, reason) => {
                    let retryable = cause == RetryCause::Rejected || self.route.kind.is_retryable();
                    if !(retryable && self.try_spend_retry(&service, cause)) {
                        let status = if reason == "deadline" { 504 } else { 502 };
                        return self.finish_without_response(state, status, reason);
                    }
                }
            }
        }
    }

    /// Spends a retry token if attempts, time and budget are left for a retry; returns whether it did.
    fn try_spend_retry(&self, service: &ServiceName, cause: RetryCause) -> bool {
        self.dispatch_count.get() < self.route.max_attempts
            && self.remaining() > Millis(2 * HOP_MARGIN.0)
            && self.node.try_spend_retry(service, cause)
    }

    /// Returns when a retryable request without a response is sent to a second target as well. The
    /// first attempt continues, and its response is used if it arrives first.
    fn hedge_at(&self) -> Option<Instant> {
        let average_ms = self.node.average_response_ms(&self.route.name)?;
        let wait = Millis((average_ms * HEDGE_FACTOR).max(HEDGE_MIN_DELAY.0 as f64) as u64);
        // A hedge is useless if the second target cannot respond before the deadline. Its response
        // is assumed to take up to 1.5 times the average.
        let has_time = (wait.0 as f64 + average_ms * 1.5) < self.remaining().0 as f64;
        let is_allowed =
            self.route.kind.is_retryable() && self.dispatch_count.get() < self.route.max_attempts;
        (is_allowed && has_time).then(|| Instant::now() + wait.to_duration())
    }

    fn choose_hedge(&self, service: &ServiceName, state: &AttemptState) -> Option<ChosenTarget> {
        let chosen = self.choose(service, state)?;
        self.try_spend_retry(service, RetryCause::NoResponse).then_some(chosen)
    }

    /// Makes selections avoid the target of an attempt for
    /// [`super::picker::PickerSettings::avoid`].
    fn avoid(&self, chosen: &ChosenTarget) {
        let now = self.node.clock.now();
        self.node.picker.borrow_mut().avoid(now, &chosen.node);
    }

    /// Returns the final response when no attempt gave a usable one: the failure response of a target if
    /// there is one, an error if an attempt may have run, or else a refusal.
    fn finish_without_response(&self, state: AttemptState, status: u16, reason: &str) -> Response {
        match state.failure_response {
            Some(response) => self.respond(response),
            None if state.may_have_run => self.fail(status, reason),
            None => self.refuse(reason, state.retry_after),
        }
    }

    /// Sends the request to a target. The result contains the outcome and the start time of the attempt.
    async fn attempt(&self, chosen: ChosenTarget) -> (ChosenTarget, Outcome, Instant) {
        let began = Instant::now();
        let as_u32 = |d: Millis| u32::try_from(d.0).unwrap_or(u32::MAX);
        let time_to_objective: Millis = self.objective.saturating_duration_since(began).into();
        let head = ForwardHead {
            request_id: self.id.clone(),
            route: self.route.name.clone(),
            repeatable: self.route.kind.is_retryable(),
            priority: self.route.priority,
            aim_ms: as_u32(time_to_objective),
            deadline_ms: as_u32(Millis(self.remaining().0.saturating_sub(HOP_MARGIN.0))),
            instance: chosen.record.id.clone(),
            caller: self.node.service_name(),
            method: self.req.head.method.clone(),
            target: self.req.head.target.clone(),
            headers: local_target::forwarded_headers(&self.req.head.headers),
        };
        let body = self.req.body.clone();
        self.dispatch_count.set(self.dispatch_count.get() + 1);
        let outcome = {
            let _guard = OutstandingGuard::new(self.node, &chosen.node);
            self.node.send_call(&chosen.node, head, body).await
        };
        (chosen, outcome, began)
    }

    /// Selects a target that the request has not tried yet, among the versions that may receive it.
    fn choose(&self, service: &ServiceName, state: &AttemptState) -> Option<ChosenTarget> {
        let AttemptState { tried_nodes, version_draw, .. } = state;
        let node = self.node;
        let now = node.clock.now();
        let allowed_versions = node.allowed_versions(service, now);
        let mut untried = node.candidates(service);
        untried.retain(|(c, _)| !tried_nodes.contains(&c.node));
        let with_version =
            |is_wanted: &dyn Fn(&VersionName) -> bool| -> Vec<(Candidate, InstanceRecord)> {
                untried.iter().filter(|(_, r)| is_wanted(&r.version)).cloned().collect()
            };
        let permitted_targets = match &allowed_versions {
            AllowedVersions::Any => untried,
            AllowedVersions::Only(version) => with_version(&|v| v == version),
            AllowedVersions::Without(version) => with_version(&|v| v != version),
            AllowedVersions::Share(version, share) => {
                // Retries go to the old version, which is known to work, until the new one has all
                // traffic.
                let use_new_version =
                    version_draw < share && (tried_nodes.is_empty() || *share >= 1.0);
                let preferred = with_version(&|v| (v == version) == use_new_version);
                if preferred.is_empty() {
                    with_version(&|v| (v == version) != use_new_version)
                } else {
                    preferred
                }
            }
        };
        let time_to_objective = self.objective.saturating_duration_since(Instant::now()).into();
        let input = ChoiceInput { now, time_to_objective, body_bytes: self.req.body.len() };
        let candidates: Vec<Candidate> = permitted_targets.iter().map(|(c, _)| c.clone()).collect();
        let picked = node.picker.borrow_mut().choose(input, &candidates)?;
        let (candidate, record) = permitted_targets.into_iter().find(|(c, _)| c.node == picked)?;
        Some(ChosenTarget { node: picked, record, load: candidate.load })
    }

    /// Builds the response to the caller from that of a target, and logs and counts the request as
    /// served.
    fn respond(&self, response: TargetResponse) -> Response {
        let TargetResponse { chosen, status, headers, body } = response;
        let took = self.req.arrived.elapsed();
        metrics::counter!("ibis_requests_total", "end" => "served").increment(1);
        metrics::histogram!("ibis_request_seconds").record(took.as_secs_f64());
        self.log(
            LineClass::Served,
            &codes::REQUEST_SERVED,
            &[
                ("status", status.into()),
                ("target", chosen.record.id.as_str().into()),
                ("node", chosen.node.as_str().into()),
            ],
        );
        let head_only = self.req.head.method == "HEAD";
        Response { status, headers, body, head_only, close: false }
    }

    /// Builds the refusal of a request that did not run, and logs and counts it.
    fn refuse(&self, reason: &str, retry_after: Option<Millis>) -> Response {
        metrics::counter!("ibis_requests_total", "end" => "refused").increment(1);
        let fields = [("status", 503.into()), ("reason", reason.into())];
        self.log(LineClass::Other, &codes::REQUEST_REFUSED, &fields);
        self.node.not_run_response(&self.req.head, retry_after, Some(self.remaining()))
    }

    /// Builds the error response to a request that may have run, and logs and counts it.
    fn fail(&self, status: u16, reason: &str) -> Response {
        metrics::counter!("ibis_requests_total", "end" => "failed").increment(1);
        let fields = [("status", status.into()), ("reason", reason.into())];
        self.log(LineClass::Other, &codes::REQUEST_FAILED, &fields);
        proxy::echo_request_id(Response::status(status), &self.req.head)
    }

    fn log_attempt_end(&self, chosen: &ChosenTarget, reason: &str) {
        metrics::counter!("ibis_attempts_ended_total").increment(1);
        self.log(
            LineClass::Other,
            &codes::ATTEMPT_ENDED,
            &[
                ("reason", reason.into()),
                ("target", chosen.record.id.as_str().into()),
                ("node", chosen.node.as_str().into()),
                ("believed_running", chosen.load.running.into()),
                ("believed_waiting", chosen.load.waiting.into()),
                ("believed_slots", chosen.load.slots.into()),
            ],
        );
    }

    fn log(&self, class: LineClass, code: &EventCode, fields: &[(&str, Value)]) {
        let took = Millis::from(self.req.arrived.elapsed());
        let mut all_fields: Vec<(&str, Value)> = vec![
            ("id", self.id.as_str().into()),
            ("route", self.route.name.as_str().into()),
            ("config", self.config.version.0.into()),
            ("ms", took.0.into()),
            ("left_ms", self.remaining().0.into()),
            ("sends", self.dispatch_count.get().into()),
        ];
        all_fields.extend(fields.iter().cloned());
        self.node.log.line(self.node.clock.now(), class, code, &all_fields);
    }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Leaving => "target leaving",
        RefusalReason::Unreachable => "target unreachable",
        RefusalReason::Rejected => "rejected by the target",
    }
}

fn failure_text(failure: Failure) -> &'static str {
    match failure {
        Failure::Broken => "connection to the target broke",
        Failure::BadAnswer => "bad answer of the target",
        Failure::Deadline => "deadline",
        Failure::LinkLost => "connection between nodes broke",
    }
}
