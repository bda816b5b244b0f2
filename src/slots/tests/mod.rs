//! Tests of slot counts, upstream selection, the queue and retries.

mod fuzz;
mod queue;

use {
    super::{
        cross_zone::{is_admitted, is_cross_zone},
        decide::{Grant, fail, may_retry, release, succeed, withdraw_retry},
        notices::{apply_notice, apply_policy, idle_drain},
        queue::{Placement, place},
        settings::Settings,
        state::{Request, State},
    },
    crate::{
        announce::{Absence, Announcement, Notice},
        call::{Meta, Ran, Reason, Refusal},
        clock::Micros,
        keys::{KindKey, RequestId, ServiceKey, UpstreamKey, ZoneKey},
        policy::{Drain, Policy},
        relay::Failure,
    },
    slotmap::SlotMap,
};

/// Settings without a queue and without slow start, so that other effects are tested in isolation.
fn settings() -> Settings {
    Settings {
        queue: 0,
        ramp_ms: 0,
        ..Settings::default()
    }
}

fn request(deadline: Micros) -> Request {
    Request {
        meta: Meta {
            id: RequestId(1),
            service: ServiceKey(0),
            kind: KindKey(0),
            origin: ZoneKey(0),
            target: ZoneKey(0),
            deadline,
            hops: 0,
        },
        worth: 10,
        attempt: 1,
        avoid: None,
    }
}

fn announcement(name: &str, slots: u16) -> Announcement {
    Announcement {
        name: name.to_owned(),
        service: ServiceKey(0),
        address: "127.0.0.1:1".parse().unwrap(),
        slots,
        incarnation: 1,
        token: None,
        inherited: Some(0),
        load: None,
        leaving: false,
    }
}

/// A home VM: the state of its slots duty, and the keys that its announce duty would assign.
#[derive(Default)]
struct Home {
    state: State,
    keys: SlotMap<UpstreamKey, ()>,
}

impl Home {
    fn announce(&mut self, key: UpstreamKey, announcement: Announcement, now: Micros) {
        let present = Notice::Present {
            key,
            announcement,
            holder: "h".into(),
            expires: Micros(u64::MAX),
        };
        apply_notice(
            &mut self.state,
            settings(),
            &Policy::default(),
            present,
            now,
        );
    }

    fn join(&mut self, announcement: Announcement) -> UpstreamKey {
        let key = self.keys.insert(());
        self.announce(key, announcement, Micros(0));
        key
    }

    fn mark_absent(&mut self, key: UpstreamKey) {
        let why = Absence::Expired;
        let absent = Notice::Absent { key, why };
        apply_notice(
            &mut self.state,
            settings(),
            &Policy::default(),
            absent,
            Micros(0),
        );
    }

    fn place(&mut self, request: Request, now: Micros) -> Result<Grant, Refusal> {
        match place(&mut self.state, settings(), request, now) {
            Placement::Granted(grant) => Ok(grant),
            Placement::Refused(refusal) => Err(refusal),
            Placement::Queued { .. } => panic!("the queue is disabled"),
        }
    }

    fn take(&mut self) -> Result<Grant, Reason> {
        let taken = self.place(request(Micros(100)), Micros(0));
        taken.map_err(|refusal| refusal.reason)
    }

    fn fail(&mut self, grant: &Grant, reason: Reason, ran: Ran, now: Micros) {
        let failure = Failure { reason, ran };
        fail(&mut self.state, settings(), grant.in_flight, failure, now);
    }
}

#[test]
fn a_slot_is_never_taken_twice() {
    let mut home = Home::default();
    home.join(announcement("u1", 2));
    let first = home.take().unwrap();
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
    release(&mut home.state, first.in_flight);
    release(&mut home.state, first.in_flight);
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
}

