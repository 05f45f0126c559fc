//! The RESP2 frontend: parses the commands `PING`, `C.GET` and `C.SET` of clients. It has no state.

use std::str::from_utf8;
use std::sync::Arc;

use bytes::Bytes;
use sloewick_codec::resp2::write_bulk;
use sloewick_decision::api::{Micros, Request, RequestId};
use sloewick_decision::settings::Names;
use thiserror::Error;

/// Longest deadline of a request, in microseconds (one hour). Longer ones are reduced to it, which keeps sums of times far from
/// overflow.
const MAX_DEADLINE: f64 = 3.6e9;
/// Number of words of `C.GET` and `C.SET`, including the command's name.
const GET_WORDS: usize = 4;
const SET_WORDS: usize = 5;

/// Why a command cannot be parsed or accepted. The text is sent in the error response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum CommandError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    ArgumentCount,
    #[error("key is not text")]
    KeyNotText,
    #[error("id is not text")]
    IdNotText,
    #[error("fields are not text")]
    FieldsNotText,
    #[error("unknown class")]
    UnknownClass,
    #[error("bad d")]
    InvalidDeadline,
    #[error("no class")]
    NoClass,
    #[error("no d")]
    NoDeadline,
    #[error("id is in use")]
    IdInUse,
}

impl CommandError {
    /// The error response.
    pub(crate) fn encode(self) -> Bytes {
        format!("-ERR {self}\r\n").into()
    }
}

/// A parsed command.
pub(crate) enum ParsedCommand {
    /// `PING`, with the text to send back if there is one.
    Ping(Option<Bytes>),
    /// `C.GET` or `C.SET`.
    Request(Request),
}

/// Parses the words of a command.
///
/// # Errors
/// The command is unknown, or its arguments are invalid.
pub(crate) fn parse_command(words: &[Bytes], names: &Names) -> Result<ParsedCommand, CommandError> {
    let name = words.first().cloned().unwrap_or_default();
    if name.eq_ignore_ascii_case(b"PING") {
        return Ok(ParsedCommand::Ping(words.get(1).cloned()));
    }
    let write = name.eq_ignore_ascii_case(b"C.SET");
    if !write && !name.eq_ignore_ascii_case(b"C.GET") {
        return Err(CommandError::UnknownCommand);
    }
    let expected = if write { SET_WORDS } else { GET_WORDS };
    if words.len() != expected {
        return Err(CommandError::ArgumentCount);
    }
    let key = from_utf8(&words[1]).map_err(|_| CommandError::KeyNotText)?;
    let id = from_utf8(&words[2]).map_err(|_| CommandError::IdNotText)?;
    let fields = from_utf8(&words[3]).map_err(|_| CommandError::FieldsNotText)?;
    let request = parse_request(id.into(), key.into(), fields, write, names)?;
    Ok(ParsedCommand::Request(request))
}

/// Builds a request from the field argument, `name=value` pairs separated by commas; unknown names are ignored.
fn parse_request(
    id: RequestId,
    key: Arc<str>,
    fields: &str,
    write: bool,
    names: &Names,
) -> Result<Request, CommandError> {
    let (mut class, mut deadline) = (None, None);
    let mut request = Request {
        id,
        class: 0,
        tenant: None,
        key: Some(key),
        budget: 0,
        work: None,
        size: None,
        is_client_retry: false,
        earlier_request_sent: None,
        write,
    };
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        match name {
            "c" => class = Some(names.class(value).ok_or(CommandError::UnknownClass)?),
            "t" => request.tenant = names.tenant(value),
            "d" => {
                let ms = parse_number(value).ok_or(CommandError::InvalidDeadline)?;
                deadline = Some((ms * 1000.0).min(MAX_DEADLINE) as Micros);
            }
            "h" => request.work = parse_number(value),
            "size" => request.size = parse_number(value),
            "r" => request.is_client_retry = value == "1",
            _ => {}
        }
    }
    request.class = class.ok_or(CommandError::NoClass)?;
    request.budget = deadline.ok_or(CommandError::NoDeadline)?;
    Ok(request)
}

/// Parses a finite number that is not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// Encodes the response to `PING`. `available`: false if clients are to leave the node.
pub(crate) fn encode_pong(text: Option<&Bytes>, available: bool) -> Bytes {
    match text {
        None if !available => Bytes::from_static(b"-ERR leaving\r\n"),
        None => Bytes::from_static(b"+PONG\r\n"),
        Some(text) => {
            let mut out = Vec::new();
            write_bulk(&mut out, text);
            out.into()
        }
    }
}

#[cfg(test)]
#[path = "resp2_tests.rs"]
mod tests;
