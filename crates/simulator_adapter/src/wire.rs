//! Wire values to module values and back.

use std::fmt::Write;
use std::sync::Arc;

use serde_json::Value;
use sloewick_decision::api::{
    Action, CacheResult, EndpointListKind, Event, LoadReport, Micros, Request, ServerState, Status,
};
use sloewick_decision::settings::{Fields, Names, RawEndpoint, SettingsError};

/// Events this adapter understands, besides the register of lists.
pub const KNOWN: [&str; 10] = [
    "CREATE",
    "KILL",
    "MEMBERSHIP",
    "REQUEST",
    "ACCEPTED",
    "OUTCOME",
    "CLIENT_LEFT",
    "WAKE",
    "ECHO",
    "MESSAGE",
];

pub fn raw_entry(value: &Value) -> Result<RawEndpoint, SettingsError> {
    let f = Fields::of(value, "elements")?;
    let text = |name| {
        f.opt(name)
            .map(|_| f.text(name).map(str::to_string))
            .transpose()
    };
    let state = match f.text("mode")? {
        "live" => ServerState::Live,
        "quiescing" => ServerState::Draining,
        "dead" => ServerState::Removed,
        other => {
            return Err(SettingsError::new(
                "mode",
                format!("{other:?} is no server state"),
            ))
        }
    };
    Ok(RawEndpoint {
        server: f.text("server")?.into(),
        weight: f.number_or("power_hint", 1.0)?,
        zone: text("site")?,
        kind: text("family_type")?,
        state,
        started: Some(f.micros_or("started_at", 0)?).filter(|t| *t > 0),
        cell: f
            .opt("block")
            .map(|_| f.int("block"))
            .transpose()?
            .map(|n| n as u32),
    })
}

/// None stands for a failed call.
pub fn list_kind(mode: &str) -> Result<Option<EndpointListKind>, SettingsError> {
    match mode {
        "Partial" => Ok(Some(EndpointListKind::Delta)),
        "Complete" => Ok(Some(EndpointListKind::Full)),
        "Persisted" => Ok(Some(EndpointListKind::Cached)),
        "Error" => Ok(None),
        other => Err(SettingsError::new(
            "mode",
            format!("{other:?} is no kind of list"),
        )),
    }
}

fn status(f: &Fields) -> Result<Status, SettingsError> {
    Ok(match f.int("reason")? {
        0 => Status::Error,
        1 => Status::Ok,
        2 => Status::Rejected,
        3 => Status::Timeout,
        4 => Status::ConnectFailed,
        5 => Status::Reset,
        6 => Status::Cancelled,
        7 => Status::NotSent,
        8 => Status::Miss,
        other => {
            return Err(SettingsError::new(
                "reason",
                format!("{other} is no outcome"),
            ))
        }
    })
}

fn load(f: &Fields) -> Result<Option<LoadReport>, SettingsError> {
    let Some(value) = f.opt("telemetry") else {
        return Ok(None);
    };
    let r = Fields::of(value, "telemetry")?;
    Ok(Some(LoadReport {
        in_flight: r.opt_number("active")?,
        queue: r.opt_number("waiting")?,
        util: r.opt_number("cpu")?,
        service: r.opt_number("avg_ms")?.map(|ms| ms * 1000.0),
        qps: r.opt_number("rps")?,
        eps: r.opt_number("err_rps")?,
        hits: r.opt_number("x0")?,
        fetches: r.opt_number("x1")?,
    }))
}

fn attempt(f: &Fields) -> Result<usize, SettingsError> {
    usize::try_from(f.int("seq_no")?).map_err(|_| SettingsError::new("seq_no", "is below zero"))
}

