//! The settings object of an instance, and the names it uses: one reading for the bench's wire and for a
//! real node's configuration.

use std::cell::RefCell;
use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::api::{
    CacheMode, Class, DeduplicationScope, Endpoint, Idempotency, Micros, ServerState, Settings,
    Tenant, WeightMeaning,
};

/// What is wrong with a line: the field and why.
#[derive(Debug)]
pub struct SettingsError {
    field: String,
    why: String,
    item: Option<usize>,
}

impl SettingsError {
    /// A field and what is wrong with it.
    pub fn new(field: &str, why: impl Into<String>) -> SettingsError {
        SettingsError {
            field: field.to_string(),
            why: why.into(),
            item: None,
        }
    }

    /// Names the item of a batch, unless one is named already.
    pub fn at(mut self, item: usize) -> SettingsError {
        self.item.get_or_insert(item);
        self
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(item) = self.item {
            write!(f, "item {item}: ")?;
        }
        write!(f, "field {}: {}", self.field, self.why)
    }
}

/// Typed access to the fields of an object.
pub struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// The fields of a value that has to be an object.
    pub fn of(value: &'a Value, name: &str) -> Result<Fields<'a>, SettingsError> {
        value
            .as_object()
            .map(Fields)
            .ok_or_else(|| SettingsError::new(name, "is not an object"))
    }

    /// The field unless absent or null.
    pub fn opt(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    /// The field, which has to be there.
    pub fn get(&self, name: &str) -> Result<&'a Value, SettingsError> {
        self.opt(name)
            .ok_or_else(|| SettingsError::new(name, "is missing"))
    }

    /// Text.
    pub fn text(&self, name: &str) -> Result<&'a str, SettingsError> {
        self.get(name)?
            .as_str()
            .ok_or_else(|| SettingsError::new(name, "is not text"))
    }

    /// A whole number.
    pub fn int(&self, name: &str) -> Result<i64, SettingsError> {
        self.get(name)?
            .as_i64()
            .ok_or_else(|| SettingsError::new(name, "is not a whole number"))
    }

    /// A whole number of 64 bits, signed or not.
    pub fn seed(&self, name: &str) -> Result<u64, SettingsError> {
        let v = self.get(name)?;
        v.as_u64()
            .or_else(|| v.as_i64().map(|n| n as u64))
            .ok_or_else(|| SettingsError::new(name, "is not a whole number"))
    }

    /// A number.
    pub fn number(&self, name: &str) -> Result<f64, SettingsError> {
        self.get(name)?
            .as_f64()
            .ok_or_else(|| SettingsError::new(name, "is not a number"))
    }

    /// A number, or the default where it is absent.
    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        self.opt(name).map_or(Ok(default), |_| self.number(name))
    }

    /// A number, if there.
    pub fn opt_number(&self, name: &str) -> Result<Option<f64>, SettingsError> {
        self.opt(name).map(|_| self.number(name)).transpose()
    }

    /// Wire milliseconds to microseconds.
    pub fn micros(&self, name: &str) -> Result<Micros, SettingsError> {
        Ok((self.number(name)? * 1000.0).round() as Micros)
    }

    /// Wire milliseconds to microseconds, or the default.
    pub fn micros_or(&self, name: &str, default: Micros) -> Result<Micros, SettingsError> {
        self.opt(name).map_or(Ok(default), |_| self.micros(name))
    }

    /// True or false.
    pub fn flag(&self, name: &str) -> Result<bool, SettingsError> {
        self.get(name)?
            .as_bool()
            .ok_or_else(|| SettingsError::new(name, "is not true or false"))
    }

    /// True or false, or the default where it is absent.
    pub fn flag_or(&self, name: &str, default: bool) -> Result<bool, SettingsError> {
        self.opt(name).map_or(Ok(default), |_| self.flag(name))
    }

    /// An array.
    pub fn array(&self, name: &str) -> Result<&'a Vec<Value>, SettingsError> {
        self.get(name)?
            .as_array()
            .ok_or_else(|| SettingsError::new(name, "is not an array"))
    }
}

