//! Generators of random valid catalogues.

use ibisroute::catalogue::document::Document;
use ibisroute::catalogue::document::EntryDocument;
use ibisroute::catalogue::document::LimitsDocument;
use ibisroute::catalogue::document::MoveDocument;
use ibisroute::catalogue::document::ObjectiveDocument;
use ibisroute::catalogue::document::ServiceDocument;
use ibisroute::catalogue::model::Catalogue;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use smol_str::SmolStr;

/// Returns a `quickcheck` runner with a known seed, so that results are reproducible: 1, or the
/// value of the environment variable `IBIS_SEED`. Prints the seed.
pub(crate) fn seeded_quickcheck(tests: u64) -> QuickCheck {
    let seed = std::env::var("IBIS_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(100, seed)).tests(tests)
}

/// A random valid catalogue. Names come from a small set, so that two random catalogues have
/// services, entries and moves in common.
#[derive(Clone, Debug)]
pub(crate) struct ArbitraryCatalogue(pub(crate) Catalogue);

/// Returns a random number from 0 to `n - 1`.
fn random_below(g: &mut Gen, n: u64) -> u64 {
    u64::arbitrary(g) % n
}

fn pick_option(g: &mut Gen, options: &[&str]) -> SmolStr {
    SmolStr::new(options[random_below(g, options.len() as u64) as usize])
}

fn service(g: &mut Gen, number: usize) -> ServiceDocument {
    ServiceDocument {
        name: SmolStr::new(format!("s{number}")),
        owner: pick_option(g, &["counter-desk@kuiseb.example", "press \"floor\"", "Ömer"]),
        version: pick_option(g, &["v1", "v2"]),
        report_url: bool::arbitrary(g).then(|| SmolStr::new("http://127.0.0.1:9/report")),
        withdrawal: pick_option(g, &["cautious", "balanced", "tolerant"]),
    }
}

fn entry(g: &mut Gen, number: usize, services: &[ServiceDocument]) -> EntryDocument {
    let class = pick_option(g, &["booking", "counter_query", "internal_query", "upload"]);
    let service = services[random_below(g, services.len() as u64) as usize].name.clone();
    EntryDocument {
        name: SmolStr::new(format!("e{number}")),
        owner: pick_option(g, &["a@kuiseb.example", "b@kuiseb.example"]),
        idempotency_header: (class == "booking")
            .then(|| pick_option(g, &["Idempotency-Key", "X-Once"])),
        class,
        service,
        path: SmolStr::new(format!("/p{number}")),
        methods: vec![pick_option(g, &["GET", "POST"]), SmolStr::new("PUT")],
        limits: LimitsDocument {
            rate_per_s: (random_below(g, 1_000_000_000 - 100) + 100) as f64 / 1000.0,
            concurrency: random_below(g, 1000) as u32 + 1,
            deadline_ms: random_below(g, 599_000) + 10,
            retry_percent: random_below(g, 100_001) as f64 / 1000.0,
            max_body_bytes: random_below(g, 1 << 34),
        },
        objective: ObjectiveDocument {
            success_percent: (50_000 + random_below(g, 50_000)) as f64 / 1000.0,
            latency_ms: random_below(g, 600_000) + 1,
        },
    }
}

fn declared_move(g: &mut Gen, service: &ServiceDocument) -> MoveDocument {
    let start = random_below(g, 1 << 41);
    MoveDocument {
        id: SmolStr::new(format!("{}-{}", service.name, random_below(g, 3))),
        service: service.name.clone(),
        from: service.version.clone(),
        to: pick_option(g, &["v3", "v4"]),
        start_unix_ms: start,
        finish_by_unix_ms: start + 1 + random_below(g, 1 << 30),
    }
}

/// Generates a random valid document.
pub(crate) fn random_document(g: &mut Gen) -> Document {
    let mut services = Vec::new();
    for number in 0..6 {
        if number == 0 || bool::arbitrary(g) {
            services.push(service(g, number));
        }
    }
    let mut entries = Vec::new();
    for number in 0..8 {
        if bool::arbitrary(g) {
            entries.push(entry(g, number, &services));
        }
    }
    let mut moves = Vec::new();
    for service in &services {
        if bool::arbitrary(g) {
            moves.push(declared_move(g, service));
        }
    }
    Document { format: 1, name: pick_option(g, &["kuiseb", "koperasi"]), services, entries, moves }
}

impl Arbitrary for ArbitraryCatalogue {
    fn arbitrary(g: &mut Gen) -> Self {
        let doc = random_document(g);
        match Catalogue::try_from(&doc) {
            Ok(catalogue) => Self(catalogue),
            Err(e) => panic!("the generator made an invalid document: {e}\n{doc:?}"),
        }
    }
}
