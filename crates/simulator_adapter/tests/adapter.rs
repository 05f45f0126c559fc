//! The adapter's replies to short sequences of events and to invalid input, and its instances in one or in separate
//! processes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this standard input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sloewick-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter exits before it has read all input; the tests check its exit status and output.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn create_event(node: u32) -> String {
    format!(
        r#"{{"t":"CREATE","node":{node},"random_seed":{node},"options":{{"classes":[{{"name":"get","aim":100.0,"deadline":300.0,"repeat":"free","worth":1.0}}],"discovery":"push","replicas_of_me":2,"policy_limits":{{"try_limit":3,"second_copies":true}},"rules":{{"stop_sending_within":500.0,"cold_from":0.2,"cold":9000.0,"fall_multiple":3.0,"fall":1000.0,"grace_to_answer":8.0}},"novelty":1}}}}"#
    )
}

const REGISTER_EVENT: &str = r#"{"t":"REGISTER","roster_id":3,"elements":[{"server":"a","mode":"live"},{"server":"b","mode":"live"},{"server":"c","mode":"live"}]}"#;

fn membership_event(node: u32) -> String {
    format!(r#"{{"t":"MEMBERSHIP","node":{node},"stamp":1,"roster_id":3,"mode":"Persisted"}}"#)
}

fn request_event(node: u32, n: u32) -> String {
    format!(
        r#"{{"t":"REQUEST","node":{node},"req":"q{n}","tier_class":"get","key":"k{}","time_budget":300.0,"mutates":false}}"#,
        n % 9
    )
}

/// A batch of events at the time `ts`, in milliseconds, as a line of input.
fn batch(ts: u32, items: &[String]) -> String {
    format!("{{\"ts\":{ts}.0,\"items\":[{}]}}\n", items.join(","))
}

/// Parses the actions in a line of output.
fn parse_actions(line: &str) -> Vec<serde_json::Value> {
    let value: serde_json::Value = serde_json::from_str(line).unwrap();
    value["do"].as_array().unwrap().clone()
}

#[test]
fn request_is_sent_and_then_rejected_before_its_deadline() {
    let first = batch(
        0,
        &[create_event(1), REGISTER_EVENT.into(), membership_event(1)],
    );
    let wake = batch(299, &[r#"{"t":"WAKE","node":1,"ref":0}"#.into()]);
    let out = run_adapter(&(batch(0, &[]) + &first + &batch(1, &[request_event(1, 0)]) + &wake));
    assert!(out.status.success(), "{out:?}");
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], r#"{"do":[]}"#);
    let sent = parse_actions(lines[2]);
    assert!(sent
        .iter()
        .any(|a| a["t"] == "ISSUE" && a["req"] == "q0" && a["node"] == 1));
    assert!(parse_actions(lines[3])
        .iter()
        .any(|a| a["t"] == "BOUNCE" && a["req"] == "q0"));
}

#[test]
fn instance_killed_and_created_again_in_one_batch_ignores_outcomes_of_old_requests() {
    let first = batch(
        0,
        &[
            create_event(1),
            REGISTER_EVENT.into(),
            membership_event(1),
            request_event(1, 0),
        ],
    );
    let again = batch(
        5,
        &[
            r#"{"t":"KILL","node":1}"#.into(),
            create_event(1),
            REGISTER_EVENT.into(),
            membership_event(1),
        ],
    );
    let old = r#"{"t":"OUTCOME","node":1,"req":"q0","spent":1.0,"server":"a","reason":5,"seq_no":0,"last":false}"#;
    let out = run_adapter(&(first + &again + &batch(6, &[old.into()])));
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    // The new instance does not have the old request: its late outcome causes no further attempt and no response.
    assert!(parse_actions(text.lines().last().unwrap())
        .iter()
        .all(|a| a["t"] == "RECORD"));
}

#[test]
fn instances_return_the_same_actions_in_one_process_and_in_separate_processes() {
    let run_instances = |nodes: &[u32]| {
        let mut items: Vec<String> = vec![];
        for n in nodes {
            items.extend([
                create_event(*n),
                REGISTER_EVENT.into(),
                membership_event(*n),
            ]);
        }
        let mut input = batch(0, &items);
        for i in 0..200 {
            let items: Vec<String> = nodes
                .iter()
                .map(|n| request_event(*n, i * 10 + n))
                .collect();
            input += &batch(1 + i, &items);
        }
        let text = String::from_utf8(run_adapter(&input).stdout).unwrap();
        text.lines().flat_map(parse_actions).collect::<Vec<_>>()
    };
    let both = run_instances(&[1, 2]);
    for node in [1, 2] {
        let alone = run_instances(&[node]);
        let its_actions: Vec<_> = both.iter().filter(|a| a["node"] == node).cloned().collect();
        assert_eq!(alone, its_actions);
    }
}

#[test]
fn invalid_input_ends_the_program_with_one_line_that_names_the_field() {
    let start = batch(
        0,
        &[create_event(1), REGISTER_EVENT.into(), membership_event(1)],
    );
    let cases = [
        ("nonsense\n".to_string(), "line"),
        ("{\"items\":[]}\n".to_string(), "ts"),
        ("{\"ts\":1.0}\n".to_string(), "items"),
        (batch(1, &[request_event(7, 0)]), "node"),
        (
            batch(1, &[request_event(1, 0).replace("300.0", "\"x\"")]),
            "time_budget",
        ),
        (
            batch(1, &[membership_event(1).replace(":3,", ":4,")]),
            "roster_id",
        ),
        (
            batch(1, &[create_event(2).replace("\"cold\":9000.0,", "")]),
            "cold",
        ),
        (
            batch(
                1,
                &[create_event(2).replace("\"replicas_of_me\":2", "\"replicas_of_me\":0")],
            ),
            "nodes",
        ),
    ];
    for (line, field) in cases {
        let out = run_adapter(&(start.clone() + &line));
        let message = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{line}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(
            message.contains("input line 2") && message.contains(field),
            "{message}"
        );
        assert_eq!(String::from_utf8(out.stdout).unwrap().lines().count(), 1);
    }
}

#[test]
fn unknown_events_are_skipped_and_reported_once() {
    let unknown = r#"{"t":"NOVELTY","node":9}"#.to_string();
    let out = run_adapter(&(batch(0, &[unknown.clone(), unknown.clone()]) + &batch(1, &[unknown])));
    assert!(out.status.success());
    assert_eq!(String::from_utf8(out.stderr).unwrap().lines().count(), 1);
    assert_eq!(
        String::from_utf8(out.stdout).unwrap(),
        "{\"do\":[]}\n{\"do\":[]}\n"
    );
}
