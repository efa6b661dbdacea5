//! The attempts of one request: choice of target, repeats, and what the caller gets in the end.

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

use super::decision_log::Stream;
use super::frames::Failure;
use super::frames::ForwardHead;
use super::frames::Outcome;
use super::http_server::Request;
use super::http_server::Response;
use super::local_target;
use super::node::Node;
use super::picker::Ask;
use super::picker::Candidate;
use super::proxy;
use super::registry::InstanceRecord;
use super::retry_budget::Cause;
use super::rollout::Gate;
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

/// Hand-backs of one request after which it is refused. Each one costs a round trip between nodes.
const MAX_HAND_BACKS: u32 = 3;

/// Time to a target's node and back that is kept from the deadline told to it, so that its answer
/// arrives before this node gives up.
const HOP_MARGIN: Millis = Millis(3);

/// Multiple of a route's usual time to an answer after which a repeatable request goes to a second
/// target as well. One request in a hundred takes up to five times the usual work.
const SECOND_FACTOR: f64 = 5.0;

/// Shortest time after which a request goes to a second target.
const SECOND_LEAST: Millis = Millis(150);

/// Counts a request that is out to a target.
struct Out<'a>(&'a Node, &'a NodeId);

impl<'a> Out<'a> {
    fn new(node: &'a Node, to: &'a NodeId) -> Self {
        node.picker.borrow_mut().sent(to);
        Self(node, to)
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.picker.borrow_mut().ended(self.1);
    }
}

/// A target that may take a request.
#[derive(Clone, Debug)]
struct Choice {
    node: NodeId,
    record: InstanceRecord,
    /// Load of the target as this node knew it.
    load: Load,
}

/// An answer of a target.
struct TargetAnswer {
    choice: Choice,
    status: u16,
    headers: Vec<(SmolStr, Bytes)>,
    body: Bytes,
}

/// What the attempts of a request have brought so far.
#[derive(Default)]
struct Tries {
    tried: Vec<NodeId>,
    hand_backs: u32,
    /// Shortest wait that a queue told.
    hint: Option<Millis>,
    /// Whether an attempt may have run.
    ran: bool,
    /// A failure that a target answered; returned when nothing better comes.
    failure: Option<TargetAnswer>,
    /// Random draw that decides on the version during a move.
    draw: f64,
}

