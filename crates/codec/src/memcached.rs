//! The memcached binary protocol, as its specification describes it ("Memcached Binary Protocol",
//! draft-stone-memcache-binary, and the project's page `BinaryProtocolRevamped`, whose headings are cited here): a
//! header of 24 bytes, then extras, key and value. Numbers are big-endian.
//!
//! Readers are incremental: they own the state of the packet that is being received, allocate nothing for what a peer
//! merely announces, and yield the same packets however the bytes are split into reads. A request that cannot be
//! served is delivered with a [`Request::fault`] as long as the position of the next one is known; otherwise the
//! [`DecodeError`] holds the response to it.

mod error;
mod opcode;
mod status;

use bytes::{Buf, Bytes, BytesMut};

pub use error::{DecodeError, DecodeErrorKind, ErrorResponse};
pub use opcode::Opcode;
pub use status::Status;

use crate::resp2::{ByteBudget, MAX_BUFFERED_VALUE, MAX_VALUE};

/// Bytes of a packet's header ("Packet Structure").
pub const HEADER: usize = 24;
/// Longest key in bytes; the limit is the protocol's.
pub const MAX_KEY: usize = 250;
/// Longest extras in bytes: those of `Increment`, the longest of the protocol.
pub const MAX_EXTRAS: usize = 20;
/// Longest value in bytes that needs no reservation in the budget: it counts as a part of its connection.
pub const MAX_UNRESERVED_VALUE: usize = 4096;
/// Longest body in bytes that is accepted, or discarded rather than ending the connection: the longest value with what
/// may precede it.
const MAX_BODY: usize = MAX_VALUE + 1024;

/// The first byte of a request ("Magic Byte").
const REQUEST_MAGIC: u8 = 0x80;
/// The first byte of a response ("Magic Byte").
const RESPONSE_MAGIC: u8 = 0x81;
/// Raw bytes, the only data type ("Data Types").
const RAW_BYTES: u8 = 0;

/// A request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The opcode's code, which may be unknown ([`Opcode::from_code`]).
    pub opcode: u8,
    /// The virtual bucket.
    pub vbucket: u16,
    /// An arbitrary number that is copied into the response.
    pub opaque: u32,
    /// The version that the key must have; 0 for any.
    pub cas: u64,
    /// Parameters of the opcode.
    pub extras: Bytes,
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// Bytes reserved in the budget for its value; the receiver of the request releases them.
    pub reserved: usize,
    /// The status of the response to it, if it cannot be served: its parts have lengths that its opcode does not
    /// allow, or there was no room for its value, which was discarded.
    pub fault: Option<Status>,
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The opcode's code, which may be unknown ([`Opcode::from_code`]).
    pub opcode: u8,
    /// The status's code, which may be unknown ([`Status::from_code`]).
    pub status: u16,
    /// The number that the request had.
    pub opaque: u32,
    /// The version of the key.
    pub cas: u64,
    /// Parameters of the opcode.
    pub extras: Bytes,
    /// The key, if the opcode has one in its responses.
    pub key: Bytes,
    /// The value, or the text of an error.
    pub value: Bytes,
}

/// A packet's header. Lengths are in bytes.
#[derive(Clone, Copy, Debug)]
struct Header {
    magic: u8,
    opcode: u8,
    key_len: usize,
    extras_len: usize,
    data_type: u8,
    /// The vbucket of a request, the status of a response.
    vbucket_or_status: u16,
    body_len: usize,
    opaque: u32,
    cas: u64,
}

impl Header {
    /// The header in these 24 bytes.
    fn parse(mut bytes: &[u8]) -> Header {
        Header {
            magic: bytes.get_u8(),
            opcode: bytes.get_u8(),
            key_len: usize::from(bytes.get_u16()),
            extras_len: usize::from(bytes.get_u8()),
            data_type: bytes.get_u8(),
            vbucket_or_status: bytes.get_u16(),
            body_len: bytes.get_u32() as usize,
            opaque: bytes.get_u32(),
            cas: bytes.get_u64(),
        }
    }

