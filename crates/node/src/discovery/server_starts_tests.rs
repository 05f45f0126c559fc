use serde_json::{json, Value};

use super::super::endpoints::parse_endpoint_list;
use super::*;

const SECOND: Micros = 1_000_000;
const PROCESS_START_MS: i64 = 1_700_000_000_000;

fn target(uid: &str, state: &str, boot_ms: i64) -> Value {
    json!({"uid": uid, "endpoint": "10.0.0.1:1", "state": state, "boot_ms": boot_ms})
}

fn starts() -> ServerStartTimes {
    ServerStartTimes::new(PROCESS_START_MS * 1000)
}

/// Applies a list and returns the start time of each of its servers.
fn apply(
    starts: &mut ServerStartTimes,
    kind: EndpointListKind,
    targets: &[Value],
    now: Micros,
) -> Vec<Option<Micros>> {
    let all = kind != EndpointListKind::Delta;
    let list = json!({"rev": 1, "all": all, "targets": targets});
    let list = parse_endpoint_list(&list).unwrap();
    let entries = list.targets.iter();
    let found = entries.map(|listed| starts.start_of(listed, now)).collect();
    starts.list_applied(&list, kind, now);
    found
}

/// The start time of the only server of a first list.
fn first_start(boot_ms: i64, now: Micros) -> Option<Micros> {
    let targets = [target("s", "in_service", boot_ms)];
    apply(&mut starts(), EndpointListKind::Full, &targets, now)[0]
}

#[test]
fn start_of_a_server_is_converted_to_the_clock_of_the_node() {
    assert_eq!(first_start(0, 1_000), None);
    let of = |milliseconds: i64| PROCESS_START_MS + milliseconds;
    assert_eq!(first_start(of(55_000), 60 * SECOND), Some(55 * SECOND));
    assert_eq!(first_start(of(-1_000), 60 * SECOND), Some(-SECOND));
    assert_eq!(first_start(of(99_000), 7), Some(7));
    assert!(first_start(i64::MAX, 7).is_some_and(|at| at <= 7));
}

#[test]
fn server_new_to_the_list_starts_no_earlier_than_the_last_list_if_its_clock_is_wrong() {
    let hour_ago = PROCESS_START_MS - 3_600_000;
    let mut starts = starts();
    let old = target("old", "in_service", hour_ago);
    let hour = 3_600 * SECOND;
    let listed = std::slice::from_ref(&old);
    assert_eq!(
        apply(&mut starts, EndpointListKind::Full, listed, SECOND),
        [Some(-hour)]
    );
    let new = target("new", "in_service", hour_ago + 19_000);
    let listed = [old, new.clone()];
    let found = apply(&mut starts, EndpointListKind::Full, &listed, 20 * SECOND);
    assert_eq!(found, [Some(-hour), Some(SECOND)]);
    // The start time stays the same in later lists; a different one means a restart.
    let found = apply(&mut starts, EndpointListKind::Delta, &[new], 40 * SECOND);
    assert_eq!(found, [Some(SECOND)]);
    let again = target("new", "in_service", hour_ago + 55_000);
    let found = apply(&mut starts, EndpointListKind::Delta, &[again], 60 * SECOND);
    assert_eq!(found, [Some(40 * SECOND)]);
}

#[test]
fn start_shortly_before_the_last_list_is_taken_from_the_wall_clock() {
    let mut starts = starts();
    apply(&mut starts, EndpointListKind::Full, &[], 60 * SECOND);
    let new = target("new", "in_service", PROCESS_START_MS + 51_000);
    let found = apply(&mut starts, EndpointListKind::Delta, &[new], 61 * SECOND);
    assert_eq!(found, [Some(51 * SECOND)]);
}

#[test]
fn list_of_the_configuration_does_not_limit_start_times() {
    let mut starts = starts();
    apply(&mut starts, EndpointListKind::Cached, &[], 0);
    let new = target("new", "in_service", PROCESS_START_MS - 60_000);
    let found = apply(&mut starts, EndpointListKind::Full, &[new], SECOND);
    assert_eq!(found, [Some(-60 * SECOND)]);
}

#[test]
fn start_ahead_of_the_clock_stays_the_same_in_each_list() {
    let mut starts = starts();
    let ahead = [target("s", "in_service", PROCESS_START_MS + 3_600_000)];
    for now in [SECOND, 20 * SECOND] {
        let found = apply(&mut starts, EndpointListKind::Full, &ahead, now);
        assert_eq!(found, [Some(SECOND)]);
    }
}

#[test]
fn servers_that_are_no_longer_listed_are_forgotten() {
    let mut starts = starts();
    let both = ["a", "b"].map(|uid| target(uid, "in_service", PROCESS_START_MS));
    apply(&mut starts, EndpointListKind::Full, &both, SECOND);
    let removed = [target("a", "terminated", PROCESS_START_MS)];
    apply(&mut starts, EndpointListKind::Delta, &removed, SECOND);
    assert_eq!(starts.known.len(), 1);
    apply(&mut starts, EndpointListKind::Full, &[], SECOND);
    assert!(starts.known.is_empty());
}
