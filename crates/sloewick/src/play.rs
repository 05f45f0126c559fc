//! `sloewick play`: runs a scenario in virtual time, once for each seed, and checks each run against the rules.

use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

use sloewick_testbed::checker::{DisconnectStatistics, Violation};
use sloewick_testbed::faults::scenario::{self, Scenario};
use sloewick_testbed::virtual_fleet::{self, LogEntry, Options, Outcome};
use thiserror::Error;

use crate::exit_code;
use crate::output::{print_line, reject_input};
use crate::parallel_runs;
use crate::protocol_options::ProtocolArgs;

/// Name of the scenario whose faults are drawn at random from the seed.
const SWARM: &str = "swarm";

/// Arguments of `sloewick play`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick play main-break --seed 3
  sloewick play swarm --seed 1 --runs 100
  sloewick play swarm --seed 4711 --log
  sloewick play my-evening.toml --shrink
  sloewick play rolling-deploy --front memcached --cache later

SCENARIO is a shipped scenario (see --list), `swarm` (faults drawn at random from the seed), or a TOML file.")]
pub(crate) struct Args {
    /// Name of a shipped scenario, `swarm`, or the path of a TOML file
    scenario: Option<String>,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, starting with --seed; Ctrl-C ends early and prints the summary so far
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    runs: u64,
    /// Number of parallel runs; by default one per core
    #[arg(long, value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(1..=1024))]
    jobs: Option<usize>,
    #[command(flatten)]
    protocols: ProtocolArgs,
    /// Print everything that clients, cache servers and discovery observe, and the nodes' log lines
    #[arg(long)]
    log: bool,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    /// After a run that breaks a rule, search for a shorter schedule that still breaks it
    #[arg(long)]
    shrink: bool,
    /// Print the scenario as TOML without running it
    #[arg(long)]
    show: bool,
    /// List the shipped scenarios and all faults
    #[arg(long)]
    list: bool,
}

/// Errors in the scenario argument.
#[derive(Debug, Error)]
enum PlayError {
    #[error("no scenario given; --list shows the shipped ones")]
    NoScenario,
    #[error(
        "{name}: is neither a readable file ({error}) nor a shipped scenario ({SWARM}, {shipped})"
    )]
    NotFound {
        name: String,
        error: std::io::Error,
        shipped: String,
    },
    /// Problems in a scenario file, one on each line.
    #[error("{0}")]
    Invalid(String),
}

/// Lists, prints or runs scenarios, as the arguments request.
pub(crate) fn play(args: &Args) -> ExitCode {
    if args.list {
        list();
        return ExitCode::SUCCESS;
    }
    let Some(name) = &args.scenario else {
        return reject_input(&PlayError::NoScenario);
    };
    let result = if args.show {
        show(args, name)
    } else {
        play_runs(args, name)
    };
    result.unwrap_or_else(|error| reject_input(&error))
}

fn list() {
    print_line("scenarios:");
    for (name, text) in scenario::SHIPPED {
        let about = scenario::parse(text)
            .map(|scenario| scenario.about)
            .unwrap_or_default();
        print_line(format!("  {name:20} {about}"));
    }
    print_line(format!("  {SWARM:20} faults drawn at random from the seed"));
    print_line("\nfaults ([[fault]] tables with kind, at, and these fields):");
    for spec in scenario::FAULTS {
        print_line(format!("  {:20} {}", spec.name, spec.about));
        for (name, kind) in spec.fields {
            print_line(format!("      {name}: {}", scenario::allowed_values(kind)));
        }
    }
}

/// Returns the scenario with this name, or reads it from this file.
fn find(name: &str, seed: u64) -> Result<Scenario, PlayError> {
    if name == SWARM {
        return Ok(scenario::swarm(seed));
    }
    let shipped = scenario::SHIPPED
        .iter()
        .find(|(shipped, _)| *shipped == name);
    let text = match shipped {
        Some((_, text)) => (*text).to_string(),
        None => std::fs::read_to_string(name).map_err(|error| {
            let names: Vec<&str> = scenario::SHIPPED.iter().map(|(name, _)| *name).collect();
            PlayError::NotFound {
                name: name.to_string(),
                error,
                shipped: names.join(", "),
            }
        })?,
    };
    scenario::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{name}:{}: {}", problem.line, problem.why))
            .collect();
        PlayError::Invalid(lines.join("\n"))
    })
}

