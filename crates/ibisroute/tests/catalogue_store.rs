//! Tests of applying catalogue versions through the platform: racing operators, lost responses,
//! outages.

#[path = "common/fake_platform.rs"]
mod fake_platform;

use std::rc::Rc;

use fake_platform::FakePlatform;
use fake_platform::Fault;
use ibisroute::catalogue;
use ibisroute::catalogue::model::Catalogue;
use ibisroute::catalogue::store::ApplyOutcome;
use ibisroute::catalogue::store::CatalogueStore;
use ibisroute::catalogue::store_settings::StoreSettings;
use ibisroute::types::ConfigVersion;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NO_VERSION: ConfigVersion = ConfigVersion(0);
const FIRST_VERSION: ConfigVersion = ConfigVersion(1);

/// Returns a catalogue with this name and one service.
fn sample_catalogue(name: &str) -> Catalogue {
    let json_text = format!(
        r#"{{"format":1,"name":"{name}","entries":[],
        "services":[{{"name":"counter","owner":"o","version":"v1"}}]}}"#
    );
    catalogue::parse(json_text.as_bytes()).expect("valid")
}

fn store(platform: &FakePlatform, seed: u64) -> CatalogueStore {
    // 30 s of retries are enough on a busy machine; tests that expect success end much earlier.
    let cfg = StoreSettings { retry_for_ms: 30_000, first_pause_ms: 1, max_pause_ms: 10 };
    CatalogueStore::new(Rc::new(platform.clone()), cfg, seed)
}

/// Store with a short time for retries, for tests in which the platform stays down.
fn store_with_short_retries(platform: &FakePlatform) -> CatalogueStore {
    let cfg = StoreSettings { retry_for_ms: 200, first_pause_ms: 1, max_pause_ms: 10 };
    CatalogueStore::new(Rc::new(platform.clone()), cfg, 1)
}

fn accepted_version(outcome: ApplyOutcome) -> ConfigVersion {
    match outcome {
        ApplyOutcome::Accepted(row) => row.version,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Returns an action that commits a version as another operator, to run between two requests of the
/// operator under test.
fn commit_by_other_operator(
    platform: &FakePlatform,
    version: u64,
    name: &str,
) -> Box<dyn FnOnce()> {
    let (platform, body) = (platform.clone(), catalogue::canonical_bytes(&sample_catalogue(name)));
    Box::new(move || platform.force_version(version, &body, "other"))
}

/// Guards against a head whose object or history row does not exist.
#[actix_rt::test]
async fn accepted_version_has_object_and_history_row() {
    let platform = FakePlatform::default();
    let store = store(&platform, 1);
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "first").await),
        FIRST_VERSION
    );
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("b"), FIRST_VERSION, "ana", "second").await)
            .0,
        2
    );
    let head = store.head().await.expect("readable").expect("present");
    assert_eq!(store.catalogue(head.row.digest).await.expect("readable"), sample_catalogue("b"));
    let history = store.history().await.expect("readable");
    let notes: Vec<&str> = history.iter().map(|row| row.note.as_str()).collect();
    assert_eq!(notes, ["first", "second"]);
    assert_eq!(platform.keys(), ["head", "history/000000000001", "history/000000000002"]);
    assert_eq!(platform.objects().len(), 2);
}

/// Guards against an operator who silently overwrites the change of another operator.
#[actix_rt::test]
async fn racing_operators_have_one_winner() {
    for seed in 0..50 {
        let platform = FakePlatform::default();
        let (store_a, store_b) = (store(&platform, 2 * seed), store(&platform, 2 * seed + 1));
        let (catalogue_a, catalogue_b) = (sample_catalogue("a"), sample_catalogue("b"));
        let (first, second) = futures_util::future::join(
            store_a.apply(&catalogue_a, NO_VERSION, "ana", ""),
            store_b.apply(&catalogue_b, NO_VERSION, "ben", ""),
        )
        .await;
        let (loser, winner) = match (&first, &second) {
            (ApplyOutcome::Accepted(_), loser) => (loser, "ana"),
            (loser, ApplyOutcome::Accepted(_)) => (loser, "ben"),
            both => panic!("seed {seed}: neither was accepted: {both:?}"),
        };
        let ApplyOutcome::Conflict { theirs: Some(theirs), difference: Some(changes) } = loser
        else {
            panic!("seed {seed}: no conflict with a difference: {loser:?}");
        };
        assert_eq!(
            (theirs.author.as_str(), theirs.version),
            (winner, FIRST_VERSION),
            "seed {seed}"
        );
        assert_eq!(changes.len(), 1, "seed {seed}: {changes:?}");
        assert_eq!(store_a.history().await.expect("readable").len(), 1, "seed {seed}");
    }
}

