//! A fleet of node processes on loopback, with faults between them: killed, stopped where they stand, restarted, cut off from
//! cache boxes, while the origin behind those jams. Verdicts are the judge's (no rule broken, nobody ended unasked) and counts:
//! the fault bit, and what was asked after its end was served.

use std::path::PathBuf;
use std::time::Duration;

use sloewick_testbed::demo::{Demo, Nodes};
use sloewick_testbed::report::{Report, Span};
use sloewick_testbed::faults::scenario;
use sloewick_testbed::site::Speech;

/// Plays a schedule with real processes; no rule is broken.
fn played(text: &str) -> Report {
    let scenario = scenario::parse(text).unwrap();
    let program = Nodes::Processes(PathBuf::from(env!("CARGO_BIN_EXE_sloewick")));
    let mut demo = Demo::start(&scenario, 1, Speech::default(), program).unwrap();
    let said = demo.go_on(Duration::from_secs_f64(scenario.seconds + 2.5));
    assert_eq!(
        said.len(),
        scenario.faults.len(),
        "each fault begins, and nothing fails to start: {said:?}"
    );
    let (checker, report) = demo.end();
    let broken: Vec<String> = checker.violations.iter().map(|b| b.to_string()).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    for second in 0..scenario.seconds as i64 {
        println!(
            "{second:3}  {}",
            report.line(&mut report.between(second, second + 1), 1.0)
        );
    }
    report
}

/// Of the requests first asked in these seconds, the part that was answered in time.
fn in_time(span: &Span) -> f64 {
    span.in_time.iter().sum::<u64>() as f64 / span.asked.iter().sum::<u64>().max(1) as f64
}

const FLEET: &str = "name = \"fleet\"\nnodes = 4\nboxes = 10\nrate = 160\n";
/// Six in ten kept copies are void, and the origin is seven times slower, for four seconds.
const JAM: &str = "\n[[fault]]\nkind = \"void\"\nat = 3\npart = 0.6\n\
                   \n[[fault]]\nkind = \"slow-origin\"\nat = 3\ntimes = 7\nfor = 4\n";

fn fault(kind: &str, at: f64, fields: &str) -> String {
    format!("\n[[fault]]\nkind = \"{kind}\"\nat = {at}\n{fields}\n")
}

/// A jam with another fault in it: it bites, and ends.
fn jam_with(seconds: u32, faults: &[String]) -> Report {
    jam_at(FLEET, seconds, faults)
}

fn jam_at(fleet: &str, seconds: u32, faults: &[String]) -> Report {
    let report = played(&format!(
        "{fleet}seconds = {seconds}\n{JAM}{}",
        faults.concat()
    ));
    let (before, jam) = (report.between(1, 3), report.between(4, 7));
    let after = report.between(i64::from(seconds) - 4, i64::from(seconds) - 1);
    assert!(in_time(&jam) < in_time(&before), "the jam does not bite");
    assert!(
        in_time(&after) > 0.5 * in_time(&before),
        "{:.2} of {:.2}",
        in_time(&after),
        in_time(&before)
    );
    report
}

#[test]
fn without_a_fault_nearly_all_is_served() {
    let report = played(&format!("{FLEET}seconds = 6\n"));
    assert!(in_time(&report.between(2, 5)) > 0.8);
}

#[test]
fn a_jam_ends_though_half_of_the_nodes_are_killed_in_it() {
    jam_with(
        16,
        &[fault("kill-nodes", 4.0, "part = 0.5\nback = 2\nnotice = 1")],
    );
}

#[test]
fn a_jam_ends_though_half_of_the_nodes_stand_still_for_three_seconds_and_wake_in_it() {
    let report = jam_with(18, &[fault("pause-nodes", 3.5, "part = 0.5\nfor = 3")]);
    // Whoever was sent to a node that stood still had no answer.
    let answered = |s: &Span| s.served + s.busy + s.failed;
    let (still, before) = (report.between(4, 6), report.between(1, 3));
    assert!(
        answered(&still) * 3 < answered(&before) * 2,
        "nodes did not stand still"
    );
}

#[test]
fn a_jam_ends_though_boxes_are_cut_off_one_way_and_replaced_and_nodes_restart() {
    jam_with(
        18,
        &[
            fault("partition", 3.5, "count = 2\nfor = 3\nway = \"from-boxes\""),
            fault("deploy", 4.0, "part = 0.3\nover = 3\ngrace = 3"),
            fault("restart-nodes", 5.0, "part = 0.5\nover = 2"),
        ],
    );
}

#[test]
fn a_jam_ends_though_boxes_vanish_and_others_fail_in_it() {
    jam_with(
        18,
        &[
            fault("vanish-boxes", 4.0, "count = 3\nback = 3"),
            fault("slow-boxes", 4.0, "count = 1\ntimes = 6\nfor = 6"),
            fault("errors", 4.0, "part = 0.1\nfor = 3"),
        ],
    );
}

#[test]
fn a_jam_ends_though_a_zone_is_lost_in_it_and_back_cold() {
    jam_with(20, &[fault("lose-zone", 4.0, "back = 4")]);
}

#[test]
fn a_jam_ends_though_a_hot_key_begins_while_cuts_blend_and_one_box_fails() {
    jam_with(
        18,
        &[
            fault("hot-keys", 2.0, "keys = 1\npart = 0.24\nfor = 10"),
            fault("bad-boxes", 3.5, "count = 1\npart = 0.9\nfor = 10"),
        ],
    );
}

#[test]
fn one_node_before_one_box_comes_out_of_a_jam() {
    jam_at("name = \"one\"\nnodes = 1\nboxes = 1\nrate = 25\n", 18, &[]);
}
