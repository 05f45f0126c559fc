//! The configuration of a node (`BALANCER_CONFIG`): its addresses, limits and settings, and the last known endpoint list.

use std::net::SocketAddr;

use serde_json::Value;
use sloewick_decision::settings::{self, Fields, Names, SettingsError};
use sloewick_decision::Settings;
use sloewick_memcached::config::{self as memcached_config, MemcachedConfig};
use sloewick_toml_config::Problem;

use crate::discovery::endpoints::{parse_endpoint_list, EndpointList};

/// The configuration of a node.
pub struct Config {
    /// Address of the client listener.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the admin listener; None: there is no admin interface.
    pub admin_address: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket that the process inherits from the platform; None: the node opens the
    /// socket itself. Not a field of the configuration, since it belongs to the process: `BALANCER_ACCEPT_FD` sets it.
    pub inherited_listener_fd: Option<i32>,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Memory limit of the process in bytes.
    pub memory_bytes: usize,
    /// Limit on the process's file descriptors.
    pub max_descriptors: usize,
    /// The last known endpoint list, which is used until discovery sends one.
    pub initial_endpoints: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants and zones in the settings.
    pub names: Names,
    /// Time after which servers close idle connections, in microseconds.
    pub server_idle_timeout: i64,
    /// This node's position, from 0 to 1, in schedules that spread the nodes over time by their numbers.
    pub phase: f64,
    /// Whether probes request a load report; otherwise they only check that the server responds.
    pub probes_request_load: bool,
    /// Configuration of the memcached frontend and cache servers; None: they are disabled.
    pub memcached: Option<MemcachedConfig>,
    /// Whether the event trace is written to the log. Not a field of the configuration: an option of the command line sets it.
    pub trace: bool,
}

/// Minimum number of descriptors, which allows a few connections to clients and a few to cache servers.
const MIN_SOCKETS: i64 = 64;
/// Minimum memory in MB, which suffices for long values one at a time.
const MIN_MEMORY_MB: i64 = 32;
/// [`Config::server_idle_timeout`] in microseconds if the settings contain no `conn_idle`.
const DEFAULT_SERVER_IDLE: i64 = 10_000_000;

/// Reads a configuration from a file.
///
/// # Errors
/// The file cannot be read, or a field is missing, of the wrong type or out of range; the first such field is named.
pub fn read_file(path: &str) -> Result<Config, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("{path}: {e}")))?;
    parse(&text)
}

/// Enables the memcached frontend and cache servers; `text` is the content of the memcached configuration file.
///
/// # Errors
/// All problems in the text.
pub fn enable_memcached(config: &mut Config, text: &str) -> Result<(), Vec<Problem>> {
    let memcached = memcached_config::parse(
        text,
        &config.names,
        &config.settings.classes,
        config.memory_bytes,
    )?;
    config.memcached = Some(memcached);
    Ok(())
}

/// Applies the environment variables: `BALANCER_OPS` if the file has no `ops`, and `BALANCER_ACCEPT_FD`.
///
/// # Errors
/// A variable is not an address, or not a descriptor above those of the standard streams; the variable is named.
pub fn apply_environment(
    config: &mut Config,
    var: impl Fn(&str) -> Option<String>,
) -> Result<(), SettingsError> {
    if let (None, Some(text)) = (config.admin_address, var("BALANCER_OPS")) {
        config.admin_address = Some(parse_address("BALANCER_OPS", &text)?);
    }
    if let Some(text) = var("BALANCER_ACCEPT_FD") {
        let fd = text.parse().ok().filter(|fd| *fd > 2);
        let invalid_descriptor = || {
            SettingsError::new(
                "BALANCER_ACCEPT_FD",
                format!("{text:?} is no descriptor above 2"),
            )
        };
        config.inherited_listener_fd = Some(fd.ok_or_else(invalid_descriptor)?);
    }
    Ok(())
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| SettingsError::new(name, format!("{text:?} is no address and port")))
}

/// Computes the node's phase from its number. Multiples of the golden ratio modulo 1 put consecutive numbers far apart and
/// spread any number of nodes evenly. Without a number the phase is random: it follows from the seed.
fn parse_phase(settings: &Fields<'_>, seed: u64) -> Result<f64, SettingsError> {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
    let number = settings
        .get_optional("me")
        .map(|_| settings.int("me"))
        .transpose()?;
    Ok((number.map_or((seed >> 40) as f64, |n| n as f64) * GOLDEN_RATIO).rem_euclid(1.0))
}

fn parse_server_idle(settings: &Fields<'_>) -> Result<i64, SettingsError> {
    match settings.get_optional("policy_limits") {
        Some(limits) => {
            Fields::from_value(limits, "policy_limits")?.micros_or("conn_idle", DEFAULT_SERVER_IDLE)
        }
        None => Ok(DEFAULT_SERVER_IDLE),
    }
}

fn parse_probe_load(settings: &Fields<'_>) -> Result<bool, SettingsError> {
    let Some(report) = settings.get_optional("load_report") else {
        return Ok(false);
    };
    let how = Fields::from_value(report, "load_report")?.get_optional("how");
    Ok(how.is_some_and(|how| how != "silent"))
}

/// Parses a configuration.
///
/// # Errors
/// The text is not JSON, or a field is missing, of the wrong type or out of range; the first such field is named.
pub fn parse(text: &str) -> Result<Config, SettingsError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| SettingsError::new("BALANCER_CONFIG", format!("is not JSON: {e}")))?;
    let fields = Fields::from_value(&value, "BALANCER_CONFIG")?;
    let address = |name: &str| parse_address(name, fields.text(name)?);
    let seed = u64::from_str_radix(fields.text("seed")?, 16)
        .map_err(|_| SettingsError::new("seed", "is not 64 bits in hex"))?;
    let limits = Fields::from_value(fields.get("limits")?, "limits")?;
    let at_least = |name: &str, min: i64| match limits.int(name)? {
        n if n >= min => Ok(n as usize),
        n => Err(SettingsError::new(name, format!("{n} is below {min}"))),
    };
    let settings_fields = Fields::from_value(fields.get("settings")?, "settings")?;
    let (settings, names) = settings::parse(&settings_fields)?;
    settings
        .validate()
        .map_err(|e| SettingsError::new("settings", e.to_string()))?;
    let server_idle = parse_server_idle(&settings_fields)?;
    let probe_load = parse_probe_load(&settings_fields)?;
    Ok(Config {
        listen: address("listen")?,
        discovery: address("discovery")?,
        admin_address: fields
            .get_optional("ops")
            .map(|_| address("ops"))
            .transpose()?,
        inherited_listener_fd: None,
        trace: false,
        seed,
        memory_bytes: at_least("memory_mb", MIN_MEMORY_MB)? << 20,
        max_descriptors: at_least("sockets", MIN_SOCKETS)?,
        initial_endpoints: parse_endpoint_list(fields.get("known")?)?,
        settings,
        names,
        server_idle_timeout: server_idle,
        phase: parse_phase(&settings_fields, seed)?,
        probes_request_load: probe_load,
        memcached: None,
    })
}
