mod copies;
mod followed;
mod mirror;

use {
    super::{
        Catalog, ChangeId, Configuration, Edit, Idempotency, Limits, Order, Route, Service,
        Upstream, WeightedService, apply,
        census::{FirstCharged, FirstSeen, expired, expired_charges},
        decide::has_changes,
        follow::Received,
        last_reports::LastReports,
        pages::{Page, Standing},
        receiver::receiver,
    },
    crate::{agree::ControlVm, ledger::Fingerprint, poison::Charge, policy::Rejection},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
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
        public: false,
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
        workspaces: None,
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
fn one_of_two_changes_to_a_version_is_accepted_and_its_retry_is_a_no_op() {
    let mut catalog = Catalog::default();
    let first = replace(0, 7, &["x"]);
    assert!(apply(&mut catalog, first.clone()).is_ok());
    let conflict = apply(&mut catalog, replace(0, 8, &["y"]));
    assert!(matches!(
        conflict,
        Err(Rejection::Conflict { version: 7, .. })
    ));
    let revision = catalog.revision;
    assert!(apply(&mut catalog, first).is_ok());
    assert_eq!(catalog.revision, revision);
    assert!(catalog.routes.get("x").is_some() && catalog.routes.get("y").is_none());
}

#[test]
fn an_invalid_change_leaves_the_catalogue_unchanged() {
    type Corrupt = fn(&mut Configuration);
    let corruptions: [Corrupt; 6] = [
        |next| next.routes[0].1.host.clear(),
        |next| next.routes[0].1.prefix = "x/".to_owned(),
        |next| next.routes[0].1.parts[0].service = "t".to_owned(),
        |next| next.routes[0].1.parts.clear(),
        |next| next.routes[1].1.prefix = next.routes[0].1.prefix.clone(),
        |next| next.routes[1].0 = next.routes[0].0.clone(),
    ];
    for (at, corrupt) in corruptions.into_iter().enumerate() {
        let mut catalog = Catalog::default();
        let mut next = configuration(&["x", "y"]);
        corrupt(&mut next);
        let order = Order::Configure {
            base: 0,
            version: 1,
            identity: ChangeId(1, 1),
            edit: Edit::Replace(next),
        };
        let result = apply(&mut catalog, order);
        assert!(matches!(result, Err(Rejection::Invalid { .. })), "{at}");
        assert_eq!(catalog, Catalog::default(), "{at}");
    }
}

#[test]
fn an_update_keeps_rows_that_it_does_not_name() {
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
            workspaces: Vec::new(),
        },
    };
    apply(&mut catalog, order).unwrap();
    let names: Vec<&str> = catalog.routes.rows().iter().map(|row| &*row.name).collect();
    assert_eq!(names, ["y", "z"]);
    assert!(catalog.bounds().is_some());
}

#[test]
fn stale_reports_are_ignored() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    // An earlier incarnation, a lower sequence number, and the address of an upstream with a later
    // start.
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

/// An upstream that starts and exits while the control VMs have no quorum: none of its reports was
/// accepted, and some are still in flight when it deregisters.
#[test]
fn an_upstream_that_deregistered_before_its_registration_stays_deregistered() {
    let mut catalog = Catalog::default();
    let leave = |born| Order::Leave {
        id: "u".to_owned(),
        born: None,
        heard: Some(born),
    };
    apply(&mut catalog, leave(5)).unwrap();
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.1:80", 5, 4)));
    assert!(has_changes(&catalog, "u", &upstream("10.0.0.1:80", 6, 1)));
    // The latest report to this control VM may be of an earlier incarnation than the row.
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 7, 1))).unwrap();
    apply(&mut catalog, leave(5)).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    assert!(!has_changes(&catalog, "u", &upstream("10.0.0.1:80", 7, 2)));
}

#[test]
fn reports_of_unregistered_upstreams_are_kept_until_the_timeout() {
    let (last_reports, mut first_seen) = (LastReports::default(), FirstSeen::default());
    let timeout = Duration::from_secs(10);
    let catalog = Catalog::default();
    last_reports.record("u", 5);
    let start = Instant::now();
    expired(&catalog, &last_reports, &mut first_seen, timeout, start);
    assert_eq!(last_reports.last_incarnation("u"), Some(5));
    expired(
        &catalog,
        &last_reports,
        &mut first_seen,
        timeout,
        start + 2 * timeout,
    );
    assert_eq!(last_reports.last_incarnation("u"), None);
}

