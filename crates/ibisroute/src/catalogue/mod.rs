//! The catalogue: the document in which operators declare services, entries and moves. The
//! submodules parse, validate, compare and store it.

mod checks;
pub mod delta;
pub mod diff;
pub mod document;
mod json;
pub mod model;
mod parse;
mod reader;
pub mod store;
pub mod store_settings;

use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use self::document::Document;
use self::model::Catalogue;
pub use self::parse::MAX_DOCUMENT_BYTES;
pub use self::parse::parse;
use crate::snapshot::CompiledCatalogue;
use crate::types::Digest;
use crate::types::Head;

/// Validation error of a catalogue document.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display("{path}: {value} is not allowed: expected {expected}")]
pub struct CatalogueError {
    /// JSON path of the field, for example `entries[3].limits.deadline_ms`; `$` is the whole
    /// document.
    pub path: String,
    /// Value found, as shortened JSON.
    pub value: String,
    /// Description of the allowed values.
    pub expected: String,
}

/// All validation errors of a catalogue document: first those of single fields in document order,
/// then those that involve several items, such as duplicate names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct CatalogueErrors(pub Vec<CatalogueError>);

impl CatalogueErrors {
    /// Creates a list with a single error.
    pub fn from_single_error(
        path: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self(vec![CatalogueError {
            path: path.into(),
            value: value.into(),
            expected: expected.into(),
        }])
    }
}

impl std::fmt::Display for CatalogueErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for CatalogueErrors {}

/// Returns the bytes whose digest identifies the catalogue: compact JSON, fields in a fixed order,
/// defaults written out, lists sorted by name.
pub fn canonical_bytes(catalogue: &Catalogue) -> Vec<u8> {
    let doc = Document::from(catalogue);
    serde_json::to_vec(&doc).expect("a document has only string keys and finite numbers")
}

/// Returns the digest of the canonical bytes.
pub fn digest(catalogue: &Catalogue) -> Digest {
    Digest::of(&canonical_bytes(catalogue))
}

/// Verifies the digest of `bytes`, then parses, validates and compiles them.
///
/// Bytes that are not canonical are rejected as well: a delta to the next version starts from the
/// digest of the canonical bytes and would not apply.
pub fn compile(head: Head, bytes: &[u8]) -> Result<CompiledCatalogue, CatalogueErrors> {
    let found = Digest::of(bytes);
    if found != head.digest {
        let expected = format!("bytes with the digest {}", head.digest);
        return Err(CatalogueErrors::from_single_error("$", format!("digest {found}"), expected));
    }
    let catalogue = parse(bytes)?;
    if canonical_bytes(&catalogue) != bytes {
        return Err(CatalogueErrors::from_single_error("$", "the document", "canonical bytes"));
    }
    Ok(CompiledCatalogue::new(head, catalogue, Arc::from(bytes)))
}
