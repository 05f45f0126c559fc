//! `sloewick check`: reads a node's configuration and judges it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args as ClapArgs;
use sloewick_node::check;

use crate::out;

#[derive(ClapArgs)]
#[command(after_help = "\
Examples:
  sloewick check node.json
  sloewick check examples/node.json --json

Exit codes: 0 can be used (notes may be printed), 2 can't be used.")]
pub struct Args {
    /// The configuration, as BALANCER_CONFIG would name it
    file: PathBuf,
    /// Print what was found as JSON
    #[arg(long)]
    json: bool,
}

pub fn check(args: &Args) -> ExitCode {
    let name = args.file.display();
    let found = match std::fs::read_to_string(&args.file) {
        Ok(text) => check::check(&text),
        Err(e) => {
            eprintln!("{name}: {e}");
            return ExitCode::from(2);
        }
    };
    if args.json {
        let list: Vec<_> = found.iter().map(|f| serde_json::json!({
            "field": f.field, "value": f.value, "why": f.why, "example": f.example, "fatal": f.fatal,
        })).collect();
        out::line(format!("{}", serde_json::json!({"file": name.to_string(), "found": list})));
    } else {
        for f in &found {
            out::line(format!("{name}: {f}"));
        }
    }
    let fatal = found.iter().filter(|f| f.fatal).count();
    if fatal > 0 {
        eprintln!("{name}: can't be used: {fatal} problem(s)");
        return ExitCode::from(2);
    }
    if !args.json {
        out::line(format!("{name}: can be used"));
    }
    ExitCode::SUCCESS
}
