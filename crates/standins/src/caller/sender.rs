//! The sending threads of a caller stand-in.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::body;
use crate::body::CALL_HEADER;
use crate::body::CHAIN_HEADER;
use crate::body::CHUNK_BYTES;
use crate::body::Checksum;
use crate::body::Filler;
use crate::body::SentRequest;
use crate::server::lock;
use crate::target::unix_ms;

use super::CallSpec;
use super::Shared;
use super::tally::CallLog;
use super::tally::Class;
use super::tally::Outcome;

/// A call is given up this long after its deadline and grace.
const GIVE_UP: Duration = Duration::from_secs(1);

/// Largest answer.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Earlier bookings that can be repeated.
const REPEATABLE: usize = 100;

/// Outcomes other than whole answers that are kept as samples.
const SAMPLES: usize = 20;

/// Longest pause until the next look whether to stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// One thread's state.
struct Sender {
    shared: Arc<Shared>,
    thread: usize,
    client: awc::Client,
    rng: RefCell<SmallRng>,
    number: Cell<u64>,
    in_flight: Cell<usize>,
    bookings: RefCell<VecDeque<(usize, String)>>,
}

/// A call that is ready to be sent.
struct Call {
    spec: CallSpec,
    node: SocketAddr,
    name: String,
    key: Option<String>,
    body: Bytes,
    due: Instant,
}

pub(super) fn run(shared: Arc<Shared>, thread: usize) {
    let seed = shared.options.seed.wrapping_add((thread as u64).wrapping_mul(0x9e37_79b9));
    let system = actix_rt::System::new();
    system.block_on(async move {
        let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(1));
        let sender = Rc::new(Sender {
            client: awc::Client::builder()
                .connector(connector)
                .disable_redirects()
                .disable_timeout()
                .finish(),
            shared,
            thread,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            number: Cell::new(0),
            in_flight: Cell::new(0),
            bookings: RefCell::new(VecDeque::new()),
        });
        match sender.shared.options.rate_per_s {
            Some(rate) => open_loop(&sender, rate).await,
            None => closed_loop(&sender).await,
        }
    });
}

fn share_of_thread(shared: &Shared, thread: usize) -> usize {
    let threads = shared.options.threads.max(1);
    let total = shared.options.concurrency;
    total / threads + usize::from(thread < total % threads)
}

async fn closed_loop(sender: &Rc<Sender>) {
    let workers: FuturesUnordered<_> = (0..share_of_thread(&sender.shared, sender.thread))
        .map(|_| async {
            while sender.shared.next() {
                match sender.prepare(Instant::now()) {
                    Some(call) => sender.perform(call).await,
                    None => tokio::time::sleep(STOP_POLL).await,
                }
            }
        })
        .collect();
    workers.collect::<Vec<()>>().await;
}