/// Guards against a stale base that overwrites a version which the operator has not seen.
#[actix_rt::test]
async fn stale_base_conflicts() {
    let platform = FakePlatform::default();
    commit_by_other_operator(&platform, 5, "theirs")();
    let outcome =
        store(&platform, 1).apply(&sample_catalogue("mine"), ConfigVersion(4), "ana", "").await;
    let ApplyOutcome::Conflict { theirs: Some(theirs), difference: Some(changes) } = outcome else {
        panic!("no conflict: {outcome:?}");
    };
    assert_eq!(theirs.version.0, 5);
    let expected = "~ catalogue mine\n    name: \"theirs\" -> \"mine\"";
    assert_eq!(changes[0].to_string(), expected);
}

/// Guards against overwriting a version that is committed between the read of the head and the
/// transaction.
#[actix_rt::test]
async fn commit_after_the_read_conflicts() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::Before(commit_by_other_operator(&platform, 1, "theirs")));
    let outcome = store(&platform, 1).apply(&sample_catalogue("mine"), NO_VERSION, "ana", "").await;
    assert!(matches!(outcome, ApplyOutcome::Conflict { .. }), "{outcome:?}");
    assert_eq!(platform.keys(), ["head", "history/000000000001"]);
}

/// The response to a write that committed is lost. Guards against reporting this write as a
/// conflict, and against writing it a second time.
#[actix_rt::test]
async fn lost_response_to_committed_write_is_accepted() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::ResponseLost);
    let store = store(&platform, 1);
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await),
        FIRST_VERSION
    );
    assert_eq!(platform.keys(), ["head", "history/000000000001"]);
}

/// A write is lost before it reaches the table. Guards against reporting it as accepted without
/// writing it again.
#[actix_rt::test]
async fn lost_write_is_retried() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::RequestLost);
    let store = store(&platform, 1);
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await),
        FIRST_VERSION
    );
    assert!(store.head().await.expect("readable").is_some());
}

/// The response to a write that committed is lost, and another operator commits the next version.
/// Guards against reporting a conflict although the write is in the history.
#[actix_rt::test]
async fn lost_response_is_accepted_despite_newer_head() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::ResponseLostThen(commit_by_other_operator(&platform, 2, "theirs")));
    let store = store(&platform, 1);
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await),
        FIRST_VERSION
    );
    assert_eq!(store.head().await.expect("readable").expect("present").row.version.0, 2);
}

/// A write is lost before it reaches the table, and another operator commits the same version
/// number. Guards against reporting the lost write as accepted.
#[actix_rt::test]
async fn lost_write_conflicts_with_other_operator() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::RequestLost);
    platform.push_fault(Fault::Before(commit_by_other_operator(&platform, 1, "theirs")));
    let outcome = store(&platform, 1).apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await;
    assert!(matches!(outcome, ApplyOutcome::Conflict { .. }), "{outcome:?}");
}

/// The response to a write is lost, and the table stays down afterwards. Guards against reporting a
/// definite outcome although the outcome cannot be determined.
#[actix_rt::test]
async fn undetermined_write_is_reported_as_unknown() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::ResponseLost);
    platform.go_down_after_transact();
    let outcome = store_with_short_retries(&platform)
        .apply(&sample_catalogue("a"), NO_VERSION, "ana", "")
        .await;
    assert!(matches!(outcome, ApplyOutcome::Unknown(_)), "{outcome:?}");
}

