//! A fleet of node processes on loopback, with faults during an overload of the origin: nodes killed, paused, restarted, cut
//! off from cache servers. The checker decides (no rule broken, no process ended by itself), and counts show that the fault
//! had an effect and that requests after its end were served.

use std::path::PathBuf;
use std::time::Duration;

use sloewick_testbed::demo::{Demo, Nodes};
use sloewick_testbed::faults::scenario;
use sloewick_testbed::report::{Report, Span};
use sloewick_testbed::site::Speech;

/// Plays a schedule with real processes; no rule is broken.
fn played(text: &str) -> Report {
    let scenario = scenario::parse(text).unwrap();
    let program = Nodes::Processes(PathBuf::from(env!("CARGO_BIN_EXE_sloewick")));
    let mut demo = Demo::start(&scenario, 1, Speech::default(), program).unwrap();
    let announcements = demo.go_on(Duration::from_secs_f64(scenario.seconds + 2.5));
    assert_eq!(
        announcements.len(),
        scenario.faults.len(),
        "each fault begins, and nothing fails to start: {announcements:?}"
    );
    let (checker, report) = demo.end();
    let broken: Vec<String> = checker.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    for second in 0..scenario.seconds as i64 {
        println!(
            "{second:3}  {}",
            report.line(&mut report.between(second, second + 1), 1.0)
        );
    }
    report
}

/// The fraction of the requests first sent in these seconds that was served in time.
fn in_time(span: &Span) -> f64 {
    span.in_time.iter().sum::<u64>() as f64 / span.asked.iter().sum::<u64>().max(1) as f64
}

const FLEET: &str = "name = \"fleet\"\nnodes = 4\nboxes = 10\nrate = 160\n";
/// Six in ten cached copies are void, and the origin is seven times slower, for four seconds.
const OVERLOAD: &str = "\n[[fault]]\nkind = \"void\"\nat = 3\npart = 0.6\n\
                   \n[[fault]]\nkind = \"slow-origin\"\nat = 3\ntimes = 7\nfor = 4\n";

fn fault(kind: &str, at: f64, fields: &str) -> String {
    format!("\n[[fault]]\nkind = \"{kind}\"\nat = {at}\n{fields}\n")
}

/// An overload of the origin with other faults during it: it has an effect, and ends.
fn overload_with(seconds: u32, faults: &[String]) -> Report {
    overload_in(FLEET, seconds, faults)
}

fn overload_in(fleet: &str, seconds: u32, faults: &[String]) -> Report {
    let report = played(&format!(
        "{fleet}seconds = {seconds}\n{OVERLOAD}{}",
        faults.concat()
    ));
    let (before, overload) = (report.between(1, 3), report.between(4, 7));
    let after = report.between(i64::from(seconds) - 4, i64::from(seconds) - 1);
    assert!(
        in_time(&overload) < in_time(&before),
        "the overload has no effect"
    );
    assert!(
        in_time(&after) > 0.5 * in_time(&before),
        "{:.2} of {:.2}",
        in_time(&after),
        in_time(&before)
    );
    report
}

#[test]
fn nearly_all_requests_are_served_without_a_fault() {
    let report = played(&format!("{FLEET}seconds = 6\n"));
    assert!(in_time(&report.between(2, 5)) > 0.8);
}

#[test]
fn overload_ends_although_half_of_the_nodes_are_killed_during_it() {
    overload_with(
        16,
        &[fault("kill-nodes", 4.0, "part = 0.5\nback = 2\nnotice = 1")],
    );
}

#[test]
fn overload_ends_although_half_of_the_nodes_are_paused_for_three_seconds_during_it() {
    let report = overload_with(18, &[fault("pause-nodes", 3.5, "part = 0.5\nfor = 3")]);
    // Requests to a paused node had no response.
    let answered = |s: &Span| s.served + s.busy + s.failed;
    let (still, before) = (report.between(4, 6), report.between(1, 3));
    assert!(
        answered(&still) * 3 < answered(&before) * 2,
        "nodes did not stand still"
    );
}

#[test]
fn overload_ends_although_servers_are_partitioned_one_way_and_replaced_and_nodes_restart() {
    overload_with(
        18,
        &[
            fault("partition", 3.5, "count = 2\nfor = 3\nway = \"from-boxes\""),
            fault("deploy", 4.0, "part = 0.3\nover = 3\ngrace = 3"),
            fault("restart-nodes", 5.0, "part = 0.5\nover = 2"),
        ],
    );
}

#[test]
fn overload_ends_although_servers_vanish_and_others_fail_during_it() {
    overload_with(
        18,
        &[
            fault("vanish-boxes", 4.0, "count = 3\nback = 3"),
            fault("slow-boxes", 4.0, "count = 1\ntimes = 6\nfor = 6"),
            fault("errors", 4.0, "part = 0.1\nfor = 3"),
        ],
    );
}

#[test]
fn overload_ends_although_a_zone_is_lost_and_returns_cold_during_it() {
    overload_with(20, &[fault("lose-zone", 4.0, "back = 4")]);
}

#[test]
fn overload_ends_although_a_hot_key_begins_during_a_range_migration_and_a_server_fails() {
    overload_with(
        18,
        &[
            fault("hot-keys", 2.0, "keys = 1\npart = 0.24\nfor = 10"),
            fault("bad-boxes", 3.5, "count = 1\npart = 0.9\nfor = 10"),
        ],
    );
}

#[test]
fn one_node_before_one_server_recovers_from_an_overload() {
    overload_in("name = \"one\"\nnodes = 1\nboxes = 1\nrate = 25\n", 18, &[]);
}
