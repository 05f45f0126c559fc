//! Parses the settings object of an instance, and the names in it. Used both for the messages of a
//! simulator and for the configuration of a node.
//!
//! Guarantees: a field that a rule depends on is required; an error names the field and what is wrong with
//! it. Labels of zones and of kinds are numbered in the order in which they are first seen, at most
//! `MAX_LABELS` of each.

use std::cell::RefCell;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::api::{
    CacheMode, Class, DeduplicationScope, Endpoint, Idempotency, Micros, ServerState, Settings,
    Tenant, WeightMeaning,
};

/// A field that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}field {field}: {reason}", .item.map_or(String::new(), |item| format!("item {item}: ")))]
pub struct SettingsError {
    field: String,
    reason: String,
    /// Index of the item in its batch, if it is part of one.
    item: Option<usize>,
}

impl SettingsError {
    /// An error for a field; `reason` says what is wrong with it.
    pub fn new(field: &str, reason: impl Into<String>) -> SettingsError {
        SettingsError {
            field: field.to_string(),
            reason: reason.into(),
            item: None,
        }
    }

    fn unknown_value(field: &str, value: &str) -> SettingsError {
        SettingsError::new(field, format!("unknown value {value:?}"))
    }

    /// Adds the index of the item in its batch, unless the error has one already.
    #[must_use]
    pub fn at_item(mut self, item: usize) -> SettingsError {
        self.item.get_or_insert(item);
        self
    }
}

/// Typed access to the fields of an object.
pub struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// The fields of a value, which must be an object; `name` is its name in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the value is not an object.
    pub fn from_value(value: &'a Value, name: &str) -> Result<Fields<'a>, SettingsError> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| SettingsError::new(name, "is not an object"))
    }

    /// The value of the field; None if it is absent or null.
    pub fn get_optional(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    /// The value of the field, which must be present.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is absent or null.
    pub fn get(&self, name: &str) -> Result<&'a Value, SettingsError> {
        self.get_optional(name)
            .ok_or_else(|| SettingsError::new(name, "is missing"))
    }

    /// The field as text.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn text(&self, name: &str) -> Result<&'a str, SettingsError> {
        self.get(name)?
            .as_str()
            .ok_or_else(|| SettingsError::new(name, "is not text"))
    }

    /// The field as a whole number.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn int(&self, name: &str) -> Result<i64, SettingsError> {
        self.get(name)?
            .as_i64()
            .ok_or_else(|| SettingsError::new(name, "is not a whole number"))
    }

    /// The field as a 64-bit whole number; a negative one is converted to the unsigned number with the same
    /// bits.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn u64_bits(&self, name: &str) -> Result<u64, SettingsError> {
        let v = self.get(name)?;
        v.as_u64()
            .or_else(|| v.as_i64().map(|n| n as u64))
            .ok_or_else(|| SettingsError::new(name, "is not a whole number"))
    }

    /// The field as a number.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn number(&self, name: &str) -> Result<f64, SettingsError> {
        self.get(name)?
            .as_f64()
            .ok_or_else(|| SettingsError::new(name, "is not a number"))
    }

    /// The field as a number, or the default if it is absent.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field has another type.
    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        self.get_optional(name)
            .map_or(Ok(default), |_| self.number(name))
    }

    /// The field as a number; None if it is absent.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field has another type.
    pub fn opt_number(&self, name: &str) -> Result<Option<f64>, SettingsError> {
        self.get_optional(name)
            .map(|_| self.number(name))
            .transpose()
    }

    /// The field, a number of milliseconds, in microseconds.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn micros(&self, name: &str) -> Result<Micros, SettingsError> {
        Ok((self.number(name)? * 1000.0).round() as Micros)
    }

    /// The field, a number of milliseconds, in microseconds, or the default (in microseconds) if it is
    /// absent.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field has another type.
    pub fn micros_or(&self, name: &str, default: Micros) -> Result<Micros, SettingsError> {
        self.get_optional(name)
            .map_or(Ok(default), |_| self.micros(name))
    }

    /// The field as true or false.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn flag(&self, name: &str) -> Result<bool, SettingsError> {
        self.get(name)?
            .as_bool()
            .ok_or_else(|| SettingsError::new(name, "is not true or false"))
    }

    /// The field as true or false, or the default if it is absent.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field has another type.
    pub fn flag_or(&self, name: &str, default: bool) -> Result<bool, SettingsError> {
        self.get_optional(name)
            .map_or(Ok(default), |_| self.flag(name))
    }

    /// The field as an array.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the field is missing or has another type.
    pub fn array(&self, name: &str) -> Result<&'a Vec<Value>, SettingsError> {
        self.get(name)?
            .as_array()
            .ok_or_else(|| SettingsError::new(name, "is not an array"))
    }
}

