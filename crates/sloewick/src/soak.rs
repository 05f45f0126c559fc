//! `sloewick soak`: planned restarts of real processes, one run for each seed, checked against the rules.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Instant;

use sloewick_testbed::checker::Violation;
use sloewick_testbed::restart_soak::plan::Part;
use sloewick_testbed::restart_soak::{self, Counts, Options, Outcome};
use thiserror::Error;

use crate::exit_code;
use crate::output::{print_line, reject_input};
use crate::parallel_runs;

/// Cores for each seed that is played at the same time.
const CORES_PER_SEED: usize = 2;

/// Arguments of `sloewick soak`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick soak --seeds 7
  sloewick soak --seeds 1..50 --json
  sloewick soak --seeds 4711 --only signals --only holds --plays 10

Each seed starts its own fleet on an address of 127.0.0.0/8 and takes some 15 to 40 seconds.")]
pub(crate) struct Args {
    /// A seed, or the first and the last one
    #[arg(long, value_name = "FIRST..LAST", default_value = "1..4")]
    seeds: SeedRange,
    /// Play only this part besides restarts; may be given more than once
    #[arg(long, value_name = "PART")]
    only: Vec<Part>,
    /// How often a seed with a broken rule is played in all
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    plays: u32,
    /// Program that runs as a node, as `PROGRAM run`; without it this one
    #[arg(long)]
    program: Option<PathBuf>,
    /// Seeds at a time; without it one for each two cores
    #[arg(long, value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(1..=32))]
    jobs: Option<usize>,
    /// Print lines of JSON
    #[arg(long)]
    json: bool,
}

/// Seeds from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeedRange {
    first: u64,
    last: u64,
}

/// A text that names no seeds.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0:?} is no seed and no range FIRST..LAST of them")]
struct InvalidSeeds(String);

impl FromStr for SeedRange {
    type Err = InvalidSeeds;

    fn from_str(text: &str) -> Result<SeedRange, InvalidSeeds> {
        let invalid = || InvalidSeeds(text.to_string());
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let first = first.parse().map_err(|_| invalid())?;
        let last = last.parse().map_err(|_| invalid())?;
        let is_range = first <= last && last < u64::MAX;
        is_range
            .then_some(SeedRange { first, last })
            .ok_or_else(invalid)
    }
}

/// Why there is nothing to play.
#[derive(Debug, Error)]
enum SoakError {
    #[error("this program can't be found: {0}")]
    NoProgram(std::io::Error),
    #[error("--program {}: is no file; a program that runs as a node is wanted", .0.display())]
    NotAFile(PathBuf),
}

/// The plays of one seed.
struct SeedResult {
    seed: u64,
    /// Plays with a broken rule, of all.
    broken: u32,
    plays: u32,
    /// The first play with a broken rule, or the only one.
    shown: Result<Outcome, std::io::Error>,
}

/// Plays the seeds that the arguments name.
pub(crate) fn soak(args: &Args) -> ExitCode {
    let program = match node_program(args) {
        Ok(program) => program,
        Err(error) => return reject_input(&error),
    };
    let parts: BTreeSet<Part> = args.only.iter().copied().collect();
    let options = Options {
        program,
        parts: if parts.is_empty() {
            Part::ALL.to_vec()
        } else {
            parts.into_iter().collect()
        },
    };
    let begun = Instant::now();
    let SeedRange { first, last } = args.seeds;
    let runs = last - first + 1;
    let stop = parallel_runs::interrupt_flag();
    let mut summary = Summary::default();
    let played = parallel_runs::run_all(
        runs,
        jobs(args),
        &stop,
        |number| play_seed(first + number, args.plays, &options),
        |result| {
            summary.add(&result);
            report(&result, args);
            result.broken > 0
        },
    );
    summary.print(played, begun.elapsed().as_secs_f64(), args.json);
    if summary.broken > 0 {
        ExitCode::from(exit_code::RULE_BROKEN)
    } else if played < runs {
        ExitCode::from(exit_code::INTERRUPTED)
    } else {
        ExitCode::SUCCESS
    }
}

/// The program that runs as a node.
fn node_program(args: &Args) -> Result<PathBuf, SoakError> {
    match &args.program {
        Some(program) if program.is_file() => Ok(program.clone()),
        Some(program) => Err(SoakError::NotAFile(program.clone())),
        None => std::env::current_exe().map_err(SoakError::NoProgram),
    }
}

fn jobs(args: &Args) -> usize {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    args.jobs.unwrap_or((cores / CORES_PER_SEED).max(1))
}

