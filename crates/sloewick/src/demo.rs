//! `sloewick demo`: a whole fleet on loopback, with live lines of what it does.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clap::Args as ClapArgs;
use sloewick_testbed::demo::{Demo, Nodes};
use sloewick_testbed::faults::scenario::{Fault, FieldKind, FieldValue, Scenario, FAULTS};

use crate::out;
use crate::speech::SpeechArgs;

#[derive(ClapArgs)]
#[command(after_help = "\
Examples:
  sloewick demo
  sloewick demo --seconds 20 --rate 200 --fault slow-origin
  sloewick demo --fault deploy --json
  sloewick demo --processes --nodes 6 --fault pause-nodes
  sloewick demo --front memcached --cache mixed

All traffic stays on loopback: 127.0.0.1, or another address of 127.0.0.0/8 with --processes. `sloewick play --list` describes the faults.")]
pub struct Args {
    /// How long clients ask, in seconds
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(3..=3600))]
    seconds: u32,
    /// Cache boxes
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u32).range(2..=100))]
    boxes: u32,
    /// Nodes
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=8))]
    nodes: u32,
    /// Requests a second over all nodes
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// A fault, begun after a third of the time and over after two thirds
    #[arg(long)]
    fault: Option<String>,
    /// The seed of all that is drawn by chance (real sockets and clocks add chance of their own)
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    speech: SpeechArgs,
    /// Start each node as a process of its own, so that faults are signals to it
    #[arg(long)]
    processes: bool,
    /// Others may ask the nodes, too: requests that are not of the fleet's own clients are not judged
    #[arg(long)]
    visitors: bool,
    /// Print lines of JSON
    #[arg(long)]
    json: bool,
}

fn scenario(args: &Args) -> Result<Scenario, String> {
    let third = f64::from(args.seconds) / 3.0;
    let mut faults = Vec::new();
    if let Some(name) = &args.fault {
        let playable = || {
            FAULTS
                .iter()
                .filter(|s| s.real)
                .map(|s| s.name)
                .collect::<Vec<_>>()
                .join(", ")
        };
        let Some(spec) = FAULTS.iter().find(|s| s.name == name && s.real) else {
            return Err(format!(
                "--fault {name}: is no fault that real sockets can play; allowed: {}",
                playable()
            ));
        };
        let mut fault = Fault {
            at: third,
            name: spec.name,
            set: Vec::new(),
        };
        // What lasts, lasts a third of the run at most; what is back, is back by then.
        for (field, kind) in spec
            .fields
            .iter()
            .filter(|(f, _)| ["for", "back", "over"].contains(f))
        {
            if let FieldKind::Number { usual, .. } = kind {
                fault
                    .set
                    .push((field, FieldValue::Number(usual.min(third))));
            }
        }
        faults.push(fault);
    }
    Ok(Scenario {
        name: args.fault.clone().unwrap_or_else(|| "calm".to_string()),
        about: String::new(),
        seconds: f64::from(args.seconds),
        nodes: args.nodes as usize,
        boxes: args.boxes as usize,
        rate: f64::from(args.rate),
        faults,
    })
}

pub fn demo(args: &Args) -> ExitCode {
    let scenario = match scenario(args) {
        Ok(scenario) => scenario,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // Without it an interrupt ends the process at once, which leaves nothing behind either.
        let _ = signal_hook::flag::register(signal, interrupted.clone());
    }
    let nodes = match std::env::current_exe() {
        Ok(program) if args.processes => Nodes::Processes(program),
        Err(e) if args.processes => {
            eprintln!("--processes: this program can't be found: {e}");
            return ExitCode::from(2);
        }
        _ => Nodes::Threads,
    };
    let mut demo = match Demo::start(&scenario, args.seed, args.speech.speech(), nodes) {
        Ok(demo) => demo,
        Err(e) => {
            eprintln!("the fleet does not start: {e}");
            return ExitCode::from(1);
        }
    };
    demo.checker.allow_unknown_requests(args.visitors);
    if !args.json {
        out::line(format!(
            "{} nodes, {} boxes, {} requests a second on loopback; fault: {}",
            scenario.nodes, scenario.boxes, scenario.rate, scenario.name
        ));
        if demo.memcached {
            for (node, (_, memcached)) in demo.listening().iter().enumerate() {
                out::line(format!(
                    "node {node} listens for memcached clients at {memcached}"
                ));
            }
        }
    }
    let mut second = 0;
    while second < i64::from(args.seconds) && !interrupted.load(Ordering::Relaxed) {
        second += 1;
        let left = (second * 1_000_000 - demo.now()).max(0);
        let said = demo.go_on(Duration::from_micros(left as u64));
        for text in said.iter().filter(|_| !args.json) {
            out::line(format!("{second:4} s  -- {text}"));
        }
        // A request's fate is known a moment later: lines are of the second before.
        let mut span = demo.report.between(second - 2, second - 1);
        if args.json {
            let mut line = demo.report.json(&mut span, 1.0);
            line["second"] = (second - 1).into();
            line["faults"] = said.into();
            out::line(format!("{line}"));
        } else if second > 1 {
            out::line(format!(
                "{:4} s  {}",
                second - 1,
                demo.report.line(&mut span, 1.0)
            ));
        }
    }
    demo.go_on(Duration::from_millis(2500));
    // An early end does not stop the clients at once.
    let asked_for = (demo.now() as f64 / 1e6).min(scenario.seconds);
    let (checker, report) = demo.end();
    let mut whole = report.whole();
    if args.json {
        let mut line = report.json(&mut whole, asked_for);
        line["summary"] = true.into();
        line["worst_ten_seconds"] = report.worst_ten().into();
        line["breaches"] = checker
            .violations
            .iter()
            .map(|b| b.to_string())
            .collect::<Vec<_>>()
            .into();
        out::line(format!("{line}"));
    } else {
        out::line(format!(
            "\nwhole run  {}",
            report.line(&mut whole, asked_for)
        ));
        out::line(format!(
            "{} attempts, {} client retries, {} writes took effect, {} repeats dropped; worst ten seconds {:.3}",
            whole.attempts,
            whole.retries,
            whole.effects,
            whole.dropped_repeats,
            report.worst_ten()
        ));
        out::line(format!("rules broken: {}", checker.violations.len()));
        checker
            .violations
            .iter()
            .take(5)
            .for_each(|b| out::line(format!("BROKEN {b}")));
    }
    ExitCode::from(u8::from(!checker.violations.is_empty()))
}
