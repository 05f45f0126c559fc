//! Wire values to module values and back.

use std::fmt::Write;
use std::sync::Arc;

use serde_json::Value;
use sloewick_decision::interface::{
    Action, Event, ListKind, Load, Micros, Note, Request, ServerState, Status,
};
use sloewick_decision::settings::{Bad, Fields, Names, RawEntry};

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

pub fn raw_entry(value: &Value) -> Result<RawEntry, Bad> {
    let f = Fields::of(value, "elements")?;
    let text = |name| {
        f.opt(name)
            .map(|_| f.text(name).map(str::to_string))
            .transpose()
    };
    let state = match f.text("mode")? {
        "live" => ServerState::Live,
        "quiescing" => ServerState::Draining,
        "dead" => ServerState::Gone,
        other => return Err(Bad::new("mode", format!("{other:?} is no server state"))),
    };
    Ok(RawEntry {
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
pub fn list_kind(mode: &str) -> Result<Option<ListKind>, Bad> {
    match mode {
        "Partial" => Ok(Some(ListKind::Delta)),
        "Complete" => Ok(Some(ListKind::Full)),
        "Persisted" => Ok(Some(ListKind::Cached)),
        "Error" => Ok(None),
        other => Err(Bad::new("mode", format!("{other:?} is no kind of list"))),
    }
}

fn status(f: &Fields) -> Result<Status, Bad> {
    Ok(match f.int("reason")? {
        0 => Status::Error,
        1 => Status::Ok,
        2 => Status::Full,
        3 => Status::Timeout,
        4 => Status::ConnectFailed,
        5 => Status::Reset,
        6 => Status::Cancelled,
        7 => Status::Moot,
        8 => Status::Miss,
        other => return Err(Bad::new("reason", format!("{other} is no outcome"))),
    })
}

fn load(f: &Fields) -> Result<Option<Load>, Bad> {
    let Some(value) = f.opt("telemetry") else {
        return Ok(None);
    };
    let r = Fields::of(value, "telemetry")?;
    Ok(Some(Load {
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

fn attempt(f: &Fields) -> Result<usize, Bad> {
    usize::try_from(f.int("seq_no")?).map_err(|_| Bad::new("seq_no", "is below zero"))
}

/// An event other than of a list, a start or a stop.
pub fn event(t: &str, f: &Fields, names: &Names) -> Result<Event, Bad> {
    Ok(match t {
        "REQUEST" => Event::Request(Request {
            id: f.text("req")?.into(),
            class: names
                .class(f.text("tier_class")?)
                .ok_or_else(|| Bad::new("tier_class", "is no class of the settings"))?,
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
        "ACCEPTED" => Event::Started {
            request: f.text("req")?.into(),
            attempt: attempt(f)?,
        },
        "OUTCOME" => Event::Outcome {
            request: f.text("req")?.into(),
            server: f.text("server")?.into(),
            attempt: attempt(f)?,
            latency: f.micros("spent")?,
            status: status(f)?,
            closed: f.flag("last")?,
            note: match f.opt("remark").map(|_| f.int("remark")).transpose()? {
                Some(1) => Some(Note::Hit),
                Some(2) => Some(Note::Miss),
                Some(3) => Some(Note::MissFetching),
                _ => None,
            },
            load: load(f)?,
        },
        "CLIENT_LEFT" => Event::ClientLeft(f.text("req")?.into()),
        "WAKE" => Event::Timer(
            f.get("ref")?
                .as_u64()
                .ok_or_else(|| Bad::new("ref", "is not a whole number"))?,
        ),
        "ECHO" => Event::Probed {
            server: f.text("server")?.into(),
            latency: f.micros("spent")?,
            status: status(f)?,
            load: load(f)?,
        },
        "MESSAGE" => Event::Peer {
            from: f.seed("origin_peer")?,
            data: hex(f.text("payload")?)?,
        },
        other => return Err(Bad::new("t", format!("{other:?} is no event"))),
    })
}

fn hex(text: &str) -> Result<Arc<[u8]>, Bad> {
    let bad = || Bad::new("payload", "is not hex digits");
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
        Action::Refuse {
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
        Action::Timer { delay, token } => {
            open(out, "DEFER", node);
            time_field(out, "from_now", *delay);
            let _ = write!(out, ",\"ref\":{token}");
        }
        Action::Probe(server) => {
            open(out, "SAMPLE", node);
            text_field(out, "server", server);
        }
        Action::Close(server) => {
            open(out, "CLOSE", node);
            text_field(out, "server", server);
        }
        Action::Subscribe(on) => {
            open(out, "TRACK", node);
            let _ = write!(out, ",\"active\":{on}");
        }
        Action::FetchList => open(out, "QUERY_ALL", node),
        Action::Log(text) => {
            open(out, "RECORD", node);
            text_field(out, "what", text);
        }
    }
    out.push('}');
}
