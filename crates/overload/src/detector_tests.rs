use super::*;
use proptest::prelude::*;

/// Records 17 outcomes a second, which repeat `events` in their order. Returns how long after `from` the
/// detected state first changed, in microseconds, or `None` if it did not.
fn record_repeatedly(
    detector: &mut OverloadDetector,
    from: Micros,
    seconds: i64,
    events: &[Event],
) -> Option<Micros> {
    let mut changed_after = None;
    let before = detector.is_overloaded(from);
    for n in 0..seconds * 17 {
        let now = from + n * 1_000_000 / 17;
        let (kind, outcome) = events[n as usize % events.len()];
        detector.record(now, kind, outcome);
        if detector.is_overloaded(now) != before {
            changed_after.get_or_insert(now - from);
        }
    }
    changed_after
}

type Event = (RequestKind, Outcome);
const CACHED_HIT: Event = (RequestKind::LikelyCached, Outcome::ServedFromCache);
const UNCACHED_HIT: Event = (RequestKind::LikelyUncached, Outcome::ServedFromCache);
const FETCHED: Event = (RequestKind::LikelyUncached, Outcome::ServedByOrigin);
const UNCACHED_LATE: Event = (RequestKind::LikelyUncached, Outcome::NotServedInTime);
const CACHED_LATE: Event = (RequestKind::LikelyCached, Outcome::NotServedInTime);
const WRITE_SERVED: Event = (RequestKind::Write, Outcome::ServedByOrigin);
const WRITE_LATE: Event = (RequestKind::Write, Outcome::NotServedInTime);
const NORMAL_OPERATION: [Event; 10] = [
    CACHED_HIT,
    UNCACHED_HIT,
    FETCHED,
    CACHED_HIT,
    UNCACHED_HIT,
    UNCACHED_LATE,
    CACHED_HIT,
    CACHED_HIT,
    WRITE_SERVED,
    CACHED_HIT,
];
/// Servers are short of CPU time: hits and fetches are late alike.
const BUSY_SERVERS: [Event; 10] = [
    CACHED_HIT,
    UNCACHED_LATE,
    FETCHED,
    CACHED_LATE,
    CACHED_HIT,
    UNCACHED_LATE,
    CACHED_HIT,
    CACHED_LATE,
    WRITE_SERVED,
    UNCACHED_LATE,
];
/// Half of the servers do not respond.
const HALF_UNRESPONSIVE: [Event; 10] = [
    CACHED_HIT,
    UNCACHED_LATE,
    FETCHED,
    CACHED_LATE,
    WRITE_LATE,
    UNCACHED_LATE,
    CACHED_HIT,
    CACHED_LATE,
    WRITE_SERVED,
    UNCACHED_LATE,
];
const OVERLOAD: [Event; 10] = [
    CACHED_HIT,
    UNCACHED_LATE,
    CACHED_HIT,
    UNCACHED_LATE,
    CACHED_HIT,
    UNCACHED_LATE,
    WRITE_LATE,
    CACHED_LATE,
    CACHED_HIT,
    UNCACHED_LATE,
];
const OVERLOAD_WITHOUT_ANSWERS: [Event; 5] = [
    UNCACHED_LATE,
    UNCACHED_LATE,
    UNCACHED_LATE,
    WRITE_LATE,
    UNCACHED_LATE,
];
/// Caches hold every key, nothing is written, and servers are so busy that a tenth of the requests is late.
const ALL_CACHED: [Event; 10] = [
    CACHED_HIT,
    UNCACHED_HIT,
    CACHED_HIT,
    CACHED_HIT,
    CACHED_LATE,
    CACHED_HIT,
    UNCACHED_HIT,
    CACHED_HIT,
    CACHED_HIT,
    CACHED_HIT,
];

#[test]
fn overload_and_its_end_are_each_detected_within_two_seconds() {
    for normal_seconds in [0, 5, 120] {
        let mut detector = OverloadDetector::new(0);
        assert_eq!(
            record_repeatedly(&mut detector, 0, normal_seconds, &NORMAL_OPERATION),
            None
        );
        let now = normal_seconds * 1_000_000;
        let detected =
            record_repeatedly(&mut detector, now, 10, &OVERLOAD).expect("the overload is detected");
        assert!(
            detected < 2_000_000,
            "after {detected} us, {normal_seconds} s of normal operation before"
        );
        assert_eq!(
            record_repeatedly(
                &mut detector,
                now + 10_000_000,
                30,
                &OVERLOAD_WITHOUT_ANSWERS
            ),
            None,
            "the overload continues"
        );
        let ended = record_repeatedly(&mut detector, now + 40_000_000, 5, &NORMAL_OPERATION)
            .expect("the end is detected");
        assert!(ended < 2_000_000, "after {ended} us");
    }
}