/// The table fails after the object was stored. Guards against a head without an object, and
/// against an unknown outcome although no write of the head was sent.
#[actix_rt::test]
async fn table_outage_leaves_no_head() {
    let platform = FakePlatform::default();
    platform.go_down_after_put();
    let store = store_with_short_retries(&platform);
    let outcome = store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await;
    assert!(matches!(outcome, ApplyOutcome::Unavailable(_)), "{outcome:?}");
    assert_eq!(platform.keys(), Vec::<String>::new());
    assert_eq!(platform.objects().len(), 1);
    platform.set_table_down(false);
    assert_eq!(
        accepted_version(store.apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await),
        FIRST_VERSION
    );
}

/// Guards against a head without an object when the object store is down.
#[actix_rt::test]
async fn object_store_outage_leaves_no_head() {
    let platform = FakePlatform::default();
    platform.set_objects_down(true);
    let outcome = store_with_short_retries(&platform)
        .apply(&sample_catalogue("a"), NO_VERSION, "ana", "")
        .await;
    assert!(matches!(outcome, ApplyOutcome::Unavailable(_)), "{outcome:?}");
    assert_eq!(platform.keys(), Vec::<String>::new());
}

/// Guards against giving up after the first refusal by an overloaded platform.
#[actix_rt::test]
async fn refusals_by_the_platform_are_retried() {
    let platform = FakePlatform::default();
    platform.push_fault(Fault::Refused);
    platform.push_fault(Fault::Refused);
    assert_eq!(
        accepted_version(
            store(&platform, 1).apply(&sample_catalogue("a"), NO_VERSION, "ana", "").await
        ),
        FIRST_VERSION
    );
}

/// Result of one operator, who applies a catalogue until a version is accepted or an outcome is
/// unknown.
struct OperatorResult {
    name: String,
    /// Versions that were accepted.
    accepted_versions: Vec<ConfigVersion>,
    /// Number of attempts with an unknown outcome.
    unknown_outcomes: usize,
}

async fn apply_until_accepted(platform: FakePlatform, seed: u64, name: String) -> OperatorResult {
    let store = store(&platform, seed);
    let new_catalogue = sample_catalogue(&name);
    let mut result =
        OperatorResult { name: name.clone(), accepted_versions: Vec::new(), unknown_outcomes: 0 };
    for _ in 0..20 {
        let Ok(head) = store.head().await else { break };
        let base = head.map_or(NO_VERSION, |head| head.row.version);
        match store.apply(&new_catalogue, base, &name, "").await {
            ApplyOutcome::Accepted(row) => {
                result.accepted_versions.push(row.version);
                break;
            }
            ApplyOutcome::Conflict { .. } => {}
            ApplyOutcome::Unavailable(_) => break,
            ApplyOutcome::Unknown(_) => {
                result.unknown_outcomes += 1;
                break;
            }
        }
    }
    result
}

/// Guards against a mix of races, refusals and lost responses that loses or duplicates a version:
/// each accepted version is in the history exactly once, and nothing else is.
#[actix_rt::test]
async fn mixed_faults_lose_no_accepted_version() {
    for seed in 0..300_u64 {
        let platform = FakePlatform::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..rng.random_range(0..8) {
            platform.push_fault(match rng.random_range(0..4) {
                0 => Fault::ResponseLost,
                1 => Fault::RequestLost,
                2 => Fault::Refused,
                _ => Fault::Before(Box::new(|| {})),
            });
        }
        let operators = ["ana", "ben", "cai", "dee"].iter().enumerate().map(|(i, name)| {
            apply_until_accepted(platform.clone(), seed * 4 + i as u64, (*name).to_string())
        });
        let operator_results = futures_util::future::join_all(operators).await;
        let history = store(&platform, 1).history().await.expect("readable");
        let history_versions: Vec<u64> = history.iter().map(|row| row.version.0).collect();
        let expected: Vec<u64> = (1..=history.len() as u64).collect();
        assert_eq!(history_versions, expected, "seed {seed}");
        for result in operator_results {
            let recorded_versions: Vec<ConfigVersion> =
                history.iter().filter(|r| r.author == result.name).map(|r| r.version).collect();
            let name = &result.name;
            if result.unknown_outcomes == 0 {
                assert_eq!(
                    recorded_versions, result.accepted_versions,
                    "seed {seed}, operator {name}"
                );
            } else {
                assert!(
                    recorded_versions.len() <= result.unknown_outcomes,
                    "seed {seed}, operator {name}: {recorded_versions:?}"
                );
            }
        }
    }
}
