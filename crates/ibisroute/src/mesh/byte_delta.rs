//! Binary deltas between two versions of a row. They can be applied to rows of any format.
//!
//! A configuration with hundreds of routes usually changes in one of them; peers in other data
//! centres then receive a few hundred bytes instead of the whole row.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::Digest;

/// One instruction of a delta; the instructions create the text from its start to its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Step {
    /// Copies a range of the base, given by offset and length in bytes.
    Copy(u32, u32),
    Insert(Vec<u8>),
}

/// Steps that create a text from a base text, with the digest of the created text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ByteDelta {
    steps: Vec<Step>,
    digest: Digest,
}

/// Splits a text after each closing brace, so that the entries of a list are separate chunks.
fn chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|b| *b == b'}')
}

impl ByteDelta {
    /// Returns the delta that creates `text` from `base`.
    pub fn between(base: &[u8], text: &[u8]) -> Self {
        let mut first_offsets: HashMap<&[u8], u32> = HashMap::new();
        let mut offset = 0;
        for chunk in chunks(base) {
            first_offsets.entry(chunk).or_insert(offset);
            offset += chunk.len() as u32;
        }
        let mut steps: Vec<Step> = Vec::new();
        for chunk in chunks(text) {
            let len = chunk.len() as u32;
            // Extends the last copy while the base continues with the same bytes. Without this, a frequent
            // chunk such as a single brace would end the copy, since the index holds only its first offset.
            if let Some(Step::Copy(from, copied)) = steps.last_mut()
                && base[(*from + *copied) as usize..].starts_with(chunk)
            {
                *copied += len;
                continue;
            }
            match (first_offsets.get(chunk), steps.last_mut()) {
                (Some(base_offset), _) => steps.push(Step::Copy(*base_offset, len)),
                (None, Some(Step::Insert(bytes))) => bytes.extend_from_slice(chunk),
                (None, _) => steps.push(Step::Insert(chunk.to_vec())),
            }
        }
        Self { steps, digest: Digest::of(text) }
    }

    /// Returns the approximate size on the wire in bytes.
    pub fn bytes(&self) -> usize {
        let step_bytes = |s: &Step| if let Step::Insert(bytes) = s { bytes.len() } else { 8 };
        self.steps.iter().map(step_bytes).sum()
    }

    /// Rebuilds the text from `base`; returns `None` when the delta was made for another base.
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
