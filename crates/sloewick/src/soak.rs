//! `sloewick soak`: planned restarts of real node processes, one run for each seed, checked against the rules.

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

/// CPU cores used by each of the seeds that run in parallel.
const CORES_PER_SEED: usize = 2;

/// Arguments of `sloewick soak`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick soak --seeds 7
  sloewick soak --seeds 1..50 --json
  sloewick soak --seeds 4711 --only signals --only holds --plays 10

Each seed starts its own fleet on an address of 127.0.0.0/8 and takes about 15 to 40 seconds.")]
pub(crate) struct Args {
    /// A single seed, or the first and last seed of a range
    #[arg(long, value_name = "FIRST..LAST", default_value = "1..4")]
    seeds: SeedRange,
    /// Besides restarts, run only this part of the test; can be repeated
    #[arg(long, value_name = "PART")]
    only: Vec<Part>,
    /// Total number of plays of a seed whose first play breaks a rule
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    plays: u32,
    /// Program to start nodes with, as `PROGRAM run`; by default this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// Number of seeds in parallel; by default one per two cores
    #[arg(long, value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(1..=32))]
    jobs: Option<usize>,
    /// Print lines of JSON
    #[arg(long)]
    json: bool,
}

/// An inclusive range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeedRange {
    first: u64,
    last: u64,
}

/// An argument that is not a seed or a range of seeds.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0:?} is neither a seed nor a range FIRST..LAST of seeds")]
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

/// Errors in the program to start nodes with.
#[derive(Debug, Error)]
enum SoakError {
    #[error("cannot determine the path of this program: {0}")]
    NoExecutablePath(std::io::Error),
    #[error("--program {}: is not a file; must be a program that runs as a node", .0.display())]
    NotAFile(PathBuf),
}

/// Results of all plays of one seed.
struct SeedResult {
    seed: u64,
    /// Plays with a broken rule, or whose fleet did not start.
    broken_plays: u32,
    plays: u32,
    /// Outcome of the first play. Only if it breaks a rule, the seed is played again.
    first_play: Result<Outcome, std::io::Error>,
}

/// Plays all seeds in parallel and prints their results in order.
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
    let started = Instant::now();
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
            result.broken_plays > 0
        },
    );
    summary.print(played, started.elapsed().as_secs_f64(), args.json);
    if summary.broken_seeds > 0 {
        ExitCode::from(exit_code::RULE_BROKEN)
    } else if played < runs {
        ExitCode::from(exit_code::INTERRUPTED)
    } else {
        ExitCode::SUCCESS
    }
}

/// The path of the program to start nodes with.
fn node_program(args: &Args) -> Result<PathBuf, SoakError> {
    match &args.program {
        Some(program) if program.is_file() => Ok(program.clone()),
        Some(program) => Err(SoakError::NotAFile(program.clone())),
        None => std::env::current_exe().map_err(SoakError::NoExecutablePath),
    }
}

fn jobs(args: &Args) -> usize {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    args.jobs.unwrap_or((cores / CORES_PER_SEED).max(1))
}

/// Plays a seed once, and again up to `plays` times in all if a rule was broken or the fleet did not start.
fn play_seed(seed: u64, plays: u32, options: &Options) -> SeedResult {
    let is_broken = |outcome: &std::io::Result<Outcome>| {
        outcome
            .as_ref()
            .map_or(true, |outcome| !outcome.violations.is_empty())
    };
    let first_play = restart_soak::play(seed, options);
    let mut result = SeedResult {
        seed,
        broken_plays: u32::from(is_broken(&first_play)),
        plays: 1,
        first_play,
    };
    while result.broken_plays > 0 && result.plays < plays {
        result.plays += 1;
        result.broken_plays += u32::from(is_broken(&restart_soak::play(seed, options)));
    }
    result
}

fn report(result: &SeedResult, args: &Args) {
    match &result.first_play {
        Ok(outcome) if args.json => print_line(seed_json(result, outcome).to_string()),
        Ok(outcome) => print_line(seed_text(result.seed, outcome)),
        Err(error) => print_line(format!(
            "seed {}: cannot start the fleet: {error}",
            result.seed
        )),
    }
    let Ok(outcome) = &result.first_play else {
        return;
    };
    for violation in &outcome.violations {
        eprintln!("BROKEN {violation}");
    }
    for line in &outcome.log_lines {
        eprintln!("    {line}");
    }
    if result.broken_plays > 0 {
        let only: Vec<String> = args
            .only
            .iter()
            .map(|part| format!(" --only {part}"))
            .collect();
        let program = args.program.as_ref();
        let program = program.map(|path| format!(" --program {}", path.display()));
        eprintln!(
            "a rule was broken in {} of {} plays; replay: sloewick soak --seeds {}{}{}",
            result.broken_plays,
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
        "{} requests ({} served, {} rejected, {} failed, {} disconnected, {} closed), {} restarts, {} signals, at most {} \
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
    json["broken_plays"] = result.broken_plays.into();
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
    broken_seeds: u64,
    violations: u64,
}

impl Summary {
    fn add(&mut self, result: &SeedResult) {
        self.broken_seeds += u64::from(result.broken_plays > 0);
        let Ok(outcome) = &result.first_play else {
            return;
        };
        self.violations += outcome.violations.len() as u64;
        self.counts += outcome.counts;
    }

    /// Prints the totals; `seconds` is the real time that all seeds took.
    fn print(&self, seeds: u64, seconds: f64, json: bool) {
        if json {
            let mut line = counts_json(&self.counts);
            line["summary"] = true.into();
            line["seeds"] = seeds.into();
            line["broken_seeds"] = self.broken_seeds.into();
            line["violations"] = self.violations.into();
            line["seconds"] = seconds.into();
            return print_line(line.to_string());
        }
        print_line(format!(
            "{seeds} seeds in {seconds:.0} s, {} with a broken rule; {}",
            self.broken_seeds,
            counts_text(&self.counts)
        ));
    }
}

#[cfg(test)]
#[path = "soak_tests.rs"]
mod tests;
