//! `sloewick play`: scenarios on virtual time.

use std::process::ExitCode;
use std::time::Instant;

use clap::Args as ClapArgs;
use sloewick_rig::fleet::{self, Options, Outcome, Shown};
use sloewick_rig::scenario::{self, Scenario};

use crate::out;
use crate::speech::SpeechArgs;

#[derive(ClapArgs)]
#[command(after_help = "\
Examples:
  sloewick play main-break --seed 3
  sloewick play swarm --seed 1 --runs 100
  sloewick play swarm --seed 4711 --log
  sloewick play my-evening.toml --shrink
  sloewick play rolling-deploy --front memcached --cache later

A scenario is the name of a shipped one (--list), `swarm` (faults mixed by chance from the seed), or a TOML file.")]
pub struct Args {
    /// A shipped scenario, `swarm`, or a file
    scenario: Option<String>,
    /// The seed that all chance comes from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to play, one after another from --seed
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[command(flatten)]
    speech: SpeechArgs,
    /// Print every fact that the peers saw, and what the nodes logged
    #[arg(long)]
    log: bool,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    /// When a rule breaks, look for a shorter schedule that still breaks it
    #[arg(long)]
    shrink: bool,
    /// Print the scenario as TOML and play nothing
    #[arg(long)]
    show: bool,
    /// List the shipped scenarios and all faults
    #[arg(long)]
    list: bool,
}

fn list() {
    out::line("scenarios:");
    for (name, text) in scenario::SHIPPED {
        let about = scenario::parse(text).map(|s| s.about).unwrap_or_default();
        out::line(format!("  {name:20} {about}"));
    }
    out::line(format!("  {:20} faults mixed by chance from the seed", "swarm"));
    out::line("\nfaults (of [[fault]] tables: kind, at, and):");
    for spec in scenario::FAULTS {
        out::line(format!("  {:20} {}", spec.name, spec.about));
        for (name, kind) in spec.fields {
            out::line(format!("      {name}: {}", scenario::allowed(kind)));
        }
    }
}

/// The scenario that a word or a file stands for.
pub fn find(name: &str, seed: u64) -> Result<Scenario, String> {
    if name == "swarm" {
        return Ok(scenario::swarm(seed));
    }
    let shipped = scenario::SHIPPED.iter().find(|(shipped, _)| *shipped == name);
    let text = match shipped {
        Some((_, text)) => text.to_string(),
        None => std::fs::read_to_string(name).map_err(|e| {
            let known: Vec<&str> = scenario::SHIPPED.iter().map(|(n, _)| *n).collect();
            format!("{name}: {e}; it is no file and no shipped scenario (swarm, {})", known.join(", "))
        })?,
    };
    scenario::parse(&text).map_err(|wrong| {
        let lines: Vec<String> = wrong.iter().map(|w| format!("{name}:{}: {}", w.line, w.why)).collect();
        lines.join("\n")
    })
}

pub fn play(args: &Args) -> ExitCode {
    if args.list {
        list();
        return ExitCode::SUCCESS;
    }
    let Some(name) = &args.scenario else {
        eprintln!("no scenario; --list names the shipped ones");
        return ExitCode::from(2);
    };
    let begun = Instant::now();
    let (mut played, mut broken) = (0.0, 0);
    for seed in args.seed..args.seed.saturating_add(args.runs) {
        let scenario = match find(name, seed) {
            Ok(scenario) => scenario,
            Err(why) => {
                eprintln!("{why}");
                return ExitCode::from(2);
            }
        };
        if args.show {
            out::line(scenario::write(&scenario).trim_end());
            continue;
        }
        let mut options = Options { speech: args.speech.speech(), ..Options::default() };
        if args.log {
            options.watch = Some(Box::new(|shown| match shown {
                Shown::Fact(fact) => out::line(fact.to_string()),
                Shown::Logged(line) => out::line(format!("{line} (logged)")),
            }));
        }
        let began = Instant::now();
        let outcome = fleet::play(&scenario, seed, options);
        played += outcome.played as f64 / 1e6;
        broken += u64::from(!outcome.breaches.is_empty());
        tell(args, name, seed, &scenario, outcome, began.elapsed().as_secs_f64());
    }
    if args.runs > 1 {
        let took = begun.elapsed().as_secs_f64();
        out::line(format!(
            "{} runs, {broken} with a broken rule; {played:.0} fleet-seconds in {took:.1} s: {:.0} a second",
            args.runs,
            played / took
        ));
    }
    ExitCode::from(u8::from(broken > 0))
}

fn tell(args: &Args, name: &str, seed: u64, scenario: &Scenario, outcome: Outcome, took: f64) {
    let seconds = scenario.seconds;
    let report = &outcome.report;
    let mut whole = report.whole();
    let mut json = report.json(&mut whole, seconds);
    if args.json {
        json["scenario"] = scenario.name.clone().into();
        json["seed"] = seed.into();
        json["digest"] = format!("{:016x}", outcome.digest).into();
        json["worst_ten_seconds"] = report.worst_ten().into();
        json["breaches"] = outcome.breaches.iter().map(|b| b.to_string()).collect::<Vec<_>>().into();
        out::line(format!("{json}"));
    } else if args.runs == 1 || !outcome.breaches.is_empty() {
        out::line(format!(
            "{} seed {seed}: {} nodes, {} boxes; digest {:016x}; {:.0} fleet-seconds a second",
            scenario.name,
            scenario.nodes,
            scenario.boxes,
            outcome.digest,
            outcome.played as f64 / 1e6 / took
        ));
        out::line(format!("  {}", report.line(&mut whole, seconds)));
        out::line(format!(
            "  worst ten seconds {:.3}; {} attempts, {} retries, {} effects, {} repeats dropped, {} descriptors at most",
            report.worst_ten(),
            whole.attempts,
            whole.retries,
            whole.effects,
            whole.dropped_repeats,
            outcome.descriptors
        ));
    }
    for breach in &outcome.breaches {
        eprintln!("BROKEN {breach}");
    }
    if let Some(breach) = outcome.breaches.first() {
        let words = args.speech.words();
        eprintln!("replay: sloewick play {name} --seed {seed}{words} --log");
        if args.shrink {
            let less = fleet::shrink(scenario, seed, breach.rule, None, args.speech.speech());
            eprintln!("shortest schedule found (save it and play it with --seed {seed}{words}):");
            eprint!("{}", scenario::write(&less));
        }
    }
}
