//! Checkpoints that one process of a node hands over to the next, on virtual time.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod support;

use serde_json::json;
use sloewick_decision::api::*;
use sloewick_decision::Checkpoint;
use support::Fleet;

const SERVERS: usize = 12;

/// A successful response after 5 to 25 ms; `n` determines the latency.
fn healthy(n: u64) -> (Status, Micros) {
    (
        Status::Ok,
        5_000 + (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as i64 % 20_000,
    )
}

/// All servers, started long ago.
fn all_servers() -> Vec<(usize, Option<Micros>)> {
    (0..SERVERS).map(|i| (i, None)).collect()
}

/// A node that has served skewed keys for 60 s, with its count of moved requests set back to 0.
fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(SERVERS, seed);
    fleet.skewed_keys = true;
    fleet.run(60, |_, n| healthy(n));
    fleet.moved_requests = 0;
    fleet
}

/// Starts the next process with this checkpoint, if any, and this endpoint list. Returns how many requests of
/// the next five seconds move to another server.
fn moved_in_next_process(
    mut fleet: Fleet,
    checkpoint: Option<(Micros, Checkpoint)>,
    list: &[(usize, Option<Micros>)],
) -> u32 {
    fleet.start_next_process(checkpoint);
    fleet.deliver_full_list(list);
    fleet.run(5, |_, n| healthy(n));
    fleet.moved_requests
}

#[test]
fn keys_stay_at_their_servers_when_the_next_process_restores_a_checkpoint() {
    for seed in [7, 8, 9] {
        let mut uninterrupted = settled_fleet(seed);
        uninterrupted.run(5, |_, n| healthy(n));
        let (uninterrupted, old) = (uninterrupted.moved_requests, settled_fleet(seed));
        let checkpoint = Some((500_000, old.checkpoint()));
        let (with, without) = (
            moved_in_next_process(old, checkpoint, &all_servers()),
            moved_in_next_process(settled_fleet(seed), None, &all_servers()),
        );
        println!(
            "seed {seed}: of 1250 requests {uninterrupted} moved without a restart, \
             {with} after one with a checkpoint, {without} after one without"
        );
        assert!(
            with <= uninterrupted + 20,
            "seed {seed}: {with} moved with a checkpoint, {uninterrupted} without a restart"
        );
        assert!(
            without >= uninterrupted + 40,
            "seed {seed}: {without} moved without a checkpoint, {uninterrupted} without a restart: the test \
             can't show a benefit of checkpoints"
        );
    }
}