/// An entry of an endpoint list, with its labels as text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawEndpoint {
    /// Name of the server.
    pub server: Arc<str>,
    /// Listed weight.
    pub weight: f64,
    /// Zone, if announced.
    pub zone: Option<String>,
    /// Kind of machine, if announced.
    pub kind: Option<String>,
    /// Whether the server takes requests, drains or is removed.
    pub state: ServerState,
    /// When the server last started, on the node's clock. None: long ago.
    pub started: Option<Micros>,
    /// Number of the cell, if announced.
    pub cell: Option<u32>,
}

/// The names of one instance, numbered in the order of the settings. Labels of zones and kinds that the
/// settings do not list are added when they are first seen.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: RefCell<Vec<String>>,
    kinds: RefCell<Vec<String>>,
}

/// Maximum number of labels of zones, and of kinds, that get a number of their own. No fleet has as many
/// zones or kinds of machine; further labels in endpoint lists share one number, so that they cost neither
/// memory nor time.
const MAX_LABELS: usize = 4096;

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn number_label(labels: &RefCell<Vec<String>>, name: &str) -> u16 {
    let mut labels = labels.borrow_mut();
    let index = index_of(&labels, name).or_else(|| {
        (labels.len() < MAX_LABELS).then(|| {
            labels.push(name.to_string());
            labels.len() - 1
        })
    });
    index
        .and_then(|index| u16::try_from(index).ok())
        .unwrap_or(u16::MAX)
}

impl Names {
    /// The name of a class, by its number; empty if there is no such class.
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("", |name| name)
    }

    /// The number of a class, by its name.
    pub fn class(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// The number of a tenant, by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }

    /// The entry with its labels as numbers.
    pub fn endpoint(&self, raw: &RawEndpoint) -> Endpoint {
        let number = |labels, name: Option<&str>| name.map(|name| number_label(labels, name));
        Endpoint {
            server: raw.server.clone(),
            weight: raw.weight,
            zone: number(&self.zones, raw.zone.as_deref()),
            kind: number(&self.kinds, raw.kind.as_deref()),
            state: raw.state,
            started: raw.started,
            cell: raw.cell,
        }
    }
}

fn parse_names(fields: &Fields<'_>, field: &str) -> Result<Vec<String>, SettingsError> {
    let Some(value) = fields.get_optional(field) else {
        return Ok(Vec::new());
    };
    let list = value
        .as_array()
        .ok_or_else(|| SettingsError::new(field, "is not an array"))?;
    let name = |value: &Value| value.as_str().map(str::to_string);
    list.iter()
        .map(|value| {
            name(value)
                .ok_or_else(|| SettingsError::new(field, "contains an item that is not text"))
        })
        .collect()
}

fn parse_class(value: &Value) -> Result<(String, Class), SettingsError> {
    let fields = Fields::from_value(value, "classes")?;
    let idempotency = match fields.text("repeat")? {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed,
        "single_shot" => Idempotency::NonIdempotent,
        other => return Err(SettingsError::unknown_value("repeat", other)),
    };
    let keyed = idempotency == Idempotency::Keyed;
    let scope = if keyed {
        fields.text("dedup_scope")?
    } else {
        "all"
    };
    let deduplication_scope = match scope {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => return Err(SettingsError::unknown_value("dedup_scope", other)),
    };
    let class = Class {
        latency_objective: fields.micros("aim")?,
        objective_per_work: fields.number_or("aim_stretch", 0.0)?,
        deadline: fields.micros("deadline")?,
        idempotency,
        deduplication_scope,
        deduplication_window: if keyed {
            fields.micros("window")?
        } else {
            fields.micros_or("window", 0)?
        },
        priority_weight: fields.number_or("worth", 1.0)?,
        late_weight: fields.number_or("late_share", 0.0)?,
        stream: fields.flag_or("stream", false)?,
    };
    Ok((fields.text("name")?.to_string(), class))
}

fn parse_classes(fields: &Fields<'_>) -> Result<(Vec<String>, Vec<Class>), SettingsError> {
    let list = fields.array("classes")?;
    let classes: Vec<(String, Class)> = list.iter().map(parse_class).collect::<Result<_, _>>()?;
    Ok(classes.into_iter().unzip())
}

fn parse_tenants(fields: &Fields<'_>) -> Result<(Vec<String>, Vec<Tenant>), SettingsError> {
    let (mut names, mut tenants) = (Vec::new(), Vec::new());
    let Some(value) = fields.get_optional("realms") else {
        return Ok((names, tenants));
    };
    let list = value
        .as_array()
        .ok_or_else(|| SettingsError::new("realms", "is not an array"))?;
    for value in list {
        let tenant = Fields::from_value(value, "realms")?;
        names.push(tenant.text("name")?.to_string());
        tenants.push(Tenant {
            quota_per_s: tenant.number_or("quota_per_s", 0.0)?,
            share: tenant.number_or("share", 0.0)?,
        });
    }
    Ok((names, tenants))
}

/// Whether the endpoint list has to be polled.
fn must_poll(fields: &Fields<'_>) -> Result<bool, SettingsError> {
    match fields.text("discovery")? {
        "push" => Ok(false),
        "ask" => Ok(true),
        other => Err(SettingsError::unknown_value("discovery", other)),
    }
}

