//! The memcached binary protocol. It is specified in "Memcached Binary Protocol" (draft-stone-memcache-binary) and on the
//! project's page `BinaryProtocolRevamped`; comments in this module cite the headings of the page. A packet consists of a
//! header of 24 bytes, extras, key and value. Numbers are big-endian.
//!
//! Readers are incremental: they hold the state of the packet that is being received, allocate memory only for bytes that
//! have arrived, and return the same packets however the bytes are split into reads. A request that cannot be served is
//! delivered with a [`Request::error_status`] if the start of the next request is known; otherwise the reader fails with a
//! [`DecodeError`], which holds the response to the request.

mod error;
mod opcode;
mod status;

use bytes::{Buf, Bytes, BytesMut};

pub use error::{DecodeError, DecodeErrorKind, ErrorResponse};
pub use opcode::Opcode;
pub use status::Status;

use crate::partial_bytes::PartialBytes;
use crate::resp2::{ReserveMemory, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};

/// Length of a packet header in bytes ("Packet Structure").
pub const HEADER_BYTES: usize = 24;
/// Maximum length of a key in bytes, as the protocol defines it.
pub const MAX_KEY_BYTES: usize = 250;
/// Maximum length of the extras in bytes. `Increment` has the longest extras of the protocol.
pub const MAX_EXTRAS: usize = 20;
/// Maximum length of a value in bytes that is not reserved in the budget; it counts as memory of its connection.
pub const MAX_UNRESERVED_VALUE: usize = 4096;
/// Maximum length of a request body in bytes that is accepted or discarded: the longest value and room for
/// the extras and key before it. A request with a longer body ends the connection.
const MAX_BODY: usize = MAX_VALUE_BYTES + 1024;

/// The first byte of a request ("Magic Byte").
const REQUEST_MAGIC: u8 = 0x80;
/// The first byte of a response ("Magic Byte").
const RESPONSE_MAGIC: u8 = 0x81;
/// The data type of raw bytes, the only one that the protocol defines ("Data Types").
const RAW_BYTES: u8 = 0;

/// A request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Code of the opcode, which may be unknown ([`Opcode::from_code`]).
    pub opcode: u8,
    /// The virtual bucket.
    pub vbucket: u16,
    /// An arbitrary number that is copied into the response.
    pub opaque: u32,
    /// The version that the key must have; 0 for any version.
    pub cas: u64,
    /// Parameters that depend on the opcode.
    pub extras: Bytes,
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// Bytes reserved in the budget for the value; the receiver of the request has to release them.
    pub reserved: usize,
    /// The error status of the response if the request cannot be served; otherwise `None`. The body has been discarded if
    /// the header is invalid or the value exceeds the limit or the budget. It is present if only the opcode does not
    /// allow the lengths of extras, key and value.
    pub error_status: Option<Status>,
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Code of the opcode, which may be unknown ([`Opcode::from_code`]).
    pub opcode: u8,
    /// Code of the status, which may be unknown ([`Status::from_code`]).
    pub status: u16,
    /// The opaque number of the request.
    pub opaque: u32,
    /// The version of the key.
    pub cas: u64,
    /// Parameters that depend on the opcode.
    pub extras: Bytes,
    /// The key, if responses to the opcode have one.
    pub key: Bytes,
    /// The value, or the text of the error.
    pub value: Bytes,
}