    /// Appends the header, with room for the extras and the key behind it.
    fn write(&self, out: &mut Vec<u8>) {
        out.reserve(HEADER + self.key_len + self.extras_len);
        out.extend_from_slice(&[self.magic, self.opcode]);
        out.extend_from_slice(&(self.key_len as u16).to_be_bytes());
        out.extend_from_slice(&[self.extras_len as u8, self.data_type]);
        out.extend_from_slice(&self.vbucket_or_status.to_be_bytes());
        out.extend_from_slice(&(self.body_len as u32).to_be_bytes());
        out.extend_from_slice(&self.opaque.to_be_bytes());
        out.extend_from_slice(&self.cas.to_be_bytes());
    }

    /// The value's length, which is what extras and key leave of the body; they must not exceed it.
    fn value_len(&self) -> usize {
        self.body_len - self.key_len - self.extras_len
    }

    fn has_consistent_lengths(&self) -> bool {
        self.key_len + self.extras_len <= self.body_len
    }

    /// The request without its body.
    fn request(&self) -> Request {
        Request {
            opcode: self.opcode,
            vbucket: self.vbucket_or_status,
            opaque: self.opaque,
            cas: self.cas,
            ..Request::default()
        }
    }

    /// The request with its body, which the buffer must hold completely.
    fn request_with_body(&self, buf: &mut BytesMut, reserved: usize) -> Request {
        let mut request = self.request();
        request.reserved = reserved;
        if self.body_len > 0 {
            let mut body = buf.split_to(self.body_len).freeze();
            // Each part that shares the body's memory counts a reference: empty parts are left as they are.
            if self.extras_len > 0 {
                request.extras = body.split_to(self.extras_len);
            }
            if self.key_len > 0 && self.key_len < body.len() {
                request.key = body.split_to(self.key_len);
                request.value = body;
            } else if self.key_len > 0 {
                request.key = body;
            } else {
                request.value = body;
            }
        }
        let has_allowed_lengths = Opcode::from_code(self.opcode).is_none_or(|opcode| {
            opcode.allows_lengths(self.extras_len, self.key_len, request.value.len())
        });
        if !has_allowed_lengths {
            request.fault = Some(Status::InvalidArguments);
        }
        request
    }

    /// An error with a response to the request that this header begins.
    fn error(&self, kind: DecodeErrorKind, status: Status) -> DecodeError {
        DecodeError {
            kind,
            response: Some(ErrorResponse {
                opcode: self.opcode,
                opaque: self.opaque,
                status,
            }),
        }
    }
}

/// What a [`RequestReader`] expects next.
#[derive(Debug, Default)]
enum RequestState {
    /// A header.
    #[default]
    Header,
    /// The body of a request, for which so many bytes are reserved in the budget.
    Body { header: Header, reserved: usize },
    /// The remaining bytes of a body that is discarded, because of this fault.
    Discarding {
        header: Header,
        remaining: usize,
        fault: Status,
    },
}

/// Reads requests from a client's bytes.
#[derive(Debug, Default)]
pub struct RequestReader {
    state: RequestState,
}

impl RequestReader {
    /// Whether the header of a request has been taken off the buffer, but not yet its body.
    pub fn is_mid_message(&self) -> bool {
        !matches!(self.state, RequestState::Header)
    }

    /// Bytes that the incomplete request has reserved in the budget.
    pub fn reserved(&self) -> usize {
        match self.state {
            RequestState::Body { reserved, .. } => reserved,
            _ => 0,
        }
    }

    /// Takes the next request off the buffer; `None` while it is incomplete. `max_value`: longest value that is
    /// accepted, in bytes; a request with a longer one is delivered without it.
    ///
    /// # Errors
    /// Another magic byte, a body shorter than its parts, or one that is too long to be discarded.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        budget: &mut ByteBudget,
        max_value: usize,
    ) -> Result<Option<Request>, DecodeError> {
        loop {
            match &mut self.state {
                RequestState::Header => {
                    let Some(header) = take_request_header(buf)? else {
                        return Ok(None);
                    };
                    self.state = begin_body(header, budget, max_value);
                }
                RequestState::Body { header, reserved } => {
                    if buf.len() < header.body_len {
                        return Ok(None);
                    }
                    let request = header.request_with_body(buf, *reserved);
                    self.state = RequestState::Header;
                    return Ok(Some(request));
                }
                RequestState::Discarding {
                    header,
                    remaining,
                    fault,
                } => {
                    let received = (*remaining).min(buf.len());
                    buf.advance(received);
                    *remaining -= received;
                    if *remaining > 0 {
                        return Ok(None);
                    }
                    let mut request = header.request();
                    request.fault = Some(*fault);
                    self.state = RequestState::Header;
                    return Ok(Some(request));
                }
            }
        }
    }
}

