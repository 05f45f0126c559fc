use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMITS: Limits = Limits {
    entries: 4,
    receipt: 8,
    window: 10_000,
    margin: 1_000,
    remember: 100_000,
};

fn key(n: usize) -> Key {
    format!("k{n}").into()
}

fn served(text: &'static str) -> Option<Bytes> {
    Some(Bytes::from_static(text.as_bytes()))
}

#[test]
fn a_repeat_goes_on_within_the_window_and_is_answered_from_what_is_known_after_it() {
    let mut l = Ledger::new(LIMITS);
    assert_eq!(l.ask(0, &key(1), false), Verdict::New);
    assert!(l.send(100, &key(1)));
    assert_eq!(l.ask(150, &key(1), false), Verdict::InHand);
    l.ended(200, &key(1), served("receipt"));
    assert_eq!(
        l.ask(9_099, &key(1), false),
        Verdict::Idempotency { until: 9_100 }
    );
    assert!(l.send(9_099, &key(1)));
    assert!(!l.send(9_100, &key(1)), "it would arrive too late");
    l.ended(9_200, &key(1), None);
    assert_eq!(
        l.ask(9_300, &key(1), false),
        Verdict::Served(Bytes::from_static(b"receipt"))
    );
}

#[test]
fn what_may_have_run_fails_after_the_window() {
    let mut l = Ledger::new(LIMITS);
    assert_eq!(l.ask(0, &key(1), false), Verdict::New);
    assert!(l.send(100, &key(1)));
    l.ended(300, &key(1), None);
    assert_eq!(l.ask(9_100, &key(1), false), Verdict::Unknown);
    // Served with a receipt that is too long to be kept: nothing can be said of it either.
    assert_eq!(l.ask(0, &key(2), false), Verdict::New);
    assert!(l.send(0, &key(2)));
    l.ended(10, &key(2), served("longer than eight"));
    assert_eq!(l.ask(20_000, &key(2), false), Verdict::Unknown);
}

#[test]
fn what_never_ran_is_new_again_and_takes_no_room() {
    let mut l = Ledger::new(LIMITS);
    assert_eq!(l.ask(0, &key(1), false), Verdict::New);
    assert!(l.send(100, &key(1)));
    l.never_ran(&key(1), false);
    l.ended(200, &key(1), None);
    assert!(l.is_empty());
    assert_eq!(l.ask(50_000, &key(1), false), Verdict::New);
    // One attempt was turned away while another may have run.
    assert!(l.send(50_000, &key(1)));
    assert!(l.send(50_100, &key(1)));
    l.never_ran(&key(1), true);
    l.ended(50_200, &key(1), None);
    assert_eq!(l.ask(90_000, &key(1), false), Verdict::Unknown);
}

#[test]
fn no_room_is_a_refusal_and_what_is_remembered_stays() {
    let mut l = Ledger::new(LIMITS);
    for n in 0..4 {
        assert_eq!(l.ask(0, &key(n), false), Verdict::New);
        assert!(l.send(0, &key(n)));
        l.ended(10, &key(n), None);
    }
    assert_eq!(l.ask(50_000, &key(9), false), Verdict::Full);
    assert_eq!(l.ask(50_000, &key(0), false), Verdict::Unknown);
    assert_eq!(l.ask(100_010, &key(9), false), Verdict::New);
    assert_eq!(l.len(), 1);
}

#[test]
fn an_old_key_of_which_nothing_is_known_is_not_taken_for_new() {
    let mut l = Ledger::new(LIMITS);
    assert_eq!(l.ask(0, &key(1), true), Verdict::Unknown);
    assert!(l.is_empty());
    assert_eq!(l.ask(0, &key(1), false), Verdict::New);
    assert!(l.send(0, &key(1)));
    l.ended(10, &key(1), served("ok"));
    assert_eq!(
        l.ask(20_000, &key(1), true),
        Verdict::Served(Bytes::from_static(b"ok"))
    );
}

#[test]
fn a_write_that_is_repeated_without_end_takes_the_room_of_one() {
    let mut l = Ledger::new(Limits {
        window: 1_000_000,
        ..LIMITS
    });
    for n in 0..1_000 {
        // Several in one instant, too.
        let now = n / 3;
        assert!(!matches!(l.ask(now, &key(1), false), Verdict::InHand));
        let _ = l.send(now, &key(1));
        l.ended(now, &key(1), None);
        assert!(l.ends.len() <= 2 * LIMITS.entries + 1);
    }
    assert_eq!(l.ask(333 + LIMITS.remember, &key(2), false), Verdict::New);
    assert_eq!(l.len(), 1, "it is forgotten all the same");
}

proptest! {
    /// Against a model that forgets nothing: within the time that is remembered, nothing takes effect twice at
    /// boxes that drop repeats for exactly the window.
    #[test]
    fn no_effect_twice_whatever_happens(
        steps in prop::collection::vec((0usize..6, 0usize..5, 0i64..6_000, any::<bool>()), 1..200),
    ) {
        let mut ledger = Ledger::new(LIMITS);
        // By key: when its first effect's window began, and how many effects.
        let mut boxes: BTreeMap<usize, (Micros, u32)> = BTreeMap::new();
        let mut in_hand: BTreeMap<usize, bool> = BTreeMap::new();
        let mut last: BTreeMap<usize, Micros> = BTreeMap::new();
        let mut now = 0;
        for (what, k, pause, lost) in steps {
            now += pause;
            // Beyond what is remembered it promises nothing.
            boxes.retain(|k, _| {
                in_hand.contains_key(k) || last.get(k).is_none_or(|at| now - at < LIMITS.remember)
            });
            match what {
                0..=2 if !in_hand.contains_key(&k) => {
                    let verdict = ledger.ask(now, &key(k), false);
                    if matches!(verdict, Verdict::New | Verdict::Idempotency { .. }) {
                        in_hand.insert(k, false);
                    }
                }
                3 if in_hand.contains_key(&k) => {
                    if ledger.send(now, &key(k)) {
                        // It arrives within the margin, and runs unless the box still drops it.
                        let arrives = now + LIMITS.margin - 1;
                        let effect = boxes.entry(k).or_insert((arrives, 0));
                        if effect.1 == 0 || arrives - effect.0 >= LIMITS.window {
                            *effect = (arrives, effect.1 + 1);
                        }
                        in_hand.insert(k, true);
                    }
                }
                _ => {
                    if let Some(sent) = in_hand.remove(&k) {
                        let end = if sent && !lost { served("ok") } else { None };
                        ledger.ended(now, &key(k), end);
                        last.insert(k, now);
                    }
                }
            }
            prop_assert!(ledger.len() <= LIMITS.entries);
            for (k, (_, effects)) in &boxes {
                prop_assert!(*effects <= 1, "key {} took effect {} times", k, effects);
            }
        }
    }
}
