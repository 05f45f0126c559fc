//! `sloewick demo`: runs a complete fleet on loopback and prints a line for each second.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use sloewick_testbed::checker::Checker;
use sloewick_testbed::demo::{Demo, Nodes};
use sloewick_testbed::faults::scenario::{Fault, FieldKind, FieldValue, Scenario, FAULTS};
use sloewick_testbed::report::Report;
use thiserror::Error;

use crate::exit_code;
use crate::output::{print_line, reject_input};
use crate::protocol_options::ProtocolArgs;

/// Time after the last request during which its outcome can still arrive.
const OUTCOME_DELAY: Duration = Duration::from_millis(2500);
/// Maximum number of violations that are printed without `--json`.
const MAX_VIOLATIONS_SHOWN: usize = 5;

/// Arguments of `sloewick demo`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick demo
  sloewick demo --seconds 20 --rate 200 --fault slow-origin
  sloewick demo --fault deploy --json
  sloewick demo --processes --nodes 6 --fault pause-nodes
  sloewick demo --front memcached --cache mixed

All traffic stays on loopback: 127.0.0.1, or another address of 127.0.0.0/8 with --processes. `sloewick play --list` describes the faults.")]
pub(crate) struct Args {
    /// How long clients send requests, in seconds
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(3..=3600))]
    seconds: u32,
    /// Number of cache servers
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u32).range(2..=100))]
    boxes: u32,
    /// Number of nodes
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=8))]
    nodes: u32,
    /// Total requests per second, over all nodes
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Inject this fault after a third of the time; it ends after two thirds
    #[arg(long)]
    fault: Option<String>,
    /// Seed of all random choices (timing of real sockets and clocks still varies)
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    protocols: ProtocolArgs,
    /// Run each node as a separate process, so that faults can be injected by signals
    #[arg(long)]
    processes: bool,
    /// Accept requests of external clients; they are not checked against the rules
    #[arg(long)]
    visitors: bool,
    /// Print lines of JSON
    #[arg(long)]
    json: bool,
}

/// Errors in the arguments of a demo.
#[derive(Debug, Error)]
enum DemoError {
    #[error("--fault {name}: unknown, or not available on real sockets; allowed: {allowed}")]
    UnknownFault { name: String, allowed: String },
    #[error("--processes: cannot determine the path of this program: {0}")]
    NoProgram(std::io::Error),
}

/// Runs the demo until its time is over or it is interrupted.
pub(crate) fn demo(args: &Args) -> ExitCode {
    let scenario = match scenario(args) {
        Ok(scenario) => scenario,
        Err(error) => return reject_input(&error),
    };
    let interrupted = interrupt_flag();
    let nodes = match nodes(args) {
        Ok(nodes) => nodes,
        Err(error) => return reject_input(&error),
    };
    let protocols = args.protocols.for_testbed();
    let mut demo = match Demo::start(&scenario, args.seed, protocols, nodes) {
        Ok(demo) => demo,
        Err(error) => {
            eprintln!("cannot start the fleet: {error}");
            return ExitCode::from(exit_code::RULE_BROKEN);
        }
    };
    demo.checker.allow_unknown_requests(args.visitors);
    if !args.json {
        print_start(&demo, &scenario);
    }
    let mut second = 0;
    while second < i64::from(args.seconds) && !interrupted.load(Ordering::Relaxed) {
        second += 1;
        play_second(&mut demo, second, args.json);
    }
    demo.run_for(OUTCOME_DELAY);
    // Clients go on sending after an interrupt, so the time in which outcomes were awaited counts too, up to the planned
    // end.
    let seconds = (demo.now() as f64 / 1e6).min(scenario.seconds);
    let (checker, report) = demo.shut_down();
    if args.json {
        print_json_summary(&checker, &report, seconds);
    } else {
        print_summary(&checker, &report, seconds);
    }
    if checker.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(exit_code::RULE_BROKEN)
    }
}

/// A flag that is set by SIGINT and SIGTERM.
fn interrupt_flag() -> Arc<AtomicBool> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // If the handler cannot be installed, a signal ends the process at once, which needs no clean-up either.
        let _ = signal_hook::flag::register(signal, interrupted.clone());
    }
    interrupted
}