fn show(args: &Args, name: &str) -> Result<ExitCode, PlayError> {
    for seed in args.seed..args.seed.saturating_add(args.runs) {
        print_line(scenario::write(&find(name, seed)?).trim_end());
    }
    Ok(ExitCode::SUCCESS)
}

fn play_runs(args: &Args, name: &str) -> Result<ExitCode, PlayError> {
    // Problems in a scenario file are reported before the first run. A swarm is drawn anew for each seed.
    let scenario = find(name, args.seed)?;
    let started = Instant::now();
    let runs = args.runs.min((u64::MAX - args.seed).saturating_add(1));
    let run = |number: u64| {
        let seed = args.seed + number;
        let swarm = (name == SWARM).then(|| scenario::swarm(seed));
        play_seed(args, name, seed, swarm.as_ref().unwrap_or(&scenario))
    };
    let stop = if args.runs > 1 {
        parallel_runs::interrupt_flag()
    } else {
        Arc::new(AtomicBool::new(false))
    };
    let mut summary = Summary::default();
    let played = parallel_runs::run_all(runs, jobs(args), &stop, run, |run: Run| {
        run.stdout.iter().for_each(print_line);
        run.stderr.iter().for_each(|line| eprintln!("{line}"));
        summary.add(&run);
        run.rule_broken
    });
    let interrupted = played < runs;
    if args.runs > 1 {
        let text = summary.text(played, started.elapsed().as_secs_f64());
        if interrupted {
            let next = args.seed + played;
            print_line(format!(
                "interrupted: {text}; {} of {runs} not played, from seed {next}",
                runs - played
            ));
        } else {
            print_line(text);
        }
    }
    Ok(if summary.broken_runs > 0 {
        ExitCode::from(exit_code::RULE_BROKEN)
    } else if interrupted {
        ExitCode::from(exit_code::INTERRUPTED)
    } else {
        ExitCode::SUCCESS
    })
}

/// The number of parallel runs. With `--log` it is 1, since each observation is printed immediately.
fn jobs(args: &Args) -> usize {
    if args.log {
        return 1;
    }
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    args.jobs.unwrap_or(cores)
}

/// Totals over all runs.
#[derive(Default)]
struct Summary {
    /// Total virtual time of the runs, in seconds.
    fleet_seconds: f64,
    /// Runs in which a rule was broken.
    broken_runs: u64,
    /// Requests whose client disconnected before the final response, and late attempts for them.
    disconnects: DisconnectStatistics,
    /// The highest load of any server during its warm-up, as a fraction of the load that it can take.
    max_warming_load: f64,
}

impl Summary {
    fn add(&mut self, run: &Run) {
        self.fleet_seconds += run.fleet_seconds;
        self.broken_runs += u64::from(run.rule_broken);
        self.disconnects.requests += run.disconnects.requests;
        self.disconnects.late += run.disconnects.late;
        self.disconnects.sent_on += run.disconnects.sent_on;
        self.max_warming_load = self.max_warming_load.max(run.max_warming_load);
    }

    /// Formats the summary; `seconds` is the real time that the runs took.
    fn text(&self, runs: u64, seconds: f64) -> String {
        format!(
            "{runs} runs, {} with a broken rule; {:.0} fleet-seconds in {seconds:.1} s: {:.0} a second; \
             {} requests whose client disconnected, with {} attempts over 0.1 s later and {} over 0.35 s later; \
             highest load of a cold cache server {:.2} of what it can take",
            self.broken_runs,
            self.fleet_seconds,
            self.fleet_seconds / seconds,
            self.disconnects.requests,
            self.disconnects.late,
            self.disconnects.sent_on,
            self.max_warming_load
        )
    }
}

/// Result and printed lines of one run.
struct Run {
    stdout: Vec<String>,
    stderr: Vec<String>,
    fleet_seconds: f64,
    rule_broken: bool,
    disconnects: DisconnectStatistics,
    max_warming_load: f64,
}