/// Guards against an upstream that reports and is removed, because a delayed report of its earlier
/// incarnation, or one that another control VM forwarded late, was recorded last.
#[test]
fn a_report_of_an_earlier_incarnation_does_not_hide_a_later_one() {
    let reports = LastReports::default();
    reports.record("u", 9);
    reports.record("u", 5);
    reports.record_all(vec![("u".to_owned(), 5)]);
    assert!(reports.reported_at("u", 9).is_some());
}

#[test]
fn an_upstream_with_a_later_start_replaces_the_one_at_its_address() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    apply(&mut catalog, report("v", upstream("10.0.0.1:80", 6, 1))).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    assert!(catalog.upstreams.get("v").is_some());
}

#[test]
fn a_late_report_does_not_undo_a_draining_report() {
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

/// Guards against an upstream that left, in use again: it reported that it leaves and fell silent, its row was
/// removed, and a report from before, which a partition had delayed, registered it as ready.
#[test]
fn a_late_report_does_not_bring_back_a_silent_upstream_that_left() {
    let mut catalog = Catalog::default();
    let leaving = Upstream {
        leaving: true,
        ..upstream("10.0.0.1:80", 5, 7)
    };
    apply(&mut catalog, report("u", leaving)).unwrap();
    let silent = vec![("u".to_owned(), 5)];
    apply(&mut catalog, Order::Forget { silent }).unwrap();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 6))).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 6, 1))).unwrap();
    assert!(catalog.upstreams.get("u").is_some(), "a new start");
}

/// Guards against a report of another writer that takes an upstream out of use: it names a service that is not in the
/// configuration, and the name or the address of an upstream that is in use.
#[test]
fn a_report_of_an_unknown_service_displaces_no_upstream() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, replace(0, 7, &["x"])).unwrap();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    let odd = |born, seq| Upstream {
        service: "unknown".to_owned(),
        ..upstream("10.0.0.1:80", born, seq)
    };
    for (id, row) in [
        ("u", odd(5, 9)),
        ("u", odd(9, 1)),
        ("v", odd(9, 1)),
        ("v", odd(5, 9)),
    ] {
        assert!(!has_changes(&catalog, id, &row), "{id} {row:?}");
        apply(&mut catalog, report(id, row)).unwrap();
    }
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 4))).unwrap();
    assert_eq!(
        catalog.upstreams.get("u"),
        Some(&upstream("10.0.0.1:80", 5, 4))
    );
    // It may be the first of a service that the next configuration adds.
    let elsewhere = Upstream {
        service: "unknown".to_owned(),
        ..upstream("10.0.0.2:80", 9, 1)
    };
    assert!(has_changes(&catalog, "w", &elsewhere));
}

/// Guards against the same for an upstream that crashed: a later one at its address had proved that, and its late
/// report was accepted once the later one had left.
#[test]
fn a_late_report_does_not_bring_back_an_upstream_that_was_replaced() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 3))).unwrap();
    apply(&mut catalog, report("v", upstream("10.0.0.1:80", 6, 1))).unwrap();
    let leave = Order::Leave {
        id: "v".to_owned(),
        born: Some(6),
        heard: None,
    };
    apply(&mut catalog, leave).unwrap();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 4))).unwrap();
    assert!(catalog.upstreams.get("u").is_none());
    apply(&mut catalog, report("u", upstream("10.0.0.2:80", 9, 1))).unwrap();
    assert!(catalog.upstreams.get("u").is_some(), "a new start");
}

/// Guards against a control VM that removes the upstreams that reported to others while it was cut off or
/// suspended: it leads again before they forward what they heard.
#[test]
fn silence_counts_only_while_a_control_vm_hears_of_all_reports() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, report("u", upstream("10.0.0.1:80", 5, 1))).unwrap();
    let (last_reports, mut first_seen) = (LastReports::default(), FirstSeen::default());
    let (timeout, start) = (Duration::from_secs(10), Instant::now());
    let mut round = |seconds: u64, is_leader: bool| {
        let now = start + Duration::from_secs(seconds);
        first_seen.begin_round(is_leader, now);
        expired(&catalog, &last_reports, &mut first_seen, timeout, now).len()
    };
    // Cut off, and the leader right after that.
    for seconds in (0..30).step_by(2) {
        assert_eq!(round(seconds, false), 0, "at {seconds} s");
    }
    for seconds in (30..38).step_by(2) {
        assert_eq!(round(seconds, true), 0, "at {seconds} s");
    }
    assert_eq!(round(38, true), 1, "silent for 10 s");
    // Suspended for 20 s.
    for seconds in (58..68).step_by(2) {
        assert_eq!(round(seconds, true), 0, "at {seconds} s");
    }
    assert_eq!(round(68, true), 1, "silent for 10 s");
}

