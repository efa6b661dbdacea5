//! Requests to the metadata store of the external platform, which keeps rows in tables: reads,
//! conditional writes and watches.

use std::borrow::Cow;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::FutureExt;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use super::client::HttpPlatform;
use super::model::PlatformError;
use crate::events;
use crate::events::platform::UNREADABLE_ROW;
use crate::mesh::replicated_rows::RowChange;
use crate::mesh::replicated_rows::RowVersion;
use crate::mesh::store::RowPage;
use crate::mesh::store::RowStore;
use crate::mesh::store::RowWrite;
use crate::mesh::store::StoreFuture;
use crate::mesh::store::WatchOutcome;
use crate::mesh::store::WriteOutcome;
use crate::types::Millis;

/// HTTP request to the metadata store; the platform client adds the address of the server.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    pub method: &'static str,
    /// HTTP request target: path and query.
    pub target: String,
    /// JSON body; empty for reads.
    pub body: Vec<u8>,
}

/// Transaction with the expected versions of rows, and the rows to write and to remove.
#[derive(Serialize)]
struct TxWire<'a> {
    expect: Vec<ExpectWire<'a>>,
    puts: Vec<PutWire<'a>>,
    remove: Vec<KeyWire<'a>>,
}

#[derive(Serialize)]
struct KeyWire<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

#[derive(Serialize)]
struct ExpectWire<'a> {
    #[serde(flatten)]
    row: KeyWire<'a>,
    /// Version that the row must have; 0 requires that the row is absent.
    resource_version: u64,
}

#[derive(Serialize)]
struct PutWire<'a> {
    #[serde(flatten)]
    row: KeyWire<'a>,
    /// Value in base64.
    value: String,
}

#[derive(Deserialize)]
struct RowWire<'a> {
    key: SmolStr,
    /// Value in base64. Borrowed from the response, since a configuration can take a megabyte.
    #[serde(borrow, default)]
    value: Cow<'a, str>,
    #[serde(default)]
    resource_version: u64,
    /// Whether the row was removed.
    #[serde(default)]
    tombstone: bool,
}

/// Page of rows. `R` is [`RowWire`], or [`RawValue`] if the rows are decoded one by one.
#[derive(Deserialize)]
struct PageWire<R> {
    #[serde(default = "Vec::new")]
    rows: Vec<R>,
    #[serde(default)]
    has_more: bool,
    /// Newest version of the whole store; the field of the same name in [`RowWire`] is the version of
    /// one row.
    #[serde(default)]
    resource_version: u64,
}

impl TryFrom<RowWire<'_>> for RowChange {
    type Error = String;

    fn try_from(wire: RowWire<'_>) -> Result<Self, String> {
        let value =
            STANDARD.decode(wire.value.as_bytes()).map_err(|e| format!("row {}: {e}", wire.key))?;
        Ok(Self {
            key: wire.key,
            version: RowVersion(wire.resource_version),
            value: (!wire.tombstone).then(|| value.into()),
        })
    }
}

impl<R> PageWire<R> {
    /// Decodes the rows. A row that cannot be read is logged and left out; the others hold.
    fn into_page(self, mut decode: impl FnMut(R) -> Result<RowChange, String>) -> RowPage {
        let readable = |row| {
            decode(row).inspect_err(|e| events::emit(&UNREADABLE_ROW, format_args!("{e}"))).ok()
        };
        RowPage {
            rows: self.rows.into_iter().filter_map(readable).collect(),
            has_more: self.has_more,
            version: RowVersion(self.resource_version),
        }
    }
}