/// Takes the header of a request off the buffer; `None` while it is incomplete. Bytes behind an error are not taken.
fn take_request_header(buf: &mut BytesMut) -> Result<Option<Header>, DecodeError> {
    if buf.first().is_some_and(|magic| *magic != REQUEST_MAGIC) {
        return Err(DecodeErrorKind::NoRequestMagic.into());
    }
    if buf.len() < HEADER {
        return Ok(None);
    }
    let header = Header::parse(&buf[..HEADER]);
    if !header.has_consistent_lengths() {
        let kind = DecodeErrorKind::PartsExceedBody;
        return Err(header.error(kind, Status::InvalidArguments));
    }
    if header.body_len > MAX_BODY {
        return Err(header.error(DecodeErrorKind::BodyTooLong, Status::ValueTooLarge));
    }
    buf.advance(HEADER);
    Ok(Some(header))
}

/// Decides whether the body of a request is accepted, with its value reserved in the budget, or discarded.
fn begin_body(header: Header, budget: &mut ByteBudget, max_value: usize) -> RequestState {
    let value_len = header.value_len();
    let is_long_value = value_len > MAX_UNRESERVED_VALUE;
    let has_invalid_header =
        header.data_type != RAW_BYTES || header.key_len > MAX_KEY || header.extras_len > MAX_EXTRAS;
    let fault = if has_invalid_header {
        Status::InvalidArguments
    } else if value_len > max_value {
        Status::ValueTooLarge
    } else if is_long_value && !budget.try_reserve(value_len) {
        Status::OutOfMemory
    } else {
        let reserved = if is_long_value { value_len } else { 0 };
        return RequestState::Body { header, reserved };
    };
    RequestState::Discarding {
        header,
        remaining: header.body_len,
        fault,
    }
}

/// What a [`ResponseReader`] has read.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodeEvent {
    /// A complete response; the value is empty if it has been streamed.
    Complete(Response),
    /// A response whose long value follows, and the value's length in bytes.
    ValueStart(Response, usize),
    /// The next bytes of the long value.
    ValueChunk(Bytes),
}

/// What a [`ResponseReader`] expects next.
#[derive(Debug, Default)]
enum ResponseState {
    /// A header.
    #[default]
    Header,
    /// The body of a response, or what precedes a long value.
    Body(Header),
    /// The remaining bytes of a long value.
    Value {
        response: Response,
        remaining: usize,
    },
}

/// Reads responses from a cache server's bytes. Values of more than [`MAX_BUFFERED_VALUE`] bytes are streamed.
#[derive(Debug, Default)]
pub struct ResponseReader {
    state: ResponseState,
}

impl ResponseReader {
    /// Whether a part of a response has been taken off the buffer.
    pub fn is_mid_message(&self) -> bool {
        !matches!(self.state, ResponseState::Header)
    }

    /// Takes the next event off the buffer; `None` until more bytes arrive. `max_body`: longest body that is accepted,
    /// in bytes.
    ///
    /// # Errors
    /// Another magic byte, an unknown data type, a body shorter than its parts, or one longer than `max_body`.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        max_body: usize,
    ) -> Result<Option<DecodeEvent>, DecodeError> {
        let header = match &mut self.state {
            ResponseState::Value { remaining, .. } if *remaining > 0 => {
                let bytes = buf.split_to((*remaining).min(buf.len())).freeze();
                *remaining -= bytes.len();
                return Ok((!bytes.is_empty()).then_some(DecodeEvent::ValueChunk(bytes)));
            }
            ResponseState::Value { .. } => return Ok(self.take_streamed_response()),
            ResponseState::Body(header) => *header,
            ResponseState::Header => {
                let Some(header) = take_response_header(buf, max_body)? else {
                    return Ok(None);
                };
                self.state = ResponseState::Body(header);
                header
            }
        };
        Ok(self.read_body(header, buf))
    }

    /// The response whose long value has been streamed completely.
    fn take_streamed_response(&mut self) -> Option<DecodeEvent> {
        match std::mem::take(&mut self.state) {
            ResponseState::Value { response, .. } => Some(DecodeEvent::Complete(response)),
            _ => None,
        }
    }

    /// Reads the body of a response, or what precedes a long value; `None` while that is incomplete.
    fn read_body(&mut self, header: Header, buf: &mut BytesMut) -> Option<DecodeEvent> {
        let value_len = header.value_len();
        let is_streamed = value_len > MAX_BUFFERED_VALUE;
        let needed = if is_streamed {
            header.key_len + header.extras_len
        } else {
            header.body_len
        };
        if buf.len() < needed {
            return None;
        }
        let mut body = buf.split_to(needed).freeze();
        let extras = body.split_to(header.extras_len);
        let key = body.split_to(header.key_len);
        let response = Response {
            opcode: header.opcode,
            status: header.vbucket_or_status,
            opaque: header.opaque,
            cas: header.cas,
            extras,
            key,
            value: body,
        };
        if !is_streamed {
            self.state = ResponseState::Header;
            return Some(DecodeEvent::Complete(response));
        }
        self.state = ResponseState::Value {
            response: response.clone(),
            remaining: value_len,
        };
        Some(DecodeEvent::ValueStart(response, value_len))
    }
}

