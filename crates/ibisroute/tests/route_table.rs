//! Route lookup by host and path prefix, and the shares of split routes.

use std::collections::BTreeMap;

use ibisroute::mesh::routes::ClientLimits;
use ibisroute::mesh::routes::Route;
use ibisroute::mesh::routes::RouteKind;
use ibisroute::mesh::routes::RouteTable;
use ibisroute::mesh::routes::SplitChooser;
use ibisroute::mesh::routes::SplitPart;
use ibisroute::types::ConfigVersion;
use ibisroute::types::Millis;
use smol_str::SmolStr;

fn route(name: &str, host: &str, prefix: &str, parts: &[(&str, f64)]) -> Route {
    let part = |(service, weight): &(&str, f64)| SplitPart {
        service: service.parse().expect("valid name"),
        weight: *weight,
    };
    Route {
        name: SmolStr::new(name),
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        kind: RouteKind::Safe,
        timeout: Millis(1_000),
        objective: Millis(400),
        priority: 1,
        parts: parts.iter().map(part).collect(),
        max_attempts: 2,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(ConfigVersion(1), routes, BTreeMap::new(), ClientLimits::default())
}

/// Guards against matching a shorter prefix, another host or a partial path segment.
#[test]
fn longest_matching_prefix_is_found() {
    let parts = [("s", 1.0)];
    let table = table(vec![
        route("root", "a.example", "/", &parts),
        route("short", "a.example", "/x/", &parts),
        route("long", "a.example", "/x/y/", &parts),
        route("other", "b.example", "/x/y/z/", &parts),
    ]);
    let name = |host, path| table.find(host, path).map(|r| r.name.as_str());
    assert_eq!(name("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(name("a.example", "/x/y"), Some("short"));
    assert_eq!(name("A.EXAMPLE:8141", "/x/yy/1"), Some("short"));
    assert_eq!(name("a.example", "/xx?q=/x/y/"), Some("root"));
    assert_eq!(name("b.example", "/x/y/1"), None);
    assert_eq!(name("c.example", "/"), None);
}

/// Guards against shares that are correct only over thousands of requests.
#[test]
fn split_shares_hold_for_few_requests() {
    let route = route("split", "a.example", "/", &[("big", 90.0), ("small", 10.0)]);
    for initial_position in [0.0, 0.3, 0.9] {
        for n in 1..=200 {
            let mut small_count = 0;
            let mut chooser = SplitChooser::default();
            for _ in 0..n {
                let chosen = chooser.choose(&route, initial_position).expect("a part is selected");
                small_count += u32::from(chosen.as_str() == "small");
            }
            let deviation = f64::from(small_count) - f64::from(n) * 0.1;
            assert!(deviation.abs() <= 1.0, "{small_count} of {n}");
        }
    }
}

/// Guards against requests to a part with weight zero.
#[test]
fn part_with_zero_weight_gets_no_requests() {
    let route = route("split", "a.example", "/", &[("on", 1.0), ("off", 0.0)]);
    let mut chooser = SplitChooser::default();
    let zero_weight_selections =
        (0..100).filter(|_| chooser.choose(&route, 0.5).is_some_and(|s| s.as_str() == "off"));
    assert_eq!(zero_weight_selections.count(), 0);
}
