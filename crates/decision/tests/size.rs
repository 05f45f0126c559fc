//! The files of the policy stay readable: their size together, their width, and each one by itself.

use std::path::{Path, PathBuf};

/// Bounds of the lines that are not blank, comments included, over all files of the policy together.
const POLICY_LINES: std::ops::RangeInclusive<usize> = 300..=1200;
/// Most characters of a line.
const MAX_WIDTH: usize = 110;
/// Most lines of one file of the package, blank ones included.
const MAX_FILE_LINES: usize = 500;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files that `policy` names in `deploy/balancer.toml`, with their texts.
fn policy() -> Vec<(String, String)> {
    let deployment = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("read");
    let (_, list) = deployment
        .split_once("\npolicy = [")
        .expect("the key policy");
    let (list, _) = list.split_once(']').expect("a closed list");
    list.split(',')
        .map(|name| name.trim().trim_matches('"').to_string())
        .filter(|name| !name.is_empty())
        .map(|name| {
            let text = std::fs::read_to_string(root().join(&name));
            (name.clone(), text.unwrap_or_else(|e| panic!("{name}: {e}")))
        })
        .collect()
}

#[test]
fn policy_keeps_its_size() {
    let is_counted = |line: &&str| !line.trim().is_empty();
    let lines: usize = policy()
        .iter()
        .map(|(_, text)| text.lines().filter(is_counted).count())
        .sum();
    assert!(
        POLICY_LINES.contains(&lines),
        "{lines} lines that are not blank"
    );
}

#[test]
fn policy_keeps_its_width() {
    for (name, text) in policy() {
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_WIDTH,
                "{name}:{}: {width} characters",
                index + 1
            );
        }
    }
}

#[test]
fn policy_names_all_modules_that_select_retry_or_reject() {
    let named: Vec<String> = policy().into_iter().map(|(name, _)| name).collect();
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
        assert!(named.contains(&path), "{path} is missing");
    }
}

#[test]
fn each_source_file_fits_its_bound() {
    let sources = std::fs::read_dir(root().join("crates/decision/src")).expect("sources");
    for source in sources.map(|entry| entry.expect("an entry").path()) {
        let text = std::fs::read_to_string(&source).expect("read");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} lines",
            source.display()
        );
    }
}
