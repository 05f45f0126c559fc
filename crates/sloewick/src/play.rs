//! `sloewick play`: scenarios on virtual time.

use std::process::ExitCode;
use std::time::Instant;

use clap::Args as ClapArgs;
use sloewick_testbed::checker::DisconnectStatistics;
use sloewick_testbed::faults::scenario::{self, Scenario};
use sloewick_testbed::virtual_fleet::{self, Options, Outcome, Shown};

use crate::out;
use crate::runs;
use crate::speech::SpeechArgs;

/// Exit code where an interrupt ended the runs and no rule was broken: as of a shell's Ctrl-C.
const INTERRUPTED: u8 = 130;

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
    /// How many seeds to play, one after another from --seed; Ctrl-C ends early and tells what was seen
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    runs: u64,
    /// Runs at a time; without it one for each core
    #[arg(long, value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(1..=1024))]
    jobs: Option<usize>,
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
    out::line(format!(
        "  {:20} faults mixed by chance from the seed",
        "swarm"
    ));
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
    let shipped = scenario::SHIPPED
        .iter()
        .find(|(shipped, _)| *shipped == name);
    let text = match shipped {
        Some((_, text)) => text.to_string(),
        None => std::fs::read_to_string(name).map_err(|e| {
            let known: Vec<&str> = scenario::SHIPPED.iter().map(|(n, _)| *n).collect();
            format!(
                "{name}: {e}; it is no file and no shipped scenario (swarm, {})",
                known.join(", ")
            )
        })?,
    };
    scenario::parse(&text).map_err(|wrong| {
        let lines: Vec<String> = wrong
            .iter()
            .map(|w| format!("{name}:{}: {}", w.line, w.why))
            .collect();
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
    if args.show {
        return show(args, name);
    }
    // A scenario that can't be read is told before anything is played; a swarm's differs with each seed.
    let read = match find(name, args.seed) {
        Ok(scenario) => scenario,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    let begun = Instant::now();
    let runs = args.runs.min((u64::MAX - args.seed).saturating_add(1));
    let run = |n: u64| {
        let seed = args.seed + n;
        let swarm = (name == "swarm").then(|| scenario::swarm(seed));
        one(args, name, seed, swarm.as_ref().unwrap_or(&read))
    };
    // Facts are printed as they come: one run at a time.
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let jobs = if args.log {
        1
    } else {
        args.jobs.unwrap_or(cores)
    };
    let stop = if args.runs > 1 {
        runs::interrupted()
    } else {
        Default::default()
    };
    let (mut played, mut broken, mut left, mut fullest) =
        (0.0, 0u64, DisconnectStatistics::default(), 0.0f64);
    let told = runs::all(runs, jobs, &stop, run, |run: Run| {
        run.out.iter().for_each(out::line);
        run.err.iter().for_each(|line| eprintln!("{line}"));
        played += run.played;
        broken += u64::from(run.broken);
        left.requests += run.left.requests;
        left.late += run.left.late;
        left.sent_on += run.left.sent_on;
        fullest = fullest.max(run.fullest);
        run.broken
    });
    if args.runs > 1 {
        let took = begun.elapsed().as_secs_f64();
        let summary = format!(
            "{told} runs, {broken} with a broken rule; {played:.0} fleet-seconds in {took:.1} s: {:.0} a second; \
             {} requests whose client left, {} sent on over 0.1 s later and {} over 0.35 s; a cold box was sent {fullest:.2} \
             of what it bears at most",
            played / took,
            left.requests,
            left.late,
            left.sent_on
        );
        if told < runs {
            let next = args.seed + told;
            out::line(format!(
                "interrupted: {summary}; {} of {runs} not played, from seed {next}",
                runs - told
            ));
        } else {
            out::line(summary);
        }
    }
    match (broken, told < runs) {
        (0, false) => ExitCode::SUCCESS,
        (0, true) => ExitCode::from(INTERRUPTED),
        _ => ExitCode::from(1),
    }
}

fn show(args: &Args, name: &str) -> ExitCode {
    for seed in args.seed..args.seed.saturating_add(args.runs) {
        match find(name, seed) {
            Ok(scenario) => out::line(scenario::write(&scenario).trim_end()),
            Err(why) => {
                eprintln!("{why}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::SUCCESS
}

/// What a run came to: its lines, how much was played, whether a rule broke.
struct Run {
    out: Vec<String>,
    err: Vec<String>,
    played: f64,
    broken: bool,
    left: DisconnectStatistics,
    fullest: f64,
}

fn one(args: &Args, name: &str, seed: u64, scenario: &Scenario) -> Run {
    let mut options = Options {
        speech: args.speech.speech(),
        ..Options::default()
    };
    if args.log {
        options.watch = Some(Box::new(|shown| match shown {
            Shown::Observation(observation) => out::line(observation.to_string()),
            Shown::Logged(line) => out::line(format!("{line} (logged)")),
        }));
    }
    let began = Instant::now();
    let outcome = virtual_fleet::play(scenario, seed, options);
    let played = outcome.played as f64 / 1e6;
    let broken = !outcome.violations.is_empty();
    let (left, fullest) = (outcome.left, outcome.fullest);
    let (out, err) = tell(
        args,
        name,
        seed,
        scenario,
        outcome,
        began.elapsed().as_secs_f64(),
    );
    Run {
        out,
        err,
        played,
        broken,
        left,
        fullest,
    }
}

fn tell(
    args: &Args,
    name: &str,
    seed: u64,
    scenario: &Scenario,
    outcome: Outcome,
    took: f64,
) -> (Vec<String>, Vec<String>) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let seconds = scenario.seconds;
    let report = &outcome.report;
    let mut whole = report.whole();
    let mut json = report.json(&mut whole, seconds);
    if args.json {
        json["scenario"] = scenario.name.clone().into();
        json["seed"] = seed.into();
        json["digest"] = format!("{:016x}", outcome.digest).into();
        json["left"] = outcome.left.requests.into();
        json["left_late"] = outcome.left.late.into();
        json["cold_most"] = outcome.fullest.into();
        json["left_sent_on"] = outcome.left.sent_on.into();
        json["worst_ten_seconds"] = report.worst_ten().into();
        json["breaches"] = outcome
            .violations
            .iter()
            .map(|b| b.to_string())
            .collect::<Vec<_>>()
            .into();
        out.push(format!("{json}"));
    } else if args.runs == 1 || !outcome.violations.is_empty() {
        out.push(format!(
            "{} seed {seed}: {} nodes, {} boxes; digest {:016x}; {:.0} fleet-seconds a second",
            scenario.name,
            scenario.nodes,
            scenario.boxes,
            outcome.digest,
            outcome.played as f64 / 1e6 / took
        ));
        out.push(format!("  {}", report.line(&mut whole, seconds)));
        out.push(format!(
            "  worst ten seconds {:.3}; {} attempts, {} retries, {} effects, {} repeats dropped, {} descriptors at most, \
             a cold box was sent {:.2} of what it bears",
            report.worst_ten(),
            whole.attempts,
            whole.retries,
            whole.effects,
            whole.dropped_repeats,
            outcome.descriptors,
            outcome.fullest
        ));
    }
    for violation in &outcome.violations {
        err.push(format!("BROKEN {violation}"));
    }
    if let Some(violation) = outcome.violations.first() {
        let words = args.speech.words();
        err.push(format!(
            "replay: sloewick play {name} --seed {seed}{words} --log"
        ));
        if args.shrink {
            let less =
                virtual_fleet::shrink(scenario, seed, violation.rule, None, args.speech.speech());
            err.push(format!(
                "shortest schedule found (save it and play it with --seed {seed}{words}):"
            ));
            err.push(scenario::write(&less).trim_end().to_string());
        }
    }
    (out, err)
}