/// The header of a packet. Lengths are in bytes.
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
    /// Parses the 24 bytes of a header.
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

    /// Appends the header, and reserves capacity for the extras and the key that follow it.
    fn write(&self, out: &mut Vec<u8>) {
        out.reserve(HEADER_BYTES + self.key_len + self.extras_len);
        out.extend_from_slice(&[self.magic, self.opcode]);
        out.extend_from_slice(&(self.key_len as u16).to_be_bytes());
        out.extend_from_slice(&[self.extras_len as u8, self.data_type]);
        out.extend_from_slice(&self.vbucket_or_status.to_be_bytes());
        out.extend_from_slice(&(self.body_len as u32).to_be_bytes());
        out.extend_from_slice(&self.opaque.to_be_bytes());
        out.extend_from_slice(&self.cas.to_be_bytes());
    }

    /// The length of the value: that of the body without extras and key, which must not exceed the body.
    fn value_len(&self) -> usize {
        self.body_len - self.key_len - self.extras_len
    }

    /// Whether the value of a response is delivered as it arrives.
    fn is_value_streamed(&self) -> bool {
        self.value_len() > MAX_BUFFERED_VALUE_BYTES
    }

    /// The length of the part of a response's body that is delivered at once.
    fn buffered_len(&self) -> usize {
        if self.is_value_streamed() {
            self.key_len + self.extras_len
        } else {
            self.body_len
        }
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

    /// The request with its complete body.
    fn request_with_body(&self, mut body: Bytes, reserved: usize) -> Request {
        let mut request = self.request();
        request.reserved = reserved;
        if self.body_len > 0 {
            // Each slice of the body increments its reference count, so empty fields are not sliced.
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
        let are_lengths_allowed = Opcode::from_code(self.opcode).is_none_or(|opcode| {
            opcode.allows_lengths(self.extras_len, self.key_len, request.value.len())
        });
        if !are_lengths_allowed {
            request.error_status = Some(Status::InvalidArguments);
        }
        request
    }

    /// An error whose response answers the request with this header.
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

/// What a [`RequestReader`] reads next.
#[derive(Debug, Default)]
enum RequestState {
    /// A header.
    #[default]
    Header,
    /// The body of a request, with the number of bytes reserved for it in the budget.
    Body {
        header: Header,
        reserved: usize,
        body: PartialBytes,
    },
    /// The remaining bytes of a body that is discarded, and the fault of its request.
    Discarding {
        header: Header,
        remaining: usize,
        fault: Status,
    },
}

/// Decodes the requests that a client sends.
#[derive(Debug, Default)]
pub struct RequestReader {
    state: RequestState,
}

impl RequestReader {
    /// Whether the header of a request has been read, but not its whole body.
    pub fn is_mid_message(&self) -> bool {
        !matches!(self.state, RequestState::Header)
    }

    /// Bytes reserved in the budget for the incomplete request.
    pub fn reserved(&self) -> usize {
        match self.state {
            RequestState::Body { reserved, .. } => reserved,
            _ => 0,
        }
    }

    /// Bytes that the long value of the incomplete request lacks; `None` outside a long value.
    pub fn missing_value_bytes(&self) -> Option<usize> {
        match &self.state {
            RequestState::Body { reserved, body, .. } if *reserved > 0 => Some(body.missing()),
            RequestState::Discarding { remaining, .. } => Some(*remaining),
            _ => None,
        }
    }

    /// Bytes of memory that the incomplete request holds besides the reserved ones.
    pub fn unreserved(&self) -> usize {
        match &self.state {
            RequestState::Body { reserved, body, .. } => body.capacity().saturating_sub(*reserved),
            _ => 0,
        }
    }

    /// Removes the next request from the buffer and returns it; `None` while it is incomplete. `max_value` is the maximum
    /// length of a value in bytes; a request with a longer value is delivered without its body.
    ///
    /// # Errors
    /// The magic byte is not that of a request, the body is shorter than extras and key, or the body is too long to be
    /// discarded.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        budget: &mut impl ReserveMemory,
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
                RequestState::Body {
                    header,
                    reserved,
                    body,
                } => {
                    if !body.fill(buf) {
                        return Ok(None);
                    }
                    let request = header.request_with_body(body.take(), *reserved);
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
                    request.error_status = Some(*fault);
                    self.state = RequestState::Header;
                    return Ok(Some(request));
                }
            }
        }
    }
}

/// Removes the header of a request from the buffer; `None` while it is incomplete. The buffer is unchanged on an error.
fn take_request_header(buf: &mut BytesMut) -> Result<Option<Header>, DecodeError> {
    if buf.first().is_some_and(|magic| *magic != REQUEST_MAGIC) {
        return Err(DecodeErrorKind::InvalidRequestMagic.into());
    }
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let header = Header::parse(&buf[..HEADER_BYTES]);
    if !header.has_consistent_lengths() {
        let kind = DecodeErrorKind::KeyAndExtrasExceedBody;
        return Err(header.error(kind, Status::InvalidArguments));
    }
    if header.body_len > MAX_BODY {
        return Err(header.error(DecodeErrorKind::BodyTooLong, Status::ValueTooLarge));
    }
    buf.advance(HEADER_BYTES);
    Ok(Some(header))
}

/// Decides whether the body of a request is accepted or discarded. A long value that is accepted is reserved in the
/// budget.
fn begin_body(header: Header, budget: &mut impl ReserveMemory, max_value: usize) -> RequestState {
    let value_len = header.value_len();
    let needs_reservation = value_len > MAX_UNRESERVED_VALUE;
    let has_invalid_header = header.data_type != RAW_BYTES
        || header.key_len > MAX_KEY_BYTES
        || header.extras_len > MAX_EXTRAS;
    let fault = if has_invalid_header {
        Status::InvalidArguments
    } else if value_len > max_value {
        Status::ValueTooLarge
    } else if needs_reservation && !budget.try_reserve(value_len) {
        Status::OutOfMemory
    } else {
        let reserved = if needs_reservation { value_len } else { 0 };
        return RequestState::Body {
            header,
            reserved,
            body: PartialBytes::new(header.body_len),
        };
    };
    RequestState::Discarding {
        header,
        remaining: header.body_len,
        fault,
    }
}

/// The result of reading from a [`ResponseReader`].
#[derive(Clone, Debug, PartialEq)]
pub enum DecodeEvent {
    /// A complete response; its value is empty if it has been streamed.
    Complete(Response),
    /// A response whose long value follows, and the length of the value in bytes.
    ValueStart(Response, usize),
    /// The next bytes of the long value.
    ValueChunk(Bytes),
}

