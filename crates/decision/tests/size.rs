//! Bounds that keep the policy readable: total number of lines, width of lines, and length of each source
//! file. The policy is the list of files under `policy` in `deploy/balancer.toml`.

use std::path::{Path, PathBuf};

/// Bounds of the number of non-blank lines, comments included, of all files of the policy together.
const POLICY_LINES: std::ops::RangeInclusive<usize> = 300..=1200;
/// Maximum number of characters of a line of the policy.
const MAX_WIDTH: usize = 110;
/// Maximum number of lines of one source file of the package, blank lines included.
const MAX_FILE_LINES: usize = 500;

/// The root directory of the workspace.
fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Paths and contents of the files that `deploy/balancer.toml` names under `policy`.
fn policy_files() -> Vec<(String, String)> {
    let deployment = std::fs::read_to_string(workspace_root().join("deploy/balancer.toml"))
        .expect("the file can be read");
    let (_, list) = deployment
        .split_once("\npolicy = [")
        .expect("deploy/balancer.toml has the key policy");
    let (list, _) = list
        .split_once(']')
        .expect("the list of policy files has an end");
    list.split(',')
        .map(|name| name.trim().trim_matches('"').to_string())
        .filter(|name| !name.is_empty())
        .map(|name| {
            let text = std::fs::read_to_string(workspace_root().join(&name));
            (name.clone(), text.unwrap_or_else(|e| panic!("{name}: {e}")))
        })
        .collect()
}

#[test]
fn policy_stays_within_its_bounds_on_lines() {
    let is_not_blank = |line: &&str| !line.trim().is_empty();
    let lines: usize = policy_files()
        .iter()
        .map(|(_, text)| text.lines().filter(is_not_blank).count())
        .sum();
    assert!(
        POLICY_LINES.contains(&lines),
        "{lines} non-blank lines in the policy, allowed are {POLICY_LINES:?}"
    );
}

#[test]
fn policy_lines_stay_within_the_maximum_width() {
    for (name, text) in policy_files() {
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_WIDTH,
                "{name}:{}: {width} characters, at most {MAX_WIDTH} are allowed",
                index + 1
            );
        }
    }
}

#[test]
fn policy_names_all_modules_that_select_retry_or_reject() {
    let paths: Vec<String> = policy_files().into_iter().map(|(name, _)| name).collect();
    for module in [
        "balancer",
        "partition",
        "hot_keys",
        "selection",
        "retry",
        "admission",
        "in_flight",
    ] {
        let path = format!("crates/decision/src/{module}.rs");
        assert!(
            paths.contains(&path),
            "deploy/balancer.toml does not name {path} under policy"
        );
    }
}

#[test]
fn each_source_file_stays_within_the_maximum_length() {
    let sources = std::fs::read_dir(workspace_root().join("crates/decision/src"))
        .expect("the source directory can be read");
    for source in sources.map(|entry| entry.expect("the directory entry can be read").path()) {
        let text = std::fs::read_to_string(&source).expect("the file can be read");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} lines, at most {MAX_FILE_LINES} are allowed",
            source.display()
        );
    }
}
