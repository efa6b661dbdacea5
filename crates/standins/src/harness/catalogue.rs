//! Applies a catalogue without `ibisctl`, as section 3.1 of the design page says.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::http;
use crate::http::Request;
use crate::target::unix_ms;
use crate::wait;

/// Time within which the platform must take the writes.
const BOUND: Duration = Duration::from_secs(10);

/// Stores `document` as the next version at the platform and returns the version.
///
/// The document is not checked, so that tests can apply a bad one. Its bytes are compact JSON with
/// sorted object keys. Fails when the platform does not take the writes within 10 s, or when others
/// change the head meanwhile.
pub fn apply_catalogue(platform: SocketAddr, author: &str, document: &Value) -> eyre::Result<u64> {
    let bytes = document.to_string();
    let digest: String = Sha256::digest(&bytes).iter().map(|b| format!("{b:02x}")).collect();
    let object = format!("http://{platform}/objects/catalogue/{digest}");
    wait::until_true("the platform to take the catalogue object", BOUND, || {
        let stored = Request::new("PUT", &object).body(bytes.clone()).send();
        stored.is_ok_and(|response| matches!(response.status, 200 | 201))
    })?;
    wait::until("the platform to take the head row", BOUND, || commit(platform, author, &digest))?
}

/// Tries once; `None` when the platform gave no usable answer.
fn commit(platform: SocketAddr, author: &str, digest: &str) -> Option<eyre::Result<u64>> {
    let row = http::get(format!("http://{platform}/table/row?key=head")).ok()?;
    let (revision, version) = match row.status {
        200 => {
            let row = row.json();
            (row["revision"].clone(), row["value"]["version"].as_u64()? + 1)
        }
        404 => (Value::Null, 1),
        _ => return None,
    };
    let now = unix_ms();
    // A token that no other writer has tells after a lost answer whose write it was.
    let token = format!("standin-{}-{now}-{version}", std::process::id());
    let history = format!("history/{version:012}");
    let transaction = json!({
        "conditions": [{"key": "head", "revision": revision}, {"key": history, "revision": null}],
        "puts": [
            {"key": "head", "value": {"version": version, "digest": digest, "author": author,
                                      "token": token}},
            {"key": history, "value": {"version": version, "digest": digest, "author": author,
                                       "unix_ms": now, "note": "applied by the test harness"}},
        ],
    });
    match http::post(format!("http://{platform}/table/transact"), &transaction) {
        Ok(response) if response.status == 200 => Some(Ok(version)),
        Ok(response) if response.status == 409 => {
            Some(Err(eyre::eyre!("another writer changed the head: {}", response.json())))
        }
        Ok(_) => None,
        Err(_) => {
            let head = http::get(format!("http://{platform}/table/row?key=head")).ok()?.json();
            (head["value"]["token"] == token.as_str()).then_some(Ok(version))
        }
    }
}
