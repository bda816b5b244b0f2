use {
    super::{
        Catalog, ChangeId, Configuration, Edit, Idempotency, Limits, Order, Route, Service,
        Upstream, WeightedService, apply,
        census::{Known, silent},
        decide::has_changes,
        last_reports::LastReports,
    },
    crate::policy::Rejection,
    std::time::{Duration, Instant},
};

pub(crate) fn route(host: &str, prefix: &str) -> Route {
    Route {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Idempotency::Once,
        timeout_ms: 1_000,
        objective_ms: 300,
        rank: 0,
        attempts: 2,
        affinity: true,
        homes: Vec::new(),
        parts: vec![WeightedService {
            service: "s".to_owned(),
            weight: 1_000,
        }],
        source: String::new(),
    }
}

pub(crate) fn service() -> Service {
    Service {
        connections: 100,
        cold_ms: 3_000,
        cold_rate: 19_000,
        source: String::new(),
    }
}

fn configuration(names: &[&str]) -> Configuration {
    let rows = names.iter();
    Configuration {
        routes: rows
            .map(|name| ((*name).to_owned(), route("a.example", &format!("/{name}/"))))
            .collect(),
        services: vec![("s".to_owned(), service())],
        limits: Some(Limits::default()),
    }
}

fn replace(base: u64, version: u64, names: &[&str]) -> Order {
    Order::Configure {
        base,
        version,
        identity: ChangeId(base, version),
        edit: Edit::Replace(configuration(names)),
    }
}

pub(crate) fn upstream(address: &str, born: u64, seq: u64) -> Upstream {
    Upstream {
        service: "s".to_owned(),
        address: address.parse().unwrap(),
        zone: "a".to_owned(),
        slots: 4,
        born,
        seq,
        leaving: false,
        cold_ms: 0,
    }
}

fn report(id: &str, upstream: Upstream) -> Order {
    Order::Report {
        id: id.to_owned(),
        upstream,
    }
}

#[test]
fn one_of_two_changes_on_a_version_wins_and_is_known_again() {
    let mut catalog = Catalog::default();
    let first = replace(0, 7, &["x"]);
    assert!(apply(&mut catalog, first.clone()).is_ok());
    let lost = apply(&mut catalog, replace(0, 8, &["y"]));
    assert!(matches!(lost, Err(Rejection::Conflict { version: 7, .. })));
    let revision = catalog.revision;
    assert!(apply(&mut catalog, first).is_ok());
    assert_eq!(catalog.revision, revision);
    assert!(catalog.routes.get("x").is_some() && catalog.routes.get("y").is_none());
}

#[test]
fn an_invalid_change_leaves_no_trace() {
    type Spoil = fn(&mut Configuration);
    let spoils: [Spoil; 6] = [
        |next| next.routes[0].1.host.clear(),
        |next| next.routes[0].1.prefix = "x/".to_owned(),
        |next| next.routes[0].1.parts[0].service = "t".to_owned(),
        |next| next.routes[0].1.parts.clear(),
        |next| next.routes[1].1.prefix = next.routes[0].1.prefix.clone(),
        |next| next.routes[1].0 = next.routes[0].0.clone(),
    ];
    for (at, spoil) in spoils.into_iter().enumerate() {
        let mut catalog = Catalog::default();
        let mut next = configuration(&["x", "y"]);
        spoil(&mut next);
        let order = Order::Configure {
            base: 0,
            version: 1,
            identity: ChangeId(1, 1),
            edit: Edit::Replace(next),
        };
        let answer = apply(&mut catalog, order);
        assert!(matches!(answer, Err(Rejection::Invalid { .. })), "{at}");
        assert_eq!(catalog, Catalog::default(), "{at}");
    }
}

#[test]
fn an_update_keeps_what_it_does_not_name() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, replace(0, 1, &["x", "y"])).unwrap();
    let mut put = Configuration::default();
    put.routes.push(("z".to_owned(), route("a.example", "/z/")));
    let order = Order::Configure {
        base: 1,
        version: 5,
        identity: ChangeId(9, 9),
        edit: Edit::Update {
            put,
            routes: vec!["x".to_owned()],
            services: Vec::new(),
        },
    };
    apply(&mut catalog, order).unwrap();
    let names: Vec<&str> = catalog.routes.rows().iter().map(|row| &*row.name).collect();
    assert_eq!(names, ["y", "z"]);
    assert!(catalog.bounds().is_some());
}

#[test]
fn late_reports_bring_nobody_back() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    // Of an earlier incarnation, of an earlier number, and at an address that a younger one has.
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.9:80", 4, 9)));
    assert!(!has_changes(
        &catalog,
        "u",
        &Upstream {
            leaving: true,
            ..upstream("10.0.0.1:80", 5, 2)
        }
    ));
    assert!(!has_changes(&catalog, "v", &upstream("10.0.0.1:80", 4, 1)));
    let leave = Order::Leave {
        id: "u".to_owned(),
        born: None,
        heard: None,
    };
    apply(&mut catalog, leave).unwrap();
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.1:80", 5, 4)));
    assert!(has_changes(&catalog, "u", &upstream("10.0.0.1:80", 6, 1)));
}

