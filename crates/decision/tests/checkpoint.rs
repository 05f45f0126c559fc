//! A checkpoint that one process of a node leaves to the next, on virtual time.

#[allow(dead_code, reason = "each test file uses its part")]
mod support;

use serde_json::json;
use sloewick_decision::api::*;
use sloewick_decision::Checkpoint;
use support::Fleet;

const SERVERS: usize = 12;

fn healthy(n: u64) -> (Status, Micros) {
    (
        Status::Ok,
        5_000 + (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as i64 % 20_000,
    )
}

fn all() -> Vec<(usize, Option<Micros>)> {
    (0..SERVERS).map(|i| (i, None)).collect()
}

/// A node that has served skewed keys for a while, and whose counts of moved keys begin now.
fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(SERVERS, seed);
    fleet.skewed = true;
    fleet.run(60, |_, n| healthy(n));
    fleet.moved = 0;
    fleet
}

/// Requests of the next five seconds whose first attempt goes to another server than before.
fn moved(
    mut fleet: Fleet,
    checkpoint: Option<(Micros, Checkpoint)>,
    list: &[(usize, Option<Micros>)],
) -> u32 {
    fleet.next_process(checkpoint);
    fleet.list(list);
    fleet.run(5, |_, n| healthy(n));
    fleet.moved
}

#[test]
fn keys_stay_where_they_are_when_the_next_process_restores_a_checkpoint() {
    for seed in [7, 8, 9] {
        let mut calm = settled(seed);
        calm.run(5, |_, n| healthy(n));
        let (calm, old) = (calm.moved, settled(seed));
        let checkpoint = Some((500_000, old.checkpoint()));
        let (with, without) = (
            moved(old, checkpoint, &all()),
            moved(settled(seed), None, &all()),
        );
        println!(
            "seed {seed}: of 1250 requests {calm} moved in calm, {with} with a checkpoint, {without} without"
        );
        assert!(
            with <= calm + 20,
            "seed {seed}: {with} moved, {calm} in calm"
        );
        assert!(
            without >= calm + 40,
            "seed {seed}: {without} moved without a checkpoint: what would be gained?"
        );
    }
}

#[test]
fn evidence_against_a_server_is_restored_unless_it_has_restarted_since() {
    let fail = |server: usize, n| {
        if server == 0 {
            (Status::Error, 5_000)
        } else {
            healthy(n)
        }
    };
    for (started, held) in [(None, true), (Some(1), false)] {
        let mut fleet = settled(7);
        fleet.run(5, fail);
        assert_eq!(fleet.outliers(), [0]);
        assert!(fleet.checkpoint().outlier_probability("srv0") > 0.3);
        let checkpoint = Some((1_000_000, fleet.checkpoint()));
        fleet.next_process(checkpoint);
        let mut list = all();
        list[0].1 = started;
        fleet.list(&list);
        assert_eq!(
            fleet.checkpoint().outlier_probability("srv0") > 0.3,
            held,
            "started: {started:?}"
        );
    }
}

#[test]
fn unlisted_servers_get_nothing_and_new_ones_their_share_after_a_restore() {
    let mut fleet = settled(7);
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.next_process(checkpoint);
    let some: Vec<_> = all()
        .into_iter()
        .filter(|(i, _)| ![3, 11].contains(i))
        .collect();
    fleet.list(&some);
    fleet.first_attempts();
    fleet.run(5, |_, n| healthy(n));
    let first = fleet.first_attempts();
    assert_eq!((first[3], first[11]), (0, 0));
    assert!(
        (0..SERVERS).all(|i| [3, 11].contains(&i) || first[i] > 20),
        "{first:?}"
    );
    // And the other way round: a checkpoint of ten servers, a list of twelve.
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.next_process(checkpoint);
    fleet.list(&all());
    fleet.run(5, |_, n| healthy(n));
    let first = fleet.first_attempts();
    assert!(first.iter().all(|n| *n > 20), "{first:?}");
}

#[test]
fn nothing_is_sent_before_an_endpoint_list_names_a_server() {
    let mut fleet = settled(7);
    let checkpoint = Some((500_000, fleet.checkpoint()));
    fleet.next_process(checkpoint);
    fleet.first_attempts();
    fleet.run(1, |_, n| healthy(n));
    assert_eq!(fleet.first_attempts(), [0; SERVERS]);
    // An empty list names no server; the checkpoint waits for one that does.
    fleet.list(&[]);
    fleet.run(1, |_, n| healthy(n));
    assert_eq!(fleet.first_attempts(), [0; SERVERS]);
    fleet.list(&all());
    fleet.moved = 0;
    fleet.run(5, |_, n| healthy(n));
    assert!(fleet.moved < 90, "{} moved", fleet.moved);
}

#[test]
fn same_state_gives_the_same_checkpoint_and_a_restored_node_too() {
    let (a, b) = (settled(7), settled(7));
    assert_eq!(a.checkpoint(), b.checkpoint());
    let checkpoint = a.checkpoint();
    let mut next = settled(8);
    next.next_process(Some((0, checkpoint.clone())));
    next.list(&all());
    assert_eq!(next.checkpoint(), checkpoint);
    assert_eq!(checkpoint.size(), (SERVERS, 1152));
}

#[test]
fn checkpoint_that_no_node_can_have_taken_is_rejected_whole() {
    let healthy = settled(7).checkpoint();
    assert!(healthy.clone().validated().is_some());
    let text = serde_json::to_value(&healthy).unwrap();
    for (at, value) in [
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
        let mut damaged = text.clone();
        *damaged.pointer_mut(at).unwrap_or_else(|| panic!("{at}")) = value.clone();
        let damaged: Checkpoint = serde_json::from_value(damaged).unwrap();
        assert!(damaged.validated().is_none(), "{at} {value}");
    }
}
