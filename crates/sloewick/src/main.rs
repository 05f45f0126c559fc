//! The sloewick command line: one module for each subcommand.

mod check;
mod demo;
mod exit_code;
mod output;
mod parallel_runs;
mod play;
mod protocol_options;
mod run;
mod soak;
mod trace;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A gateway in front of a read cache: accepts requests, selects a cache server for each, and returns exactly one
/// final response
#[derive(Parser)]
#[command(version, about, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "\
Examples:
  sloewick demo --fault slow-origin
  sloewick check node.json
  BALANCER_CONFIG=node.json sloewick run
  BALANCER_CONFIG=node.json sloewick run --memcached deploy/memcached.toml
  sloewick play rolling-deploy --seed 7
  sloewick play --list
  sloewick soak --seeds 1..4
  sloewick trace logs

Exit codes: 0 success, 1 a rule was broken or a fleet did not start, 2 unusable input, 130 interrupted.";

#[derive(Subcommand)]
enum Command {
    /// Run a node with the JSON configuration file named by `BALANCER_CONFIG`
    Run(run::Args),
    /// Check configuration files and report their problems
    Check(check::Args),
    /// Run a complete emulated fleet on loopback and print its figures each second
    Demo(demo::Args),
    /// Run a scenario in virtual time and check it against the rules
    Play(play::Args),
    /// Restart real node processes repeatedly under load and check them against the rules
    Soak(soak::Args),
    /// Summarise the event traces of a fleet's nodes
    Trace(trace::Args),
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run(args) => run::run(&args),
        Command::Check(args) => check::check(&args),
        Command::Demo(args) => demo::demo(&args),
        Command::Play(args) => play::play(&args),
        Command::Soak(args) => soak::soak(&args),
        Command::Trace(args) => trace::trace(&args),
    }
}
