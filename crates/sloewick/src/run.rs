//! `sloewick run`: runs a node of the gateway until a signal stops it.
//!
//! The configuration is read, checked and completed from the environment before a socket is opened. A node does not
//! start with a configuration under which it could serve no request.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sloewick_decision::settings::SettingsError;
use sloewick_node::config::Config;
use sloewick_node::mio_transport::MioTransport;
use sloewick_node::startup_retry::retry_transient;
use sloewick_node::{config, config_check, Node};
use thiserror::Error;

use crate::exit_code;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// Arguments of `sloewick run`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Serve memcached clients and use memcached cache servers as configured by this TOML file (see docs/memcached.md)
    #[arg(long, value_name = "FILE")]
    memcached: Option<PathBuf>,
    /// Write a line for each event to standard error, for use with `sloewick trace` (see docs/fleet-size.md)
    #[arg(long)]
    trace: bool,
}

/// Errors that keep a node from starting, or end it.
#[derive(Debug, Error)]
enum RunError {
    #[error("field BALANCER_CONFIG: is not set")]
    NoConfiguration,
    #[error("field BALANCER_CONFIG: {path}: {error}")]
    UnreadableConfiguration { path: String, error: std::io::Error },
    #[error("{0}")]
    Configuration(SettingsError),
    #[error("field --memcached: {path}: {reason}")]
    Memcached { path: String, reason: String },
    #[error("field signals: {0}")]
    Signals(std::io::Error),
    #[error("field listen: {address}: {error}")]
    Listen {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("field poll: {0}")]
    EventLoop(std::io::Error),
}

/// Runs a node until a signal stops it.
pub(crate) fn run(args: &Args) -> ExitCode {
    match run_node(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Written directly: log lines are truncated, and the end of this message says how to fix the problem.
            let _ = writeln!(std::io::stderr(), "{error}");
            ExitCode::from(exit_code::UNUSABLE_INPUT)
        }
    }
}

fn run_node(args: &Args) -> Result<(), RunError> {
    // First, since a signal without a handler would end the process.
    let mut transport = MioTransport::with_signals().map_err(RunError::Signals)?;
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| RunError::NoConfiguration)?;
    let config = read_config(&path, args)?;
    let listen = config.listen;
    if let Some(directory) =
        std::env::var_os("TMPDIR").filter(|_| config.inherited_listener_fd.is_some())
    {
        share_state_in(directory.as_ref(), listen, &mut transport);
    }
    let reload = Box::new(move || config::read_file(&path));
    let node = Node::new(config, transport, reload).map_err(|error| RunError::Listen {
        address: listen,
        error,
    })?;
    node.run().map_err(RunError::EventLoop)
}

/// Shares the state of the node with its other processes through files in `directory`. The node serves without them, but the next
/// process then has to learn its state again.
fn share_state_in(directory: &Path, listen: SocketAddr, transport: &mut MioTransport) {
    transport.share_ids_in(directory);
    let shared = transport
        .share_endpoint_lists_in(directory, listen)
        .and_then(|()| transport.save_snapshots_in(directory));
    if let Err(error) = shared {
        let _ = writeln!(std::io::stderr(), "handover: not kept: {error}");
    }
    if let Err(error) = transport.share_slots_in(directory, listen) {
        let _ = writeln!(
            std::io::stderr(),
            "handover: slots for clients not shared: {error}"
        );
    }
}

/// Reads the configuration from files, environment and options.
fn read_config(path: &str, args: &Args) -> Result<Config, RunError> {
    let text = retry_transient(|| std::fs::read_to_string(path)).map_err(|error| {
        RunError::UnreadableConfiguration {
            path: path.to_string(),
            error,
        }
    })?;
    let mut config = parse_checked(&text).map_err(RunError::Configuration)?;
    if let Some(file) = &args.memcached {
        read_memcached(&mut config, file)?;
    }
    config::apply_environment(&mut config, |name| std::env::var(name).ok())
        .map_err(RunError::Configuration)?;
    config.trace = args.trace;
    Ok(config)
}

fn read_memcached(config: &mut Config, file: &Path) -> Result<(), RunError> {
    let unusable = |reason: String| RunError::Memcached {
        path: file.display().to_string(),
        reason,
    };
    let text = retry_transient(|| std::fs::read_to_string(file))
        .map_err(|error| unusable(error.to_string()))?;
    config::enable_memcached(config, &text).map_err(|problems| {
        let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
        unusable(messages.join("; "))
    })
}

/// Parses a configuration and rejects values out of range: with a timeout of 0 or a share of 7, a node would serve no
/// request.
fn parse_checked(text: &str) -> Result<Config, SettingsError> {
    let problem = config_check::check(text)
        .into_iter()
        .find(|found| found.is_fatal);
    match (config::parse(text), problem) {
        (Ok(config), None) => Ok(config),
        // Prefers the error of the check, which has the complete field path, the value and an example.
        (parsed, Some(problem))
            if parsed.is_ok()
                || problem.field.starts_with("settings.") && problem.value != "missing" =>
        {
            let why = format!(
                "{}: {}; for example {}",
                problem.value, problem.reason, problem.example
            );
            Err(SettingsError::new(&problem.field, why))
        }
        (parsed, _) => parsed,
    }
}