#[test]
fn the_upstream_with_the_lower_utilization_is_chosen() {
    let mut home = Home::default();
    home.join(announcement("u1", 3));
    home.join(announcement("u2", 9));
    for _ in 0..12 {
        home.take().unwrap();
    }
    let rows = home.state.rows.values();
    assert!(
        rows.into_iter()
            .all(|row| row.taken == u32::from(row.announcement.slots))
    );
    let mut home = Home::default();
    let small = home.join(announcement("u1", 3));
    let large = home.join(announcement("u2", 9));
    for _ in 0..4 {
        home.take().unwrap();
    }
    assert_eq!(
        (home.state.rows[small].taken, home.state.rows[large].taken),
        (1, 3)
    );
}

#[test]
fn the_upstream_with_the_lower_latency_is_chosen() {
    let mut home = Home::default();
    let slow = home.join(announcement("u1", 9));
    let fast = home.join(announcement("u2", 9));
    home.state.rows[slow].latency = 8_000;
    home.state.rows[fast].latency = 1_000;
    for _ in 0..7 {
        home.take().unwrap();
    }
    assert_eq!(home.state.rows[fast].taken, 7);
}

#[test]
fn absent_and_drained_upstreams_receive_no_new_requests() {
    let mut home = Home::default();
    let absent = home.join(announcement("u1", 1));
    home.join(announcement("u2", 1));
    home.mark_absent(absent);
    let policy = Policy {
        drains: vec![Drain::Upstream("u2".to_owned())],
        ..Policy::default()
    };
    apply_policy(&mut home.state, &policy, false);
    assert_eq!(home.take().unwrap_err(), Reason::NoUpstream);
    apply_policy(&mut home.state, &Policy::default(), true);
    assert_eq!(home.take().unwrap_err(), Reason::NoUpstream);
    apply_policy(&mut home.state, &Policy::default(), false);
    assert!(home.take().is_ok());
}

#[test]
fn an_idle_upstream_that_leaves_is_drained_immediately() {
    let mut home = Home::default();
    let (idle, busy) = (
        home.join(announcement("u1", 1)),
        home.join(announcement("u2", 9)),
    );
    home.take().unwrap();
    let why = Absence::Leaving;
    let in_flight = |key| idle_drain(&home.state, &Notice::Absent { key, why }).map(|row| row.left);
    assert_eq!((in_flight(idle), in_flight(busy)), (Some(0), None));
}

#[test]
fn cross_zone_requests_are_not_queued_and_leave_the_reserve_free() {
    let settings = Settings {
        queue: 9,
        reserve_permille: 400,
        ..settings()
    };
    let mut home = Home::default();
    home.join(announcement("u1", 3));
    let mut incoming = request(Micros(100));
    incoming.meta.hops = 1;
    incoming.meta.origin = ZoneKey(1);
    assert!(is_cross_zone(&incoming, ZoneKey(0)) && !is_cross_zone(&incoming, ZoneKey(1)));
    let admits = |home: &Home| is_admitted(&home.state, settings, &incoming, Micros(0));
    assert!(admits(&home));
    home.take().unwrap();
    assert!(admits(&home));
    home.take().unwrap();
    assert!(!admits(&home), "the last slot is reserved");
    home.take().unwrap();
    assert!(!admits(&home), "cross-zone requests are not queued");
}

#[test]
fn an_expired_request_takes_no_slot() {
    let mut home = Home::default();
    home.join(announcement("u1", 1));
    let refused = home.place(request(Micros(100)), Micros(100)).unwrap_err();
    assert_eq!(refused, Refusal::not_run(Reason::DeadlineExceeded));
    assert!(home.state.in_flight.is_empty());
}

