//! Measures the latency and processor time that nodes add to a call.
//!
//! The paths to the target alternate in short rounds, so that a change of the machine's load
//! affects all of them equally.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::ArgMatches;
use eyre::OptionExt;
use serde_json::Value;
use serde_json::json;
use standins::caller::CallSpec;
use standins::caller::CallerOptions;
use standins::caller::CallerStandin;
use standins::caller::Tally;
use standins::harness::Cluster;
use standins::measure;
use standins::target::TargetOptions;
use standins::wait;

use crate::catalogue;
use crate::u64_arg;

/// Time limit for two nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A path from the caller to the target, direct or through nodes, and the results measured on it.
struct CallPath {
    name: &'static str,
    addr: SocketAddr,
    tally: Tally,
    elapsed: Duration,
    /// Processor time that the node beside the target and the other node used for the calls.
    processor: [Duration; 2],
}

impl CallPath {
    fn new(name: &'static str, addr: SocketAddr) -> Self {
        Self {
            name,
            addr,
            tally: Tally::default(),
            elapsed: Duration::ZERO,
            processor: [Duration::ZERO; 2],
        }
    }

    fn quantile_us(&self, q: f64) -> f64 {
        self.tally.latency_us.value_at_quantile(q) as f64
    }

    fn result(&self, direct: &Self) -> Value {
        let (p50, p99) = (self.quantile_us(0.5), self.quantile_us(0.99));
        let (direct_p50, direct_p99) = (direct.quantile_us(0.5), direct.quantile_us(0.99));
        let calls = self.tally.calls.max(1) as f64;
        json!({
            "way": self.name,
            "calls": self.tally.calls,
            "failed": self.tally.failed(),
            "p50_us": p50,
            "p99_us": p99,
            "added_p50_us": p50 - direct_p50,
            "added_p99_us": p99 - direct_p99,
            "ratio_p50": p50 / direct_p50.max(1.0),
            "ratio_p99": p99 / direct_p99.max(1.0),
            "calls_per_s": self.tally.ok as f64 / self.elapsed.as_secs_f64().max(0.001),
            "near_processor_us_per_call": self.processor[0].as_micros() as f64 / calls,
            "far_processor_us_per_call": self.processor[1].as_micros() as f64 / calls,
        })
    }
}

/// Returns the processor times, since their start, of the node beside the target and of the other
/// node.
fn processor_times(cluster: &Cluster) -> eyre::Result<[Duration; 2]> {
    let processor_time_of = |index: usize| -> eyre::Result<Duration> {
        let id = cluster.node(index).process_id().ok_or_eyre("a node is down")?;
        Ok(measure::usage(id)?.processor)
    };
    Ok([processor_time_of(0)?, processor_time_of(1)?])
}

pub(crate) fn run(ibisrouted: &Path, matches: &ArgMatches) -> eyre::Result<Value> {
    let (rounds, calls) = (u64_arg(matches, "rounds")?, u64_arg(matches, "calls")?);
    let concurrency = usize::try_from(u64_arg(matches, "concurrency")?)?;
    let seed = u64_arg(matches, "seed")?;
    let mut cluster = Cluster::builder(ibisrouted)
        .data_centre("erongo-1", "erongo", 2)
        .log_level("warn")
        .start()?;
    cluster.wait_members(2, START_TIMEOUT)?;
    let options = TargetOptions {
        slots: u32::try_from(concurrency)?.saturating_mul(2),
        service_ms: (0, 0),
        ..TargetOptions::default()
    };
    let target = cluster.start_target(0, options)?.addr();
    let accepted = catalogue::publish(&cluster, catalogue::bytes(0)?)?;
    cluster.wait_version(accepted.version, START_TIMEOUT)?;
    cluster.wait_ready(START_TIMEOUT)?;
    let caller_address =
        |node: usize| cluster.node(node).addresses().map(|addresses| addresses.caller);
    let mut call_paths = [
        CallPath::new("direct", target),
        CallPath::new("one node", caller_address(0)?),
        CallPath::new("two nodes", caller_address(1)?),
    ];
    let options = |addr, calls, seed| CallerOptions {
        nodes: vec![addr],
        calls: vec![CallSpec { path: crate::CALL_PATH.to_string(), ..CallSpec::default() }],
        concurrency,
        max_calls: Some(calls),
        seed,
        ..CallerOptions::default()
    };
    // Warms up each path: the first calls open connections, and the node without the target has to
    // discover it.
    for call_path in &call_paths {
        wait::until_true("a first round without failed calls", START_TIMEOUT, || {
            CallerStandin::run(options(call_path.addr, 100, seed))
                .is_ok_and(|summary| summary.total().failed() == 0)
        })?;
    }
    let load_before = crate::load_average();
    for round in 0..rounds {
        for call_path in &mut call_paths {
            let before = processor_times(&cluster)?;
            let summary = CallerStandin::run(options(call_path.addr, calls, seed + round))?;
            let after = processor_times(&cluster)?;
            for (index, total) in call_path.processor.iter_mut().enumerate() {
                *total += after[index].saturating_sub(before[index]);
            }
            call_path.elapsed += Duration::from_millis(summary.elapsed_ms);
            call_path.tally.merge(&summary.total());
        }
    }
    let direct = call_paths.first().ok_or_eyre("there are no call paths")?;
    let results: Vec<Value> = call_paths.iter().map(|call_path| call_path.result(direct)).collect();
    println!("load average {load_before} before, {} after", crate::load_average());
    println!(
        "{:<10} {:>8} {:>7} {:>9} {:>9} {:>10} {:>10} {:>7} {:>7} {:>9} {:>12} {:>12}",
        "way",
        "calls",
        "failed",
        "p50 us",
        "p99 us",
        "+p50 us",
        "+p99 us",
        "x p50",
        "x p99",
        "calls/s",
        "near us/call",
        "far us/call"
    );
    for result in &results {
        let number = |name: &str| result[name].as_f64().unwrap_or_default();
        println!(
            "{:<10} {:>8} {:>7} {:>9.0} {:>9.0} {:>10.0} {:>10.0} {:>7.2} {:>7.2} {:>9.0} {:>12.1} \
             {:>12.1}",
            result["way"].as_str().unwrap_or_default(),
            number("calls"),
            number("failed"),
            number("p50_us"),
            number("p99_us"),
            number("added_p50_us"),
            number("added_p99_us"),
            number("ratio_p50"),
            number("ratio_p99"),
            number("calls_per_s"),
            number("near_processor_us_per_call"),
            number("far_processor_us_per_call"),
        );
    }
    Ok(json!({"bench": "added-latency", "rounds": rounds, "calls": calls,
              "concurrency": concurrency, "seed": seed, "ways": results,
              "load_before": load_before, "load_after": crate::load_average()}))
}