#[test]
fn busy_servers_or_an_unresponsive_zone_are_not_detected_as_an_overload() {
    for load in [BUSY_SERVERS, HALF_UNRESPONSIVE] {
        for normal_seconds in [0, 60] {
            let mut detector = OverloadDetector::new(0);
            record_repeatedly(&mut detector, 0, normal_seconds, &NORMAL_OPERATION);
            assert_eq!(
                record_repeatedly(&mut detector, normal_seconds * 1_000_000, 60, &load),
                None
            );
        }
    }
}

// Guards against an overload that hits alone begin: it would never end, since no fetch is answered that could
// end it.
#[test]
fn hits_alone_do_not_begin_an_overload() {
    for load in [ALL_CACHED, [CACHED_HIT; 10], [UNCACHED_HIT; 10]] {
        assert_eq!(
            record_repeatedly(&mut OverloadDetector::new(0), 0, 120, &load),
            None,
            "{load:?}"
        );
    }
}

// Guards against an outdated baseline: a state that lasts for minutes is the node's normal operation, and its
// outcomes must not be compared with an earlier one.
#[test]
fn overload_that_lasts_for_minutes_becomes_the_baseline_and_ends() {
    let mut detector = OverloadDetector::new(0);
    record_repeatedly(&mut detector, 0, 60, &NORMAL_OPERATION);
    assert!(record_repeatedly(&mut detector, 60_000_000, 5, &OVERLOAD).is_some());
    let hits = [
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        UNCACHED_HIT,
        CACHED_LATE,
    ];
    assert!(
        record_repeatedly(&mut detector, 65_000_000, 300, &hits).is_some(),
        "the overload ends although nothing is fetched any more"
    );
}

#[test]
fn overload_begins_after_four_to_six_failed_writes_and_ends_after_two_answered_fetches() {
    let mut detector = OverloadDetector::new(0);
    let failures_until_begin = (1..100).find(|n| {
        detector.record(*n, RequestKind::Write, Outcome::NotServedInTime);
        detector.is_overloaded(*n)
    });
    assert!(
        failures_until_begin.is_some_and(|n| (4..=6).contains(&n)),
        "{failures_until_begin:?}"
    );
    (100..300).for_each(|n| detector.record(n, RequestKind::Write, Outcome::NotServedInTime));
    let fetches_until_end = (1..10).find(|n| {
        detector.record(
            300 + n,
            RequestKind::LikelyUncached,
            Outcome::ServedByOrigin,
        );
        !detector.is_overloaded(300 + n)
    });
    assert_eq!(fetches_until_end, Some(2));
}

#[test]
fn two_failures_do_not_begin_an_overload_and_an_overload_without_outcomes_expires() {
    let mut detector = OverloadDetector::new(0);
    (0..2).for_each(|n| detector.record(n, RequestKind::Write, Outcome::NotServedInTime));
    assert!(!detector.is_overloaded(2));
    (2..9).for_each(|n| detector.record(n, RequestKind::Write, Outcome::NotServedInTime));
    assert!(detector.is_overloaded(9));
    // Guards against a process that was suspended and resumes with an outdated overload.
    assert!(!detector.is_overloaded(9 + 3 * DECAY_TIME));
    detector.record(
        9 + 3 * DECAY_TIME,
        RequestKind::LikelyUncached,
        Outcome::NotServedInTime,
    );
    assert!(!detector.is_overloaded(9 + 3 * DECAY_TIME));
}

proptest! {
    #[test]
    fn two_answered_fetches_end_any_overload(outcomes in proptest::collection::vec((0..3usize, 0..4usize, 0..3_000_000i64), 0..400)) {
        let all_kinds = [RequestKind::LikelyCached, RequestKind::LikelyUncached, RequestKind::Write];
        let all_outcomes = [Outcome::ServedFromCache, Outcome::ServedByOrigin, Outcome::ServedByUnknownSource, Outcome::NotServedInTime];
        let (mut detector, mut now) = (OverloadDetector::new(0), 0);
        for (kind, outcome, after) in outcomes {
            now += after;
            detector.record(now, all_kinds[kind], all_outcomes[outcome]);
            prop_assert!((MIN_LOG_ODDS..=MAX_LOG_ODDS).contains(&detector.log_odds));
            prop_assert!(detector.may_be_overloaded(now) || !detector.is_overloaded(now));
        }
        (0..2).for_each(|_| detector.record(now, RequestKind::LikelyUncached, Outcome::ServedByOrigin));
        prop_assert!(!detector.is_overloaded(now));
    }
}