#[test]
fn upstreams_without_a_report_within_the_timeout_expire() {
    let mut catalog = Catalog::default();
    for id in ["u", "v"] {
        let address = format!("10.0.0.{}:80", id.len() + usize::from(id == "v"));
        apply(&mut catalog, report(id, upstream(&address, 5, 1))).unwrap();
    }
    let (last_reports, mut first_seen) = (LastReports::default(), FirstSeen::default());
    let timeout = Duration::from_secs(10);
    let start = Instant::now();
    // All rows are new here, as after a restart of this control VM: none expires immediately.
    assert!(expired(&catalog, &last_reports, &mut first_seen, timeout, start).is_empty());
    last_reports.record("u", 5);
    // A report of an earlier incarnation does not count for the current one.
    last_reports.record("v", 4);
    let later = start + timeout;
    assert_eq!(
        expired(&catalog, &last_reports, &mut first_seen, timeout, later),
        [("v".to_owned(), 5)]
    );
    let order = Order::Forget {
        silent: vec![("u".to_owned(), 4), ("v".to_owned(), 5)],
    };
    apply(&mut catalog, order).unwrap();
    assert!(catalog.upstreams.get("u").is_some() && catalog.upstreams.get("v").is_none());
    // Unlike a deregistered upstream, an expired one is registered again by its next report.
    assert!(has_changes(&catalog, "v", &upstream("10.0.0.2:80", 5, 2)));
}

/// Guards against control VMs that gather the reports of most upstreams, and upstreams that all change their
/// control VM when one is lost.
#[test]
fn upstreams_report_evenly_to_the_control_vms_of_their_zone() {
    let vm = |at: usize| ControlVm {
        peers: SocketAddr::from(([10, 0, 0, u8::try_from(at).unwrap()], 70)),
        zone: format!("zone-{}", at / 3),
        member: at.is_multiple_of(3),
    };
    let mut control: Vec<ControlVm> = (0..27).map(vm).collect();
    let ids: Vec<String> = (0..300).map(|at| format!("u-{at}")).collect();
    let chosen = |control: &[ControlVm]| -> Vec<SocketAddr> {
        let row = |id: &String| receiver(control, id, "zone-4").unwrap();
        ids.iter().map(row).collect()
    };
    let before = chosen(&control);
    for vm in &control[12..15] {
        let count = before.iter().filter(|row| **row == vm.peers).count();
        assert!((70..130).contains(&count), "{count}");
    }
    let lost = control.remove(12).peers;
    for (before, after) in before.iter().zip(chosen(&control)) {
        assert!(*before == lost || *before == after);
    }
}

/// Random orders; the follower polls at random times.
#[test]
fn followers_converge_to_the_same_tables() {
    crate::fuzz::check(300, |steps: &Vec<u8>| {
        let mut catalog = Catalog::default();
        let mut follower = Catalog::default();
        for step in steps {
            let (choice, n) = (step % 5, u64::from(step / 5));
            let order = match choice {
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
                    base: None,
                },
                3 => replace(
                    catalog.version,
                    catalog.version + 1,
                    &["x", "y", "z"][..=(step % 3) as usize],
                ),
                _ => {
                    // One page of few rows, as over a slow link.
                    follower.merge(catalog.page(follower.revision, usize::from(step % 4) + 1));
                    continue;
                }
            };
            let before = catalog.clone();
            if apply(&mut catalog, order).is_err() {
                assert_eq!(before, catalog);
            }
        }
        while follower.revision < catalog.revision {
            assert!(follower.merge(catalog.page(follower.revision, 2)));
        }
        assert_eq!(follower.revision, catalog.revision);
        assert_eq!(follower.routes.rows(), catalog.routes.rows());
        assert_eq!(follower.upstreams.rows(), catalog.upstreams.rows());
        assert_eq!(follower.emptied.rows(), catalog.emptied.rows());
        assert_eq!(follower.services.rows(), catalog.services.rows());
    });
}

