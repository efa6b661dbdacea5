//! Compact difference between two catalogues, for transfer between nodes.

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

/// Changes that turn one catalogue into another, encoded as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Digest of the catalogue that the delta applies to.
    pub from: Digest,
    /// Digest of the resulting catalogue.
    pub to: Digest,
    /// Name of the resulting catalogue.
    pub name: SmolStr,
    pub services: ListDelta<ServiceDocument>,
    pub entries: ListDelta<EntryDocument>,
    pub moves: ListDelta<MoveDocument>,
}

/// Changes to one of the lists (services, entries or moves) of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListDelta<T> {
    /// New and changed items, each complete.
    pub put: Vec<T>,
    /// Names of removed services or entries, or ids of removed moves.
    pub remove: Vec<SmolStr>,
}

/// Why a delta could not be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// The bytes are not a delta.
    #[display("malformed delta: {_0}")]
    Malformed(String),
    /// The delta applies to another catalogue.
    #[display("the delta applies to {expected}, not to {found}")]
    OtherBase {
        /// Digest given in the delta.
        expected: Digest,
        /// Digest of the catalogue that was passed to [`apply`].
        found: Digest,
    },
    /// The result is not a valid catalogue.
    #[display("the delta gives an invalid catalogue: {_0}")]
    Invalid(CatalogueErrors),
    /// The result does not have the digest given in the delta.
    #[display("the delta gives {found}, not {expected}")]
    OtherResult {
        /// Digest given in the delta.
        expected: Digest,
        /// Digest of the resulting catalogue.
        found: Digest,
    },
}

impl std::error::Error for DeltaError {}

impl Delta {
    /// Encodes the delta as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta has only string keys and finite numbers")
    }

    /// Decodes a delta from JSON.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DeltaError> {
        serde_json::from_slice(bytes).map_err(|e| DeltaError::Malformed(e.to_string()))
    }
}

/// Item of a catalogue list with its identifying name or id.
trait Keyed: Clone + PartialEq {
    fn key(&self) -> &SmolStr;
}

impl Keyed for ServiceDocument {
    fn key(&self) -> &SmolStr {
        &self.name
    }
}

impl Keyed for EntryDocument {
    fn key(&self) -> &SmolStr {
        &self.name
    }
}

impl Keyed for MoveDocument {
    fn key(&self) -> &SmolStr {
        &self.id
    }
}

fn index_by_key<T: Keyed>(items: &[T]) -> BTreeMap<&SmolStr, &T> {
    items.iter().map(|item| (item.key(), item)).collect()
}

fn compute_list_delta<T: Keyed>(old_items: &[T], new_items: &[T]) -> ListDelta<T> {
    let (old_by_key, new_by_key) = (index_by_key(old_items), index_by_key(new_items));
    ListDelta {
        put: new_items
            .iter()
            .filter(|item| old_by_key.get(item.key()) != Some(item))
            .cloned()
            .collect(),
        remove: old_by_key
            .into_keys()
            .filter(|key| !new_by_key.contains_key(key))
            .cloned()
            .collect(),
    }
}

fn apply_list_delta<T: Keyed>(old_items: Vec<T>, delta: &ListDelta<T>) -> Vec<T> {
    let mut items_by_key: BTreeMap<SmolStr, T> =
        old_items.into_iter().map(|item| (item.key().clone(), item)).collect();
    for key in &delta.remove {
        items_by_key.remove(key);
    }
    for item in &delta.put {
        items_by_key.insert(item.key().clone(), item.clone());
    }
    items_by_key.into_values().collect()
}

/// Computes the delta that turns `from` into `to`.
pub fn compute(from: &Catalogue, to: &Catalogue) -> Delta {
    let (old_doc, new_doc) = (Document::from(from), Document::from(to));
    Delta {
        from: digest(from),
        to: digest(to),
        services: compute_list_delta(&old_doc.services, &new_doc.services),
        entries: compute_list_delta(&old_doc.entries, &new_doc.entries),
        moves: compute_list_delta(&old_doc.moves, &new_doc.moves),
        name: new_doc.name,
    }
}

/// Applies a delta. On success the result has passed full validation, and its canonical bytes have
/// the digest `delta.to`.
pub fn apply(from: &Catalogue, delta: &Delta) -> Result<Catalogue, DeltaError> {
    let base_digest = digest(from);
    if base_digest != delta.from {
        return Err(DeltaError::OtherBase { expected: delta.from, found: base_digest });
    }
    let old_doc = Document::from(from);
    let new_doc = Document {
        format: old_doc.format,
        name: delta.name.clone(),
        services: apply_list_delta(old_doc.services, &delta.services),
        entries: apply_list_delta(old_doc.entries, &delta.entries),
        moves: apply_list_delta(old_doc.moves, &delta.moves),
    };
    let catalogue = Catalogue::try_from(&new_doc).map_err(DeltaError::Invalid)?;
    let found = digest(&catalogue);
    if found != delta.to {
        return Err(DeltaError::OtherResult { expected: delta.to, found });
    }
    Ok(catalogue)
}