fn parse_cache_mode(domain: &Fields<'_>) -> Result<CacheMode, SettingsError> {
    let mode = domain
        .get_optional("mode")
        .map(|_| domain.text("mode"))
        .transpose()?;
    match mode {
        Some("aside") => Ok(CacheMode::CacheAside),
        Some("through") | None => Ok(CacheMode::ReadThrough),
        Some(other) => Err(SettingsError::unknown_value("domain.mode", other)),
    }
}

fn parse_weight_meaning(fields: &Fields<'_>) -> WeightMeaning {
    match fields.get_optional("weights").and_then(Value::as_str) {
        Some("nominal" | "rough") => WeightMeaning::Size,
        Some("live") => WeightMeaning::Live,
        _ => WeightMeaning::None,
    }
}

fn node_count(fields: &Fields<'_>) -> Result<usize, SettingsError> {
    usize::try_from(fields.int("replicas_of_me")?)
        .map_err(|_| SettingsError::new("replicas_of_me", "is below zero"))
}

fn opt_int(fields: &Fields<'_>, field: &str) -> Result<Option<i64>, SettingsError> {
    fields
        .get_optional(field)
        .map(|_| fields.int(field))
        .transpose()
}

fn max_in_flight(limits: &Fields<'_>) -> usize {
    let limit = limits.get_optional("max_open").and_then(Value::as_u64);
    limit.unwrap_or(u64::MAX) as usize
}

/// The longest Retry-After that clients honour; 0 if they ignore it.
fn max_retry_after(limits: &Fields<'_>) -> Result<Micros, SettingsError> {
    if limits.flag_or("retry_after", false)? {
        limits.micros_or("max_retry_after", 0)
    } else {
        Ok(0)
    }
}

/// Connect timeout in microseconds where the settings have none; that of the deployments which omit it.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

/// Parses the settings and the names. Fields that a rule depends on are required.
///
/// # Errors
///
/// [`SettingsError`] for the first field that is missing or has an invalid value.
pub fn parse(fields: &Fields<'_>) -> Result<(Settings, Names), SettingsError> {
    let (class_names, classes) = parse_classes(fields)?;
    let (tenant_names, tenants) = parse_tenants(fields)?;
    let zones = parse_names(fields, "zones")?;
    let kinds = parse_names(fields, "kinds")?;
    let limits = Fields::from_value(fields.get("policy_limits")?, "policy_limits")?;
    let rules = Fields::from_value(fields.get("rules")?, "rules")?;
    let empty = Value::Object(Map::new());
    let optional = |name| Fields::from_value(fields.get_optional(name).unwrap_or(&empty), name);
    let (prices, domain) = (optional("prices")?, optional("domain")?);
    let poll = must_poll(fields)?;
    let mode = parse_cache_mode(&domain)?;
    let zone = fields.get_optional("zone").and_then(Value::as_str);
    let settings = Settings {
        classes,
        tenants,
        nodes: node_count(fields)?,
        node_number: opt_int(fields, "me")?.and_then(|n| u64::try_from(n).ok()),
        zone: zone
            .and_then(|name| index_of(&zones, name))
            .map(|i| i as u16),
        poll_endpoint_list: poll,
        poll_within: if poll {
            rules.micros("ask_within")?
        } else {
            rules.micros_or("ask_within", 0)?
        },
        mode,
        origin_kind: opt_int(&domain, "origin_kind")?.and_then(|kind| u16::try_from(kind).ok()),
        origin_overload_multiple: domain.number_or("origin_fall_multiple", 0.0)?,
        weights: parse_weight_meaning(fields),
        weight_by_work: fields.get_optional("value_by").and_then(Value::as_str) == Some("work"),
        over_quota_weight: fields.number_or("over_share_worth", 1.0)?,
        tick: fields.micros_or("period", 1000)?,
        max_attempts: usize::try_from(limits.int("try_limit")?).unwrap_or(0),
        max_in_flight: max_in_flight(&limits),
        cancel: limits.flag_or("cancel", false)?,
        probes: limits.flag_or("probes", false)?,
        hedging: limits.flag("second_copies")?,
        max_retry_after: max_retry_after(&limits)?,
        connect_timeout: limits.micros_or("connect_timeout", DEFAULT_CONNECT_TIMEOUT)?,
        drain_grace: rules.micros("stop_sending_within")?,
        cold_capacity: rules.number("cold_from")?,
        warm_up_time: rules.micros("cold")?,
        overload_multiple: rules.number("fall_multiple")?,
        overload_window: rules.micros("fall")?,
        final_response_grace: rules.micros("grace_to_answer")?,
        price_cross_zone: prices.number_or("cross_zone", 0.0)?,
        price_origin: prices.number_or("origin", 0.0)?,
    };
    let names = Names {
        classes: class_names,
        tenants: tenant_names,
        zones: RefCell::new(zones),
        kinds: RefCell::new(kinds),
    };
    Ok((settings, names))
}
