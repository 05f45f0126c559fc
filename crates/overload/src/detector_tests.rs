use super::*;
use proptest::prelude::*;

/// A node with 17 requests a second: of ten, what comes of them, in turn.
fn play(jam: &mut Jam, from: Micros, seconds: i64, of_ten: &[Sign]) -> Option<Micros> {
    let mut changed = None;
    let before = jam.on(from);
    for n in 0..seconds * 17 {
        let now = from + n * 1_000_000 / 17;
        let (need, came) = of_ten[n as usize % of_ten.len()];
        jam.note(now, need, came);
        if jam.on(now) != before {
            changed.get_or_insert(now - from);
        }
    }
    changed
}

type Sign = (Need, Came);
const HIT: Sign = (Need::Known, Came::Kept);
const KEPT: Sign = (Need::Doubtful, Came::Kept);
const FETCHED: Sign = (Need::Doubtful, Came::Fetched);
const UNFETCHED: Sign = (Need::Doubtful, Came::Late);
const UNKEPT: Sign = (Need::Known, Came::Late);
const WRITTEN: Sign = (Need::Write, Came::Fetched);
const UNWRITTEN: Sign = (Need::Write, Came::Late);
const CALM: [Sign; 10] = [
    HIT, KEPT, FETCHED, HIT, KEPT, UNFETCHED, HIT, HIT, WRITTEN, HIT,
];
/// Servers short of time: all is late alike.
const BUSY: [Sign; 10] = [
    HIT, UNFETCHED, FETCHED, UNKEPT, HIT, UNFETCHED, HIT, UNKEPT, WRITTEN, UNFETCHED,
];
/// Half of the servers say nothing.
const HALF: [Sign; 10] = [
    HIT, UNFETCHED, FETCHED, UNKEPT, UNWRITTEN, UNFETCHED, HIT, UNKEPT, WRITTEN, UNFETCHED,
];
const JAM: [Sign; 10] = [
    HIT, UNFETCHED, HIT, UNFETCHED, HIT, UNFETCHED, UNWRITTEN, UNKEPT, HIT, UNFETCHED,
];
const LATE_JAM: [Sign; 5] = [UNFETCHED, UNFETCHED, UNFETCHED, UNWRITTEN, UNFETCHED];
/// Caches hold all, nothing is written, and servers are so busy that a tenth is late.
const KEPT_ALL: [Sign; 10] = [HIT, KEPT, HIT, HIT, UNKEPT, HIT, KEPT, HIT, HIT, HIT];

#[test]
fn a_jam_is_known_within_two_seconds_and_its_end_too() {
    for calm in [0, 5, 120] {
        let mut jam = Jam::new(0);
        assert_eq!(play(&mut jam, 0, calm, &CALM), None);
        let now = calm * 1_000_000;
        let known = play(&mut jam, now, 10, &JAM).expect("known");
        assert!(
            known < 2_000_000,
            "after {known} us, {calm} s of calm before"
        );
        assert_eq!(
            play(&mut jam, now + 10_000_000, 30, &LATE_JAM),
            None,
            "it goes on"
        );
        let over = play(&mut jam, now + 40_000_000, 5, &CALM).expect("over");
        assert!(over < 2_000_000, "after {over} us");
    }
}

#[test]
fn busy_servers_and_a_lost_zone_are_no_jam() {
    for trouble in [BUSY, HALF] {
        for calm in [0, 60] {
            let mut jam = Jam::new(0);
            play(&mut jam, 0, calm, &CALM);
            assert_eq!(play(&mut jam, calm * 1_000_000, 60, &trouble), None);
        }
    }
}

// Guards against hits alone that make a jam for ever: nothing is fetched that could end it.
#[test]
fn where_nothing_is_fetched_there_is_no_jam() {
    for trouble in [KEPT_ALL, [HIT; 10], [KEPT; 10]] {
        assert_eq!(
            play(&mut Jam::new(0), 0, 120, &trouble),
            None,
            "{trouble:?}"
        );
    }
}

// A trouble that never ends is what is usual here: nothing is kept up by what was usual long ago.
#[test]
fn what_is_taken_for_a_jam_for_minutes_ends_it() {
    let mut jam = Jam::new(0);
    play(&mut jam, 0, 60, &CALM);
    assert!(play(&mut jam, 60_000_000, 5, &JAM).is_some());
    let hits = [KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, UNKEPT];
    assert!(
        play(&mut jam, 65_000_000, 300, &hits).is_some(),
        "over though nothing is fetched any more"
    );
}

#[test]
fn four_failed_writes_at_least_make_a_jam_and_any_jam_ends_with_the_second_fetch() {
    let mut jam = Jam::new(0);
    let known = (1..100).find(|n| {
        jam.note(*n, Need::Write, Came::Late);
        jam.on(*n)
    });
    assert!(known.is_some_and(|n| (4..=6).contains(&n)), "{known:?}");
    (100..300).for_each(|n| jam.note(n, Need::Write, Came::Late));
    let over = (1..10).find(|n| {
        jam.note(300 + n, Need::Doubtful, Came::Fetched);
        !jam.on(300 + n)
    });
    assert_eq!(over, Some(2));
}

#[test]
fn two_failures_are_no_jam_and_one_that_nothing_is_heard_of_is_forgotten() {
    let mut jam = Jam::new(0);
    (0..2).for_each(|n| jam.note(n, Need::Write, Came::Late));
    assert!(!jam.on(2));
    (2..9).for_each(|n| jam.note(n, Need::Write, Came::Late));
    assert!(jam.on(9));
    // Guards a process that was stopped and wakes with the past.
    assert!(!jam.on(9 + 3 * FADE));
    jam.note(9 + 3 * FADE, Need::Doubtful, Came::Late);
    assert!(!jam.on(9 + 3 * FADE));
}

proptest! {
    #[test]
    fn two_answered_fetches_end_any_jam(signs in proptest::collection::vec((0..3usize, 0..4usize, 0..3_000_000i64), 0..400)) {
        let needs = [Need::Known, Need::Doubtful, Need::Write];
        let all = [Came::Kept, Came::Fetched, Came::Answered, Came::Late];
        let (mut jam, mut now) = (Jam::new(0), 0);
        for (need, came, after) in signs {
            now += after;
            jam.note(now, needs[need], all[came]);
            prop_assert!((LEAST..=MOST).contains(&jam.sum));
            prop_assert!(jam.near(now) || !jam.on(now));
        }
        (0..2).for_each(|_| jam.note(now, Need::Doubtful, Came::Fetched));
        prop_assert!(!jam.on(now));
    }
}
