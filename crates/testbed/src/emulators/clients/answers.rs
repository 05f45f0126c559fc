//! Classifies the responses of nodes, in both protocols.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Status};
use sloewick_codec::resp2::{Element, Reply};

use crate::checker::observations::{opaque_of, short_id, Answer, Id};

/// Limit of the body of a memcached response, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 5 << 20;

/// A decoded response of a node, in either protocol.
#[derive(Debug)]
pub(super) enum NodeReply {
    Resp(Reply),
    Memcached(memcached::Response),
}

/// Checks whether a value was produced for this request: it begins with the id of its request.
pub(super) fn check_value(value: &Bytes, id: &Id) -> Answer {
    let made = |id: &str| value.starts_with(format!("{id}|").as_bytes());
    if made(id) || made(&short_id(opaque_of(id))) {
        Answer::Served
    } else {
        Answer::Foreign(String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned())
    }
}

/// Classifies the RESP2 reply to a request.
pub(crate) fn resp_answer(reply: &Reply, id: &Id, write: bool) -> Answer {
    let value = match reply {
        Reply::Single(Element::Bulk(value)) => Some(value),
        Reply::Array(parts) => match parts.first() {
            Some(Element::Bulk(value)) => Some(value),
            _ => None,
        },
        Reply::Single(_) => None,
    };
    match (value, reply) {
        // A memcached cache server acknowledges a write without a value.
        (Some(value), _) if value.is_empty() && write => Answer::Served,
        (Some(value), _) => check_value(value, id),
        (None, Reply::Single(Element::Error(text))) if text.starts_with(b"BUSY") => {
            let ms = std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.split(' ').nth(1)?.parse().ok());
            Answer::Busy(ms)
        }
        _ => Answer::Failed,
    }
}

pub(super) fn memcached_answer(
    r: &memcached::Response,
    id: &Id,
    opaque: u32,
    write: bool,
) -> Answer {
    if r.opaque != opaque {
        return Answer::Foreign(format!("opaque {:08x} for {opaque:08x}", r.opaque));
    }
    match Status::from_code(r.status) {
        Some(Status::Ok) if write => Answer::Served,
        Some(Status::Ok) => check_value(&r.value, id),
        Some(Status::Busy) => {
            let text = std::str::from_utf8(&r.value).unwrap_or_default();
            let ms = text
                .rsplit_once(" after ")
                .and_then(|(_, rest)| rest.strip_suffix(" ms")?.parse().ok());
            Answer::Busy(ms)
        }
        _ => Answer::Failed,
    }
}
