//! The processes of a node know the same endpoint list: a server that one of them was told drains or is gone gets nothing new from
//! any of them, although discovery cannot be asked. Uses real processes and a discovery service of the test's own.
//!
//! Guards against an upgrade during an outage of discovery after which the new process sends to a draining server, since it knows
//! only the list in its configuration.

mod support;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// How long clients send after the last step.
const OBSERVATION: Duration = Duration::from_millis(1_500);
/// Longer than the age up to which the health of the servers is taken over.
const LONG_OUTAGE: Duration = Duration::from_secs(11);
/// Time after which a process that is ready has saved a snapshot of the servers' health.
const SNAPSHOT_TIME: Duration = Duration::from_millis(1_300);
/// Time in which a process has seen what another one has published.
const EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// Plays each case on a thread of its own, since most of the time is spent waiting.
fn in_parallel<Case: Send>(cases: impl IntoIterator<Item = Case>, play: impl Fn(Case) + Sync) {
    std::thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| play(case));
        }
    });
}

/// A node with one process that watches discovery, and clients that send.
fn running_node() -> UpgradedNode {
    let mut node = UpgradedNode::new();
    node.start_first_process();
    node
}

/// A node whose only process was told that server 0 drains before discovery went down.
fn node_with_drain_in_outage() -> UpgradedNode {
    let node = running_node();
    node.tell(0, "terminating");
    std::thread::sleep(EXCHANGE_TIME);
    node.discovery.set_mode(ServiceMode::Down);
    node
}

/// Starts a further process with these options, waits until it is ready and ends the one before.
fn upgrade_with(node: &mut UpgradedNode, options: ProcessOptions) {
    let next = node.start_process(options);
    node.wait_until_ready(next);
    node.stop_process(next - 1);
}

fn upgrade(node: &mut UpgradedNode) {
    upgrade_with(node, ProcessOptions::default());
}

/// Lets clients send for a while, and asserts that the rules held.
fn observe(node: &UpgradedNode, case: &str) {
    std::thread::sleep(OBSERVATION);
    node.assert_rules(case);
}

/// The targets in which these servers are in another state.
fn with_states(targets: &[Value], states: &[(usize, &str)]) -> Vec<Value> {
    let mut targets = targets.to_vec();
    for (server, state) in states {
        targets[*server]["state"] = json!(state);
    }
    targets
}

#[test]
fn server_told_to_drain_or_removed_before_an_upgrade_in_an_outage_gets_nothing_from_the_new_process(
) {
    in_parallel(["terminating", "terminated"], |state| {
        let mut node = running_node();
        node.tell(0, state);
        std::thread::sleep(EXCHANGE_TIME);
        node.discovery.set_mode(ServiceMode::Down);
        upgrade(&mut node);
        observe(&node, state);
    });
}

#[test]
fn drain_told_right_before_the_start_binds_the_new_process_from_the_time_it_was_told() {
    let mut node = running_node();
    node.tell(0, "terminating");
    std::thread::sleep(Duration::from_millis(100));
    node.discovery.set_mode(ServiceMode::Down);
    upgrade(&mut node);
    observe(&node, "told 0.1 s before the start");
}

#[test]
fn drain_told_to_the_old_process_after_the_new_one_has_started_binds_the_new_one() {
    let mut node = running_node();
    node.discovery.set_mode(ServiceMode::RejectsNewRequests);
    let new = node.start_process(ProcessOptions::default());
    std::thread::sleep(EXCHANGE_TIME);
    node.tell(0, "terminating");
    node.wait_until_ready(new);
    node.stop_process(0);
    observe(&node, "told to the old process");
}

#[test]
fn drain_told_to_the_new_process_binds_the_old_one_while_that_still_sends() {
    let mut node = running_node();
    // The new process asks another service, which the old one has not been told of.
    let moved = DiscoveryService::start(KNOWN_REV, &node.targets);
    let new = node.start_process(ProcessOptions {
        discovery: Some(moved.address),
        ..ProcessOptions::default()
    });
    node.wait_until_ready(new);
    wait_until("the new service is watched", || moved.is_watched());
    node.discovery.set_mode(ServiceMode::Down);
    moved.change("s-0", "terminating");
    std::thread::sleep(DRAIN_GRACE);
    let since = Instant::now();
    observe(&node, "told to the new process");
    assert_eq!(node.received_since(0, since), 0);
    assert!(node.received_since(1, since) > 0);
}

#[test]
fn drain_binds_after_an_outage_longer_than_the_age_of_health_and_a_killed_process() {
    let mut node = node_with_drain_in_outage();
    std::thread::sleep(SNAPSHOT_TIME);
    node.kill_process(0);
    std::thread::sleep(LONG_OUTAGE);
    let new = node.start_process(ProcessOptions::default());
    node.wait_until_ready(new);
    std::thread::sleep(OBSERVATION);
    node.assert_rules("long outage");
    let log = node.processes[new].node.shut_down_and_read_stderr();
    assert!(log.contains("handover: not taken up: is too old"), "{log}");
    assert!(
        log.contains("handover: endpoint list rev=42 servers=3, received 1"),
        "{log}"
    );
}

