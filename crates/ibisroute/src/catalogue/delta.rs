//! Compact difference between two versions, for transfer between nodes.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::CatalogueErrors;
use super::digest;
use super::document::Document;
use super::document::EntryDocument;
use super::document::MoveDocument;
use super::document::ServiceDocument;
use super::model::Catalogue;
use crate::types::Digest;

/// What turns one catalogue into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Digest of the catalogue that it applies to.
    pub from: Digest,
    /// Digest of the result.
    pub to: Digest,
    /// Name of the result.
    pub name: SmolStr,
    /// Services.
    pub services: Part<ServiceDocument>,
    /// Entries.
    pub entries: Part<EntryDocument>,
    /// Moves.
    pub moves: Part<MoveDocument>,
}

/// Changes of one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part<T> {
    /// Items that are new or changed, whole.
    pub put: Vec<T>,
    /// Names of items that are gone.
    pub remove: Vec<SmolStr>,
}

/// Why a delta could not be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// The bytes are not a delta.
    #[display("malformed delta: {_0}")]
    Malformed(String),
    /// It applies to another catalogue.
    #[display("the delta applies to {expected}, not to {found}")]
    OtherBase {
        /// Digest in the delta.
        expected: Digest,
        /// Digest of the catalogue held.
        found: Digest,
    },
    /// The result is not a valid catalogue.
    #[display("the delta gives an invalid catalogue: {_0}")]
    Invalid(CatalogueErrors),
    /// The result has another digest than the delta tells.
    #[display("the delta gives {found}, not {expected}")]
    OtherResult {
        /// Digest in the delta.
        expected: Digest,
        /// Digest of the result.
        found: Digest,
    },
}

impl std::error::Error for DeltaError {}

impl Delta {
    /// The delta as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta has only string keys and finite numbers")
    }

    /// Reads a delta from JSON.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DeltaError> {
        serde_json::from_slice(bytes).map_err(|e| DeltaError::Malformed(e.to_string()))
    }
}

trait Named: Clone + PartialEq {
    fn key(&self) -> &SmolStr;
}

impl Named for ServiceDocument {
    fn key(&self) -> &SmolStr {
        &self.name
    }
}

impl Named for EntryDocument {
    fn key(&self) -> &SmolStr {
        &self.name
    }
}

impl Named for MoveDocument {
    fn key(&self) -> &SmolStr {
        &self.id
    }
}

fn by_name<T: Named>(items: &[T]) -> BTreeMap<&SmolStr, &T> {
    items.iter().map(|item| (item.key(), item)).collect()
}

fn make_part<T: Named>(from: &[T], to: &[T]) -> Part<T> {
    let (old, new) = (by_name(from), by_name(to));
    Part {
        put: to.iter().filter(|item| old.get(item.key()) != Some(item)).cloned().collect(),
        remove: old.into_keys().filter(|key| !new.contains_key(key)).cloned().collect(),
    }
}

fn apply_part<T: Named>(from: Vec<T>, part: &Part<T>) -> Vec<T> {
    let mut items: BTreeMap<SmolStr, T> =
        from.into_iter().map(|item| (item.key().clone(), item)).collect();
    for key in &part.remove {
        items.remove(key);
    }
    for item in &part.put {
        items.insert(item.key().clone(), item.clone());
    }
    items.into_values().collect()
}

/// Makes the delta that turns `from` into `to`.
pub fn make(from: &Catalogue, to: &Catalogue) -> Delta {
    let (old, new) = (Document::from(from), Document::from(to));
    Delta {
        from: digest(from),
        to: digest(to),
        services: make_part(&old.services, &new.services),
        entries: make_part(&old.entries, &new.entries),
        moves: make_part(&old.moves, &new.moves),
        name: new.name,
    }
}

/// Applies a delta. The result is validated whole, and its canonical bytes have the digest
/// `delta.to`.
pub fn apply(from: &Catalogue, delta: &Delta) -> Result<Catalogue, DeltaError> {
    let base = digest(from);
    if base != delta.from {
        return Err(DeltaError::OtherBase { expected: delta.from, found: base });
    }
    let old = Document::from(from);
    let doc = Document {
        format: old.format,
        name: delta.name.clone(),
        services: apply_part(old.services, &delta.services),
        entries: apply_part(old.entries, &delta.entries),
        moves: apply_part(old.moves, &delta.moves),
    };
    let catalogue = Catalogue::try_from(&doc).map_err(DeltaError::Invalid)?;
    let found = digest(&catalogue);
    if found != delta.to {
        return Err(DeltaError::OtherResult { expected: delta.to, found });
    }
    Ok(catalogue)
}
