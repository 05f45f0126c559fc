//! The simulator's messages: reads events from JSON ([`event`], [`raw_endpoint`], [`endpoint_list_kind`]) and writes
//! actions as JSON ([`Reply`]). This module performs no I/O and makes no decisions. Times are in milliseconds in messages
//! and in microseconds in the decision code. Errors name the field that is missing or invalid.

use std::fmt::Write;
use std::sync::Arc;

use serde_json::Value;
use sloewick_decision::api::{
    Action, AttemptOutcome, CacheResult, EndpointListKind, Event, LoadReport, Micros, Request,
    ServerState, Status,
};
use sloewick_decision::settings::{Fields, Names, RawEndpoint, SettingsError};

/// Kinds of events that the adapter handles, in addition to `REGISTER`.
pub(crate) const EVENT_KINDS: [&str; 10] = [
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

/// Reads an endpoint of a registered list. Its zone and kind are still labels; each instance replaces them by numbers.
pub(crate) fn raw_endpoint(value: &Value) -> Result<RawEndpoint, SettingsError> {
    let fields = Fields::from_value(value, "elements")?;
    let optional_text = |name| {
        fields
            .get_optional(name)
            .map(|_| fields.text(name).map(str::to_string))
            .transpose()
    };
    let state = match fields.text("mode")? {
        "live" => ServerState::Live,
        "quiescing" => ServerState::Draining,
        "dead" => ServerState::Removed,
        other => {
            return Err(SettingsError::new(
                "mode",
                format!("{other:?} is not a server state"),
            ))
        }
    };
    Ok(RawEndpoint {
        server: fields.text("server")?.into(),
        weight: fields.number_or("power_hint", 1.0)?,
        zone: optional_text("site")?,
        kind: optional_text("family_type")?,
        state,
        started: Some(fields.micros_or("started_at", 0)?).filter(|t| *t > 0),
        cell: fields
            .get_optional("block")
            .map(|_| fields.int("block"))
            .transpose()?
            .map(|n| n as u32),
    })
}

/// Reads the kind of an endpoint list; `None` if the request to discovery failed.
pub(crate) fn endpoint_list_kind(mode: &str) -> Result<Option<EndpointListKind>, SettingsError> {
    match mode {
        "Partial" => Ok(Some(EndpointListKind::Delta)),
        "Complete" => Ok(Some(EndpointListKind::Full)),
        "Persisted" => Ok(Some(EndpointListKind::Cached)),
        "Error" => Ok(None),
        other => Err(SettingsError::new(
            "mode",
            format!("{other:?} is not a kind of endpoint list"),
        )),
    }
}

/// Reads how an attempt or a probe request ended.
fn status(fields: &Fields<'_>) -> Result<Status, SettingsError> {
    Ok(match fields.int("reason")? {
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
                format!("{other} is not a status code"),
            ))
        }
    })
}

/// Reads the server's load report, if the event has one.
fn load_report(fields: &Fields<'_>) -> Result<Option<LoadReport>, SettingsError> {
    let Some(value) = fields.get_optional("telemetry") else {
        return Ok(None);
    };
    let report = Fields::from_value(value, "telemetry")?;
    Ok(Some(LoadReport {
        in_flight: report.opt_number("active")?,
        queue: report.opt_number("waiting")?,
        util: report.opt_number("cpu")?,
        service: report.opt_number("avg_ms")?.map(|ms| ms * 1000.0),
        qps: report.opt_number("rps")?,
        eps: report.opt_number("err_rps")?,
        hits: report.opt_number("x0")?,
        fetches: report.opt_number("x1")?,
    }))
}

/// Reads the number of an attempt, counted from 0.
fn attempt_number(fields: &Fields<'_>) -> Result<usize, SettingsError> {
    usize::try_from(fields.int("seq_no")?).map_err(|_| SettingsError::new("seq_no", "is negative"))
}

/// Reads a client's request.
fn request(fields: &Fields<'_>, names: &Names) -> Result<Request, SettingsError> {
    Ok(Request {
        id: fields.text("req")?.into(),
        class: names
            .class(fields.text("tier_class")?)
            .ok_or_else(|| SettingsError::new("tier_class", "is not a class in the settings"))?,
        tenant: fields
            .get_optional("owner")
            .and_then(Value::as_str)
            .and_then(|name| names.tenant(name)),
        key: fields
            .get_optional("key")
            .map(|_| fields.text("key"))
            .transpose()?
            .map(Arc::from),
        budget: fields.micros("time_budget")?,
        work: fields.opt_number("effort")?.map(|ms| ms * 1000.0),
        size: fields.opt_number("bytes_hint")?,
        is_client_retry: fields.flag_or("resent", false)?,
        earlier_request_sent: None,
        write: fields.flag_or("mutates", false)?,
    })
}

