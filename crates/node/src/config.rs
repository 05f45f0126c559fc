//! The configuration, `BALANCER_CONFIG`: who this node is, its limits, its settings and the last known endpoint list.

use std::net::SocketAddr;

use serde_json::Value;
use sloewick_decision::settings::{self, Fields, Names, SettingsError};
use sloewick_decision::Settings;
use sloewick_memcached::config::{self as memcached_config, MemcachedConfig};
use sloewick_toml_config::Problem;

use crate::discovery::endpoints::{parse_endpoint_list, EndpointList};

/// The configuration of a node.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Where admin clients connect, if they may.
    pub ops: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket where the platform holds it; without one the node listens itself.
    /// Not a field of the configuration: it belongs to the process, as `BALANCER_ACCEPT_FD` says.
    pub accept_fd: Option<i32>,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Limit of the process's memory, in bytes.
    pub memory: usize,
    /// Limit of the process's descriptors.
    pub sockets: usize,
    /// The last known endpoint list.
    pub known: EndpointList,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names that the settings give to classes, tenants and zones.
    pub names: Names,
    /// Time after which servers close idle connections, in microseconds.
    pub server_idle: i64,
    /// This node's position in what all nodes spread over time by their numbers, from 0 to 1.
    pub phase: f64,
    /// Probes ask for a load report; otherwise for a mere sign of life.
    pub probe_load: bool,
    /// The memcached frontend and cache servers, where they are switched on.
    pub memcached: Option<MemcachedConfig>,
    /// The event trace is written to the log. Not a field of the configuration: the command line says so.
    pub trace: bool,
}

/// Minimum of descriptors: a few connections on each side.
const MIN_SOCKETS: i64 = 64;
/// Minimum of memory in MB: long values one at a time.
const MIN_MEMORY_MB: i64 = 32;
/// Used where the settings do not say how long servers keep idle connections.
const DEFAULT_SERVER_IDLE: i64 = 10_000_000;

/// Reads a configuration from a file.
///
/// # Errors
/// The file cannot be read, or the first field that is missing, of a wrong kind or beyond its bounds.
pub fn read(path: &str) -> Result<Config, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("{path}: {e}")))?;
    parse(&text)
}

/// Switches the memcached frontend and cache servers on, as `text` says.
///
/// # Errors
/// All that is wrong with the text.
pub fn memcached(config: &mut Config, text: &str) -> Result<(), Vec<Problem>> {
    let file =
        memcached_config::parse(text, &config.names, &config.settings.classes, config.memory)?;
    config.memcached = Some(file);
    Ok(())
}

/// Applies the environment: `BALANCER_OPS` where the file has no `ops`, and `BALANCER_ACCEPT_FD`.
///
/// # Errors
/// The variable that is no address, or no descriptor beyond the standard streams.
pub fn apply_environment(
    config: &mut Config,
    var: impl Fn(&str) -> Option<String>,
) -> Result<(), SettingsError> {
    if let (None, Some(text)) = (config.ops, var("BALANCER_OPS")) {
        config.ops = Some(parse_address("BALANCER_OPS", &text)?);
    }
    if let Some(text) = var("BALANCER_ACCEPT_FD") {
        let fd = text.parse().ok().filter(|fd| *fd > 2);
        let no_descriptor = || {
            SettingsError::new(
                "BALANCER_ACCEPT_FD",
                format!("{text:?} is no descriptor above 2"),
            )
        };
        config.accept_fd = Some(fd.ok_or_else(no_descriptor)?);
    }
    Ok(())
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| SettingsError::new(name, format!("{text:?} is no address and port")))
}

/// The node's phase. Those of neighbouring node numbers lie far apart, and any number of nodes shares the time evenly.
/// Without a number the phase is random.
fn parse_phase(settings: &Fields<'_>, seed: u64) -> Result<f64, SettingsError> {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    let number = settings.opt("me").map(|_| settings.int("me")).transpose()?;
    Ok((number.map_or((seed >> 40) as f64, |n| n as f64) * GOLDEN_RATIO).rem_euclid(1.0))
}

fn parse_server_idle(settings: &Fields<'_>) -> Result<i64, SettingsError> {
    match settings.opt("policy_limits") {
        Some(limits) => {
            Fields::of(limits, "policy_limits")?.micros_or("conn_idle", DEFAULT_SERVER_IDLE)
        }
        None => Ok(DEFAULT_SERVER_IDLE),
    }
}

fn parse_probe_load(settings: &Fields<'_>) -> Result<bool, SettingsError> {
    let Some(report) = settings.opt("load_report") else {
        return Ok(false);
    };
    let how = Fields::of(report, "load_report")?.opt("how");
    Ok(how.is_some_and(|how| how != "silent"))
}

/// Parses a configuration.
///
/// # Errors
/// The first field that is missing, of a wrong kind or beyond its bounds.
pub fn parse(text: &str) -> Result<Config, SettingsError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("is not JSON: {e}")))?;
    let fields = Fields::of(&value, "BALANCER_CONFIG")?;
    let address = |name: &str| parse_address(name, fields.text(name)?);
    let seed = u64::from_str_radix(fields.text("seed")?, 16)
        .map_err(|_| SettingsError::new("seed", "is not 64 bits in hex"))?;
    let limits = Fields::of(fields.get("limits")?, "limits")?;
    let at_least = |name: &str, min: i64| match limits.int(name)? {
        n if n >= min => Ok(n as usize),
        n => Err(SettingsError::new(name, format!("{n} is below {min}"))),
    };
    let object = Fields::of(fields.get("settings")?, "settings")?;
    let (settings, names) = settings::parse(&object)?;
    settings
        .validate()
        .map_err(|e| SettingsError::new("settings", e.to_string()))?;
    let server_idle = parse_server_idle(&object)?;
    let probe_load = parse_probe_load(&object)?;
    Ok(Config {
        listen: address("listen")?,
        discovery: address("discovery")?,
        ops: fields.opt("ops").map(|_| address("ops")).transpose()?,
        accept_fd: None,
        trace: false,
        seed,
        memory: at_least("memory_mb", MIN_MEMORY_MB)? << 20,
        sockets: at_least("sockets", MIN_SOCKETS)?,
        known: parse_endpoint_list(fields.get("known")?)?,
        settings,
        names,
        server_idle,
        phase: parse_phase(&object, seed)?,
        probe_load,
        memcached: None,
    })
}
