//! Tests of catalogues that were received from other control VMs, and of what is received from those.

use {
    super::{replace, report, upstream},
    crate::{
        catalog::{
            Catalog, Order, apply,
            follow::Received,
            last_reports::LastReports,
            mirror::valid_ms,
            pages::{self, Page, PageRequest, Want},
            serve::{self, Source},
            table::{MAX_REMOVALS, Table},
        },
        clock::Clock,
        fuzz, ring,
    },
    std::sync::{Arc, atomic::AtomicU64},
    tokio::sync::watch,
};

/// A VM that receives pages: a follower, or a control VM that serves the catalogue that it published last.
#[derive(Default)]
struct Vm {
    received: Received,
    published: Catalog,
}

impl Vm {
    /// Receives a page of about `rows` rows. Returns whether the catalogue was published.
    fn poll(&mut self, source: &Catalog, rows: usize) -> bool {
        let revision = self.received.revision();
        let page = Page {
            revision: source.revision,
            delta: (source.revision > revision).then(|| source.page(revision, rows)),
            standing: None,
            valid_ms: None,
        };
        let publishes = self.received.apply(page);
        if publishes {
            self.published = Catalog::clone(self.received.catalog());
        }
        publishes
    }

    /// Receives pages until there are no more.
    fn catch_up(&mut self, source: &Catalog) {
        while self.received.revision() < source.revision {
            self.poll(source, 256);
        }
    }
}

fn assert_same<T: Clone + PartialEq + std::fmt::Debug>(found: &Table<T>, expected: &Table<T>) {
    assert_eq!(found.rows(), expected.rows());
}

fn assert_acts_alike(found: &Catalog, expected: &Catalog) {
    assert_eq!(found.revision, expected.revision);
    assert_eq!(found.version, expected.version);
    assert_same(&found.routes, &expected.routes);
    assert_same(&found.services, &expected.services);
    assert_same(&found.limits, &expected.limits);
    assert_same(&found.emptied, &expected.emptied);
    assert_same(&found.upstreams, &expected.upstreams);
}

/// Order number `n` of a kind, for a configuration at `version`.
fn order(version: u64, choice: u8, n: u64) -> Order {
    match choice {
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
            on: n.is_multiple_of(2),
            base: None,
        },
        _ => {
            let names = ["w", "x", "y", "z"];
            let from = usize::try_from(n % 4).unwrap();
            let rows = names[from..].iter().chain(&names[..from]).copied();
            let rows: Vec<&str> = rows.take(1 + from).collect();
            replace(version, version + 1, &rows)
        }
    }
}

/// Guards against a removed route, upstream or evacuation that comes back after a control VM was restarted.
#[test]
fn a_control_vm_whose_copy_began_later_passes_on_earlier_removals() {
    let mut log = Catalog::default();
    let (mut follower, mut copy) = (Vm::default(), Vm::default());
    apply(&mut log, replace(0, 1, &["x", "y"])).unwrap();
    apply(&mut log, report("u", upstream("10.0.0.1:80", 5, 1))).unwrap();
    apply(&mut log, order(0, 2, 0)).unwrap();
    assert!(follower.poll(&log, 256));
    apply(&mut log, replace(1, 2, &["x"])).unwrap();
    let leave = Order::Leave {
        id: "u".to_owned(),
        born: None,
        heard: None,
    };
    apply(&mut log, leave).unwrap();
    apply(&mut log, order(0, 2, 3)).unwrap();
    apply(&mut log, replace(2, 3, &["x", "z"])).unwrap();
    assert!(copy.poll(&log, 256));
    assert!(follower.poll(&copy.published, 256));
    assert_acts_alike(&follower.published, &log);
}

/// Guards against a removal that a copy of a complete table does not know and does not miss.
#[test]
fn a_copy_of_a_complete_table_is_passed_on_completely() {
    let mut log = Catalog::default();
    let (mut follower, mut copy) = (Vm::default(), Vm::default());
    for number in 0..=MAX_REMOVALS {
        let address = format!("10.0.{}.{}:80", number / 250, number % 250);
        apply(
            &mut log,
            report(&format!("u{number}"), upstream(&address, 1, 1)),
        )
        .unwrap();
    }
    follower.catch_up(&log);
    for number in 0..=MAX_REMOVALS {
        let leave = Order::Leave {
            id: format!("u{number}"),
            born: None,
            heard: None,
        };
        apply(&mut log, leave).unwrap();
    }
    apply(&mut log, report("v", upstream("10.1.0.1:80", 1, 1))).unwrap();
    copy.catch_up(&log);
    follower.catch_up(&copy.published);
    assert_acts_alike(&follower.published, &log);
}