#[test]
fn an_abandoned_attempt_holds_its_slot_until_the_upstream_must_have_stopped() {
    let mut home = Home::default();
    home.join(announcement("u1", 1));
    let grant = home.place(request(Micros(500_000)), Micros(0)).unwrap();
    home.fail(&grant, Reason::Cancelled, Ran::Unknown, Micros(10));
    let stopped_at = 500_000 + settings().grace_ms * 1_000;
    super::decide::release_due(&mut home.state, Micros(stopped_at - 1));
    assert!(
        home.place(request(Micros(9_000_000)), Micros(stopped_at - 1))
            .is_err()
    );
    super::decide::release_due(&mut home.state, Micros(stopped_at));
    assert!(
        home.place(request(Micros(9_000_000)), Micros(stopped_at))
            .is_ok()
    );
}

#[test]
fn inherited_slots_count_as_taken_until_reported_free_or_timed_out() {
    let mut home = Home::default();
    let key = home.join(Announcement {
        inherited: Some(2),
        ..announcement("u1", 3)
    });
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
    let fewer = |inherited| Announcement {
        inherited,
        ..announcement("u1", 3)
    };
    home.announce(key, fewer(Some(1)), Micros(1));
    home.announce(key, fewer(Some(2)), Micros(2));
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);

    let mut home = Home::default();
    home.join(fewer(None));
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
    let settled = Micros(0).plus_millis(settings().settle_ms);
    super::decide::release_due(&mut home.state, settled);
    assert!(home.place(request(Micros(u64::MAX)), settled).is_ok());
}

#[test]
fn an_upstream_that_rejoins_in_the_same_incarnation_keeps_its_slot_count() {
    let mut home = Home::default();
    let first = home.join(announcement("u1", 2));
    let grant = home.take().unwrap();
    home.mark_absent(first);
    home.join(announcement("u1", 2));
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
    release(&mut home.state, grant.in_flight);
    home.take().unwrap();
    assert_eq!(home.state.rows.len(), 1);
}

#[test]
fn a_new_upstream_does_not_replace_an_absent_one_that_still_runs_requests() {
    let mut home = Home::default();
    let first = home.join(announcement("u1", 1));
    home.take().unwrap();
    home.mark_absent(first);
    // The announce duty reuses the arena slot of the first upstream for the next one.
    home.keys.remove(first);
    home.join(announcement("u2", 1));
    home.join(announcement("u1", 1));
    home.take().unwrap();
    assert_eq!(home.take().unwrap_err(), Reason::NoSlot);
}

#[test]
fn reported_load_only_lowers_the_limit_and_by_at_most_half() {
    let load = |load| Announcement {
        load: Some(load),
        ..announcement("u1", 4)
    };
    for (reported, slots) in [(0, 4), (1, 3), (2, 2), (4, 2), (5, 4), (u32::MAX, 4)] {
        let mut home = Home::default();
        home.join(load(reported));
        let taken = (0..9).filter(|_| home.take().is_ok()).count();
        assert_eq!(taken, slots, "reported load {reported}");
    }
    // Load from requests of this VM lowers no limit, even if the report arrives after they
    // ended.
    let mut home = Home::default();
    let key = home.join(announcement("u1", 4));
    let grants: Vec<Grant> = (0..3).map(|_| home.take().unwrap()).collect();
    for grant in grants {
        succeed(&mut home.state, grant.in_flight, Micros(1));
    }
    home.announce(key, load(3), Micros(2));
    assert_eq!((0..9).filter(|_| home.take().is_ok()).count(), 4);
}

#[test]
fn failing_upstreams_are_backed_off_but_at_most_half_of_a_service() {
    let mut home = Home::default();
    let keys: Vec<UpstreamKey> = ["u1", "u2", "u3"]
        .map(|name| home.join(announcement(name, 9)))
        .into();
    for round in 0..60 {
        let now = Micros(round);
        let grant = home.place(request(Micros(900_000)), now).unwrap();
        home.fail(&grant, Reason::ConnectFailed, Ran::No, now);
    }
    let backed_off = keys
        .iter()
        .filter(|key| home.state.rows[**key].backoff > Micros(60));
    assert_eq!(backed_off.count(), 1);
    let failing = keys
        .iter()
        .find(|key| home.state.rows[**key].backoff > Micros(60));
    for _ in 0..18 {
        home.place(request(Micros(900_000)), Micros(60)).unwrap();
    }
    assert_eq!(home.state.rows[*failing.unwrap()].taken, 0);
    // With no other slot free, an upstream in back-off is used.
    assert!(home.place(request(Micros(900_000)), Micros(60)).is_ok());
}