/// A list entry with its labels still as names.
pub struct RawEndpoint {
    /// Server.
    pub server: Arc<str>,
    /// Listed weight.
    pub weight: f64,
    /// Zone, if told.
    pub zone: Option<String>,
    /// Kind, if told.
    pub kind: Option<String>,
    /// State.
    pub state: ServerState,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
    /// Cell, if told.
    pub cell: Option<u32>,
}

/// Names of one instance, numbered as the settings list them; new labels are added as met.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: RefCell<Vec<String>>,
    kinds: RefCell<Vec<String>>,
}

fn find(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// Labels kept beside those that the settings list. No fleet has as many zones or kinds of machine; what
/// lists make up beyond that shares one number, so that it costs neither memory nor time.
const LABELS_MOST: usize = 4096;

fn label(list: &RefCell<Vec<String>>, name: &str) -> u16 {
    let mut list = list.borrow_mut();
    let at = find(&list, name).or_else(|| {
        (list.len() < LABELS_MOST).then(|| {
            list.push(name.to_string());
            list.len() - 1
        })
    });
    at.and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX)
}

impl Names {
    /// The name of a class by its place.
    pub fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("", |name| name)
    }

    /// A class by its name.
    pub fn class(&self, name: &str) -> Option<usize> {
        find(&self.classes, name)
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        find(&self.tenants, name)
    }

    /// An entry with its labels numbered.
    pub fn entry(&self, raw: &RawEndpoint) -> Endpoint {
        Endpoint {
            server: raw.server.clone(),
            weight: raw.weight,
            zone: raw.zone.as_deref().map(|name| label(&self.zones, name)),
            kind: raw.kind.as_deref().map(|name| label(&self.kinds, name)),
            state: raw.state,
            started: raw.started,
            cell: raw.cell,
        }
    }
}

fn names(f: &Fields, field: &str) -> Result<Vec<String>, SettingsError> {
    let Some(value) = f.opt(field) else {
        return Ok(Vec::new());
    };
    let list = value
        .as_array()
        .ok_or_else(|| SettingsError::new(field, "is not an array"))?;
    list.iter()
        .map(|v| {
            v.as_str()
                .map(str::to_string)
                .ok_or_else(|| SettingsError::new(field, "holds something not text"))
        })
        .collect()
}

fn class(value: &Value) -> Result<(String, Class), SettingsError> {
    let f = Fields::of(value, "classes")?;
    let repeat = match f.text("repeat")? {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed,
        "single_shot" => Idempotency::NonIdempotent,
        other => {
            return Err(SettingsError::new(
                "repeat",
                format!("{other:?} is not known"),
            ))
        }
    };
    let keyed = repeat == Idempotency::Keyed;
    let scope = match if keyed { f.text("dedup_scope")? } else { "all" } {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => {
            return Err(SettingsError::new(
                "dedup_scope",
                format!("{other:?} is not known"),
            ))
        }
    };
    let class = Class {
        latency_objective: f.micros("aim")?,
        objective_per_work: f.number_or("aim_stretch", 0.0)?,
        deadline: f.micros("deadline")?,
        idempotency: repeat,
        deduplication_scope: scope,
        deduplication_window: if keyed {
            f.micros("window")?
        } else {
            f.micros_or("window", 0)?
        },
        priority_weight: f.number_or("worth", 1.0)?,
        late_weight: f.number_or("late_share", 0.0)?,
        stream: f.flag_or("stream", false)?,
    };
    Ok((f.text("name")?.to_string(), class))
}

/// Used where the settings do not tell by when a connection is given up: what deployments have that leave it
/// out.
const CONNECT_USUAL: Micros = 250_000;

