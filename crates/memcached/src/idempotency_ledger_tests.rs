use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMITS: LedgerLimits = LedgerLimits {
    max_entries: 4,
    max_receipt_bytes: 8,
    deduplication_window: 10_000,
    margin: 1_000,
    retention: 100_000,
};

fn key(n: usize) -> IdempotencyKey {
    format!("k{n}").into()
}

fn receipt(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[test]
fn retry_is_forwarded_within_the_window_and_answered_with_the_receipt_after_it() {
    let mut ledger = IdempotencyLedger::new(LIMITS);
    assert_eq!(ledger.begin(0, &key(1), false), Verdict::New);
    assert!(ledger.record_send(100, &key(1)));
    assert_eq!(ledger.begin(150, &key(1), false), Verdict::InFlight);
    ledger.finish(200, &key(1), Some(receipt("receipt")));
    assert_eq!(
        ledger.begin(9_099, &key(1), false),
        Verdict::Retry {
            first_sent: 100,
            send_before: 9_100
        }
    );
    assert!(ledger.record_send(9_099, &key(1)));
    assert!(
        !ledger.record_send(9_100, &key(1)),
        "the attempt could arrive after the window"
    );
    ledger.finish(9_200, &key(1), None);
    assert_eq!(
        ledger.begin(9_300, &key(1), false),
        Verdict::Served(receipt("receipt"))
    );
}

#[test]
fn retry_without_a_recorded_receipt_fails_after_the_window() {
    let mut ledger = IdempotencyLedger::new(LIMITS);
    assert_eq!(ledger.begin(0, &key(1), false), Verdict::New);
    assert!(ledger.record_send(100, &key(1)));
    ledger.finish(300, &key(1), None);
    assert_eq!(ledger.begin(9_100, &key(1), false), Verdict::UnknownOutcome);
    // Served, but the receipt is too long to be recorded.
    assert_eq!(ledger.begin(0, &key(2), false), Verdict::New);
    assert!(ledger.record_send(0, &key(2)));
    ledger.finish(10, &key(2), Some(receipt("longer than eight")));
    assert_eq!(
        ledger.begin(20_000, &key(2), false),
        Verdict::UnknownOutcome
    );
}

#[test]
fn write_that_never_ran_is_new_again_and_takes_no_entry() {
    let mut ledger = IdempotencyLedger::new(LIMITS);
    assert_eq!(ledger.begin(0, &key(1), false), Verdict::New);
    assert!(ledger.record_send(100, &key(1)));
    ledger.record_never_ran(&key(1), false);
    ledger.finish(200, &key(1), None);
    assert!(ledger.is_empty());
    assert_eq!(ledger.begin(50_000, &key(1), false), Verdict::New);
    // One attempt was rejected while another may have run.
    assert!(ledger.record_send(50_000, &key(1)));
    assert!(ledger.record_send(50_100, &key(1)));
    ledger.record_never_ran(&key(1), true);
    ledger.finish(50_200, &key(1), None);
    assert_eq!(
        ledger.begin(90_000, &key(1), false),
        Verdict::UnknownOutcome
    );
}

#[test]
fn full_ledger_rejects_new_keys_and_keeps_remembered_ones() {
    let mut ledger = IdempotencyLedger::new(LIMITS);
    for n in 0..4 {
        assert_eq!(ledger.begin(0, &key(n), false), Verdict::New);
        assert!(ledger.record_send(0, &key(n)));
        ledger.finish(10, &key(n), None);
    }
    assert_eq!(ledger.begin(50_000, &key(9), false), Verdict::Full);
    assert_eq!(
        ledger.begin(50_000, &key(0), false),
        Verdict::UnknownOutcome
    );
    assert_eq!(ledger.begin(100_010, &key(9), false), Verdict::New);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn expired_key_without_an_entry_has_an_unknown_outcome() {
    let mut ledger = IdempotencyLedger::new(LIMITS);
    assert_eq!(ledger.begin(0, &key(1), true), Verdict::UnknownOutcome);
    assert!(ledger.is_empty());
    assert_eq!(ledger.begin(0, &key(1), false), Verdict::New);
    assert!(ledger.record_send(0, &key(1)));
    ledger.finish(10, &key(1), Some(receipt("ok")));
    assert_eq!(
        ledger.begin(20_000, &key(1), true),
        Verdict::Served(receipt("ok"))
    );
}

#[test]
fn memory_is_bounded_when_one_write_is_repeated_endlessly() {
    let mut ledger = IdempotencyLedger::new(LedgerLimits {
        deduplication_window: 1_000_000,
        ..LIMITS
    });
    for n in 0..1_000 {
        // Three requests in each microsecond.
        let now = n / 3;
        assert!(!matches!(
            ledger.begin(now, &key(1), false),
            Verdict::InFlight
        ));
        let _ = ledger.record_send(now, &key(1));
        ledger.finish(now, &key(1), None);
        assert!(ledger.ends.len() <= 2 * LIMITS.max_entries + 1);
    }
    assert_eq!(
        ledger.begin(333 + LIMITS.retention, &key(2), false),
        Verdict::New
    );
    assert_eq!(
        ledger.len(),
        1,
        "the entry of the repeated write has expired"
    );
}

proptest! {
    /// Compares the ledger with a model of cache servers that deduplicate for exactly the window: within the retention,
    /// no write takes effect twice. The model records every effect.
    #[test]
    fn no_write_takes_effect_twice(
        steps in prop::collection::vec((0usize..6, 0usize..5, 0i64..6_000, any::<bool>()), 1..200),
    ) {
        let mut ledger = IdempotencyLedger::new(LIMITS);
        // For each key: when the deduplication window of its last effect began, and the number of its effects.
        let mut effects_by_key: BTreeMap<usize, (Micros, u32)> = BTreeMap::new();
        let mut in_flight: BTreeMap<usize, bool> = BTreeMap::new();
        let mut last_end: BTreeMap<usize, Micros> = BTreeMap::new();
        let mut now = 0;
        for (action, key_number, pause, receipt_lost) in steps {
            now += pause;
            // The ledger gives no guarantee after the retention.
            effects_by_key.retain(|k, _| {
                in_flight.contains_key(k) || last_end.get(k).is_none_or(|at| now - at < LIMITS.retention)
            });
            match action {
                0..=2 if !in_flight.contains_key(&key_number) => {
                    let verdict = ledger.begin(now, &key(key_number), false);
                    if matches!(verdict, Verdict::New | Verdict::Retry { .. }) {
                        in_flight.insert(key_number, false);
                    }
                }
                3 if in_flight.contains_key(&key_number) => {
                    if ledger.record_send(now, &key(key_number)) {
                        // The attempt arrives within the margin and takes effect unless the cache servers still deduplicate it.
                        let arrives = now + LIMITS.margin - 1;
                        let effect = effects_by_key.entry(key_number).or_insert((arrives, 0));
                        if effect.1 == 0 || arrives - effect.0 >= LIMITS.deduplication_window {
                            *effect = (arrives, effect.1 + 1);
                        }
                        in_flight.insert(key_number, true);
                    }
                }
                _ => {
                    if let Some(sent) = in_flight.remove(&key_number) {
                        let receipt = if sent && !receipt_lost { Some(receipt("ok")) } else { None };
                        ledger.finish(now, &key(key_number), receipt);
                        last_end.insert(key_number, now);
                    }
                }
            }
            prop_assert!(ledger.len() <= LIMITS.max_entries);
            for (key_number, (_, effects)) in &effects_by_key {
                prop_assert!(*effects <= 1, "key {} took effect {} times", key_number, effects);
            }
        }
    }
}