#[test]
fn short_caller_deadlines_back_off_no_upstream() {
    let mut home = Home::default();
    let key = home.join(announcement("u1", 9));
    home.join(announcement("u2", 9));
    for _ in 0..20 {
        let grant = home.place(request(Micros(1_000)), Micros(0)).unwrap();
        home.fail(&grant, Reason::AnswerTimeout, Ran::Unknown, Micros(1_000));
        super::decide::release_due(&mut home.state, Micros(1_000_000));
    }
    assert_eq!(home.state.rows[key].failures, 0);
}

#[test]
fn a_new_upstream_is_ramped_only_beside_an_established_one() {
    let with_ramp = Settings {
        ramp_ms: 1_000,
        ..settings()
    };
    let count = |home: &mut Home, now: u64| {
        let granted = (0..30).filter(|_| {
            let distant = request(Micros(u64::MAX / 2));
            let placement = place(&mut home.state, with_ramp, distant, Micros(now));
            matches!(placement, Placement::Granted(_))
        });
        granted.count()
    };
    let mut single = Home::default();
    single.join(announcement("u1", 9));
    assert_eq!(count(&mut single, 0), 9);
    let mut pair = Home::default();
    pair.join(announcement("established", 2));
    let new = pair.keys.insert(());
    pair.announce(new, announcement("new", 9), Micros(2_000_000));
    assert_eq!(count(&mut pair, 2_000_000), 2 + 1);
    assert_eq!(count(&mut pair, 2_500_000), 4 - 1);
    assert_eq!(count(&mut pair, 3_000_000), 9 - 4);
}

#[test]
fn only_repeatable_requests_are_retried_after_they_may_have_run() {
    let failure = |ran| Failure {
        reason: Reason::AnswerCut,
        ran,
    };
    let may = |ran, attempt, repeatable| may_retry(settings(), failure(ran), attempt, repeatable);
    assert!(may(Ran::No, 1, false) && may(Ran::No, 2, false));
    assert!(!may(Ran::No, 3, false));
    assert!(!may(Ran::Unknown, 1, false));
    assert!(may(Ran::Unknown, 1, true) && !may(Ran::Unknown, 2, true));
    let cancelled = Failure {
        reason: Reason::Cancelled,
        ran: Ran::No,
    };
    assert!(!may_retry(settings(), cancelled, 1, true));
}

#[test]
fn retries_per_kind_are_bounded_by_the_tokens_of_first_attempts() {
    let mut home = Home::default();
    home.join(announcement("u1", 9));
    let mut retries = 0;
    for _ in 0..1_000 {
        let grant = home.take().unwrap();
        release(&mut home.state, grant.in_flight);
        retries += u64::from(withdraw_retry(&mut home.state, settings(), KindKey(0)));
    }
    let tokens = settings().retry_burst + settings().retry_permille;
    assert!((tokens - 1..=tokens).contains(&retries), "{retries}");
}

#[test]
fn retries_per_upstream_are_bounded_by_its_budget() {
    let mut home = Home::default();
    home.join(announcement("u1", 100));
    let retry = Request {
        attempt: 2,
        ..request(Micros(100))
    };
    let taken = (0..100).filter(|_| home.place(retry, Micros(0)).is_ok());
    assert_eq!(
        u64::try_from(taken.count()).unwrap(),
        settings().retry_burst
    );
    let refused = home.place(retry, Micros(0)).unwrap_err();
    assert_eq!(refused.reason, Reason::RetryBudget);
}