fn play_seed(args: &Args, name: &str, seed: u64, scenario: &Scenario) -> Run {
    let mut options = Options {
        protocols: args.protocols.for_testbed(),
        ..Options::default()
    };
    if args.log {
        options.observer = Some(Box::new(|entry| match entry {
            LogEntry::Observation(observation) => print_line(observation.to_string()),
            LogEntry::Logged(line) => print_line(format!("{line} (logged)")),
        }));
    }
    let started = Instant::now();
    let outcome = virtual_fleet::play(scenario, seed, options);
    let played = PlayedSeed {
        args,
        name,
        seed,
        scenario,
        outcome,
        seconds: started.elapsed().as_secs_f64(),
    };
    Run {
        stdout: played.report(),
        stderr: played.violations(),
        fleet_seconds: played.fleet_seconds(),
        rule_broken: !played.outcome.violations.is_empty(),
        disconnects: played.outcome.disconnects,
        max_warming_load: played.outcome.max_cold_load,
    }
}

/// A finished run and its inputs.
struct PlayedSeed<'a> {
    args: &'a Args,
    name: &'a str,
    seed: u64,
    scenario: &'a Scenario,
    outcome: Outcome,
    /// Real time that the run took, in seconds.
    seconds: f64,
}

impl PlayedSeed<'_> {
    /// Virtual time of the run, in seconds.
    fn fleet_seconds(&self) -> f64 {
        self.outcome.simulated_time as f64 / 1e6
    }

    /// Lines for standard output.
    fn report(&self) -> Vec<String> {
        if self.args.json {
            vec![self.json()]
        } else if self.args.runs == 1 || !self.outcome.violations.is_empty() {
            self.text()
        } else {
            Vec::new()
        }
    }

    fn json(&self) -> String {
        let outcome = &self.outcome;
        let report = &outcome.report;
        let violations: Vec<_> = outcome
            .violations
            .iter()
            .map(Violation::to_string)
            .collect();
        let mut json = report.json(&mut report.total(), self.scenario.seconds);
        json["scenario"] = self.scenario.name.clone().into();
        json["seed"] = self.seed.into();
        json["digest"] = format!("{:016x}", outcome.digest).into();
        json["left"] = outcome.disconnects.requests.into();
        json["left_late"] = outcome.disconnects.late.into();
        json["cold_most"] = outcome.max_cold_load.into();
        json["left_sent_on"] = outcome.disconnects.sent_on.into();
        json["worst_ten_seconds"] = report.worst_ten_seconds().into();
        json["breaches"] = violations.into();
        json.to_string()
    }

    fn text(&self) -> Vec<String> {
        let (scenario, outcome) = (self.scenario, &self.outcome);
        let report = &outcome.report;
        let mut total = report.total();
        vec![
            format!(
                "{} seed {}: {} nodes, {} cache servers; digest {:016x}; {:.0} fleet-seconds a second",
                scenario.name,
                self.seed,
                scenario.nodes,
                scenario.servers,
                outcome.digest,
                self.fleet_seconds() / self.seconds
            ),
            format!("  {}", report.line(&mut total, scenario.seconds)),
            format!(
                "  worst ten seconds {:.3}; {} attempts, {} client retries, {} writes took effect, {} duplicate writes \
                 dropped, at most {} descriptors, highest load of a cold cache server {:.2} of what it can take",
                report.worst_ten_seconds(),
                total.attempts,
                total.retries,
                total.effects,
                total.dropped_repeats,
                outcome.max_descriptors,
                outcome.max_cold_load
            ),
        ]
    }

    /// Lines for standard error: the violations, and the command that replays the run.
    fn violations(&self) -> Vec<String> {
        let violations = &self.outcome.violations;
        let mut lines: Vec<String> = violations
            .iter()
            .map(|violation| format!("BROKEN {violation}"))
            .collect();
        let Some(first_violation) = violations.first() else {
            return lines;
        };
        let (name, seed) = (self.name, self.seed);
        let options = self.args.protocols.command_line();
        lines.push(format!(
            "replay: sloewick play {name} --seed {seed}{options} --log"
        ));
        if self.args.shrink {
            let protocols = self.args.protocols.for_testbed();
            let shortest =
                virtual_fleet::shrink(self.scenario, seed, first_violation.rule, None, protocols);
            lines.push(format!(
                "shortest schedule found (save it to a file and run it with --seed {seed}{options}):"
            ));
            lines.push(scenario::write(&shortest).trim_end().to_string());
        }
        lines
    }
}