/// One that started and ended while control had no majority: none of its reports was accepted, and some are
/// still on their way.
#[test]
fn what_left_before_it_was_known_stays_away() {
    let mut catalog = Catalog::default();
    let leave = |heard| Order::Leave {
        id: "u".to_owned(),
        born: None,
        heard: Some(heard),
    };
    apply(&mut catalog, leave(5)).unwrap();
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.1:80", 5, 4)));
    assert!(has_changes(&catalog, "u", &upstream("10.0.0.1:80", 6, 1)));
    // What this control VM heard may be older than what is known.
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 7, 1))).unwrap();
    apply(&mut catalog, leave(5)).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.1:80", 7, 2)));
}

#[test]
fn what_is_heard_is_kept_for_a_while_before_it_is_known() {
    let (heard, mut known) = (LastReports::default(), Known::default());
    let silence = Duration::from_secs(10);
    let catalog = Catalog::default();
    heard.record("u", 5);
    let start = Instant::now();
    silent(&catalog, &heard, &mut known, silence, start);
    assert_eq!(heard.last_incarnation("u"), Some(5));
    silent(&catalog, &heard, &mut known, silence, start + 2 * silence);
    assert_eq!(heard.last_incarnation("u"), None);
}

#[test]
fn a_younger_upstream_takes_the_address_over() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    apply(&mut catalog, report("v", upstream("10.0.0.1:80", 6, 1))).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    assert!(catalog.upstreams.get("v").is_some());
}

#[test]
fn a_draining_report_is_not_undone_by_a_late_one() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 1))).unwrap();
    let leaving = Upstream {
        leaving: true,
        ..upstream("10.0.0.1:80", 5, 3)
    };
    apply(&mut catalog, report("u", leaving)).unwrap();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 2))).unwrap();
    assert!(catalog.upstreams.get("u").unwrap().leaving);
}

#[test]
fn upstreams_that_nobody_heard_for_long_are_found() {
    let mut catalog = Catalog::default();
    for id in ["u", "v"] {
        let address = format!("10.0.0.{}:80", id.len() + usize::from(id == "v"));
        apply(&mut catalog, report(id, upstream(&address, 5, 1))).unwrap();
    }
    let (heard, mut known) = (LastReports::default(), Known::default());
    let silence = Duration::from_secs(10);
    let start = Instant::now();
    // New here: nobody is forgotten at once, such as after a restart of this control VM.
    assert!(silent(&catalog, &heard, &mut known, silence, start).is_empty());
    heard.record("u", 5);
    // A report of an earlier incarnation is no sign of this one.
    heard.record("v", 4);
    let later = start + silence;
    assert_eq!(
        silent(&catalog, &heard, &mut known, silence, later),
        [("v".to_owned(), 5)]
    );
    let order = Order::Forget {
        silent: vec![("u".to_owned(), 4), ("v".to_owned(), 5)],
    };
    apply(&mut catalog, order).unwrap();
    assert!(catalog.upstreams.get("u").is_some() && catalog.upstreams.get("v").is_none());
    // Forgotten, not gone for good: its next report brings it back.
    assert!(has_changes(&catalog, "v", &upstream("10.0.0.2:80", 5, 2)));
}

/// Random orders: a follower that asks at random times ends with the same tables.
#[test]
fn followers_end_with_the_same_tables() {
    crate::fuzz::check(300, |steps: &Vec<u8>| {
        let mut catalog = Catalog::default();
        let mut follower = Catalog::default();
        for step in steps {
            let (what, n) = (step % 5, u64::from(step / 5));
            let order = match what {
                0 => report(
                    &format!("u{}", n % 7),
                    upstream(&format!("10.0.0.{}:80", n % 5), n, n),
                ),
                1 => Order::Leave {
                    id: format!("u{}", n % 7),
                    born: Some(n),
                    heard: None,
                },
                2 => Order::Evacuate {
                    zone: format!("z{}", n % 3),
                    on: n % 2 == 0,
                },
                3 => replace(
                    catalog.version,
                    catalog.version + 1,
                    &["x", "y", "z"][..=(step % 3) as usize],
                ),
                _ => {
                    follower.merge(catalog.since(follower.revision));
                    continue;
                }
            };
            let before = catalog.clone();
            if apply(&mut catalog, order).is_err() {
                assert_eq!(before, catalog);
            }
        }
        follower.merge(catalog.since(follower.revision));
        assert_eq!(follower.revision, catalog.revision);
        assert_eq!(follower.routes.rows(), catalog.routes.rows());
        assert_eq!(follower.upstreams.rows(), catalog.upstreams.rows());
        assert_eq!(follower.emptied.rows(), catalog.emptied.rows());
        assert_eq!(follower.services.rows(), catalog.services.rows());
    });
}
