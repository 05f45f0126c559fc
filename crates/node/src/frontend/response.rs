//! Encodes final responses in the protocol of the client: RESP2, or the memcached binary protocol.
//!
//! The module has no state and does not choose the responses.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Response, Status};
use sloewick_codec::resp2::{write_bulk, write_header, MAX_ARGUMENT_BYTES};
use sloewick_decision::api::Micros;

/// The protocol spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    Resp2,
    Memcached,
}

/// The protocol of a request, with the fields of the request that its response repeats.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestProtocol {
    Resp2,
    Memcached { opcode: Opcode, opaque: u32 },
}

/// The final response of a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FinalResponse {
    /// The value, or the receipt of a write.
    Value(Bytes),
    /// Served; the key has no value.
    NoValue,
    /// Rejected, with the time after which the client may retry (0: no time is stated).
    Busy(Micros),
    /// Failed; a write may have taken effect.
    Failed,
}

/// The flags of all values: none are set, since read-through cache servers create the values themselves.
const NO_FLAGS: &[u8] = &[0; 4];

fn static_bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

impl RequestProtocol {
    /// Encodes a response. The result is empty if the protocol suppresses the response (quiet memcached opcodes).
    pub(crate) fn encode(self, key: &Bytes, response: FinalResponse) -> Vec<Bytes> {
        match self {
            RequestProtocol::Resp2 => self.encode_resp2(key, response),
            RequestProtocol::Memcached { opcode, opaque } => {
                self.encode_memcached(opcode, opaque, key, response)
            }
        }
    }

    fn encode_resp2(self, key: &Bytes, response: FinalResponse) -> Vec<Bytes> {
        match response {
            FinalResponse::Value(value) if value.len() <= MAX_ARGUMENT_BYTES => {
                let mut out = Vec::with_capacity(16 + value.len());
                write_bulk(&mut out, &value);
                vec![out.into()]
            }
            FinalResponse::Value(value) => {
                vec![
                    self.encode_value_header(key, value.len()),
                    value,
                    static_bytes("\r\n"),
                ]
            }
            FinalResponse::NoValue => vec![static_bytes("$-1\r\n")],
            FinalResponse::Busy(retry_after) => vec![match millis_rounded_up(retry_after) {
                0 => static_bytes("-BUSY\r\n"),
                ms => format!("-BUSY {ms}\r\n").into(),
            }],
            FinalResponse::Failed => vec![static_bytes("-ERR failed\r\n")],
        }
    }

    fn encode_memcached(
        self,
        opcode: Opcode,
        opaque: u32,
        key: &Bytes,
        response: FinalResponse,
    ) -> Vec<Bytes> {
        match response {
            FinalResponse::Value(_) if opcode.suppresses_response(Status::Ok) => Vec::new(),
            FinalResponse::Value(_) if !is_read(opcode) => {
                let mut out = Vec::new();
                memcached::write_status(&mut out, opcode as u8, opaque, Status::Ok);
                vec![out.into()]
            }
            FinalResponse::Value(value) if value.len() <= MAX_ARGUMENT_BYTES => {
                let header = read_response_header(opcode, opaque, key);
                let mut out =
                    Vec::with_capacity(memcached::HEADER_BYTES + 4 + key.len() + value.len());
                memcached::write_response_header(&mut out, &header, value.len());
                out.extend_from_slice(&value);
                vec![out.into()]
            }
            FinalResponse::Value(value) => {
                vec![self.encode_value_header(key, value.len()), value]
            }
            FinalResponse::NoValue => self.encode_status(Status::KeyNotFound, None),
            FinalResponse::Busy(retry_after) => match millis_rounded_up(retry_after) {
                0 => self.encode_status(Status::Busy, Some("busy; nothing has run; try again")),
                ms => self.encode_status(
                    Status::Busy,
                    Some(&format!("busy; nothing has run; try again after {ms} ms")),
                ),
            },
            FinalResponse::Failed => self.encode_status(
                Status::InternalError,
                Some("failed; a write may have taken effect"),
            ),
        }
    }

    /// Encodes a memcached status response with `text`, or with the default text of the status. The result is empty for RESP2
    /// and if the protocol suppresses the response.
    pub(crate) fn encode_status(self, status: Status, text: Option<&str>) -> Vec<Bytes> {
        let RequestProtocol::Memcached { opcode, opaque } = self else {
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

    /// Encodes the bytes that precede a streamed value of `len` bytes.
    pub(crate) fn encode_value_header(self, key: &Bytes, len: usize) -> Bytes {
        let mut out = Vec::new();
        match self {
            RequestProtocol::Resp2 => write_header(&mut out, b'$', len),
            RequestProtocol::Memcached { opcode, opaque } => {
                let header = read_response_header(opcode, opaque, key);
                memcached::write_response_header(&mut out, &header, len);
            }
        }
        out.into()
    }

    /// Encodes the bytes that follow a streamed value.
    pub(crate) fn encode_value_trailer(self) -> Vec<Bytes> {
        match self {
            RequestProtocol::Resp2 => vec![static_bytes("\r\n")],
            RequestProtocol::Memcached { .. } => Vec::new(),
        }
    }
}

fn millis_rounded_up(time: Micros) -> Micros {
    (time.max(0) + 999) / 1000
}

fn is_read(opcode: Opcode) -> bool {
    matches!(opcode.without_quiet(), Opcode::Get | Opcode::GetK)
}

fn read_response_header(opcode: Opcode, opaque: u32, key: &Bytes) -> Response {
    let key = if opcode.without_quiet() == Opcode::GetK {
        key.clone()
    } else {
        Bytes::new()
    };
    Response {
        opcode: opcode as u8,
        status: Status::Ok as u16,
        opaque,
        cas: 0,
        extras: Bytes::from_static(NO_FLAGS),
        key,
        value: Bytes::new(),
    }
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
