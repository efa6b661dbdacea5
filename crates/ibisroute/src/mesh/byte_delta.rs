//! Differences between two versions of a row, independent of its format.
//!
//! A configuration of hundreds of routes changes by one of them; peers in other data centres then get
//! a few hundred bytes instead of the whole row.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::Digest;

/// One step of a delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Step {
    /// Copies a range of the base.
    Copy(u32, u32),
    /// Inserts bytes.
    Insert(Vec<u8>),
}

/// How to make a text from another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ByteDelta {
    steps: Vec<Step>,
    digest: Digest,
}

/// Pieces end after a closing brace, so that entries of a list are pieces of their own.
fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|b| *b == b'}')
}

impl ByteDelta {
    /// The delta that makes `text` from `base`.
    pub fn between(base: &[u8], text: &[u8]) -> Self {
        let mut known: HashMap<&[u8], u32> = HashMap::new();
        let mut offset = 0;
        for piece in pieces(base) {
            known.entry(piece).or_insert(offset);
            offset += piece.len() as u32;
        }
        let mut steps: Vec<Step> = Vec::new();
        for piece in pieces(text) {
            let len = piece.len() as u32;
            // A copy goes on as long as it can. Pieces that occur often, such as a lone brace, are
            // known by their first place and would end it.
            if let Some(Step::Copy(from, copied)) = steps.last_mut()
                && base[(*from + *copied) as usize..].starts_with(piece)
            {
                *copied += len;
                continue;
            }
            match (known.get(piece), steps.last_mut()) {
                (Some(at), _) => steps.push(Step::Copy(*at, len)),
                (None, Some(Step::Insert(bytes))) => bytes.extend_from_slice(piece),
                (None, _) => steps.push(Step::Insert(piece.to_vec())),
            }
        }
        Self { steps, digest: Digest::of(text) }
    }

    /// Bytes that the delta takes on the wire, about.
    pub fn bytes(&self) -> usize {
        let step = |s: &Step| if let Step::Insert(bytes) = s { bytes.len() } else { 8 };
        self.steps.iter().map(step).sum()
    }

    /// Makes the text; `None` when the base is another one.
    pub fn apply(&self, base: &[u8]) -> Option<Vec<u8>> {
        let mut text = Vec::with_capacity(base.len());
        for step in &self.steps {
            match step {
                Step::Copy(from, len) => {
                    let from = *from as usize;
                    text.extend_from_slice(base.get(from..from.checked_add(*len as usize)?)?);
                }
                Step::Insert(bytes) => text.extend_from_slice(bytes),
            }
        }
        (Digest::of(&text) == self.digest).then_some(text)
    }
}
