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
use super::CallerState;
use super::tally::CallLog;
use super::tally::Class;
use super::tally::Outcome;

/// A call without a response is aborted this long after its deadline and the grace period.
const ABORT_AFTER: Duration = Duration::from_secs(1);

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Number of latest bookings among which the one to retry is chosen.
const RETRY_CANDIDATES: usize = 100;

/// Largest number of calls with an outcome other than [`Outcome::Ok`] that the summary keeps.
const MAX_SAMPLES: usize = 20;

/// Longest pause between two checks of whether the caller has been stopped. Also the pause before
/// a further attempt while the list of nodes is empty.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of one sending thread.
struct Sender {
    shared: Arc<CallerState>,
    thread_index: usize,
    client: awc::Client,
    rng: RefCell<SmallRng>,
    next_call_number: Cell<u64>,
    in_flight: Cell<usize>,
    /// Kind, as an index into `options.calls`, and idempotency key of the latest bookings.
    bookings: RefCell<VecDeque<(usize, String)>>,
}

/// A call that is ready to be sent.
struct Call {
    spec: CallSpec,
    node: SocketAddr,
    /// Unique among all callers of a test if their seeds differ.
    name: String,
    /// Idempotency key; `None` unless the call is a booking.
    key: Option<String>,
    body: Bytes,
    /// Time at which the call was to be sent; in a closed loop, the time at which it was prepared.
    scheduled_start: Instant,
}

pub(super) fn run(shared: Arc<CallerState>, thread_index: usize) {
    let seed = shared.options.seed.wrapping_add((thread_index as u64).wrapping_mul(0x9e37_79b9));
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
            thread_index,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            next_call_number: Cell::new(0),
            in_flight: Cell::new(0),
            bookings: RefCell::new(VecDeque::new()),
        });
        match sender.shared.options.rate_per_s {
            Some(rate) => open_loop(&sender, rate).await,
            None => closed_loop(&sender).await,
        }
    });
}

/// Returns the share of `options.concurrency` of one thread.
fn concurrency_of_thread(shared: &CallerState, thread_index: usize) -> usize {
    let threads = shared.options.threads.max(1);
    let total = shared.options.concurrency;
    total / threads + usize::from(thread_index < total % threads)
}

async fn closed_loop(sender: &Rc<Sender>) {
    let workers: FuturesUnordered<_> =
        (0..concurrency_of_thread(&sender.shared, sender.thread_index))
            .map(|_| async {
                while sender.shared.reserve_call() {
                    match sender.prepare(Instant::now()) {
                        Some(call) => sender.perform(call).await,
                        None => tokio::time::sleep(STOP_POLL_INTERVAL).await,
                    }
                }
            })
            .collect();
    workers.collect::<Vec<()>>().await;
}

