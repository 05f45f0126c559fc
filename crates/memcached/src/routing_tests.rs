use super::*;
use proptest::prelude::*;

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 100_000,
        objective_per_work: 0.0,
        deadline: 400_000,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 10_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    }
}

fn classes() -> Vec<Class> {
    [
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NonIdempotent,
    ]
    .map(class)
    .to_vec()
}

fn route(operation: Operation, keys: &str, class: usize, key_from: KeyFrom) -> Route {
    let keys = Pattern::read(keys).unwrap();
    let fields = String::new();
    Route {
        operation,
        keys,
        class,
        tenant: None,
        deadline: 300_000,
        key_from,
        fields,
    }
}

fn wrong(routes: &[Route]) -> Vec<(usize, &'static str)> {
    let found = Table::new(routes.to_vec(), &classes(), 1_000_000)
        .err()
        .unwrap_or_default();
    found.iter().map(|w| (w.route, w.field)).collect()
}

#[test]
fn the_first_route_that_fits_counts_and_nothing_is_guessed() {
    use Operation::{Get, Set};
    let routes = vec![
        route(Get, "logger/7", 0, KeyFrom::None),
        route(Get, "logger/*", 0, KeyFrom::None),
        route(Set, "alarm/*", 1, KeyFrom::Digest),
    ];
    let table = Table::new(routes.clone(), &classes(), 0).unwrap();
    assert_eq!(table.find(Get, b"logger/7"), Some(&routes[0]));
    assert_eq!(table.find(Get, b"logger/70"), Some(&routes[1]));
    assert_eq!(table.find(Set, b"alarm/7"), Some(&routes[2]));
    assert_eq!(table.find(Set, b"logger/7"), None);
    assert_eq!(table.find(Get, b"alarm/7"), None);
}

#[test]
fn what_would_make_a_write_repeatable_is_refused() {
    use Operation::{Get, Set};
    assert_eq!(wrong(&[route(Set, "*", 0, KeyFrom::None)]), [(0, "class")]);
    assert_eq!(
        wrong(&[route(Set, "*", 0, KeyFrom::Digest)]),
        [(0, "class")]
    );
    assert_eq!(
        wrong(&[route(Set, "*", 1, KeyFrom::None)]),
        [(0, "key_from")]
    );
    assert_eq!(
        wrong(&[route(Set, "*", 2, KeyFrom::Prefix)]),
        [(0, "key_from")]
    );
    assert_eq!(wrong(&[route(Get, "*", 1, KeyFrom::None)]), [(0, "class")]);
    assert_eq!(
        wrong(&[route(Get, "*", 0, KeyFrom::Digest)]),
        [(0, "key_from")]
    );
    assert_eq!(wrong(&[route(Get, "*", 9, KeyFrom::None)]), [(0, "class")]);
    assert_eq!(
        wrong(&[
            route(Set, "*", 2, KeyFrom::None),
            route(Get, "*", 0, KeyFrom::None)
        ]),
        []
    );
    let mut late = route(Get, "*", 0, KeyFrom::None);
    late.deadline = 400_001;
    assert_eq!(wrong(&[late.clone()]), [(0, "deadline")]);
    late.deadline = 0;
    assert_eq!(wrong(&[late]), [(0, "deadline")]);
    let short = Table::new(
        vec![route(Set, "*", 1, KeyFrom::Digest)],
        &classes(),
        10_000_000,
    );
    assert_eq!(short.unwrap_err()[0].field, "class");
    let part = Class {
        deduplication_scope: DeduplicationScope::Zone,
        ..class(Idempotency::Keyed)
    };
    let part = Table::new(vec![route(Set, "*", 0, KeyFrom::Digest)], &[part], 0);
    assert_eq!(part.unwrap_err()[0].field, "class");
}

#[test]
fn a_route_that_nothing_reaches_is_told() {
    let get = |keys| route(Operation::Get, keys, 0, KeyFrom::None);
    assert_eq!(wrong(&[get("logger/*"), get("logger/7")]), [(1, "keys")]);
    assert_eq!(
        wrong(&[get("*"), get("a*"), get("b")]),
        [(1, "keys"), (2, "keys")]
    );
    assert_eq!(wrong(&[get("logger/7"), get("logger/*")]), []);
    for bad in ["", "a*b", "**", "*a"] {
        assert!(Pattern::read(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn keys_are_made_as_the_route_says() {
    let digest = route(Operation::Set, "*", 1, KeyFrom::Digest);
    let key = |k: &[u8], v: &[u8]| digest.key(k, v).unwrap().unwrap();
    assert_eq!(key(b"a", b"on"), key(b"a", b"on"));
    assert_eq!(key(b"a", b"on").len(), 32);
    for (k, v) in [
        (&b"a"[..], &b"off"[..]),
        (b"b", b"on"),
        (b"ao", b"n"),
        (b"", b"aon"),
    ] {
        assert_ne!(key(b"a", b"on"), key(k, v));
    }
    let prefix = route(Operation::Set, "*", 1, KeyFrom::Prefix);
    assert_eq!(
        prefix.key(b"a", b"5c0f6e1a-2b:level=7"),
        Ok(Some("5c0f6e1a-2b".into()))
    );
    for bad in [
        &b"level=7"[..],
        b"short:x",
        b"has,comma1:x",
        b"",
        b":x",
        &[b'a'; 80],
    ] {
        assert!(prefix.key(b"a", bad).is_err(), "{bad:?}");
    }
    assert_eq!(
        route(Operation::Set, "*", 2, KeyFrom::None).key(b"a", b"x"),
        Ok(None)
    );
    let stamped = route(Operation::Set, "*", 1, KeyFrom::Stamp);
    let key = stamped.key(b"a", b"1796116800123-7f:on").unwrap().unwrap();
    assert_eq!(
        (&*key, stamp(&key)),
        ("1796116800123-7f", Some(1_796_116_800_123_000))
    );
    for bad in [
        &b"1796116800-7f3a:on"[..],
        b"1796116800123:on",
        b"1796116800123-:on",
        b"+796116800123-7:on",
    ] {
        assert!(stamped.key(b"a", bad).is_err(), "{bad:?}");
    }
}

proptest! {
    #[test]
    fn a_pattern_that_covers_another_fits_all_that_the_other_fits(
        a in "[ab]{0,3}\\*?", b in "[ab]{0,3}\\*?", key in "[ab]{0,5}",
    ) {
        if let (Ok(a), Ok(b)) = (Pattern::read(&a), Pattern::read(&b)) {
            if a.covers(&b) && b.fits(key.as_bytes()) {
                prop_assert!(a.fits(key.as_bytes()));
            }
        }
    }
}
