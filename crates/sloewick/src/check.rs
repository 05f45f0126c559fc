//! `sloewick check`: checks the configuration files of a node and reports every problem in them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::json;
use sloewick_node::{config, config_check};
use thiserror::Error;

use crate::output::{print_line, reject_input};

use crate::exit_code;

/// Arguments of `sloewick check`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick check node.json
  sloewick check examples/node.json --json
  sloewick check examples/node.json --memcached deploy/memcached.toml

Exit codes: 0 the files can be used (notes may be printed), 2 a file can't be used.")]
pub(crate) struct Args {
    /// The node configuration file (JSON), as for `BALANCER_CONFIG`
    file: PathBuf,
    /// Also check this memcached configuration file (TOML), as for `run --memcached`
    #[arg(long, value_name = "FILE")]
    memcached: Option<PathBuf>,
    /// Print the findings as JSON
    #[arg(long)]
    json: bool,
}

/// A file that cannot be read.
#[derive(Debug, Error)]
#[error("{path}: {error}")]
struct UnreadableFile {
    path: String,
    error: std::io::Error,
}

/// A problem in a file, or a note on it.
struct Finding {
    text: String,
    json: serde_json::Value,
    /// Whether the file can't be used because of this finding.
    fatal: bool,
}

/// All findings in one file.
struct CheckedFile<'a> {
    path: &'a Path,
    findings: Vec<Finding>,
}

impl CheckedFile<'_> {
    /// Prints the findings and returns whether the file can be used.
    fn report(&self, as_json: bool) -> bool {
        let name = self.path.display();
        if as_json {
            let found: Vec<_> = self.findings.iter().map(|f| f.json.clone()).collect();
            print_line(json!({"file": name.to_string(), "found": found}).to_string());
        } else {
            for finding in &self.findings {
                print_line(format!("{name}: {}", finding.text));
            }
        }
        let problems = self.findings.iter().filter(|f| f.fatal).count();
        if problems > 0 {
            eprintln!("{name}: can't be used: {problems} problem(s)");
        } else if !as_json {
            print_line(format!("{name}: can be used"));
        }
        problems == 0
    }
}

/// Checks the files and prints the findings.
pub(crate) fn check(args: &Args) -> ExitCode {
    let files = match check_files(args) {
        Ok(files) => files,
        Err(error) => return reject_input(&error),
    };
    let mut usable = true;
    for file in files {
        usable &= file.report(args.json);
    }
    if usable {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(exit_code::UNUSABLE_INPUT)
    }
}

fn check_files(args: &Args) -> Result<Vec<CheckedFile<'_>>, UnreadableFile> {
    let node = read(&args.file)?;
    let mut files = vec![CheckedFile {
        path: &args.file,
        findings: check_node(&node),
    }];
    if let Some(path) = &args.memcached {
        files.push(CheckedFile {
            path,
            findings: check_memcached(&read(path)?, &node),
        });
    }
    Ok(files)
}

fn read(path: &Path) -> Result<String, UnreadableFile> {
    std::fs::read_to_string(path).map_err(|error| UnreadableFile {
        path: path.display().to_string(),
        error,
    })
}

fn check_node(text: &str) -> Vec<Finding> {
    let finding = |found: &config_check::Finding| Finding {
        text: found.to_string(),
        json: json!({
            "field": found.field, "value": found.value, "why": found.reason, "example": found.example,
            "fatal": found.is_fatal,
        }),
        fatal: found.is_fatal,
    };
    config_check::check(text).iter().map(finding).collect()
}

/// Checks a memcached configuration file together with the configuration of the node that uses it.
fn check_memcached(text: &str, node: &str) -> Vec<Finding> {
    let Ok(mut config) = config::parse(node) else {
        let text = "not checked: requires a node configuration that can be used".to_string();
        return vec![Finding {
            json: json!({"why": text}),
            text,
            fatal: true,
        }];
    };
    let problems = config::enable_memcached(&mut config, text)
        .err()
        .unwrap_or_default();
    let mut findings: Vec<Finding> = problems
        .iter()
        .map(|problem| Finding {
            text: format!("problem: {problem}"),
            json: json!({
                "line": problem.line, "field": problem.field, "why": problem.why, "fatal": true,
            }),
            fatal: true,
        })
        .collect();
    let listen = config.memcached.and_then(|file| file.listen);
    if listen.is_some_and(|address| address == config.listen || address == config.discovery) {
        let text = "problem: listen: is the address of the node's own listener or of discovery"
            .to_string();
        findings.push(Finding {
            json: json!({"field": "listen", "why": text}),
            text,
            fatal: true,
        });
    }
    findings
}