#[test]
fn evidence_against_a_server_is_restored_unless_it_has_restarted_since() {
    let first_server_fails = |server: usize, n| {
        if server == 0 {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    for (started, restored) in [(None, true), (Some(1), false)] {
        let mut fleet = settled_fleet(7);
        fleet.run(5, first_server_fails);
        assert_eq!(fleet.outliers(), [0]);
        assert!(fleet.checkpoint().outlier_probability("srv0") > 0.3);
        let checkpoint = Some((1_000_000, fleet.checkpoint()));
        fleet.start_next_process(checkpoint);
        let mut list = all_servers();
        list[0].1 = started;
        fleet.deliver_full_list(&list);
        assert_eq!(
            fleet.checkpoint().outlier_probability("srv0") > 0.3,
            restored,
            "started: {started:?}"
        );
    }
}

#[test]
fn unlisted_servers_get_no_attempts_and_new_servers_get_their_share_after_a_restore() {
    let mut fleet = settled_fleet(7);
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.start_next_process(checkpoint);
    let without_two: Vec<_> = all_servers()
        .into_iter()
        .filter(|(i, _)| ![3, 11].contains(i))
        .collect();
    fleet.deliver_full_list(&without_two);
    fleet.take_first_attempts();
    fleet.run(5, |_, n| healthy(n));
    let first = fleet.take_first_attempts();
    assert_eq!((first[3], first[11]), (0, 0));
    assert!(
        (0..SERVERS).all(|i| [3, 11].contains(&i) || first[i] > 20),
        "{first:?}"
    );
    // The reverse case: a checkpoint of ten servers and a list of twelve.
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.start_next_process(checkpoint);
    fleet.deliver_full_list(&all_servers());
    fleet.run(5, |_, n| healthy(n));
    let first = fleet.take_first_attempts();
    assert!(first.iter().all(|n| *n > 20), "{first:?}");
}

#[test]
fn no_attempt_is_sent_before_an_endpoint_list_names_a_server() {
    let mut fleet = settled_fleet(7);
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.start_next_process(checkpoint);
    fleet.take_first_attempts();
    fleet.run(1, |_, n| healthy(n));
    assert_eq!(fleet.take_first_attempts(), [0; SERVERS]);
    // An empty list names no server: the checkpoint is kept for a list that names one.
    fleet.deliver_full_list(&[]);
    fleet.run(1, |_, n| healthy(n));
    assert_eq!(fleet.take_first_attempts(), [0; SERVERS]);
    fleet.deliver_full_list(&all_servers());
    fleet.moved_requests = 0;
    fleet.run(5, |_, n| healthy(n));
    assert!(fleet.moved_requests < 90, "{} moved", fleet.moved_requests);
}

#[test]
fn nodes_in_the_same_state_and_a_restored_node_give_the_same_checkpoint() {
    let (a, b) = (settled_fleet(7), settled_fleet(7));
    assert_eq!(a.checkpoint(), b.checkpoint());
    let checkpoint = a.checkpoint();
    let mut next = settled_fleet(8);
    next.start_next_process(Some((0, checkpoint.clone())));
    next.deliver_full_list(&all_servers());
    assert_eq!(next.checkpoint(), checkpoint);
    assert_eq!(checkpoint.size(), (SERVERS, 1152));
}

#[test]
fn checkpoint_with_one_invalid_value_is_rejected() {
    let valid = settled_fleet(7).checkpoint();
    assert!(valid.clone().validated().is_some());
    let json = serde_json::to_value(&valid).unwrap();
    for (path, value) in [
        ("/servers/0/upper_bound", json!(0.999)),
        ("/servers/0/upper_bound", json!(-0.1)),
        ("/servers/0/server", json!("")),
        ("/servers/0/server", json!("s".repeat(1025))),
        ("/servers/0/timely_fraction", json!(1.5)),
        ("/servers/0/failing_fraction", json!(-1.0)),
        ("/servers/0/outlier_probability", json!(2.0)),
        ("/servers/0/failure_log_odds", json!(-1.0)),
        ("/servers/0/ejected_for", json!(-1)),
        ("/servers/0/ejection_time", json!(3_600_000_001i64)),
        ("/servers/0/started_ago", json!(i64::MIN)),
        ("/servers/0/kind", json!([0.0, -1.0])),
        ("/servers/0/kind", json!([1e300, 1.0])),
        ("/servers/0/started_ago", json!(i64::MAX)),
        ("/arrivals", json!(u64::MAX)),
        ("/keys/0/rotation", json!(u64::MAX)),
        ("/latencies/samples/0", json!(-1.0)),
        ("/latencies/high_quantile/0", json!(-1.0)),
        ("/latencies/mean_log/0", json!(1e300)),
        ("/servers/0/zone_minimum", json!(-1.0)),
        ("/window", json!(vec![0.5; 4097])),
        ("/window/0", json!(1.1)),
        ("/keys/0/arrivals_ago", json!(1u64 << 40)),
        ("/updates", json!(-1.0)),
        ("/keys/0/counts", json!([-1.0, 0.0])),
        ("/late", json!(1.1)),
        ("/admitted_fraction", json!(-0.1)),
        ("/retry_tokens", json!(-1.0)),
    ] {
        let mut damaged = json.clone();
        *damaged
            .pointer_mut(path)
            .unwrap_or_else(|| panic!("the checkpoint has no field {path}")) = value.clone();
        let damaged: Checkpoint = serde_json::from_value(damaged).unwrap();
        assert!(
            damaged.validated().is_none(),
            "checkpoint with {path} = {value} was accepted"
        );
    }
}