/// What follows an attempt without a final answer.
enum Step {
    /// Nothing reached the target; another one may take it freely.
    HandBack(&'static str),
    /// Another send costs budget.
    Repeat(Cause, &'static str),
}

/// One request of a caller.
pub(super) struct Call<'a> {
    node: &'a Rc<Node>,
    config: &'a Arc<RouteTable>,
    route: &'a Route,
    req: &'a Request,
    id: SmolStr,
    aim: Instant,
    deadline: Instant,
    sends: Cell<u32>,
    pub(super) done: Cell<bool>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.done.get() {
            self.log(Stream::Other, &codes::REQUEST_ABANDONED, &[]);
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
        let patience = proxy::patience(&req.head.headers);
        let total = patience.map_or(route.timeout, |p| p.min(route.timeout)).to_duration();
        // A caller that comes back after a refusal has less time left than at first; its aim began
        // with its first try.
        let spent = node.spent_on_earlier_attempts(&route.name, patience);
        Self {
            node,
            config,
            route,
            req,
            id: SmolStr::new(req.head.headers.text(headers::REQUEST_ID).unwrap_or_default()),
            aim: req.arrived + route.aim.to_duration().saturating_sub(spent.to_duration()),
            deadline: req.arrived + total,
            sends: Cell::new(0),
            done: Cell::new(false),
        }
    }

    fn left(&self) -> Millis {
        self.deadline.saturating_duration_since(Instant::now()).into()
    }

    /// Makes attempts until there is a final answer.
    pub(super) async fn run(&self) -> Response {
        let now = self.node.clock.now();
        let start = self.node.random();
        let Some(service) = self.node.splits.borrow_mut().choose(self.route, start).cloned() else {
            return self.refuse("no service", None);
        };
        self.node.count_request(&service, now);
        let mut tries = Tries { draw: self.node.random(), ..Tries::default() };
        let mut out = FuturesUnordered::new();
        let mut second_at = None;
        loop {
            if out.is_empty() {
                if self.left() <= HOP_MARGIN {
                    return self.give_up(tries, 504, "deadline");
                }
                let Some(choice) = self.choose(&service, &tries) else {
                    let none = if tries.tried.is_empty() { "no target" } else { "no other target" };
                    return self.give_up(tries, 502, none);
                };
                tries.tried.push(choice.node.clone());
                out.push(self.attempt(choice));
                second_at = self.second_at();
            }
            let ended = tokio::select! {
                biased;
                Some(ended) = out.next() => ended,
                () = sleep_until(second_at.unwrap_or(self.deadline).into()), if second_at.is_some() => {
                    second_at = None;
                    if let Some(choice) = self.second_choice(&service, &tries) {
                        tries.tried.push(choice.node.clone());
                        out.push(self.attempt(choice));
                    }
                    continue;
                }
                () = sleep_until(self.deadline.into()) => {
                    tries.ran = true;
                    return self.give_up(tries, 504, "deadline");
                }
            };
            let (choice, outcome, began) = ended;
            let step = match outcome {
                Outcome::Answer { status, headers, body, .. } => {
                    self.node.record_response_time(&self.route.name, began.elapsed().into());
                    tries.ran = true;
                    let answer = TargetAnswer { choice, status, headers, body };
                    if status < 500 || !self.route.kind.is_repeatable() {
                        return self.answer(answer);
                    }
                    self.log_attempt(&answer.choice, "failure of the target");
                    tries.failure = Some(answer);
                    Step::Repeat(Cause::TargetFailure, "failure of the target")
                }
                Outcome::Refused { reason: RefusalReason::Rejected, .. } => {
                    self.log_attempt(&choice, "rejected by the target");
                    self.avoid(&choice);
                    Step::Repeat(Cause::Rejected, "rejected by the target")
                }
                Outcome::Refused { reason, retry_after_ms } => {
                    self.log_attempt(&choice, refusal_text(reason));
                    self.sends.set(self.sends.get().saturating_sub(1));
                    if reason == RefusalReason::Overloaded {
                        let back = Millis(u64::from(retry_after_ms));
                        tries.hint = Some(tries.hint.map_or(back, |h| h.min(back)));
                    } else {
                        self.avoid(&choice);
                    }
                    tries.hand_backs += 1;
                    Step::HandBack(refusal_text(reason))
                }
                Outcome::Failed(failure) => {
                    self.log_attempt(&choice, failure_text(failure));
                    tries.ran = true;
                    Step::Repeat(Cause::NoAnswer, failure_text(failure))
                }
            };
            if !out.is_empty() {
                // Another attempt may still bring the answer.
                continue;
            }
            match step {
                Step::HandBack(reason) if tries.hand_backs >= MAX_HAND_BACKS => {
                    return self.give_up(tries, 502, reason);
                }
                Step::HandBack(_) => {}
                Step::Repeat(cause, reason) => {
                    let safe = cause == Cause::Rejected || self.route.kind.is_repeatable();
                    if !(safe && self.may_repeat(&service, cause)) {
                        let status = if reason == "deadline" { 504 } else { 502 };
                        return self.give_up(tries, status, reason);
                    }
                }
            }
        }
    }

    /// Whether there is an attempt, time and budget left for another send.
    fn may_repeat(&self, service: &ServiceName, cause: Cause) -> bool {
        self.sends.get() < self.route.max_attempts
            && self.left() > Millis(2 * HOP_MARGIN.0)
            && self.node.try_spend_retry(service, cause)
    }

    /// When a repeatable request without an answer is sent to a second target as well. The first one is
    /// not broken off: its answer is taken if it comes after all.
    fn second_at(&self) -> Option<Instant> {
        let usual = self.node.usual_response_ms(&self.route.name)?;
        let wait = Millis((usual * SECOND_FACTOR).max(SECOND_LEAST.0 as f64) as u64);
        let enough = (wait.0 as f64 + usual * 1.5) < self.left().0 as f64;
        let allowed = self.route.kind.is_repeatable() && self.sends.get() < self.route.max_attempts;
        (allowed && enough).then(|| Instant::now() + wait.to_duration())
    }

    fn second_choice(&self, service: &ServiceName, tries: &Tries) -> Option<Choice> {
        let choice = self.choose(service, tries)?;
        self.may_repeat(service, Cause::NoAnswer).then_some(choice)
    }

    fn avoid(&self, choice: &Choice) {
        let now = self.node.clock.now();
        self.node.picker.borrow_mut().avoid(now, &choice.node);
    }

    /// The final answer when no attempt brought a usable one.
    fn give_up(&self, tries: Tries, status: u16, reason: &str) -> Response {
        match tries.failure {
            Some(answer) => self.answer(answer),
            None if tries.ran => self.fail(status, reason),
            None => self.refuse(reason, tries.hint),
        }
    }

    /// Sends the request to a target.
    async fn attempt(&self, choice: Choice) -> (Choice, Outcome, Instant) {
        let began = Instant::now();
        let millis = |d: Millis| u32::try_from(d.0).unwrap_or(u32::MAX);
        let to_aim: Millis = self.aim.saturating_duration_since(began).into();
        let head = ForwardHead {
            request_id: self.id.clone(),
            route: self.route.name.clone(),
            repeatable: self.route.kind.is_repeatable(),
            priority: self.route.priority,
            aim_ms: millis(to_aim),
            deadline_ms: millis(Millis(self.left().0.saturating_sub(HOP_MARGIN.0))),
            instance: choice.record.id.clone(),
            caller: self.node.service_name(),
            method: self.req.head.method.clone(),
            target: self.req.head.target.clone(),
            headers: local_target::forwarded_headers(&self.req.head.headers),
        };
        let body = self.req.body.clone();
        self.sends.set(self.sends.get() + 1);
        let outcome = {
            let _out = Out::new(self.node, &choice.node);
            self.node.send(&choice.node, head, body).await
        };
        (choice, outcome, began)
    }

    fn choose(&self, service: &ServiceName, tries: &Tries) -> Option<Choice> {
        let Tries { tried, draw, .. } = tries;
        let node = self.node;
        let now = node.clock.now();
        let gate = node.gate(service, now);
        let mut all = node.candidates(service);
        all.retain(|(c, _)| !tried.contains(&c.node));
        let of = |wanted: &dyn Fn(&VersionName) -> bool| -> Vec<(Candidate, InstanceRecord)> {
            all.iter().filter(|(_, r)| wanted(&r.version)).cloned().collect()
        };
        let allowed = match &gate {
            Gate::Open => all,
            Gate::Only(version) => of(&|v| v == version),
            Gate::Without(version) => of(&|v| v != version),
            Gate::Share(version, share) => {
                // A repeat goes to the old version, which is known to serve.
                let new = draw < share && (tried.is_empty() || *share >= 1.0);
                let first = of(&|v| (v == version) == new);
                if first.is_empty() { of(&|v| (v == version) != new) } else { first }
            }
        };
        let to_aim = self.aim.saturating_duration_since(Instant::now()).into();
        let ask = Ask { now, to_aim, bytes: self.req.body.len() };
        let candidates: Vec<Candidate> = allowed.iter().map(|(c, _)| c.clone()).collect();
        let chosen = node.picker.borrow_mut().choose(ask, &candidates)?;
        let (candidate, record) = allowed.into_iter().find(|(c, _)| c.node == chosen)?;
        Some(Choice { node: chosen, record, load: candidate.load })
    }

    fn answer(&self, answer: TargetAnswer) -> Response {
        let TargetAnswer { choice, status, headers, body } = answer;
        let took = self.req.arrived.elapsed();
        metrics::counter!("ibis_requests_total", "end" => "served").increment(1);
        metrics::histogram!("ibis_request_seconds").record(took.as_secs_f64());
        self.log(
            Stream::Served,
            &codes::REQUEST_SERVED,
            &[
                ("status", status.into()),
                ("target", choice.record.id.as_str().into()),
                ("node", choice.node.as_str().into()),
            ],
        );
        let head_only = self.req.head.method == "HEAD";
        Response { status, headers, body, head_only, close: false }
    }

    fn refuse(&self, reason: &str, hint: Option<Millis>) -> Response {
        metrics::counter!("ibis_requests_total", "end" => "refused").increment(1);
        let fields = [("status", 503.into()), ("reason", reason.into())];
        self.log(Stream::Other, &codes::REQUEST_REFUSED, &fields);
        self.node.not_run(&self.req.head, hint, Some(self.left()))
    }

    fn fail(&self, status: u16, reason: &str) -> Response {
        metrics::counter!("ibis_requests_total", "end" => "failed").increment(1);
        let fields = [("status", status.into()), ("reason", reason.into())];
        self.log(Stream::Other, &codes::REQUEST_FAILED, &fields);
        proxy::echo_id(Response::status(status), &self.req.head)
    }

    fn log_attempt(&self, choice: &Choice, reason: &str) {
        metrics::counter!("ibis_attempts_ended_total").increment(1);
        self.log(
            Stream::Other,
            &codes::ATTEMPT_ENDED,
            &[
                ("reason", reason.into()),
                ("target", choice.record.id.as_str().into()),
                ("node", choice.node.as_str().into()),
                ("believed_running", choice.load.running.into()),
                ("believed_waiting", choice.load.waiting.into()),
                ("believed_slots", choice.load.slots.into()),
            ],
        );
    }

    fn log(&self, stream: Stream, code: &EventCode, fields: &[(&str, Value)]) {
        let took = Millis::from(self.req.arrived.elapsed());
        let mut all: Vec<(&str, Value)> = vec![
            ("id", self.id.as_str().into()),
            ("route", self.route.name.as_str().into()),
            ("config", self.config.version.0.into()),
            ("ms", took.0.into()),
            ("left_ms", self.left().0.into()),
            ("sends", self.sends.get().into()),
        ];
        all.extend(fields.iter().cloned());
        self.node.log.line(self.node.clock.now(), stream, code, &all);
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
