//! Helpers shared by the quick-start program and the bench: location of the binaries, and the
//! services and calls of a catalogue.

use std::path::Path;
use std::path::PathBuf;

use eyre::OptionExt;
use eyre::WrapErr;
use serde_json::Value;

use crate::caller::CallSpec;
use crate::caller::Class;

/// Body length of a booking, in bytes.
const BOOKING_BYTES: usize = 300;

/// Body length of an upload, in bytes.
const UPLOAD_BYTES: usize = 256 * 1024;

/// Finds a binary of the workspace in `folder`, or beside the running program when it is `None`.
pub fn binary_path(folder: Option<&Path>, name: &str) -> eyre::Result<PathBuf> {
    let path = match folder {
        Some(folder) => folder.join(name),
        None => {
            let own_path = std::env::current_exe().wrap_err("find the running program")?;
            own_path.parent().ok_or_eyre("the running program has no folder")?.join(name)
        }
    };
    eyre::ensure!(path.is_file(), "{} is missing; build the workspace first", path.display());
    Ok(path)
}

/// Reads a catalogue document without validating it.
pub fn read_catalogue(path: &Path) -> eyre::Result<Value> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("read {}", path.display()))?;
    serde_json::from_slice(&bytes).wrap_err_with(|| format!("parse {}", path.display()))
}

/// Returns name and version of each service of a catalogue.
pub fn services(catalogue: &Value) -> eyre::Result<Vec<(String, String)>> {
    let services = catalogue["services"].as_array().ok_or_eyre("the catalogue has no services")?;
    services
        .iter()
        .map(|service| {
            let name = service["name"].as_str().ok_or_eyre("a service has no name")?;
            let version = service["version"].as_str().ok_or_eyre("a service has no version")?;
            Ok((name.to_string(), version.to_string()))
        })
        .collect()
}

/// Returns one kind of call for each entry of a catalogue, weighted by the entry's rate limit so
/// that no entry reaches its limit before the others.
pub fn calls(catalogue: &Value) -> eyre::Result<Vec<CallSpec>> {
    let entries = catalogue["entries"].as_array().ok_or_eyre("the catalogue has no entries")?;
    entries.iter().map(call_spec).collect()
}

/// Returns the weight of the calls to an entry, its rate limit; 1 without a limit.
fn weight(entry: &Value) -> u32 {
    let rate = entry["limits"]["rate_per_s"].as_f64().unwrap_or(1.0);
    // Weights are integers of at least 1; rates in catalogues are far below the maximum of `u32`.
    rate.max(1.0) as u32
}

fn call_spec(entry: &Value) -> eyre::Result<CallSpec> {
    let class: Class = serde_json::from_value(entry["class"].clone())?;
    let body_bytes = match class {
        Class::CounterQuery | Class::InternalQuery => 0,
        Class::Booking => BOOKING_BYTES,
        Class::Upload => UPLOAD_BYTES,
    };
    let max_body_bytes = entry["limits"]["max_body_bytes"].as_u64().unwrap_or(u64::MAX);
    let defaults = CallSpec::default();
    Ok(CallSpec {
        class,
        method: entry["methods"][0].as_str().ok_or_eyre("an entry has no method")?.to_string(),
        path: entry["path"].as_str().ok_or_eyre("an entry has no path")?.to_string(),
        body_bytes: body_bytes.min(usize::try_from(max_body_bytes).unwrap_or(usize::MAX)),
        deadline_ms: entry["limits"]["deadline_ms"].as_u64().unwrap_or(defaults.deadline_ms),
        idempotency_header: entry["idempotency_header"]
            .as_str()
            .map_or(defaults.idempotency_header, str::to_string),
        weight: weight(entry),
        ..CallSpec::default()
    })
}
