//! Parses the endpoint list that discovery sends. The module holds no state.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sloewick_decision::api::{ServerId, ServerState};
use sloewick_decision::settings::{Fields, RawEndpoint, SettingsError};

/// An entry of the endpoint list, with the address and the start time of its server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The fields that the decision module uses.
    pub entry: RawEndpoint,
    /// Address at which the server accepts connections.
    pub address: SocketAddr,
    /// Unix time of the server's last start in milliseconds; 0 if it started long ago.
    pub boot_ms: i64,
}

/// A response of discovery: the full endpoint list, or the entries that have changed.
pub struct EndpointList {
    /// Revision of the list.
    pub rev: i64,
    /// Whether `targets` holds all endpoints; otherwise it holds those that have changed.
    pub all: bool,
    /// The endpoints, in the order of the response.
    pub targets: Vec<ListedEndpoint>,
}

/// Parses the JSON of a response.
///
/// # Errors
/// Returns an error for the first field that is missing or has an invalid value.
pub fn parse_endpoint_list(value: &Value) -> Result<EndpointList, SettingsError> {
    let fields = Fields::from_value(value, "known")?;
    let targets = fields
        .array("targets")?
        .iter()
        .map(parse_endpoint)
        .collect::<Result<Vec<_>, _>>()?;
    Ok(EndpointList {
        rev: fields.int("rev")?,
        all: fields.flag("all")?,
        targets,
    })
}

/// Parses the text of a response. Its entries are converted one by one, so that a list of thousands of them takes little memory.
///
/// # Errors
/// Returns an error if the text is not JSON, or a field is missing or has an invalid value.
pub fn parse_endpoint_list_text(text: &[u8]) -> serde_json::Result<EndpointList> {
    let ListText { rev, all, targets } = serde_json::from_slice(text)?;
    Ok(EndpointList {
        rev,
        all,
        targets: targets.0,
    })
}

/// The text of a response.
#[derive(serde::Deserialize)]
struct ListText {
    rev: i64,
    all: bool,
    targets: Targets,
}

/// The entries of a response.
struct Targets(Vec<ListedEndpoint>);

impl<'de> Deserialize<'de> for Targets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Targets, D::Error> {
        deserializer.deserialize_seq(TargetsVisitor)
    }
}

struct TargetsVisitor;

impl<'de> Visitor<'de> for TargetsVisitor {
    type Value = Targets;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Targets, A::Error> {
        let mut targets = Vec::new();
        while let Some(entry) = entries.next_element::<Value>()? {
            targets.push(parse_endpoint(&entry).map_err(de::Error::custom)?);
        }
        Ok(Targets(targets))
    }
}

fn parse_endpoint(value: &Value) -> Result<ListedEndpoint, SettingsError> {
    let fields = Fields::from_value(value, "targets")?;
    let optional_text = |name| {
        fields
            .get_optional(name)
            .map(|_| fields.text(name).map(str::to_string))
            .transpose()
    };
    let state = parse_state(fields.text("state")?)?;
    let server: ServerId = fields.text("uid")?.into();
    let endpoint = fields.text("endpoint")?;
    let address = endpoint.parse().map_err(|_| {
        SettingsError::new(
            "endpoint",
            format!("{endpoint:?} is not an IP address and port"),
        )
    })?;
    let cell = fields
        .get_optional("pod_group")
        .map(|_| fields.int("pod_group"))
        .transpose()?;
    let entry = RawEndpoint {
        server,
        weight: fields.number_or("capacity_hint", 1.0)?,
        zone: optional_text("az")?,
        kind: optional_text("model")?,
        state,
        started: None,
        cell: cell.and_then(|n| u32::try_from(n).ok()),
    };
    Ok(ListedEndpoint {
        entry,
        address,
        boot_ms: fields
            .get_optional("boot_ms")
            .map_or(Ok(0), |_| fields.int("boot_ms"))?,
    })
}

fn parse_state(text: &str) -> Result<ServerState, SettingsError> {
    match text {
        "in_service" => Ok(ServerState::Live),
        "terminating" => Ok(ServerState::Draining),
        "terminated" => Ok(ServerState::Removed),
        other => Err(SettingsError::new(
            "state",
            format!("{other:?} is not a server state"),
        )),
    }
}