/// Settings and names from the wire's object; what a rule depends on must be there.
pub fn parse(f: &Fields) -> Result<(Settings, Names), SettingsError> {
    let (class_names, classes) = f
        .array("classes")?
        .iter()
        .map(class)
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .unzip();
    let mut tenants = Vec::new();
    let mut tenant_names = Vec::new();
    if let Some(list) = f.opt("realms") {
        for value in list
            .as_array()
            .ok_or_else(|| SettingsError::new("realms", "is not an array"))?
        {
            let t = Fields::of(value, "realms")?;
            tenant_names.push(t.text("name")?.to_string());
            tenants.push(Tenant {
                quota_per_s: t.number_or("quota_per_s", 0.0)?,
                share: t.number_or("share", 0.0)?,
            });
        }
    }
    let zones = names(f, "zones")?;
    let kinds = names(f, "kinds")?;
    let limits = Fields::of(f.get("policy_limits")?, "policy_limits")?;
    let rules = Fields::of(f.get("rules")?, "rules")?;
    let empty = Value::Object(Default::default());
    let sub = |name| Fields::of(f.opt(name).unwrap_or(&empty), name);
    let (prices, domain) = (sub("prices")?, sub("domain")?);
    let ask = match f.text("discovery")? {
        "push" => false,
        "ask" => true,
        other => {
            return Err(SettingsError::new(
                "discovery",
                format!("{other:?} is not known"),
            ))
        }
    };
    let mode = match domain
        .opt("mode")
        .map(|_| domain.text("mode"))
        .transpose()?
    {
        Some("aside") => CacheMode::CacheAside,
        Some("through") | None => CacheMode::ReadThrough,
        Some(other) => {
            return Err(SettingsError::new(
                "domain.mode",
                format!("{other:?} is not known"),
            ))
        }
    };
    let weights = match f.opt("weights").and_then(Value::as_str) {
        Some("nominal") | Some("rough") => WeightMeaning::Size,
        Some("live") => WeightMeaning::Live,
        _ => WeightMeaning::None,
    };
    let settings = Settings {
        classes,
        tenants,
        nodes: usize::try_from(f.int("replicas_of_me")?)
            .map_err(|_| SettingsError::new("replicas_of_me", "is below zero"))?,
        node_number: f
            .opt("me")
            .map(|_| f.int("me"))
            .transpose()?
            .and_then(|n| u64::try_from(n).ok()),
        zone: match f.opt("zone").and_then(Value::as_str) {
            Some(name) => find(&zones, name).map(|i| i as u16),
            None => None,
        },
        poll: ask,
        poll_within: if ask {
            rules.micros("ask_within")?
        } else {
            rules.micros_or("ask_within", 0)?
        },
        mode,
        origin_kind: match domain
            .opt("origin_kind")
            .map(|_| domain.int("origin_kind"))
            .transpose()?
        {
            Some(kind) if kind >= 0 => u16::try_from(kind).ok(),
            _ => None,
        },
        origin_overload_multiple: domain.number_or("origin_fall_multiple", 0.0)?,
        weights,
        weight_by_work: f.opt("value_by").and_then(Value::as_str) == Some("work"),
        over_quota_weight: f.number_or("over_share_worth", 1.0)?,
        tick: f.micros_or("period", 1000)?,
        max_attempts: usize::try_from(limits.int("try_limit")?).unwrap_or(0),
        max_in_flight: limits
            .opt("max_open")
            .and_then(Value::as_u64)
            .unwrap_or(u64::MAX) as usize,
        cancel: limits.flag_or("cancel", false)?,
        probes: limits.flag_or("probes", false)?,
        hedging: limits.flag("second_copies")?,
        max_retry_after: if limits.flag_or("retry_after", false)? {
            limits.micros_or("max_retry_after", 0)?
        } else {
            0
        },
        connect_timeout: limits.micros_or("connect_timeout", CONNECT_USUAL)?,
        drain_grace: rules.micros("stop_sending_within")?,
        cold_capacity: rules.number("cold_from")?,
        warm_up_time: rules.micros("cold")?,
        overload_multiple: rules.number("fall_multiple")?,
        overload_window: rules.micros("fall")?,
        answer_slack: rules.micros("grace_to_answer")?,
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