/// Builds the request that writes or removes a row.
pub fn write_request(row_write: &RowWrite) -> StoreRequest {
    let row_key = || KeyWire { table: row_write.table, part: "", key: &row_write.key };
    let expect =
        row_write.expected_version.map(|v| ExpectWire { row: row_key(), resource_version: v.0 });
    let wire = TxWire {
        expect: expect.into_iter().collect(),
        puts: row_write
            .value
            .iter()
            .map(|value| PutWire { row: row_key(), value: STANDARD.encode(value) })
            .collect(),
        remove: if row_write.value.is_none() { vec![row_key()] } else { Vec::new() },
    };
    let body = serde_json::to_vec(&wire).unwrap_or_default();
    StoreRequest { method: "POST", target: "/-/rows-tx".to_string(), body }
}

/// Builds the request that reads the rows of a table whose keys are not less than `from`.
pub fn read_request(table: &str, from: &str) -> StoreRequest {
    let target = format!("/-/rows-get?table={table}&part=&from={}&limit=500", percent_encode(from));
    StoreRequest { method: "GET", target, body: Vec::new() }
}

/// Builds the request that waits at most `wait` for changes of a table after a version.
pub fn watch_request(table: &str, after: RowVersion, wait: Millis) -> StoreRequest {
    let target = format!("/-/rows-feed?table={table}&after={}&wait_ms={}", after.0, wait.0);
    StoreRequest { method: "GET", target, body: Vec::new() }
}

/// Decodes the response to a read or a watch; fails if the body is not a page of rows. Rows that cannot be
/// read are left out.
pub fn decode_page(body: &[u8]) -> Result<RowPage, String> {
    if let Ok(wire) = serde_json::from_slice::<PageWire<RowWire<'_>>>(body) {
        return Ok(wire.into_page(RowChange::try_from));
    }
    // One row may make the page as a whole unreadable, for example by a number that is too large.
    let wire: PageWire<&RawValue> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    Ok(wire.into_page(|row| {
        serde_json::from_str::<RowWire<'_>>(row.get()).map_err(|e| e.to_string())?.try_into()
    }))
}

/// Decodes the response to a write; fails for any status other than 200 and 412.
pub fn decode_write_response(status: u16, body: &[u8]) -> Result<WriteOutcome, String> {
    let page = decode_page(body)?;
    match status {
        200 => Ok(WriteOutcome::Committed(page.version)),
        412 => Ok(WriteOutcome::Conflict(page.rows)),
        status => Err(format!("status {status}")),
    }
}

fn percent_encode(key: &str) -> String {
    key.bytes().fold(String::new(), |mut out, b| {
        if b.is_ascii_alphanumeric() || b"-._~/".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
        out
    })
}

impl RowStore for HttpPlatform {
    fn read(&self, table: &'static str, from: &str) -> StoreFuture<RowPage> {
        let this = self.clone();
        let request = read_request(table, from);
        async move {
            let (status, body) = this.exchange_rows(request).await?;
            match status {
                200 => decode_page(&body).map_err(unreadable_response),
                _ => Err(PlatformError::Protocol(format!("reading {table}: status {status}"))),
            }
        }
        .boxed_local()
    }

    fn watch(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Millis,
    ) -> StoreFuture<WatchOutcome> {
        let this = self.clone();
        let request = watch_request(table, after, wait);
        async move {
            let (status, body) = this.exchange_rows(request).await?;
            match status {
                200 => decode_page(&body).map(WatchOutcome::Changes).map_err(unreadable_response),
                410 => Ok(WatchOutcome::HistoryLost),
                _ => Err(PlatformError::Protocol(format!("watching {table}: status {status}"))),
            }
        }
        .boxed_local()
    }

    fn write(&self, row_write: RowWrite) -> StoreFuture<WriteOutcome> {
        let this = self.clone();
        let request = write_request(&row_write);
        async move {
            let (status, body) = this.exchange_rows(request).await?;
            decode_write_response(status, &body).map_err(unreadable_response)
        }
        .boxed_local()
    }
}

/// Returns the error for an unreadable response. It counts as a missing response, since a write may have
/// taken effect.
fn unreadable_response(error: String) -> PlatformError {
    PlatformError::NoAnswer(format!("unreadable response: {error}"))
}
