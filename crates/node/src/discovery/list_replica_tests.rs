use super::*;
use crate::discovery::endpoints::parse_endpoint_list;
use serde_json::json;

const SECOND: Micros = 1_000_000;

fn service(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 80))
}

/// A list of servers `name=state`.
fn list(rev: i64, all: bool, servers: &[&str]) -> EndpointList {
    let targets: Vec<_> = servers
        .iter()
        .map(|server| {
            let (uid, state) = server.split_once('=').unwrap();
            json!({"uid": uid, "endpoint": "10.0.0.1:1", "state": state, "az": "a", "model": "m", "pod_group": 3, "boot_ms": 7})
        })
        .collect();
    parse_endpoint_list(&json!({"rev": rev, "all": all, "targets": targets})).unwrap()
}

fn full(rev: i64, servers: &[&str]) -> EndpointList {
    list(rev, true, servers)
}

/// The replica of a process whose configuration has this list.
fn configured(rev: i64, servers: &[&str]) -> ListReplica {
    ListReplica::from_configuration(&full(rev, servers), service(1))
}

fn received(rev: i64, servers: &[&str], at: Micros) -> ListReplica {
    let mut replica = configured(1, servers);
    replica.receive(&full(rev, servers), ListRelation::Next, at);
    replica
}

fn states(replica: &ListReplica) -> Vec<(String, ServerState)> {
    let entries = replica.servers.values();
    entries
        .map(|entry| {
            (
                entry.listed.entry.server.to_string(),
                entry.listed.entry.state,
            )
        })
        .collect()
}

fn state(replica: &ListReplica, server: &str) -> Option<ServerState> {
    let mut states = states(replica).into_iter();
    states
        .find(|(name, _)| name == server)
        .map(|(_, state)| state)
}

const LIVE: Option<ServerState> = Some(ServerState::Live);
const DRAINING: Option<ServerState> = Some(ServerState::Draining);
const REMOVED: Option<ServerState> = Some(ServerState::Removed);

#[test]
fn higher_revision_wins_in_one_sequence_whichever_is_merged_into_the_other() {
    let old = received(42, &["a=in_service", "b=in_service"], SECOND);
    let new = received(43, &["a=in_service", "c=in_service"], 2 * SECOND);
    for (mut into, other) in [(old.clone(), &new), (new.clone(), &old)] {
        into.merge(other, MergeScope::AnySequence);
        assert_eq!(into.revision(), 43);
        assert_eq!(state(&into, "c"), LIVE);
        assert_ne!(state(&into, "b"), LIVE);
    }
}

#[test]
fn returned_server_stays_in_service_when_the_list_from_before_is_merged() {
    let mut before = received(42, &["a=in_service"], SECOND);
    before.receive(
        &list(43, false, &["a=terminating"]),
        ListRelation::Next,
        2 * SECOND,
    );
    let mut after = before.clone();
    after.receive(
        &list(44, false, &["a=in_service"]),
        ListRelation::Next,
        3 * SECOND,
    );
    assert_eq!(
        after.merge(&before, MergeScope::SameSequence),
        Merged::default()
    );
    assert_eq!(state(&after, "a"), LIVE);
    let merged = before.merge(&after, MergeScope::SameSequence);
    assert!(merged.is_newer);
    assert_eq!(state(&before, "a"), LIVE);
}

#[test]
fn server_that_a_complete_list_lacks_is_removed_and_stays_so_in_an_older_list() {
    let mut old = received(42, &["a=in_service", "b=in_service"], SECOND);
    let mut new = old.clone();
    new.receive(&full(43, &["a=in_service"]), ListRelation::Next, 2 * SECOND);
    assert_eq!(state(&new, "b"), REMOVED);
    let merged = old.merge(&new, MergeScope::SameSequence);
    let removed = merged.changes.iter().map(|listed| listed.entry.state);
    assert_eq!(removed.collect::<Vec<_>>(), [ServerState::Removed]);
    assert_eq!(states(&old), states(&new));
}

#[test]
fn later_told_sequence_wins_over_a_higher_revision() {
    let old = received(90, &["a=in_service"], SECOND);
    for began in [service(1), service(2)] {
        let mut new = old.clone();
        let relation = ListRelation::NewSequence { service: began };
        new.receive(&full(3, &["a=terminating"]), relation, 2 * SECOND);
        for (mut into, other) in [(old.clone(), &new), (new.clone(), &old)] {
            into.merge(other, MergeScope::AnySequence);
            assert_eq!((into.revision(), into.sequence()), (3, new.sequence()));
            assert_eq!(state(&into, "a"), DRAINING);
        }
    }
}

#[test]
fn running_process_takes_only_later_drains_from_another_sequence() {
    let mut own = received(
        42,
        &["a=in_service", "b=in_service", "c=terminating"],
        2 * SECOND,
    );
    let mut other = own.clone();
    let relation = ListRelation::NewSequence {
        service: service(2),
    };
    let servers = [
        "a=in_service",
        "b=in_service",
        "c=in_service",
        "d=in_service",
    ];
    other.receive(&full(1, &servers), relation, SECOND);
    other.receive(
        &list(2, false, &["a=terminating"]),
        ListRelation::Next,
        SECOND,
    );
    assert_eq!(
        own.merge(&other, MergeScope::SameSequence),
        Merged::default()
    );
    other.receive(
        &list(3, false, &["b=terminated"]),
        ListRelation::Next,
        3 * SECOND,
    );
    let merged = own.merge(&other, MergeScope::SameSequence);
    assert!(!merged.is_newer && merged.is_unconfirmed);
    assert_eq!(own.revision(), 42);
    assert_eq!((state(&own, "a"), state(&own, "b")), (LIVE, REMOVED));
    assert_eq!((state(&own, "c"), state(&own, "d")), (DRAINING, None));
}

