//! A short soak of planned restarts: real processes, fixed seeds, no violations. The long soak is
//! `sloewick soak --seeds 1..50`.

use std::process::Command;

/// Takes one minute on a machine with two cores or more, since most of the time is spent waiting.
const SEEDS: &str = "1..8";
const PARALLEL_SEEDS: &str = "4";
/// The requests of each seed must be more than this.
const MIN_REQUESTS_PER_SEED: u64 = 500;

#[test]
fn planned_restarts_under_load_cause_no_violation() {
    let output = Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .args(["soak", "--seeds", SEEDS, "--jobs", PARALLEL_SEEDS, "--json"])
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    println!("{stdout}");
    assert!(output.status.success(), "{stdout}\n{stderr}");
    let lines: Vec<serde_json::Value> = stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let (summary, seeds) = lines.split_last().unwrap();
    assert_eq!(summary["violations"], 0, "{stderr}");
    for seed in seeds {
        assert!(
            seed["requests"].as_u64().unwrap() > MIN_REQUESTS_PER_SEED,
            "{seed}"
        );
        assert!(seed["served"].as_u64().unwrap() > 0, "{seed}");
        // Counts the processes that ended after SIGTERM: those that were restarted, and those of all nodes at the end.
        let nodes = seed["nodes"].as_u64().unwrap();
        assert!(seed["restarts"].as_u64().unwrap() > nodes, "{seed}");
    }
}

/// Runs `sloewick soak` with an invalid argument, asserts exit code 2, and returns the standard error output.
fn rejection_reason(argument: &str, value: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .args(["soak", argument, value])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn nonexistent_program_is_rejected() {
    let reason = rejection_reason("--program", "/no/such/program");
    assert!(reason.contains("--program /no/such/program"), "{reason}");
}

#[test]
fn unknown_value_of_only_is_rejected_with_the_allowed_values() {
    let reason = rejection_reason("--only", "everything");
    assert!(
        reason.contains("servers, signals, descriptors, discovery, holds"),
        "{reason}"
    );
}