async fn open_loop(sender: &Rc<Sender>, rate: f64) {
    let rate = (rate / sender.shared.options.threads.max(1) as f64).max(0.001);
    let most = share_of_thread(&sender.shared, sender.thread).max(1);
    let mut due = Instant::now();
    let mut tasks = FuturesUnordered::new();
    loop {
        let uniform: f64 = sender.rng.borrow_mut().random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        while let Some(left) = due.checked_duration_since(Instant::now()) {
            if sender.shared.stopped.load(std::sync::atomic::Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(left.min(STOP_POLL)).await;
        }
        if !sender.shared.next() {
            break;
        }
        if sender.in_flight.get() >= most {
            lock(&sender.shared.summary).skipped += 1;
            continue;
        }
        let Some(call) = sender.prepare(due) else { continue };
        sender.in_flight.set(sender.in_flight.get() + 1);
        let task = sender.clone();
        tasks.push(actix_rt::spawn(async move {
            task.perform(call).await;
            task.in_flight.set(task.in_flight.get() - 1);
        }));
        if tasks.len() > 2 * most {
            // Forgets the tasks that have ended.
            tasks = tasks.into_iter().filter(|task| !task.is_finished()).collect();
        }
    }
    while tasks.next().await.is_some() {}
}

impl Sender {
    /// Chooses kind, node, name and key; `None` while there is no node.
    fn prepare(&self, due: Instant) -> Option<Call> {
        let options = &self.shared.options;
        let mut rng = self.rng.borrow_mut();
        let node = {
            let nodes = self.shared.nodes.read().unwrap_or_else(PoisonError::into_inner);
            if nodes.is_empty() {
                return None;
            }
            nodes[rng.random_range(0..nodes.len())]
        };
        let number = self.number.get();
        self.number.set(number + 1);
        let name = format!("{:x}-{}-{number}", options.seed, self.thread);
        let total: u32 = options.calls.iter().map(|call| call.weight).sum();
        let mut ticket = rng.random_range(0..total);
        let mut index = 0;
        while ticket >= options.calls[index].weight {
            ticket -= options.calls[index].weight;
            index += 1;
        }
        let mut key = None;
        if options.calls[index].class == Class::Booking {
            let mut bookings = self.bookings.borrow_mut();
            let repeats = !bookings.is_empty() && rng.random_bool(options.repeat_share);
            if repeats {
                let earlier = &bookings[rng.random_range(0..bookings.len())];
                index = earlier.0;
                key = Some(earlier.1.clone());
            } else {
                let new = format!("key-{name}");
                if bookings.len() >= REPEATABLE {
                    bookings.pop_front();
                }
                bookings.push_back((index, new.clone()));
                key = Some(new);
            }
        }
        let spec = options.calls[index].clone();
        // A repetition has to carry the bytes of the first request.
        let body = Filler::new(key.as_deref().unwrap_or(&name), spec.body_bytes).whole();
        Some(Call { spec, node, name, key, body, due })
    }

    async fn perform(&self, call: Call) {
        let sent = Instant::now();
        let sent_unix_ms = unix_ms();
        let limit = Duration::from_millis(call.spec.deadline_ms + self.shared.options.grace_ms);
        let result = tokio::time::timeout(limit + GIVE_UP, self.send(&call)).await;
        let elapsed = sent.elapsed();
        let (outcome, head) =
            result.unwrap_or_else(|_| (Outcome::NoAnswer("the time was up".to_string()), None));
        let log = CallLog {
            call: call.name,
            key: call.key,
            class: call.spec.class,
            path: call.spec.path,
            body_bytes: call.body.len() as u64,
            body_checksum: Checksum::of(&call.body),
            sent_unix_ms,
            elapsed_us: elapsed.as_micros() as u64,
            outcome,
            version: head.as_ref().map(|head| head.version.clone()),
            instance: head.map(|head| head.instance),
        };
        let latency_us = call.due.elapsed().as_micros() as u64;
        let mut summary = lock(&self.shared.summary);
        summary.classes.entry(log.class).or_default().add(&log, latency_us, elapsed > limit);
        if !matches!(log.outcome, Outcome::Ok) && summary.samples.len() < SAMPLES {
            summary.samples.push(log.clone());
        }
        if self.shared.options.keep_log {
            summary.log.push(log);
        }
    }

    async fn send(&self, call: &Call) -> (Outcome, Option<body::AnswerHead>) {
        let spec = &call.spec;
        let no_answer = |e: String| (Outcome::NoAnswer(e), None);
        let Ok(method) = Method::from_bytes(spec.method.as_bytes()) else {
            return no_answer(format!("{:?} is not a method", spec.method));
        };
        let mut request = self
            .client
            .request(method, format!("http://{}{}", call.node, spec.path))
            .insert_header((CALL_HEADER, call.name.as_str()))
            .insert_header(("x-request-id", call.name.as_str()))
            .insert_header(("x-ibis-deadline-ms", spec.deadline_ms.to_string()));
        if let Some(key) = &call.key {
            request = request.insert_header((spec.idempotency_header.as_str(), key.as_str()));
        }
        if spec.chain > 0 {
            request = request.insert_header((CHAIN_HEADER, spec.chain.to_string()));
        }
        let response = if spec.class == Class::Upload {
            let filler = Filler::new(&call.name, spec.body_bytes);
            request.send_stream(stream::iter(Chunks(filler).map(Ok::<_, io::Error>))).await
        } else {
            request.send_body(call.body.clone()).await
        };
        let mut response = match response {
            Ok(response) => response,
            Err(e) => return no_answer(e.to_string()),
        };
        let status = response.status().as_u16();
        let told = response.headers().get("x-ibis-outcome").map(|told| told.as_bytes().to_vec());
        let length = response.headers().get("content-length").cloned();
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let body = match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(e) => return no_answer(e.to_string()),
        };
        // awc takes a connection that closes early for the end of the body.
        if let Some(length) = length.filter(|length| *length != body.len()) {
            return no_answer(format!("{} of {length} bytes", body.len()));
        }
        match (status, told.as_deref()) {
            (200, _) => {}
            (202, _) if spec.class == Class::Upload => return (Outcome::Accepted, None),
            (_, Some(b"not-run")) => return (Outcome::NotRun(status), None),
            (_, Some(b"may-have-run")) => return (Outcome::MayHaveRun(status), None),
            _ => return (Outcome::OtherStatus(status), None),
        }
        let sent = SentRequest {
            call: &call.name,
            key: call.key.as_deref(),
            path: &spec.path,
            body_bytes: call.body.len() as u64,
            body_checksum: Checksum::of(&call.body),
        };
        match body::check(&sent, &body) {
            Ok(head) => (Outcome::Ok, Some(head)),
            Err(defect) => (defect.into(), None),
        }
    }
}

/// The chunks of a streamed body.
struct Chunks(Filler);

impl Iterator for Chunks {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        self.0.next_chunk(CHUNK_BYTES)
    }
}
