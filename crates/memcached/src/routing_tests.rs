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

fn route(operation: Operation, keys: &str, class: usize, key_source: KeySource) -> Route {
    let keys = Pattern::parse(keys).unwrap();
    let fields = String::new();
    Route {
        operation,
        keys,
        class,
        tenant: None,
        deadline: 300_000,
        key_source,
        resp2_fields: fields,
    }
}

/// The index of the route and the field of each problem that a table of these routes has.
fn problem_fields(routes: &[Route]) -> Vec<(usize, &'static str)> {
    let found = RoutingTable::new(routes.to_vec(), &classes(), 1_000_000)
        .err()
        .unwrap_or_default();
    found
        .iter()
        .map(|problem| (problem.route, problem.error.field()))
        .collect()
}

#[test]
fn find_returns_the_first_matching_route_or_none() {
    use Operation::{Get, Set};
    let routes = vec![
        route(Get, "logger/7", 0, KeySource::None),
        route(Get, "logger/*", 0, KeySource::None),
        route(Set, "alarm/*", 1, KeySource::Digest),
    ];
    let table = RoutingTable::new(routes.clone(), &classes(), 0).unwrap();
    assert_eq!(table.find(Get, b"logger/7"), Some(&routes[0]));
    assert_eq!(table.find(Get, b"logger/70"), Some(&routes[1]));
    assert_eq!(table.find(Set, b"alarm/7"), Some(&routes[2]));
    assert_eq!(table.find(Set, b"logger/7"), None);
    assert_eq!(table.find(Get, b"alarm/7"), None);
}

#[test]
fn routes_with_unsafe_retries_are_rejected() {
    use Operation::{Get, Set};
    assert_eq!(
        problem_fields(&[route(Set, "*", 0, KeySource::None)]),
        [(0, "class")]
    );
    assert_eq!(
        problem_fields(&[route(Set, "*", 0, KeySource::Digest)]),
        [(0, "class")]
    );
    assert_eq!(
        problem_fields(&[route(Set, "*", 1, KeySource::None)]),
        [(0, "key_from")]
    );
    assert_eq!(
        problem_fields(&[route(Set, "*", 2, KeySource::Prefix)]),
        [(0, "key_from")]
    );
    assert_eq!(
        problem_fields(&[route(Get, "*", 1, KeySource::None)]),
        [(0, "class")]
    );
    assert_eq!(
        problem_fields(&[route(Get, "*", 0, KeySource::Digest)]),
        [(0, "key_from")]
    );
    assert_eq!(
        problem_fields(&[route(Get, "*", 9, KeySource::None)]),
        [(0, "class")]
    );
    assert_eq!(
        problem_fields(&[
            route(Set, "*", 2, KeySource::None),
            route(Get, "*", 0, KeySource::None)
        ]),
        []
    );
    let mut too_long = route(Get, "*", 0, KeySource::None);
    too_long.deadline = 400_001;
    assert_eq!(problem_fields(&[too_long.clone()]), [(0, "deadline")]);
    too_long.deadline = 0;
    assert_eq!(problem_fields(&[too_long]), [(0, "deadline")]);
    let short_window = RoutingTable::new(
        vec![route(Set, "*", 1, KeySource::Digest)],
        &classes(),
        10_000_000,
    );
    assert_eq!(short_window.unwrap_err()[0].error.field(), "class");
    let zone_only = Class {
        deduplication_scope: DeduplicationScope::Zone,
        ..class(Idempotency::Keyed)
    };
    let table = RoutingTable::new(vec![route(Set, "*", 0, KeySource::Digest)], &[zone_only], 0);
    assert_eq!(table.unwrap_err()[0].error.field(), "class");
}

#[test]
fn unreachable_routes_and_invalid_patterns_are_rejected() {
    let get = |keys| route(Operation::Get, keys, 0, KeySource::None);
    assert_eq!(
        problem_fields(&[get("logger/*"), get("logger/7")]),
        [(1, "keys")]
    );
    assert_eq!(
        problem_fields(&[get("*"), get("a*"), get("b")]),
        [(1, "keys"), (2, "keys")]
    );
    assert_eq!(problem_fields(&[get("logger/7"), get("logger/*")]), []);
    for invalid in ["", "a*b", "**", "*a"] {
        assert!(Pattern::parse(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn idempotency_key_is_derived_from_the_key_source_of_the_route() {
    let digest = route(Operation::Set, "*", 1, KeySource::Digest);
    let key = |k: &[u8], v: &[u8]| digest.idempotency_key(k, v).unwrap().unwrap();
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
    let prefix = route(Operation::Set, "*", 1, KeySource::Prefix);
    assert_eq!(
        prefix.idempotency_key(b"a", b"5c0f6e1a-2b:level=7"),
        Ok(Some("5c0f6e1a-2b".into()))
    );
    for invalid in [
        &b"level=7"[..],
        b"short:x",
        b"has,comma1:x",
        b"",
        b":x",
        &[b'a'; 80],
    ] {
        assert!(
            prefix.idempotency_key(b"a", invalid).is_err(),
            "{invalid:?}"
        );
    }
    assert_eq!(
        route(Operation::Set, "*", 2, KeySource::None).idempotency_key(b"a", b"x"),
        Ok(None)
    );
    let timestamped = route(Operation::Set, "*", 1, KeySource::Timestamp);
    let key = timestamped
        .idempotency_key(b"a", b"1796116800123-7f:on")
        .unwrap()
        .unwrap();
    assert_eq!(
        (&*key, key_timestamp(&key)),
        ("1796116800123-7f", Some(1_796_116_800_123_000))
    );
    for invalid in [
        &b"1796116800-7f3a:on"[..],
        b"1796116800123:on",
        b"1796116800123-:on",
        b"+796116800123-7:on",
    ] {
        assert!(
            timestamped.idempotency_key(b"a", invalid).is_err(),
            "{invalid:?}"
        );
    }
}

#[test]
fn messages_to_users_have_the_expected_text() {
    let problem = RouteProblem {
        route: 1,
        error: RouteError::Unreachable { earlier: 0 },
    };
    assert_eq!(
        problem.to_string(),
        "route 2: keys: the route is unreachable: route 1 matches all its keys"
    );
    assert_eq!(
        PatternError::Empty.to_string(),
        "is empty; * stands for all keys"
    );
    assert_eq!(
        IdempotencyKeyError::MissingTimestamp.to_string(),
        "the idempotency key must begin with Unix time in milliseconds and a hyphen"
    );
    assert_eq!(
        IdempotencyKeyError::MissingPrefix.to_string(),
        "the value must begin with an idempotency key of 8 to 64 letters, digits or -, and a colon"
    );
}

proptest! {
    #[test]
    fn covering_pattern_matches_all_keys_of_the_covered_one(
        a in "[ab]{0,3}\\*?", b in "[ab]{0,3}\\*?", key in "[ab]{0,5}",
    ) {
        if let (Ok(a), Ok(b)) = (Pattern::parse(&a), Pattern::parse(&b)) {
            if a.covers(&b) && b.matches(key.as_bytes()) {
                prop_assert!(a.matches(key.as_bytes()));
            }
        }
    }
}