async fn open_loop(sender: &Rc<Sender>, rate: f64) {
    let rate = (rate / sender.shared.options.threads.max(1) as f64).max(0.001);
    let max_in_flight = concurrency_of_thread(&sender.shared, sender.thread_index).max(1);
    let mut scheduled_start = Instant::now();
    let mut tasks = FuturesUnordered::new();
    loop {
        let uniform_sample: f64 = sender.rng.borrow_mut().random_range(f64::MIN_POSITIVE..1.0);
        scheduled_start += Duration::from_secs_f64(-uniform_sample.ln() / rate);
        while let Some(remaining) = scheduled_start.checked_duration_since(Instant::now()) {
            if sender.shared.stopped.load(std::sync::atomic::Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(remaining.min(STOP_POLL_INTERVAL)).await;
        }
        if !sender.shared.reserve_call() {
            break;
        }
        if sender.in_flight.get() >= max_in_flight {
            lock(&sender.shared.summary).skipped += 1;
            continue;
        }
        let Some(call) = sender.prepare(scheduled_start) else { continue };
        sender.in_flight.set(sender.in_flight.get() + 1);
        let task_sender = sender.clone();
        tasks.push(actix_rt::spawn(async move {
            task_sender.perform(call).await;
            task_sender.in_flight.set(task_sender.in_flight.get() - 1);
        }));
        if tasks.len() > 2 * max_in_flight {
            // Drops finished tasks, so that the set does not grow with the number of calls.
            tasks = tasks.into_iter().filter(|task| !task.is_finished()).collect();
        }
    }
    while tasks.next().await.is_some() {}
}

impl Sender {
    /// Chooses the kind, node, name and key of a call; `None` while the list of nodes is empty.
    fn prepare(&self, scheduled_start: Instant) -> Option<Call> {
        let options = &self.shared.options;
        let mut rng = self.rng.borrow_mut();
        let node = {
            let nodes = self.shared.nodes.read().unwrap_or_else(PoisonError::into_inner);
            if nodes.is_empty() {
                return None;
            }
            nodes[rng.random_range(0..nodes.len())]
        };
        let number = self.next_call_number.get();
        self.next_call_number.set(number + 1);
        let name = format!("{:x}-{}-{number}", options.seed, self.thread_index);
        let total_weight: u32 = options.calls.iter().map(|call| call.weight).sum();
        let mut remaining_weight = rng.random_range(0..total_weight);
        let mut index = 0;
        while remaining_weight >= options.calls[index].weight {
            remaining_weight -= options.calls[index].weight;
            index += 1;
        }
        let mut key = None;
        if options.calls[index].class == Class::Booking {
            let mut bookings = self.bookings.borrow_mut();
            let is_retry = !bookings.is_empty() && rng.random_bool(options.repeat_share);
            if is_retry {
                let booking = &bookings[rng.random_range(0..bookings.len())];
                index = booking.0;
                key = Some(booking.1.clone());
            } else {
                let new_key = format!("key-{name}");
                if bookings.len() >= RETRY_CANDIDATES {
                    bookings.pop_front();
                }
                bookings.push_back((index, new_key.clone()));
                key = Some(new_key);
            }
        }
        let spec = options.calls[index].clone();
        // A retry has to carry the same bytes as the first request, so the key selects the filler.
        let body = Filler::new(key.as_deref().unwrap_or(&name), spec.body_bytes).into_bytes();
        Some(Call { spec, node, name, key, body, scheduled_start })
    }

    async fn perform(&self, call: Call) {
        let sent = Instant::now();
        let sent_unix_ms = unix_ms();
        let lateness_threshold =
            Duration::from_millis(call.spec.deadline_ms + self.shared.options.grace_ms);
        let result = tokio::time::timeout(lateness_threshold + ABORT_AFTER, self.send(&call)).await;
        let elapsed = sent.elapsed();
        let (outcome, head) =
            result.unwrap_or_else(|_| (Outcome::NoAnswer("call timed out".to_string()), None));
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
        let latency_us = call.scheduled_start.elapsed().as_micros() as u64;
        let mut summary = lock(&self.shared.summary);
        summary.classes.entry(log.class).or_default().add(
            &log,
            latency_us,
            elapsed > lateness_threshold,
        );
        if !matches!(log.outcome, Outcome::Ok) && summary.samples.len() < MAX_SAMPLES {
            summary.samples.push(log.clone());
        }
        if self.shared.options.keep_log {
            summary.log.push(log);
        }
    }

    async fn send(&self, call: &Call) -> (Outcome, Option<body::ResponseHead>) {
        let spec = &call.spec;
        let no_response = |e: String| (Outcome::NoAnswer(e), None);
        let Ok(method) = Method::from_bytes(spec.method.as_bytes()) else {
            return no_response(format!("{:?} is not an HTTP method", spec.method));
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
            Err(e) => return no_response(e.to_string()),
        };
        let status = response.status().as_u16();
        let outcome_header =
            response.headers().get("x-ibis-outcome").map(|value| value.as_bytes().to_vec());
        let content_length = response.headers().get("content-length").cloned();
        let content_length =
            content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let body = match response.body().limit(MAX_RESPONSE_BYTES).await {
            Ok(body) => body,
            Err(e) => return no_response(e.to_string()),
        };
        // awc treats a connection that closes early as the end of the body.
        if let Some(length) = content_length.filter(|length| *length != body.len()) {
            return no_response(format!(
                "response body truncated: {} of {length} bytes",
                body.len()
            ));
        }
        match (status, outcome_header.as_deref()) {
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
