//! A short soak of planned restarts without violations, although system calls of the nodes fail temporarily or transfer
//! fewer bytes than requested.

mod support;

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

use support::preload_library;

/// For each kind of call on sockets, one errno that Linux documents for it, or 0 for a short transfer.
const FAILURES: &str =
    "accept4=23,connect=99,socket=24,epoll_ctl=12,epoll_wait=4,recv=0,send=4,writev=0,";
/// Percentage of these calls that fail.
const FAILING_PERCENT: u32 = 3;
const SEEDS: &str = "4..6";
const MIN_REQUESTS: u64 = 5_000;

/// Writes an executable script that runs the `sloewick` program with failing calls.
fn write_node_script(path: &Path) {
    let library = preload_library("failing_calls");
    let script = format!(
        "#!/bin/sh\nexec env LD_PRELOAD={} FAILING_CALLS={FAILURES} FAILING_PERCENT={FAILING_PERCENT} {} \"$@\"\n",
        library.display(),
        env!("CARGO_BIN_EXE_sloewick")
    );
    std::fs::write(path, script).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}

#[test]
fn planned_restarts_cause_no_violation_although_calls_fail() {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("node.sh");
    write_node_script(&program);
    let output = Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .args(["soak", "--json", "--seeds", SEEDS, "--program"])
        .arg(&program)
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    println!("{stdout}");
    let stderr = String::from_utf8_lossy(&output.stderr);
    let summary = stdout.lines().last().unwrap();
    let summary: serde_json::Value = serde_json::from_str(summary).unwrap();
    assert_eq!(summary["violations"], 0, "{stderr}");
    assert!(output.status.success(), "{stderr}");
    assert!(summary["requests"].as_u64().unwrap() > MIN_REQUESTS);
}
