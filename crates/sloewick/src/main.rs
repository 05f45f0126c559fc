//! The sloewick command line.

mod check;
mod demo;
mod out;
mod play;
mod runs;
mod speech;
mod trace;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sloewick_decision::settings::SettingsError;
use sloewick_node::Node;
use sloewick_node::{config, mio_transport::MioTransport};

/// A gateway before a read cache: takes requests, decides for each where it goes, and gives each exactly one
/// final answer.
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
  sloewick trace logs

Exit codes: 0 done, 1 a rule was broken, 2 input that can't be used, 130 interrupted.";

#[derive(Subcommand)]
enum Command {
    /// Run a node, configured by the JSON file that BALANCER_CONFIG names
    Run(RunArgs),
    /// Read a configuration and judge it
    Check(check::Args),
    /// Run a whole stand-in fleet on loopback and watch it
    Demo(demo::Args),
    /// Play a scenario on virtual time and judge it
    Play(play::Args),
    /// Count the traces of a fleet's nodes together
    Trace(trace::Args),
}

#[derive(clap::Args)]
struct RunArgs {
    /// Switch the memcached front and boxes on, as this TOML file says (see docs/memcached.md)
    #[arg(long, value_name = "FILE")]
    memcached: Option<PathBuf>,
    /// Write a line for each event to standard error, for `sloewick trace` (see docs/fleet-size.md)
    #[arg(long)]
    trace: bool,
}

/// A configuration that can be read and that means something: under a time of no length, or a share of 7, nothing is served.
fn usable(text: &str) -> Result<config::Config, SettingsError> {
    let found = sloewick_node::config_check::check(text)
        .into_iter()
        .find(|found| found.fatal);
    match (config::parse(text), found) {
        (Ok(config), None) => Ok(config),
        // Told with its whole path, what stands there and what would do.
        (parsed, Some(found))
            if parsed.is_ok()
                || found.field.starts_with("settings.") && found.value != "missing" =>
        {
            let why = format!(
                "{}: {}; for example {}",
                found.value, found.why, found.example
            );
            Err(SettingsError::new(&found.field, why))
        }
        (parsed, _) => parsed,
    }
}

fn run(args: &RunArgs) -> Result<(), SettingsError> {
    let path = std::env::var("BALANCER_CONFIG")
        .map_err(|_| SettingsError::new("BALANCER_CONFIG", "is not set"))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("{path}: {e}")))?;
    let mut config = usable(&text)?;
    if let Some(file) = &args.memcached {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| SettingsError::new("--memcached", format!("{name}: {e}")))?;
        config::memcached(&mut config, &text).map_err(|problems| {
            let all: Vec<String> = problems.iter().map(|p| p.to_string()).collect();
            SettingsError::new("--memcached", format!("{name}: {}", all.join("; ")))
        })?;
    }
    config::apply_environment(&mut config, |name| std::env::var(name).ok())?;
    config.trace = args.trace;
    let listen = config.listen;
    let mut os =
        MioTransport::with_signals().map_err(|e| SettingsError::new("signals", e.to_string()))?;
    if let Some(folder) = std::env::var_os("TMPDIR").filter(|_| config.accept_fd.is_some()) {
        // The next process learns anew then; this one serves all the same.
        if let Err(e) = os.save_snapshots_in(folder.as_ref()) {
            let _ = writeln!(std::io::stderr(), "handover: not kept: {e}");
        }
    }
    let node = Node::new(config, os, Box::new(move || config::read(&path)));
    let node = node.map_err(|e| SettingsError::new("listen", format!("{listen}: {e}")))?;
    node.run()
        .map_err(|e| SettingsError::new("poll", e.to_string()))
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run(args) => match run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(bad) => {
                // Not as a line of the log: that is cut short, and here the end says what to do.
                let _ = writeln!(std::io::stderr(), "{bad}");
                ExitCode::from(2)
            }
        },
        Command::Check(args) => check::check(&args),
        Command::Demo(args) => demo::demo(&args),
        Command::Play(args) => play::play(&args),
        Command::Trace(args) => trace::trace(&args),
    }
}
