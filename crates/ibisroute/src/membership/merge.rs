//! Merge rule of member records: they are totally ordered, and the greater record wins.

use std::cmp::Ordering;

use super::record::MemberRecord;
use crate::wire;
use crate::wire::MemberRecordWire;

/// Orders two records of one node by incarnation, revision and status. Only a faulty
/// node produces records that are equal in these three but differ otherwise. Their encodings are
/// then compared, so that all nodes keep the same record.
pub fn compare(a: &MemberRecord, b: &MemberRecord) -> Ordering {
    let precedence = |r: &MemberRecord| (r.incarnation, r.revision, r.status);
    precedence(a)
        .cmp(&precedence(b))
        .then_with(|| if a == b { Ordering::Equal } else { encoding(a).cmp(&encoding(b)) })
}

/// Returns whether `new` replaces `old`.
pub fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    compare(new, old) == Ordering::Greater
}

/// Returns the record that two nodes keep after they have exchanged `a` and `b`.
pub fn merge(a: MemberRecord, b: MemberRecord) -> MemberRecord {
    if supersedes(&b, &a) { b } else { a }
}

fn encoding(record: &MemberRecord) -> Vec<u8> {
    wire::encode(&MemberRecordWire::from(record), wire::MAX_CONTROL_BYTES).unwrap_or_default()
}
