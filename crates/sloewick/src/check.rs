//! `sloewick check`: reads a node's configuration and judges it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args as ClapArgs;
use sloewick_node::{config, config_check};

use crate::out;

#[derive(ClapArgs)]
#[command(after_help = "\
Examples:
  sloewick check node.json
  sloewick check examples/node.json --json
  sloewick check examples/node.json --memcached deploy/memcached.toml

Exit codes: 0 can be used (notes may be printed), 2 can't be used.")]
pub struct Args {
    /// The configuration, as BALANCER_CONFIG would name it
    file: PathBuf,
    /// Also judge this file beside it, as `run --memcached` would use it
    #[arg(long, value_name = "FILE")]
    memcached: Option<PathBuf>,
    /// Print what was found as JSON
    #[arg(long)]
    json: bool,
}

/// What was found in a file: where, what, and whether it forbids its use.
struct Line {
    text: String,
    json: serde_json::Value,
    fatal: bool,
}

fn node(text: &str) -> Vec<Line> {
    let line = |f: &config_check::Finding| Line {
        text: f.to_string(),
        json: serde_json::json!({
            "field": f.field, "value": f.value, "why": f.why, "example": f.example, "fatal": f.fatal,
        }),
        fatal: f.fatal,
    };
    config_check::check(text).iter().map(line).collect()
}

fn memcached(text: &str, node: &str) -> Vec<Line> {
    let Ok(mut config) = config::parse(node) else {
        let text = "not judged: it needs a node's configuration that can be used".to_string();
        return vec![Line {
            json: serde_json::json!({"why": text}),
            text,
            fatal: true,
        }];
    };
    let problems = config::memcached(&mut config, text)
        .err()
        .unwrap_or_default();
    let mut lines: Vec<Line> = problems
        .iter()
        .map(|p| Line {
            text: format!("problem: {p}"),
            json: serde_json::json!({"line": p.line, "field": p.field, "why": p.why, "fatal": true}),
            fatal: true,
        })
        .collect();
    let listen = config.memcached.and_then(|file| file.listen);
    if listen.is_some_and(|at| at == config.listen || at == config.discovery) {
        let text = "problem: listen: is the address of the node's own listener or of discovery"
            .to_string();
        lines.push(Line {
            json: serde_json::json!({"field": "listen", "why": text}),
            text,
            fatal: true,
        });
    }
    lines
}

pub fn check(args: &Args) -> ExitCode {
    let node_text = match std::fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{}: {e}", args.file.display());
            return ExitCode::from(2);
        }
    };
    let mut files = vec![(&args.file, node(&node_text))];
    if let Some(file) = &args.memcached {
        match std::fs::read_to_string(file) {
            Ok(text) => files.push((file, memcached(&text, &node_text))),
            Err(e) => {
                eprintln!("{}: {e}", file.display());
                return ExitCode::from(2);
            }
        }
    }
    let mut usable = true;
    for (file, found) in files {
        let name = file.display();
        if args.json {
            let list: Vec<_> = found.iter().map(|f| f.json.clone()).collect();
            out::line(format!(
                "{}",
                serde_json::json!({"file": name.to_string(), "found": list})
            ));
        } else {
            found
                .iter()
                .for_each(|f| out::line(format!("{name}: {}", f.text)));
        }
        match found.iter().filter(|f| f.fatal).count() {
            0 if !args.json => out::line(format!("{name}: can be used")),
            0 => {}
            problems => {
                eprintln!("{name}: can't be used: {problems} problem(s)");
                usable = false;
            }
        }
    }
    ExitCode::from(if usable { 0 } else { 2 })
}
