//! Properties of merging member records: nodes that receive the same records in any order must keep
//! the same one.

#[path = "support/member_net.rs"]
#[allow(dead_code)]
mod member_net;

use ibisroute::membership::merge::merge;
use ibisroute::membership::record::MemberRecord;
use ibisroute::membership::record::Status;
use ibisroute::membership::record::TargetState;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

#[derive(Clone, Debug)]
struct ArbitraryRecord(MemberRecord);

impl Arbitrary for ArbitraryRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut record = member_net::record(1, u64::from(u8::arbitrary(g) % 3));
        record.revision = u64::from(u8::arbitrary(g) % 3);
        let statuses = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
        record.status = *g.choose(&statuses).expect("choices");
        if bool::arbitrary(g) {
            record.targets.push(member_net::target(1, TargetState::Ready));
        }
        Self(record)
    }
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 11)).tests(2_000).quickcheck(property);
}

/// Guards against a merge result that depends on which record arrived first.
#[test]
fn merge_is_commutative() {
    fn property(a: ArbitraryRecord, b: ArbitraryRecord) -> bool {
        merge(a.0.clone(), b.0.clone()) == merge(b.0, a.0)
    }
    check(property as fn(ArbitraryRecord, ArbitraryRecord) -> bool);
}

/// Guards against a merge result that depends on the order in which peers merged the records.
#[test]
fn merge_is_associative() {
    fn property(a: ArbitraryRecord, b: ArbitraryRecord, c: ArbitraryRecord) -> bool {
        let left_grouped = merge(merge(a.0.clone(), b.0.clone()), c.0.clone());
        left_grouped == merge(a.0, merge(b.0, c.0))
    }
    check(property as fn(ArbitraryRecord, ArbitraryRecord, ArbitraryRecord) -> bool);
}

/// Guards against a duplicated datagram that changes a record.
#[test]
fn merge_is_idempotent() {
    fn property(a: ArbitraryRecord, b: ArbitraryRecord) -> bool {
        let merged_once = merge(a.0, b.0.clone());
        merge(merged_once.clone(), b.0) == merged_once
    }
    check(property as fn(ArbitraryRecord, ArbitraryRecord) -> bool);
}

/// Guards against any precedence other than incarnation, revision, status: a change by the node
/// itself overrides a suspicion of its previous record, and a new incarnation overrides everything.
#[test]
fn precedence_is_incarnation_revision_status() {
    let old = member_net::record(1, 5);
    let dead = MemberRecord { status: Status::Dead, ..old.clone() };
    let suspect = MemberRecord { status: Status::Suspect, ..old.clone() };
    let changed = MemberRecord { revision: 1, ..old.clone() };
    let restarted = MemberRecord { incarnation: 6, ..old.clone() };
    assert_eq!(merge(old.clone(), suspect.clone()), suspect);
    assert_eq!(merge(suspect, dead.clone()), dead);
    assert_eq!(merge(dead.clone(), changed.clone()), changed);
    assert_eq!(merge(changed, restarted.clone()), restarted);
    assert_eq!(merge(restarted.clone(), dead), restarted);
}
