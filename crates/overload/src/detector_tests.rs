use super::*;
use proptest::prelude::*;

/// A node with 17 requests a second, whose outcomes come in this order again and again; when the state changed.
fn feed(
    detector: &mut OverloadDetector,
    from: Micros,
    seconds: i64,
    events: &[Event],
) -> Option<Micros> {
    let mut changed = None;
    let before = detector.is_overloaded(from);
    for n in 0..seconds * 17 {
        let now = from + n * 1_000_000 / 17;
        let (kind, outcome) = events[n as usize % events.len()];
        detector.record(now, kind, outcome);
        if detector.is_overloaded(now) != before {
            changed.get_or_insert(now - from);
        }
    }
    changed
}

type Event = (RequestKind, Outcome);
const CACHED_HIT: Event = (RequestKind::LikelyCached, Outcome::ServedFromCache);
const UNCACHED_HIT: Event = (RequestKind::LikelyUncached, Outcome::ServedFromCache);
const FETCHED: Event = (RequestKind::LikelyUncached, Outcome::ServedByOrigin);
const UNCACHED_LATE: Event = (RequestKind::LikelyUncached, Outcome::Late);
const CACHED_LATE: Event = (RequestKind::LikelyCached, Outcome::Late);
const WRITE_SERVED: Event = (RequestKind::Write, Outcome::ServedByOrigin);
const WRITE_LATE: Event = (RequestKind::Write, Outcome::Late);
const CALM: [Event; 10] = [
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
const BUSY: [Event; 10] = [
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
/// Half of the servers are silent.
const HALF_SILENT: [Event; 10] = [
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
const LONG_OVERLOAD: [Event; 5] = [
    UNCACHED_LATE,
    UNCACHED_LATE,
    UNCACHED_LATE,
    WRITE_LATE,
    UNCACHED_LATE,
];
/// Caches hold every key, nothing is written, and servers are so busy that a tenth is late.
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
fn overload_is_detected_within_two_seconds_and_so_is_its_end() {
    for calm_seconds in [0, 5, 120] {
        let mut detector = OverloadDetector::new(0);
        assert_eq!(feed(&mut detector, 0, calm_seconds, &CALM), None);
        let now = calm_seconds * 1_000_000;
        let detected = feed(&mut detector, now, 10, &OVERLOAD).expect("known");
        assert!(
            detected < 2_000_000,
            "after {detected} us, {calm_seconds} s of calm before"
        );
        assert_eq!(
            feed(&mut detector, now + 10_000_000, 30, &LONG_OVERLOAD),
            None,
            "it goes on"
        );
        let over = feed(&mut detector, now + 40_000_000, 5, &CALM).expect("over");
        assert!(over < 2_000_000, "after {over} us");
    }
}

#[test]
fn busy_servers_or_a_lost_zone_are_no_overload() {
    for load in [BUSY, HALF_SILENT] {
        for calm_seconds in [0, 60] {
            let mut detector = OverloadDetector::new(0);
            feed(&mut detector, 0, calm_seconds, &CALM);
            assert_eq!(
                feed(&mut detector, calm_seconds * 1_000_000, 60, &load),
                None
            );
        }
    }
}

// Guards against an overload for ever by hits alone: nothing is fetched that could end it.
#[test]
fn hits_alone_are_no_overload() {
    for load in [ALL_CACHED, [CACHED_HIT; 10], [UNCACHED_HIT; 10]] {
        assert_eq!(
            feed(&mut OverloadDetector::new(0), 0, 120, &load),
            None,
            "{load:?}"
        );
    }
}

// A state that never ends is the normal operation here: it must not be judged by a baseline of long ago.
#[test]
fn overload_that_lasts_for_minutes_becomes_the_baseline_and_ends() {
    let mut detector = OverloadDetector::new(0);
    feed(&mut detector, 0, 60, &CALM);
    assert!(feed(&mut detector, 60_000_000, 5, &OVERLOAD).is_some());
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
        feed(&mut detector, 65_000_000, 300, &hits).is_some(),
        "over though nothing is fetched any more"
    );
}

#[test]
fn overload_begins_with_four_failed_writes_at_least_and_ends_with_two_answered_fetches() {
    let mut detector = OverloadDetector::new(0);
    let detected = (1..100).find(|n| {
        detector.record(*n, RequestKind::Write, Outcome::Late);
        detector.is_overloaded(*n)
    });
    assert!(
        detected.is_some_and(|n| (4..=6).contains(&n)),
        "{detected:?}"
    );
    (100..300).for_each(|n| detector.record(n, RequestKind::Write, Outcome::Late));
    let over = (1..10).find(|n| {
        detector.record(
            300 + n,
            RequestKind::LikelyUncached,
            Outcome::ServedByOrigin,
        );
        !detector.is_overloaded(300 + n)
    });
    assert_eq!(over, Some(2));
}

#[test]
fn two_failures_are_no_overload_and_an_overload_without_outcomes_is_forgotten() {
    let mut detector = OverloadDetector::new(0);
    (0..2).for_each(|n| detector.record(n, RequestKind::Write, Outcome::Late));
    assert!(!detector.is_overloaded(2));
    (2..9).for_each(|n| detector.record(n, RequestKind::Write, Outcome::Late));
    assert!(detector.is_overloaded(9));
    // Guards a process that was stopped and wakes with the past.
    assert!(!detector.is_overloaded(9 + 3 * DECAY_TIME));
    detector.record(
        9 + 3 * DECAY_TIME,
        RequestKind::LikelyUncached,
        Outcome::Late,
    );
    assert!(!detector.is_overloaded(9 + 3 * DECAY_TIME));
}

proptest! {
    #[test]
    fn two_answered_fetches_end_any_overload(outcomes in proptest::collection::vec((0..3usize, 0..4usize, 0..3_000_000i64), 0..400)) {
        let kinds = [RequestKind::LikelyCached, RequestKind::LikelyUncached, RequestKind::Write];
        let all = [Outcome::ServedFromCache, Outcome::ServedByOrigin, Outcome::ServedBySomeone, Outcome::Late];
        let (mut detector, mut now) = (OverloadDetector::new(0), 0);
        for (kind, outcome, after) in outcomes {
            now += after;
            detector.record(now, kinds[kind], all[outcome]);
            prop_assert!((MIN_LOG_ODDS..=MAX_LOG_ODDS).contains(&detector.log_odds));
            prop_assert!(detector.may_be_overloaded(now) || !detector.is_overloaded(now));
        }
        (0..2).for_each(|_| detector.record(now, RequestKind::LikelyUncached, Outcome::ServedByOrigin));
        prop_assert!(!detector.is_overloaded(now));
    }
}