#[test]
fn configured_list_never_replaces_that_of_a_running_process_and_frees_no_told_drain() {
    let mut own = received(42, &["a=terminating", "b=in_service"], SECOND);
    let newer = configured(60, &["a=in_service", "b=in_service", "c=in_service"]);
    assert_eq!(
        own.merge(&newer, MergeScope::SameSequence),
        Merged::default()
    );
    let mut started = newer;
    assert!(started.merge(&own, MergeScope::AnySequence).is_unconfirmed);
    assert_eq!(started.revision(), 60);
    assert_eq!(
        (state(&started, "a"), state(&started, "c")),
        (DRAINING, LIVE)
    );
    // The next process has the same configuration, or an older one.
    let mut next = configured(41, &["a=in_service"]);
    next.merge(&started, MergeScope::AnySequence);
    assert_eq!((next.revision(), state(&next, "a")), (60, DRAINING));
}

#[test]
fn drains_of_a_newer_list_in_a_configuration_that_names_another_service_hold() {
    let received = received(42, &["a=in_service", "b=in_service"], SECOND);
    for (rev, expected) in [(60, DRAINING), (30, LIVE)] {
        let known = full(rev, &["a=terminating", "b=in_service"]);
        let mut started = ListReplica::from_configuration(&known, service(2));
        let configured = started.clone();
        let merged = started.merge(&received, MergeScope::AnySequence);
        assert_eq!((started.revision(), state(&started, "a")), (42, expected));
        assert_eq!(merged.is_unconfirmed, expected == DRAINING);
        // A process that runs already goes on without the configuration of another one.
        let mut running = received.clone();
        let merged = running.merge(&configured, MergeScope::SameSequence);
        assert_eq!(merged, Merged::default());
    }
}

#[test]
fn drain_that_is_kept_against_a_newer_list_of_the_same_sequence_has_to_be_confirmed() {
    let mut own = received(42, &["a=in_service"], SECOND);
    let mut newer = own.clone();
    newer.receive(&list(44, false, &[]), ListRelation::Next, 2 * SECOND);
    own.receive(
        &list(43, false, &["a=terminating"]),
        ListRelation::Next,
        3 * SECOND,
    );
    let merged = own.merge(&newer, MergeScope::SameSequence);
    assert!(merged.is_newer && merged.is_unconfirmed);
    assert_eq!((own.revision(), state(&own, "a")), (44, DRAINING));
}

#[test]
fn entries_of_an_older_answer_change_neither_the_revision_nor_the_time_of_the_last_answer() {
    let mut replica = received(42, &["a=in_service", "b=in_service"], SECOND);
    let older = list(40, false, &["a=terminating"]);
    assert!(replica.receive(&older, ListRelation::OlderEntries, 2 * SECOND));
    assert_eq!(
        (replica.revision(), replica.received_at()),
        (42, Some(SECOND))
    );
    assert_eq!(
        (state(&replica, "a"), state(&replica, "b")),
        (DRAINING, LIVE)
    );
}

#[test]
fn only_changes_have_to_be_published() {
    let mut replica = received(42, &["a=in_service"], SECOND);
    replica.set_start(&"a".into(), Some(5));
    let empty = list(42, false, &[]);
    assert!(!replica.receive(&empty, ListRelation::Next, 2 * SECOND));
    assert!(!replica.receive(&full(42, &["a=in_service"]), ListRelation::Next, 3 * SECOND));
    assert_eq!(replica.received_at(), Some(3 * SECOND));
    assert!(replica.receive(&list(43, false, &[]), ListRelation::Next, 4 * SECOND));
    let started = replica.to_list().targets[0].entry.started;
    assert_eq!(started, Some(5));
}

#[test]
fn removed_servers_are_remembered_up_to_a_bound_the_longest_removed_ones_are_forgotten() {
    let names: Vec<String> = (0..=MAX_REMOVED)
        .map(|n| format!("s{n}=terminated"))
        .collect();
    let mut replica = received(42, &["a=in_service"], SECOND);
    for (at, name) in names.iter().enumerate() {
        let change = list(43, false, &[name]);
        replica.receive(&change, ListRelation::Next, SECOND + at as Micros);
    }
    assert_eq!(replica.servers.len(), MAX_REMOVED + 1);
    assert_eq!(
        (state(&replica, "s0"), state(&replica, "s1")),
        (None, REMOVED)
    );
}

#[test]
fn list_without_servers_is_taken_over_as_it_is() {
    let empty = received(43, &[], 2 * SECOND);
    let mut started = configured(42, &["a=in_service"]);
    started.merge(&empty, MergeScope::AnySequence);
    assert_eq!((started.revision(), started.live_count()), (43, 0));
}