/// Reads an event of this kind; `MEMBERSHIP`, `CREATE` and `KILL` are handled by the caller.
pub(crate) fn event(
    kind: &str,
    fields: &Fields<'_>,
    names: &Names,
) -> Result<Event, SettingsError> {
    Ok(match kind {
        "REQUEST" => Event::Request(request(fields, names)?),
        "ACCEPTED" => Event::ResponseStarted {
            request: fields.text("req")?.into(),
            attempt: attempt_number(fields)?,
        },
        "OUTCOME" => Event::AttemptEnded(AttemptOutcome {
            request: fields.text("req")?.into(),
            server: fields.text("server")?.into(),
            attempt: attempt_number(fields)?,
            latency: fields.micros("spent")?,
            status: status(fields)?,
            is_final: fields.flag("last")?,
            cache_result: match fields
                .get_optional("remark")
                .map(|_| fields.int("remark"))
                .transpose()?
            {
                Some(1) => Some(CacheResult::Hit),
                Some(2) => Some(CacheResult::Miss),
                Some(3) => Some(CacheResult::MissFetching),
                _ => None,
            },
            load: load_report(fields)?,
        }),
        "CLIENT_LEFT" => Event::ClientDisconnected(fields.text("req")?.into()),
        "WAKE" => Event::TimerExpired(
            fields
                .get("ref")?
                .as_u64()
                .ok_or_else(|| SettingsError::new("ref", "is not a whole number"))?,
        ),
        "ECHO" => Event::ProbeEnded {
            server: fields.text("server")?.into(),
            latency: fields.micros("spent")?,
            status: status(fields)?,
            load: load_report(fields)?,
        },
        "MESSAGE" => Event::PeerMessage {
            from: fields.u64_bits("origin_peer")?,
            data: decode_hex(fields.text("payload")?)?,
        },
        other => {
            return Err(SettingsError::new(
                "t",
                format!("{other:?} is not a kind of event"),
            ))
        }
    })
}

/// Decodes a text of hexadecimal digits, two for each byte.
fn decode_hex(text: &str) -> Result<Arc<[u8]>, SettingsError> {
    let invalid = || SettingsError::new("payload", "is not an even number of hexadecimal digits");
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return Err(invalid());
    }
    (0..text.len() / 2)
        .map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| invalid()))
        .collect()
}

/// Appends a text field, escaped for JSON.
fn write_text_field(out: &mut String, name: &str, value: &str) {
    let _ = write!(out, ",\"{name}\":{}", Value::from(value));
}

/// Appends a time field in milliseconds, from a time in microseconds.
fn write_time_field(out: &mut String, name: &str, micros: Micros) {
    let _ = write!(out, ",\"{name}\":{}", micros as f64 / 1000.0);
}

/// Writer of the reply to one batch, which appends each action to a text buffer.
pub(crate) struct Reply<'a> {
    out: &'a mut String,
    /// Whether no action or panic has been written yet.
    is_empty: bool,
}

impl<'a> Reply<'a> {
    /// Begins a reply at the end of `out`.
    pub(crate) fn begin(out: &'a mut String) -> Reply<'a> {
        out.push_str("{\"do\":[");
        Reply {
            out,
            is_empty: true,
        }
    }

    /// Ends the reply with a line break.
    pub(crate) fn end(self) {
        self.out.push_str("]}\n");
    }

    /// Begins an item of the reply: writes the separator, unless it is the first item, and the fields that all items have.
    fn begin_item(&mut self, kind: &str, node: i64) -> &mut String {
        if !std::mem::replace(&mut self.is_empty, false) {
            self.out.push(',');
        }
        let _ = write!(self.out, "{{\"t\":\"{kind}\",\"node\":{node}");
        self.out
    }

    /// Appends the report of a panic in a node's decision code.
    pub(crate) fn add_panic(&mut self, node: i64, message: &str) {
        let out = self.begin_item("BUG", node);
        write_text_field(out, "what", message);
        out.push('}');
    }

    /// Appends an action that a node's decision code requested.
    pub(crate) fn add_action(&mut self, node: i64, action: &Action) {
        let Some(kind) = action_kind(action) else {
            return;
        };
        let out = self.begin_item(kind, node);
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                write_text_field(out, "req", request);
                write_text_field(out, "server", server);
                if let Some(timeout) = timeout {
                    write_time_field(out, "allow_for", *timeout);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                write_text_field(out, "req", request);
                if *retry_after > 0 {
                    write_time_field(out, "not_before_for", *retry_after);
                }
            }
            Action::Fail { request } => write_text_field(out, "req", request),
            Action::Cancel { request, attempt } => {
                write_text_field(out, "req", request);
                let _ = write!(out, ",\"seq_no\":{attempt}");
            }
            Action::SetTimer { delay, token } => {
                write_time_field(out, "from_now", *delay);
                let _ = write!(out, ",\"ref\":{token}");
            }
            Action::Probe(server) | Action::CloseIdleConnections(server) => {
                write_text_field(out, "server", server);
            }
            Action::Subscribe(active) => {
                let _ = write!(out, ",\"active\":{active}");
            }
            Action::FetchEndpointList | Action::CancelUnreceived { .. } => {}
            Action::Log(text) => write_text_field(out, "what", text),
        }
        out.push('}');
    }
}

/// The simulator's name for the kind of an action. None if it has no such action: there, an attempt reaches its server at once.
fn action_kind(action: &Action) -> Option<&'static str> {
    Some(match action {
        Action::Send { .. } => "ISSUE",
        Action::Reject { .. } => "BOUNCE",
        Action::Fail { .. } => "END_FAILED",
        Action::Cancel { .. } => "CANCEL",
        Action::SetTimer { .. } => "DEFER",
        Action::Probe(_) => "SAMPLE",
        Action::CloseIdleConnections(_) => "CLOSE",
        Action::Subscribe(_) => "TRACK",
        Action::FetchEndpointList => "QUERY_ALL",
        Action::Log(_) => "RECORD",
        Action::CancelUnreceived { .. } => return None,
    })
}