/// Takes the header of a response off the buffer; `None` while it is incomplete. Bytes behind an error are not taken.
fn take_response_header(
    buf: &mut BytesMut,
    max_body: usize,
) -> Result<Option<Header>, DecodeErrorKind> {
    if buf.first().is_some_and(|magic| *magic != RESPONSE_MAGIC) {
        return Err(DecodeErrorKind::NoResponseMagic);
    }
    if buf.len() < HEADER {
        return Ok(None);
    }
    let header = Header::parse(&buf[..HEADER]);
    if !header.has_consistent_lengths() {
        return Err(DecodeErrorKind::PartsExceedBody);
    }
    if header.body_len > max_body {
        return Err(DecodeErrorKind::BodyTooLong);
    }
    if header.data_type != RAW_BYTES {
        return Err(DecodeErrorKind::UnknownDataType);
    }
    buf.advance(HEADER);
    Ok(Some(header))
}

/// Appends a request up to its value, of `value_len` bytes, which the caller appends. Its key and extras must have
/// lengths that the header can express.
pub fn write_request_header(out: &mut Vec<u8>, request: &Request, value_len: usize) {
    let header = Header {
        magic: REQUEST_MAGIC,
        opcode: request.opcode,
        key_len: request.key.len(),
        extras_len: request.extras.len(),
        data_type: RAW_BYTES,
        vbucket_or_status: request.vbucket,
        body_len: request.extras.len() + request.key.len() + value_len,
        opaque: request.opaque,
        cas: request.cas,
    };
    header.write(out);
    out.extend_from_slice(&request.extras);
    out.extend_from_slice(&request.key);
}

/// Appends a request.
pub fn write_request(out: &mut Vec<u8>, request: &Request) {
    write_request_header(out, request, request.value.len());
    out.extend_from_slice(&request.value);
}

/// Appends a response up to its value, of `value_len` bytes, which the caller appends.
pub fn write_response_header(out: &mut Vec<u8>, response: &Response, value_len: usize) {
    let header = Header {
        magic: RESPONSE_MAGIC,
        opcode: response.opcode,
        key_len: response.key.len(),
        extras_len: response.extras.len(),
        data_type: RAW_BYTES,
        vbucket_or_status: response.status,
        body_len: response.extras.len() + response.key.len() + value_len,
        opaque: response.opaque,
        cas: response.cas,
    };
    header.write(out);
    out.extend_from_slice(&response.extras);
    out.extend_from_slice(&response.key);
}

/// Appends a response.
pub fn write_response(out: &mut Vec<u8>, response: &Response) {
    write_response_header(out, response, response.value.len());
    out.extend_from_slice(&response.value);
}

/// Appends a response that consists of a status and the text that memcached has for it.
pub fn write_status(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status) {
    write_text_response(out, opcode, opaque, status, status.text());
}

/// Appends a response that consists of a status and a text for people.
pub fn write_text_response(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status, text: &str) {
    let response = Response {
        opcode,
        status: status as u16,
        opaque,
        cas: 0,
        extras: Bytes::new(),
        key: Bytes::new(),
        value: Bytes::copy_from_slice(text.as_bytes()),
    };
    write_response(out, &response);
}

#[cfg(test)]
#[path = "memcached_tests.rs"]
mod tests;
