//! Interprets the responses of cache servers: the status of the attempt, the cache result and the load report. The module
//! holds no state.

use sloewick_codec::memcached;
use sloewick_codec::resp2::{Element, Reply};
use sloewick_decision::api::{CacheResult, LoadReport, Status};
use sloewick_memcached::routing::Operation;
use sloewick_memcached::status::{outcome, Outcome};

use crate::frontend::response::FinalResponse;
use crate::upstream::response_reader::ServerReply;

/// The result of an attempt or a probe, as its response reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptResult {
    pub(crate) status: Status,
    pub(crate) cache_result: Option<CacheResult>,
    pub(crate) load: Option<LoadReport>,
}

impl AttemptResult {
    /// A result with neither cache result nor load report.
    pub(crate) fn with_status(status: Status) -> AttemptResult {
        AttemptResult {
            status,
            cache_result: None,
            load: None,
        }
    }
}

/// Returns the result of the attempt that a response belongs to. `is_write`: the request was a write.
pub(crate) fn interpret(reply: &ServerReply, is_write: bool) -> AttemptResult {
    match reply {
        ServerReply::Resp2(reply) => interpret_resp2(reply),
        ServerReply::Memcached(response) => interpret_memcached(response, is_write),
    }
}

fn interpret_memcached(response: &memcached::Response, is_write: bool) -> AttemptResult {
    let operation = if is_write {
        Operation::Set
    } else {
        Operation::Get
    };
    match outcome(operation, response.status) {
        Outcome::Served => AttemptResult::with_status(Status::Ok),
        Outcome::NoValue => AttemptResult {
            cache_result: Some(CacheResult::Miss),
            ..AttemptResult::with_status(Status::Ok)
        },
        Outcome::NotServed(status) => AttemptResult::with_status(status),
    }
}

fn interpret_resp2(reply: &Reply) -> AttemptResult {
    match reply {
        Reply::Array(elements) => {
            let status = if matches!(elements[0], Element::Bulk(_)) {
                Status::Ok
            } else {
                Status::Error
            };
            AttemptResult {
                status,
                cache_result: elements.get(1).and_then(parse_cache_result),
                load: elements.get(2).and_then(parse_load_report),
            }
        }
        Reply::Single(element) => {
            let status = match element {
                Element::Error(line) if line.starts_with(b"BUSY") => Status::Rejected,
                _ => Status::Error,
            };
            AttemptResult {
                load: parse_load_report(element),
                ..AttemptResult::with_status(status)
            }
        }
    }
}

/// Returns the result of a probe. A RESP2 server that replies with a simple or bulk string counts as alive.
pub(crate) fn interpret_probe(reply: &ServerReply) -> AttemptResult {
    let result = interpret(reply, false);
    match reply {
        ServerReply::Resp2(Reply::Single(Element::Simple(_) | Element::Bulk(_))) => AttemptResult {
            status: Status::Ok,
            ..result
        },
        _ => result,
    }
}

/// The final response to the client for the response of a served attempt.
pub(crate) fn final_response(reply: ServerReply) -> FinalResponse {
    match reply {
        ServerReply::Resp2(Reply::Array(mut elements)) => match elements.swap_remove(0) {
            Element::Bulk(value) => FinalResponse::Value(value),
            _ => FinalResponse::NoValue,
        },
        ServerReply::Resp2(Reply::Single(_)) => FinalResponse::Failed,
        ServerReply::Memcached(response)
            if response.status == memcached::Status::KeyNotFound as u16 =>
        {
            FinalResponse::NoValue
        }
        ServerReply::Memcached(response) => FinalResponse::Value(response.value),
    }
}

fn parse_cache_result(element: &Element) -> Option<CacheResult> {
    let (Element::Bulk(word) | Element::Simple(word)) = element else {
        return None;
    };
    match &word[..] {
        b"hit" => Some(CacheResult::Hit),
        b"miss" => Some(CacheResult::Miss),
        b"pending" => Some(CacheResult::MissFetching),
        _ => None,
    }
}

/// Parses the load report that is the last word of a text: `name=value` pairs separated by commas. Returns None if it holds
/// no number under a known name.
fn parse_load_report(element: &Element) -> Option<LoadReport> {
    let (Element::Bulk(text) | Element::Simple(text) | Element::Error(text)) = element else {
        return None;
    };
    let text = std::str::from_utf8(text).ok()?.rsplit(' ').next()?;
    let mut load = LoadReport::default();
    let mut has_value = false;
    for (name, value) in text.split(',').filter_map(|field| field.split_once('=')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        let field = match name {
            "inflight" | "active" => &mut load.in_flight,
            "queue" | "waiting" => &mut load.queue,
            "util" | "cpu" => &mut load.util,
            "latency_ms" | "avg_ms" => &mut load.service,
            "qps" | "rps" => &mut load.qps,
            "eps" | "err_rps" => &mut load.eps,
            "x0" => &mut load.hits,
            "x1" => &mut load.fetches,
            _ => continue,
        };
        *field = value;
        has_value |= value.is_some();
    }
    load.service = load.service.map(|ms| ms * 1000.0);
    has_value.then_some(load)
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