#[test]
fn drain_binds_through_two_upgrades_and_one_that_is_broken_off_in_one_outage() {
    let mut node = node_with_drain_in_outage();
    upgrade(&mut node);
    let broken_off = node.start_process(ProcessOptions::default());
    std::thread::sleep(EXCHANGE_TIME);
    node.kill_process(broken_off);
    assert!(listens_and_is_ready(node.processes[1].admin));
    let third = node.start_process(ProcessOptions::default());
    node.wait_until_ready(third);
    node.stop_process(1);
    observe(&node, "chain of upgrades");
}

#[test]
fn watch_goes_on_from_the_revision_taken_over_and_a_returned_server_is_served_again() {
    let mut node = node_with_drain_in_outage();
    upgrade(&mut node);
    let rev = node.discovery.rev();
    let paths = node.discovery.paths();
    let since = format!("since={rev}&");
    assert!(paths.last().unwrap().contains(&since), "{:?}", paths.last());
    // Changes that lie between are not skipped.
    node.tell(1, "terminating");
    node.tell(0, "in_service");
    node.discovery.set_mode(ServiceMode::Up);
    wait_until("the change during the outage is known", || {
        let told = node.discovery.told();
        told.iter()
            .any(|told| told.uid == "s-1" && told.state == ToldState::Terminating)
    });
    std::thread::sleep(DRAIN_GRACE);
    let since = Instant::now();
    observe(&node, "back after the outage");
    assert!(
        node.received_since(0, since) > 0,
        "the returned server is not served"
    );
    assert_eq!(node.received_since(1, since), 0);
}

#[test]
fn list_in_the_configuration_wins_only_if_its_revision_is_newer() {
    // Older than what the node was told, and newer: there another server drains, and a third one is missing.
    in_parallel([(40, false), (60, true)], |(rev, is_newer)| {
        let mut node = node_with_drain_in_outage();
        let mut known = with_states(&node.targets, &[(1, "terminating")]);
        known.remove(2);
        let options = ProcessOptions {
            known: Some((rev, known)),
            ..ProcessOptions::default()
        };
        upgrade_with(&mut node, options);
        let since = Instant::now();
        observe(&node, "known");
        assert_eq!(node.received_since(0, since), 0, "rev {rev}");
        assert_eq!(node.received_since(1, since) == 0, is_newer, "rev {rev}");
        assert_eq!(node.received_since(2, since) == 0, is_newer, "rev {rev}");
        assert!(node.received_since(3, since) > 0, "rev {rev}");
    });
}

#[test]
fn server_drained_against_a_newer_list_in_the_configuration_is_served_once_discovery_confirms_it() {
    let mut node = node_with_drain_in_outage();
    node.tell(0, "in_service");
    let options = ProcessOptions {
        known: Some((node.discovery.rev(), node.targets.clone())),
        ..ProcessOptions::default()
    };
    upgrade_with(&mut node, options);
    observe(&node, "newer configuration");
    node.discovery.set_mode(ServiceMode::Up);
    let since = Instant::now();
    wait_until("the server is served", || node.received_since(0, since) > 0);
    node.assert_rules("confirmed");
}

#[test]
fn newer_list_in_the_configuration_of_a_broken_off_upgrade_does_not_reach_the_old_process() {
    let mut node = running_node();
    node.discovery.set_mode(ServiceMode::Down);
    let known = with_states(&node.targets[..2], &[(0, "terminating")]);
    let new = node.start_process(ProcessOptions {
        known: Some((60, known)),
        ..ProcessOptions::default()
    });
    std::thread::sleep(EXCHANGE_TIME);
    node.kill_process(new);
    let since = Instant::now();
    observe(&node, "broken off");
    for server in 0..4 {
        assert!(node.received_since(server, since) > 0, "server {server}");
    }
}

#[test]
fn what_was_told_after_discovery_numbered_anew_wins_over_higher_revisions() {
    let mut node = running_node();
    node.discovery.set_mode(ServiceMode::Down);
    node.discovery.restart_numbering();
    node.discovery.set_mode(ServiceMode::Up);
    wait_until("the new numbering is known", || {
        node.discovery.paths().last().unwrap().contains("since=1&")
    });
    node.tell(0, "terminating");
    std::thread::sleep(EXCHANGE_TIME);
    node.discovery.set_mode(ServiceMode::Down);
    upgrade(&mut node);
    observe(&node, "numbered anew");
}

#[test]
fn drain_binds_when_discovery_moves_with_the_upgrade() {
    let mut node = node_with_drain_in_outage();
    let moved = free_address();
    let options = ProcessOptions {
        discovery: Some(moved),
        ..ProcessOptions::default()
    };
    upgrade_with(&mut node, options);
    observe(&node, "moved");
}