/// Plays a seed once, and again if a rule was broken.
fn play_seed(seed: u64, plays: u32, options: &Options) -> SeedResult {
    let is_broken = |outcome: &std::io::Result<Outcome>| {
        outcome
            .as_ref()
            .map_or(true, |outcome| !outcome.violations.is_empty())
    };
    let shown = restart_soak::play(seed, options);
    let mut result = SeedResult {
        seed,
        broken: u32::from(is_broken(&shown)),
        plays: 1,
        shown,
    };
    while result.broken > 0 && result.plays < plays {
        result.plays += 1;
        result.broken += u32::from(is_broken(&restart_soak::play(seed, options)));
    }
    result
}

fn report(result: &SeedResult, args: &Args) {
    match &result.shown {
        Ok(outcome) if args.json => print_line(seed_json(result, outcome).to_string()),
        Ok(outcome) => print_line(seed_text(result.seed, outcome)),
        Err(error) => print_line(format!(
            "seed {}: the fleet does not start: {error}",
            result.seed
        )),
    }
    let Ok(outcome) = &result.shown else {
        return;
    };
    for violation in &outcome.violations {
        eprintln!("BROKEN {violation}");
    }
    for line in &outcome.log_lines {
        eprintln!("    {line}");
    }
    if result.broken > 0 {
        let only: Vec<String> = args
            .only
            .iter()
            .map(|part| format!(" --only {part}"))
            .collect();
        let program = args.program.as_ref();
        let program = program.map(|path| format!(" --program {}", path.display()));
        eprintln!(
            "seen in {} of {} plays; replay: sloewick soak --seeds {}{}{}",
            result.broken,
            result.plays,
            result.seed,
            only.concat(),
            program.unwrap_or_default()
        );
    }
}

fn seed_text(seed: u64, outcome: &Outcome) -> String {
    let (plan, counts) = (&outcome.plan, &outcome.counts);
    format!(
        "seed {seed}: {} nodes, {} servers, longest deadline {} ms, {} descriptors; {}; rules broken: {}",
        plan.scenario.nodes,
        plan.scenario.servers,
        plan.longest_deadline / 1000,
        plan.descriptors,
        counts_text(counts),
        outcome.violations.len()
    )
}

fn counts_text(counts: &Counts) -> String {
    format!(
        "{} requests ({} served, {} rejected, {} failed, {} left, {} closed), {} restarts, {} signals, at most {} \
         descriptors and {} MB, longest stall of the run {} ms",
        counts.requests,
        counts.served,
        counts.rejected,
        counts.failed,
        counts.disconnected,
        counts.closed,
        counts.restarts,
        counts.signals,
        counts.max_descriptors,
        counts.max_memory_mb,
        counts.max_stall_ms
    )
}

fn counts_json(counts: &Counts) -> serde_json::Value {
    serde_json::json!({
        "requests": counts.requests, "served": counts.served, "rejected": counts.rejected, "failed": counts.failed,
        "disconnected": counts.disconnected, "closed": counts.closed, "restarts": counts.restarts,
        "signals": counts.signals, "max_descriptors": counts.max_descriptors, "max_memory_mb": counts.max_memory_mb,
        "max_stall_ms": counts.max_stall_ms,
    })
}

fn seed_json(result: &SeedResult, outcome: &Outcome) -> serde_json::Value {
    let mut json = counts_json(&outcome.counts);
    json["seed"] = result.seed.into();
    json["nodes"] = outcome.plan.scenario.nodes.into();
    json["broken_plays"] = result.broken.into();
    json["plays"] = result.plays.into();
    let violations: Vec<String> = outcome
        .violations
        .iter()
        .map(Violation::to_string)
        .collect();
    json["violations"] = violations.into();
    json
}

/// Totals over all seeds.
#[derive(Default)]
struct Summary {
    counts: Counts,
    /// Seeds in which a rule was broken, or whose fleet did not start.
    broken: u64,
    violations: u64,
}

impl Summary {
    fn add(&mut self, result: &SeedResult) {
        self.broken += u64::from(result.broken > 0);
        let Ok(outcome) = &result.shown else {
            return;
        };
        self.violations += outcome.violations.len() as u64;
        self.counts += outcome.counts;
    }

    /// `seconds`: real time that all took.
    fn print(&self, seeds: u64, seconds: f64, json: bool) {
        if json {
            let mut line = counts_json(&self.counts);
            line["summary"] = true.into();
            line["seeds"] = seeds.into();
            line["broken_seeds"] = self.broken.into();
            line["violations"] = self.violations.into();
            line["seconds"] = seconds.into();
            return print_line(line.to_string());
        }
        print_line(format!(
            "{seeds} seeds in {seconds:.0} s, {} with a broken rule; {}",
            self.broken,
            counts_text(&self.counts)
        ));
    }
}

#[cfg(test)]
#[path = "soak_tests.rs"]
mod tests;
