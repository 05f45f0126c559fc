//! BALANCER_CONFIG: who this node is, its limits, its settings and the last known list.

use std::net::SocketAddr;

use serde_json::Value;
use sloewick_decision::settings::{self, Fields, Names, SettingsError};
use sloewick_decision::Settings;
use sloewick_memcached::config::{self as memcached_config, MemcachedConfig};
use sloewick_toml_config::Problem;

use crate::discovery::{self, Answer};

/// What a node is told at its start.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket where the platform holds it; the node listens itself
    /// without one. Not a field of the configuration: it belongs to the process, as BALANCER_ACCEPT_FD tells.
    pub accept_fd: Option<i32>,
    pub seed: u64,
    pub memory: usize,
    pub sockets: usize,
    pub known: Answer,
    pub settings: Settings,
    pub names: Names,
    /// Servers close connections that stood idle this long, in microseconds.
    pub server_idle: i64,
    /// This node's turn in what all nodes spread over time by their numbers, from 0 to 1.
    pub turn: f64,
    /// What a probe asks: a load report where reports come with probes, else a mere sign of life.
    pub probe_load: bool,
    /// The memcached front and boxes, where they are switched on.
    pub memcached: Option<MemcachedConfig>,
    /// A line for each event goes to the log. Not a field of the configuration: the command line says so.
    pub trace: bool,
}

/// The least that the node can work with: a few connections on each side, and long values one at a time.
const SOCKETS_LEAST: i64 = 64;
const MEMORY_LEAST_MB: i64 = 32;
/// Used where the settings do not tell how long servers keep idle connections.
const IDLE_USUAL: i64 = 10_000_000;

pub fn read(path: &str) -> Result<Config, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("{path}: {e}")))?;
    parse(&text)
}

/// Switches the memcached front and boxes on, as this text says.
///
/// # Errors
/// All that is wrong with it.
pub fn memcached(config: &mut Config, text: &str) -> Result<(), Vec<Problem>> {
    let file =
        memcached_config::parse(text, &config.names, &config.settings.classes, config.memory)?;
    config.memcached = Some(file);
    Ok(())
}

/// What the process's surroundings say beside the file: `BALANCER_OPS` where the file has no `ops`, and
/// `BALANCER_ACCEPT_FD`.
///
/// # Errors
/// The variable that is no address, or no descriptor beyond the standard streams.
pub fn surroundings(
    config: &mut Config,
    var: impl Fn(&str) -> Option<String>,
) -> Result<(), SettingsError> {
    if let (None, Some(text)) = (config.ops, var("BALANCER_OPS")) {
        let ops = text.parse();
        config.ops = Some(ops.map_err(|_| {
            SettingsError::new("BALANCER_OPS", format!("{text:?} is no address and port"))
        })?);
    }
    if let Some(text) = var("BALANCER_ACCEPT_FD") {
        let fd = text.parse().ok().filter(|fd| *fd > 2);
        let bad = || {
            SettingsError::new(
                "BALANCER_ACCEPT_FD",
                format!("{text:?} is no descriptor above 2"),
            )
        };
        config.accept_fd = Some(fd.ok_or_else(bad)?);
    }
    Ok(())
}

/// Turns of neighbouring numbers lie far apart, and any number of nodes shares the time evenly. Without a number it is drawn.
fn turn(settings: &Fields, seed: u64) -> Result<f64, SettingsError> {
    const GOLDEN: f64 = 0.618_033_988_749_894_9;
    let number = settings.opt("me").map(|_| settings.int("me")).transpose()?;
    Ok((number.map_or((seed >> 40) as f64, |n| n as f64) * GOLDEN).rem_euclid(1.0))
}

/// A configuration from its text.
///
/// # Errors
/// The first field that is missing, of a wrong kind or beyond its bounds.
pub fn parse(text: &str) -> Result<Config, SettingsError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("is not JSON: {e}")))?;
    let f = Fields::of(&value, "BALANCER_CONFIG")?;
    let address = |name: &str| {
        let text = f.text(name)?;
        text.parse()
            .map_err(|_| SettingsError::new(name, format!("{text:?} is no address and port")))
    };
    let seed = f.text("seed")?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| SettingsError::new("seed", "is not 64 bits in hex"))?;
    let limits = Fields::of(f.get("limits")?, "limits")?;
    let at_least = |name: &str, least: i64| match limits.int(name)? {
        n if n >= least => Ok(n as usize),
        n => Err(SettingsError::new(name, format!("{n} is below {least}"))),
    };
    let object = Fields::of(f.get("settings")?, "settings")?;
    let (settings, names) = settings::parse(&object)?;
    settings
        .validate()
        .map_err(|e| SettingsError::new("settings", e.to_string()))?;
    let idle = match object.opt("policy_limits") {
        Some(limits) => Fields::of(limits, "policy_limits")?.micros_or("conn_idle", IDLE_USUAL)?,
        None => IDLE_USUAL,
    };
    let probe_load = match object.opt("load_report") {
        Some(report) => Fields::of(report, "load_report")?
            .opt("how")
            .is_some_and(|how| how != "silent"),
        None => false,
    };
    Ok(Config {
        listen: address("listen")?,
        discovery: address("discovery")?,
        ops: f.opt("ops").map(|_| address("ops")).transpose()?,
        accept_fd: None,
        trace: false,
        seed,
        memory: at_least("memory_mb", MEMORY_LEAST_MB)? << 20,
        sockets: at_least("sockets", SOCKETS_LEAST)?,
        known: discovery::answer(f.get("known")?)?,
        settings,
        names,
        server_idle: idle,
        turn: turn(&object, seed)?,
        probe_load,
        memcached: None,
    })
}