/// Guards against a row that is in no page, as it changed below and above the end of the first page and the next
/// page came from a control VM that had not yet received the later change.
#[test]
fn pages_of_control_vms_of_different_ages_are_published_only_when_complete() {
    let mut log = Catalog::default();
    for number in 0..4 {
        let id = format!("u{number}");
        let address = format!("10.0.0.{number}:80");
        apply(&mut log, report(&id, upstream(&address, 1, 1))).unwrap();
    }
    let behind = log.clone();
    apply(&mut log, report("u0", upstream("10.0.0.9:80", 2, 1))).unwrap();
    let mut follower = Vm::default();
    assert!(!follower.poll(&log, 2));
    while follower.received.revision() < behind.revision {
        assert!(!follower.poll(&behind, 2));
    }
    assert!(follower.poll(&log, 2));
    assert_acts_alike(&follower.published, &log);
}

/// Guards against a published catalogue that no control VM ever had, over random orders, restarts and sources.
#[test]
fn each_published_catalogue_is_one_that_the_log_had() {
    fuzz::check(600, |steps: &Vec<u8>| {
        let mut history = vec![Catalog::default()];
        let mut copies: [Vm; 3] = Default::default();
        let mut followers: [Vm; 3] = Default::default();
        let poll = |vm: &mut Vm, source: &Catalog, rows, history: &[Catalog]| {
            if vm.poll(source, rows) {
                let at = usize::try_from(vm.published.revision).unwrap();
                assert_acts_alike(&vm.published, &history[at]);
            }
        };
        for step in steps {
            let (choice, n) = (step % 11, usize::from(step / 11));
            let log = history.last().cloned().unwrap_or_default();
            match choice {
                0..=3 => {
                    let mut next = log.clone();
                    let order = order(log.version, choice, n as u64);
                    if apply(&mut next, order).is_ok() && next.revision > log.revision {
                        history.push(next);
                    }
                }
                4 => copies[n % 3] = Vm::default(),
                5 => followers[n % 3] = Vm::default(),
                6 | 7 => poll(&mut copies[n % 3], &log, 1 + n / 3, &history),
                _ => {
                    let follower = &mut followers[n % 3];
                    let source = copies.get(n / 3 % 4).map_or(&log, |copy| &copy.published);
                    poll(follower, source, 1 + n / 12, &history);
                }
            }
        }
        let log = history.last().cloned().unwrap_or_default();
        for vm in copies.iter_mut().chain(&mut followers) {
            for _ in 0..=history.len() {
                poll(vm, &log, 2, &history);
            }
            if log.revision > 0 {
                assert_acts_alike(&vm.published, &log);
            }
        }
    });
}

/// Guards against a copy that counts as current for its own time on top of that of the member that it copies.
#[test]
fn a_copy_is_current_no_longer_than_the_catalogue_of_its_member() {
    const LEFT_MS: u64 = 600;
    let clock = Clock::start();
    let until = clock.now().plus_millis(LEFT_MS);
    let (ring, _) = ring::bounded(1);
    let source = Source {
        policies: watch::channel(Arc::default()).1,
        is_current: watch::channel(true).1,
        is_led: watch::channel(true).1,
        led_until: Arc::new(AtomicU64::new(until.0)),
        clock,
        members: watch::channel(Arc::default()).1,
        control: watch::channel(Arc::default()).1,
        leader: watch::channel(None).1,
        entries: watch::channel(Arc::default()).1,
        last_reports: LastReports::default(),
        ring,
    };
    let request = PageRequest {
        revision: 0,
        hold_ms: 50,
        want: Want::Copy,
        standing: 0,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let encoded = runtime.block_on(serve::page(source, request)).unwrap();
    // As it travels between two control VMs.
    let text = serde_json::to_string(&encoded).unwrap();
    let page = pages::decode(&serde_json::from_str(&text).unwrap()).unwrap();
    assert!(valid_ms(&page) <= LEFT_MS, "{}", valid_ms(&page));
}
