//! What a client's protocol makes of a final answer. The node decides what the answer is; here it is worded.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Response, Status};
use sloewick_codec::resp2::{write_bulk, write_header, MAX_ARGUMENT};
use sloewick_decision::api::Micros;

/// The protocol that a peer speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Resp,
    Memcached,
}

/// What is kept of a request for wording its answer.
#[derive(Clone, Copy, Debug)]
pub enum Asked {
    Resp,
    Memcached { opcode: Opcode, opaque: u32 },
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// The value, or a write's receipt.
    Value(Bytes),
    /// Served: there is no value of this key.
    NoValue,
    /// Refused; when to come back (0: no advice).
    Busy(Micros),
    Failed,
}

/// Items carry no flags here: a read-through box makes its values itself.
const NO_FLAGS: &[u8] = &[0; 4];

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

impl Asked {
    /// The answer's bytes; nothing where the protocol has the client hear nothing.
    pub fn answer(self, key: &Bytes, end: Final) -> Vec<Bytes> {
        match (self, end) {
            (Asked::Resp, Final::Value(value)) if value.len() <= MAX_ARGUMENT => {
                let mut out = Vec::with_capacity(16 + value.len());
                write_bulk(&mut out, &value);
                vec![out.into()]
            }
            (Asked::Resp, Final::Value(value)) => {
                vec![self.head(key, value.len()), value, bytes("\r\n")]
            }
            (Asked::Resp, Final::NoValue) => vec![bytes("$-1\r\n")],
            (Asked::Resp, Final::Busy(retry_after)) => vec![match millis(retry_after) {
                0 => bytes("-BUSY\r\n"),
                ms => format!("-BUSY {ms}\r\n").into(),
            }],
            (Asked::Resp, Final::Failed) => vec![bytes("-ERR failed\r\n")],
            (Asked::Memcached { opcode, opaque }, Final::Value(value)) => {
                if opcode.suppresses_response(Status::Ok) {
                    Vec::new()
                } else if !reads(opcode) {
                    let mut out = Vec::new();
                    memcached::write_status(&mut out, opcode as u8, opaque, Status::Ok);
                    vec![out.into()]
                } else if value.len() <= MAX_ARGUMENT {
                    let mut out =
                        Vec::with_capacity(memcached::HEADER + 4 + key.len() + value.len());
                    memcached::write_response_header(
                        &mut out,
                        &read_head(opcode, opaque, key),
                        value.len(),
                    );
                    out.extend_from_slice(&value);
                    vec![out.into()]
                } else {
                    vec![self.head(key, value.len()), value]
                }
            }
            (Asked::Memcached { .. }, Final::NoValue) => self.status(Status::KeyNotFound, None),
            (Asked::Memcached { .. }, Final::Busy(retry_after)) => match millis(retry_after) {
                0 => self.status(Status::Busy, Some("busy; nothing has run; try again")),
                ms => self.status(
                    Status::Busy,
                    Some(&format!("busy; nothing has run; try again after {ms} ms")),
                ),
            },
            (Asked::Memcached { .. }, Final::Failed) => self.status(
                Status::InternalError,
                Some("failed; a write may have taken effect"),
            ),
        }
    }

    /// A memcached status with its own text, or another one.
    pub fn status(self, status: Status, text: Option<&str>) -> Vec<Bytes> {
        let Asked::Memcached { opcode, opaque } = self else {
            return Vec::new();
        };
        if opcode.suppresses_response(status) {
            return Vec::new();
        }
        let mut out = Vec::new();
        memcached::write_text_response(
            &mut out,
            opcode as u8,
            opaque,
            status,
            text.unwrap_or(status.text()),
        );
        vec![out.into()]
    }

    /// What precedes a long value.
    pub fn head(self, key: &Bytes, len: usize) -> Bytes {
        let mut out = Vec::new();
        match self {
            Asked::Resp => write_header(&mut out, b'$', len),
            Asked::Memcached { opcode, opaque } => {
                memcached::write_response_header(&mut out, &read_head(opcode, opaque, key), len);
            }
        }
        out.into()
    }

    /// What follows a long value.
    pub fn tail(self) -> Vec<Bytes> {
        match self {
            Asked::Resp => vec![bytes("\r\n")],
            Asked::Memcached { .. } => Vec::new(),
        }
    }
}

fn millis(time: Micros) -> Micros {
    (time.max(0) + 999) / 1000
}

fn reads(opcode: Opcode) -> bool {
    matches!(opcode.without_quiet(), Opcode::Get | Opcode::GetK)
}

fn read_head(opcode: Opcode, opaque: u32, key: &Bytes) -> Response {
    let key = if opcode.without_quiet() == Opcode::GetK {
        key.clone()
    } else {
        Bytes::new()
    };
    let (extras, value) = (Bytes::from_static(NO_FLAGS), Bytes::new());
    Response {
        opcode: opcode as u8,
        status: Status::Ok as u16,
        opaque,
        cas: 0,
        extras,
        key,
        value,
    }
}

#[cfg(test)]
#[path = "front_tests.rs"]
mod tests;