/// What a [`ResponseReader`] reads next.
#[derive(Debug, Default)]
enum ResponseState {
    /// A header.
    #[default]
    Header,
    /// The body of a response, or the extras and key that precede a long value.
    Body { header: Header, body: PartialBytes },
    /// The remaining bytes of a long value.
    Value {
        response: Response,
        remaining: usize,
    },
}

/// Decodes the responses that a cache server sends. Values of more than [`MAX_BUFFERED_VALUE_BYTES`] bytes are streamed.
#[derive(Debug, Default)]
pub struct ResponseReader {
    state: ResponseState,
}

impl ResponseReader {
    /// Whether a part of a response has been read, but not all of it.
    pub fn is_mid_message(&self) -> bool {
        !matches!(self.state, ResponseState::Header)
    }

    /// Removes the next event from the buffer and returns it; `None` until more bytes arrive. `max_body` is the maximum
    /// length of a body in bytes.
    ///
    /// # Errors
    /// The magic byte is not that of a response, the data type is unknown, or the body is shorter than extras and key or
    /// longer than `max_body`.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        max_body: usize,
    ) -> Result<Option<DecodeEvent>, DecodeError> {
        match &mut self.state {
            ResponseState::Value { remaining, .. } if *remaining > 0 => {
                let bytes = buf.split_to((*remaining).min(buf.len())).freeze();
                *remaining -= bytes.len();
                return Ok((!bytes.is_empty()).then_some(DecodeEvent::ValueChunk(bytes)));
            }
            ResponseState::Value { .. } => return Ok(self.take_streamed_response()),
            ResponseState::Body { .. } => {}
            ResponseState::Header => {
                let Some(header) = take_response_header(buf, max_body)? else {
                    return Ok(None);
                };
                self.state = ResponseState::Body {
                    header,
                    body: PartialBytes::new(header.buffered_len()),
                };
            }
        }
        Ok(self.read_body(buf))
    }

    /// The length of the body that is being received; `None` if there is none.
    pub fn expected_len(&self) -> Option<usize> {
        match &self.state {
            ResponseState::Body { body, .. } => Some(body.len()),
            _ => None,
        }
    }

    /// Bytes of memory that the incomplete response holds.
    pub fn allocated(&self) -> usize {
        match &self.state {
            ResponseState::Body { body, .. } => body.capacity(),
            _ => 0,
        }
    }

    /// Ends a response whose long value has been streamed completely.
    fn take_streamed_response(&mut self) -> Option<DecodeEvent> {
        match std::mem::take(&mut self.state) {
            ResponseState::Value { response, .. } => Some(DecodeEvent::Complete(response)),
            _ => None,
        }
    }

    /// Reads the body of a response, or the extras and key that precede a long value; `None` while these are incomplete.
    fn read_body(&mut self, buf: &mut BytesMut) -> Option<DecodeEvent> {
        let ResponseState::Body { header, body } = &mut self.state else {
            return None;
        };
        if !body.fill(buf) {
            return None;
        }
        let (header, mut body) = (*header, body.take());
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
        if !header.is_value_streamed() {
            self.state = ResponseState::Header;
            return Some(DecodeEvent::Complete(response));
        }
        let value_len = header.value_len();
        self.state = ResponseState::Value {
            response: response.clone(),
            remaining: value_len,
        };
        Some(DecodeEvent::ValueStart(response, value_len))
    }
}

/// Removes the header of a response from the buffer; `None` while it is incomplete. The buffer is unchanged on an error.
fn take_response_header(
    buf: &mut BytesMut,
    max_body: usize,
) -> Result<Option<Header>, DecodeErrorKind> {
    if buf.first().is_some_and(|magic| *magic != RESPONSE_MAGIC) {
        return Err(DecodeErrorKind::InvalidResponseMagic);
    }
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let header = Header::parse(&buf[..HEADER_BYTES]);
    if !header.has_consistent_lengths() {
        return Err(DecodeErrorKind::KeyAndExtrasExceedBody);
    }
    if header.body_len > max_body {
        return Err(DecodeErrorKind::BodyTooLong);
    }
    if header.data_type != RAW_BYTES {
        return Err(DecodeErrorKind::UnknownDataType);
    }
    buf.advance(HEADER_BYTES);
    Ok(Some(header))
}

/// Appends the header, extras and key of a request; the caller appends the value of `value_len` bytes. The lengths of key
/// and extras must fit their fields of the header (two bytes and one byte).
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

/// Appends a request to `out`.
pub fn write_request(out: &mut Vec<u8>, request: &Request) {
    write_request_header(out, request, request.value.len());
    out.extend_from_slice(&request.value);
}

/// Appends the header, extras and key of a response; the caller appends the value of `value_len` bytes.
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

/// Appends a response to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &Response) {
    write_response_header(out, response, response.value.len());
    out.extend_from_slice(&response.value);
}

/// Appends a response that consists of a status and the text that memcached sends with it.
pub fn write_status(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status) {
    write_text_response(out, opcode, opaque, status, status.text());
}

/// Appends a response that consists of a status and a human-readable text.
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
