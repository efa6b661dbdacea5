//! Applies a catalogue without `ibisctl`, as specified in section 3.1 of the design page.

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

/// Time within which the platform must accept each write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stores `document` as the next version at the platform and returns the version.
///
/// The document is not validated, so that tests can apply an invalid one. It is stored as compact
/// JSON with sorted object keys. Fails when the platform does not accept a write within 10 s, or
/// when another writer changes the head at the same time.
pub fn apply_catalogue(platform: SocketAddr, author: &str, document: &Value) -> eyre::Result<u64> {
    let bytes = document.to_string();
    let digest: String = Sha256::digest(&bytes).iter().map(|b| format!("{b:02x}")).collect();
    let object = format!("http://{platform}/objects/catalogue/{digest}");
    wait::until_true("the catalogue object to be stored", WRITE_TIMEOUT, || {
        let stored = Request::new("PUT", &object).body(bytes.clone()).send();
        stored.is_ok_and(|response| matches!(response.status, 200 | 201))
    })?;
    wait::until("the head row to be stored", WRITE_TIMEOUT, || commit(platform, author, &digest))?
}

/// Tries to commit the next version once; `None` when the platform gave no usable response.
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
    // The token is unique to this write, so that after a lost response the head shows whether the
    // write took effect.
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