/// Guards against a log entry or a snapshot of an earlier version that a control VM can no longer read.
#[test]
fn entries_and_snapshots_without_evacuation_bases_are_read() {
    let entry = r#"{"evacuate":{"zone":"north-a","on":true}}"#;
    let order: Order = serde_json::from_str(entry).unwrap();
    let mut catalog = Catalog::default();
    apply(&mut catalog, order.clone()).unwrap();
    let mut image = serde_json::to_value(&catalog).unwrap();
    image.as_object_mut().unwrap().remove("evacuation_orders");
    let mut restored: Catalog = serde_json::from_value(image).unwrap();
    assert!(restored.emptied.get("north-a").is_some());
    apply(&mut restored, order).unwrap();
}

/// Guards against charges that count one lost process for each entry VM, that a late lift removes after a new
/// loss, or that grow without bound.
#[test]
fn charges_are_counted_by_process_lifted_by_revision_and_bounded() {
    let mut catalog = Catalog::default();
    let charge = |request: u64, born| Charge {
        fingerprint: Fingerprint(request, 0),
        upstream: "10.0.0.1:80".parse().unwrap(),
        born,
    };
    let losses = |catalog: &Catalog, request| {
        let losses = catalog.charges.get(&Fingerprint(request, 0).hex());
        losses.map_or(0, Vec::len)
    };
    let apply_charge = |catalog: &mut Catalog, charges| {
        apply(catalog, Order::Charge { charges }).unwrap();
    };
    apply_charge(&mut catalog, vec![charge(1, 7), charge(1, 7), charge(2, 7)]);
    let base = Some(catalog.revision);
    apply_charge(&mut catalog, vec![charge(1, 8), charge(1, 7)]);
    assert_eq!((losses(&catalog, 1), losses(&catalog, 2)), (2, 1));
    let lift = Order::Lift {
        fingerprint: None,
        base,
    };
    apply(&mut catalog, lift).unwrap();
    assert_eq!((losses(&catalog, 1), losses(&catalog, 2)), (2, 0));
    for request in 0..2_000 {
        apply_charge(&mut catalog, vec![charge(request, 9)]);
    }
    assert_eq!(catalog.charges.rows().len(), 1_024);
}

/// Guards against charges that never expire, which would refuse a request after the upstreams were fixed.
#[test]
fn charges_expire_after_the_last_loss() {
    let mut catalog = Catalog::default();
    let mut first_charged = FirstCharged::default();
    let start = Instant::now();
    let ttl = Duration::from_mins(1);
    for born in 1..=2 {
        let charges = vec![Charge {
            fingerprint: Fingerprint(1, 0),
            upstream: "10.0.0.1:80".parse().unwrap(),
            born,
        }];
        apply(&mut catalog, Order::Charge { charges }).unwrap();
        let now = start + ttl * (u32::try_from(born).unwrap() - 1);
        assert!(expired_charges(&catalog, &mut first_charged, ttl, now).is_empty());
    }
    for order in expired_charges(&catalog, &mut first_charged, ttl, start + ttl * 2) {
        apply(&mut catalog, order).unwrap();
    }
    assert!(catalog.charges.rows().is_empty());
}

/// Guards against an entry VM that acts on a part of the catalogue: of a catalogue with many rows only the first
/// page has arrived when the other poller receives the list of control VMs. Routes of the missing rows would be
/// answered with 404.
#[test]
fn a_catalogue_is_published_only_with_its_last_page() {
    let mut catalog = Catalog::default();
    for number in 0..10 {
        let id = format!("u{number}");
        apply(
            &mut catalog,
            report(&id, upstream(&format!("10.0.0.{number}:80"), 1, 1)),
        )
        .unwrap();
    }
    let rows = |received: &Received| Page {
        revision: catalog.revision,
        delta: Some(catalog.page(received.revision(), 4)),
        standing: None,
        valid_ms: None,
    };
    let standing = |control| Page {
        revision: catalog.revision,
        delta: None,
        standing: Some(Standing {
            control,
            ..Standing::default()
        }),
        valid_ms: None,
    };
    let is_last = |page: &Page| {
        let reached = page.delta.as_ref().map(|delta| delta.revision);
        reached.is_none_or(|reached| reached >= page.revision)
    };
    let mut received = Received::default();
    assert!(!received.apply(standing(Vec::new())));
    let page = rows(&received);
    assert!(!is_last(&page) && !received.apply(page));
    assert!(!received.apply(standing(Vec::new())));
    while received.revision() < catalog.revision {
        let page = rows(&received);
        assert_eq!(is_last(&page), received.apply(page));
    }
    assert_eq!(received.catalog().upstreams.rows().len(), 10);
    assert!(received.apply(standing(Vec::new())));
}