fn nodes(args: &Args) -> Result<Nodes, DemoError> {
    let program: std::io::Result<PathBuf> = std::env::current_exe();
    if args.processes {
        program.map(Nodes::Processes).map_err(DemoError::NoProgram)
    } else {
        Ok(Nodes::Threads)
    }
}

fn scenario(args: &Args) -> Result<Scenario, DemoError> {
    let third = f64::from(args.seconds) / 3.0;
    let mut faults = Vec::new();
    if let Some(name) = &args.fault {
        faults.push(fault(name, third)?);
    }
    Ok(Scenario {
        name: args.fault.clone().unwrap_or_else(|| "calm".to_string()),
        about: String::new(),
        seconds: f64::from(args.seconds),
        nodes: args.nodes as usize,
        servers: args.boxes as usize,
        rate: f64::from(args.rate),
        faults,
    })
}

/// The fault with this name, starting after a third of the run (`third`, in seconds).
fn fault(name: &str, third: f64) -> Result<Fault, DemoError> {
    let playable = || FAULTS.iter().filter(|spec| spec.supports_real_sockets);
    let Some(spec) = playable().find(|spec| spec.name == name) else {
        let allowed: Vec<_> = playable().map(|spec| spec.name).collect();
        return Err(DemoError::UnknownFault {
            name: name.to_string(),
            allowed: allowed.join(", "),
        });
    };
    // Limits each duration to a third of the run, so that the fault has ended, and what it stopped has returned, before
    // the last third.
    let durations = spec
        .fields
        .iter()
        .filter(|(field, _)| ["for", "back", "over"].contains(field));
    let mut values = Vec::new();
    for (field, kind) in durations {
        if let FieldKind::Number { default, .. } = kind {
            values.push((*field, FieldValue::Number(default.min(third))));
        }
    }
    Ok(Fault {
        at: third,
        name: spec.name,
        values,
    })
}

fn print_start(demo: &Demo, scenario: &Scenario) {
    print_line(format!(
        "{} nodes, {} cache servers, {} requests per second on loopback; fault: {}",
        scenario.nodes, scenario.servers, scenario.rate, scenario.name
    ));
    if demo.memcached {
        for (node, (_, memcached)) in demo.listening().iter().enumerate() {
            print_line(format!(
                "node {node} listens for memcached clients at {memcached}"
            ));
        }
    }
}

/// Runs until the end of this second of the run and prints the figures of the second before it.
fn play_second(demo: &mut Demo, second: i64, json: bool) {
    let remaining = (second * 1_000_000 - demo.now()).max(0);
    let announcements = demo.run_for(Duration::from_micros(remaining as u64));
    // Prints figures of the previous second, since outcomes of the last requests of this one are still pending.
    let mut span = demo.report.between(second - 2, second - 1);
    if json {
        let mut line = demo.report.json(&mut span, 1.0);
        line["second"] = (second - 1).into();
        line["faults"] = announcements.into();
        print_line(line.to_string());
        return;
    }
    for text in &announcements {
        print_line(format!("{second:4} s  -- {text}"));
    }
    if second > 1 {
        print_line(format!(
            "{:4} s  {}",
            second - 1,
            demo.report.line(&mut span, 1.0)
        ));
    }
}

fn print_json_summary(checker: &Checker, report: &Report, seconds: f64) {
    let violations: Vec<_> = checker.violations.iter().map(ToString::to_string).collect();
    let mut line = report.json(&mut report.total(), seconds);
    line["summary"] = true.into();
    line["worst_ten_seconds"] = report.worst_ten_seconds().into();
    line["breaches"] = violations.into();
    print_line(line.to_string());
}

fn print_summary(checker: &Checker, report: &Report, seconds: f64) {
    let mut total = report.total();
    print_line(format!("\nwhole run  {}", report.line(&mut total, seconds)));
    print_line(format!(
        "{} attempts, {} client retries, {} writes took effect, {} duplicate writes dropped; worst ten seconds {:.3}",
        total.attempts,
        total.retries,
        total.effects,
        total.dropped_repeats,
        report.worst_ten_seconds()
    ));
    print_line(format!("rules broken: {}", checker.violations.len()));
    for violation in checker.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
        print_line(format!("BROKEN {violation}"));
    }
}