#[test]
fn reload_with_an_older_list_and_a_moved_discovery_beside_an_upgrade_changes_no_drain() {
    let mut node = node_with_drain_in_outage();
    let moved = free_address();
    let new = node.start_process(ProcessOptions::default());
    for process in &node.processes {
        let mut config: Value = serde_json::from_str(&process.node.config()).unwrap();
        config["discovery"] = json!(moved.to_string());
        config["known"]["rev"] = json!(KNOWN_REV - 1);
        process.node.reload(&config.to_string());
    }
    node.wait_until_ready(new);
    node.stop_process(0);
    observe(&node, "reload beside an upgrade");
}

#[test]
fn stale_cut_and_missing_answers_to_the_new_process_bring_no_drained_server_back() {
    let modes = [ServiceMode::Stale, ServiceMode::SilentToNewRequests];
    in_parallel(modes, |mode| {
        let mut node = running_node();
        node.tell(0, "terminating");
        node.tell(1, "terminated");
        std::thread::sleep(EXCHANGE_TIME);
        node.discovery.set_mode(mode);
        upgrade(&mut node);
        observe(&node, &format!("{mode:?}"));
    });
}

#[test]
fn drain_binds_the_new_process_where_lists_are_asked_for() {
    let mut node = UpgradedNode::polling();
    node.start_first_process();
    node.tell(0, "terminating");
    std::thread::sleep(EXCHANGE_TIME);
    node.discovery.set_mode(ServiceMode::Down);
    upgrade(&mut node);
    observe(&node, "lists are asked for");
}

/// Restarts a server before an upgrade in an outage; the wall clock of the new process is stepped by so many seconds.
fn upgrade_after_the_restart_of_a_server(wall_clock_step: Option<i64>) {
    let mut node = running_node();
    std::thread::sleep(OBSERVATION);
    let started = node.restart_server(0);
    std::thread::sleep(EXCHANGE_TIME);
    node.discovery.set_mode(ServiceMode::Down);
    let options = ProcessOptions {
        wall_clock_step,
        ..ProcessOptions::default()
    };
    upgrade_with(&mut node, options);
    let since = Instant::now();
    std::thread::sleep(OBSERVATION * 2);
    node.assert_not_overloaded(0, started, since);
    node.assert_rules("cold server");
}

#[test]
fn server_told_to_have_restarted_is_cold_to_the_new_process_whatever_its_wall_clock_says() {
    let steps = [None, Some(3_600), Some(-3_600)];
    in_parallel(steps, upgrade_after_the_restart_of_a_server);
}

/// The file in which the only process of a node has published its endpoint list.
fn list_file(node: &UpgradedNode) -> PathBuf {
    let entries = std::fs::read_dir(node.folder.path()).unwrap();
    let mut paths = entries.map(|entry| entry.unwrap().path());
    let is_list = |path: &PathBuf| path.to_string_lossy().contains("sloewick-endpoints-");
    paths.find(is_list).expect("a list is published")
}

/// A damage of a file, and the reason that the log gives.
type Damage = (fn(&mut Vec<u8>), &'static str);

const DAMAGES: [Damage; 4] = [
    (|bytes| bytes.truncate(bytes.len() / 2), "is torn"),
    (|bytes| bytes.clear(), "is torn"),
    (|bytes| bytes[4] = 9, "is of version 9"),
    (
        |bytes| bytes[100] ^= 1,
        "is damaged: its checksum does not fit",
    ),
];

#[test]
fn damaged_list_is_reported_in_one_line_and_the_rest_of_the_state_is_taken_over() {
    in_parallel(DAMAGES, |(damage, reason)| {
        let mut node = UpgradedNode::new();
        node.start_watching_process();
        std::thread::sleep(SNAPSHOT_TIME);
        node.discovery.set_mode(ServiceMode::Down);
        node.kill_process(0);
        let path = list_file(&node);
        let mut bytes = std::fs::read(&path).unwrap();
        damage(&mut bytes);
        std::fs::write(&path, bytes).unwrap();
        let new = node.start_process(ProcessOptions::default());
        node.wait_until_ready(new);
        let log = node.processes[new].node.shut_down_and_read_stderr();
        let line = format!("handover: endpoint list not taken up: {reason}\n");
        assert!(log.contains(&line), "{log}");
        assert_eq!(
            log.matches("endpoint list not taken up").count(),
            1,
            "{log}"
        );
        assert!(log.contains("handover: 4 servers, "), "{log}");
    });
}

#[test]
fn process_without_a_usable_folder_serves_and_keeps_its_list() {
    let mut node = UpgradedNode::new();
    let folder = node.folder.path().to_path_buf();
    // Files with the name of a folder cannot hold files.
    std::fs::remove_dir(&folder).unwrap();
    std::fs::write(&folder, "").unwrap();
    node.start_first_process();
    node.tell(0, "terminating");
    observe(&node, "no folder");
    let log = node.processes[0].node.shut_down_and_read_stderr();
    std::fs::remove_file(&folder).unwrap();
    assert!(log.contains("handover: not kept: "), "{log}");
}