/// An event other than of a list, a start or a stop.
pub fn event(t: &str, f: &Fields, names: &Names) -> Result<Event, SettingsError> {
    Ok(match t {
        "REQUEST" => Event::Request(Request {
            id: f.text("req")?.into(),
            class: names
                .class(f.text("tier_class")?)
                .ok_or_else(|| SettingsError::new("tier_class", "is no class of the settings"))?,
            tenant: f
                .opt("owner")
                .and_then(Value::as_str)
                .and_then(|name| names.tenant(name)),
            key: f
                .opt("key")
                .map(|_| f.text("key"))
                .transpose()?
                .map(Arc::from),
            budget: f.micros("time_budget")?,
            work: f.opt_number("effort")?.map(|ms| ms * 1000.0),
            size: f.opt_number("bytes_hint")?,
            retry: f.flag_or("resent", false)?,
            write: f.flag_or("mutates", false)?,
        }),
        "ACCEPTED" => Event::ResponseStarted {
            request: f.text("req")?.into(),
            attempt: attempt(f)?,
        },
        "OUTCOME" => Event::AttemptEnded {
            request: f.text("req")?.into(),
            server: f.text("server")?.into(),
            attempt: attempt(f)?,
            latency: f.micros("spent")?,
            status: status(f)?,
            closed: f.flag("last")?,
            note: match f.opt("remark").map(|_| f.int("remark")).transpose()? {
                Some(1) => Some(CacheResult::Hit),
                Some(2) => Some(CacheResult::Miss),
                Some(3) => Some(CacheResult::MissFetching),
                _ => None,
            },
            load: load(f)?,
        },
        "CLIENT_LEFT" => Event::ClientDisconnected(f.text("req")?.into()),
        "WAKE" => Event::TimerExpired(
            f.get("ref")?
                .as_u64()
                .ok_or_else(|| SettingsError::new("ref", "is not a whole number"))?,
        ),
        "ECHO" => Event::ProbeEnded {
            server: f.text("server")?.into(),
            latency: f.micros("spent")?,
            status: status(f)?,
            load: load(f)?,
        },
        "MESSAGE" => Event::PeerMessage {
            from: f.seed("origin_peer")?,
            data: hex(f.text("payload")?)?,
        },
        other => return Err(SettingsError::new("t", format!("{other:?} is no event"))),
    })
}

fn hex(text: &str) -> Result<Arc<[u8]>, SettingsError> {
    let bad = || SettingsError::new("payload", "is not hex digits");
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(bad());
    }
    (0..text.len() / 2)
        .map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| bad()))
        .collect()
}

pub fn separator(out: &mut String, first: &mut bool) {
    if !std::mem::replace(first, false) {
        out.push(',');
    }
}

/// Ids and texts are quoted by the JSON library.
fn text_field(out: &mut String, name: &str, value: &str) {
    let _ = write!(out, ",\"{name}\":{}", Value::from(value));
}

fn time_field(out: &mut String, name: &str, micros: Micros) {
    let _ = write!(out, ",\"{name}\":{}", micros as f64 / 1000.0);
}

fn open(out: &mut String, t: &str, node: i64) {
    let _ = write!(out, "{{\"t\":\"{t}\",\"node\":{node}");
}

pub fn bug(out: &mut String, node: i64, text: &str) {
    open(out, "BUG", node);
    text_field(out, "what", text);
    out.push('}');
}

pub fn action(out: &mut String, node: i64, action: &Action) {
    match action {
        Action::Send {
            request,
            server,
            timeout,
        } => {
            open(out, "ISSUE", node);
            text_field(out, "req", request);
            text_field(out, "server", server);
            if let Some(timeout) = timeout {
                time_field(out, "allow_for", *timeout);
            }
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            open(out, "BOUNCE", node);
            text_field(out, "req", request);
            if *retry_after > 0 {
                time_field(out, "not_before_for", *retry_after);
            }
        }
        Action::Fail { request } => {
            open(out, "END_FAILED", node);
            text_field(out, "req", request);
        }
        Action::Cancel { request, attempt } => {
            open(out, "CANCEL", node);
            text_field(out, "req", request);
            let _ = write!(out, ",\"seq_no\":{attempt}");
        }
        Action::SetTimer { delay, token } => {
            open(out, "DEFER", node);
            time_field(out, "from_now", *delay);
            let _ = write!(out, ",\"ref\":{token}");
        }
        Action::Probe(server) => {
            open(out, "SAMPLE", node);
            text_field(out, "server", server);
        }
        Action::CloseIdleConnections(server) => {
            open(out, "CLOSE", node);
            text_field(out, "server", server);
        }
        Action::Subscribe(on) => {
            open(out, "TRACK", node);
            let _ = write!(out, ",\"active\":{on}");
        }
        Action::FetchEndpointList => open(out, "QUERY_ALL", node),
        Action::Log(text) => {
            open(out, "RECORD", node);
            text_field(out, "what", text);
        }
    }
    out.push('}');
}
