//! The frames of the link between two sites, version 1. The specification is `docs/gateway-link.md`; names in capitals
//! are those of its section "Frames".
//!
//! Many requests share a connection. The body of a frame is limited to [`MAX_BODY_BYTES`] bytes so that no frame delays the
//! others for long. Decoding and encoding are stateless; a frame is decoded once it is complete, and the result does not
//! depend on how the bytes are split into reads.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Length of a frame's header in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum length of a frame's body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// The version of the protocol that this module implements.
pub const VERSION: u16 = 1;
/// Maximum number of nodes in a HELLO.
pub const MAX_NODES: usize = 512;
/// Maximum length of a short text in bytes; the length is encoded in one byte.
const MAX_SHORT_TEXT_BYTES: usize = 255;
/// Flag of a REQUEST: the request writes.
const WRITE_FLAG: u8 = 1;
/// Flag of a REQUEST: the client has marked the request as a retry.
const RETRY_FLAG: u8 = 2;

/// The bytes are not a frame of version 1. The start of the next frame is unknown, so the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The kind of the frame is unknown.
    #[error("unknown frame kind")]
    UnknownFrameKind,
    /// A flag is set that version 1 does not define.
    #[error("unknown flags")]
    UnknownFlags,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("frame body is too long")]
    BodyTooLong,
    /// The body ends before its last field.
    #[error("frame body is shorter than its fields")]
    BodyShorterThanFields,
    /// The body has bytes after its last field.
    #[error("frame body is longer than its fields")]
    BodyLongerThanFields,
    /// A HELLO lists more than [`MAX_NODES`] nodes.
    #[error("too many nodes")]
    TooManyNodes,
    /// The outcome in a HEAD is unknown.
    #[error("unknown request outcome")]
    UnknownOutcome,
    /// The verdict in a CLAIMED is unknown.
    #[error("unknown claim verdict")]
    UnknownClaimVerdict,
}

/// The outcome of a request that was forwarded over the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Outcome {
    /// Served; a value follows in BODY frames.
    Served = 0,
    /// Served; there is no value.
    NoValue = 1,
    /// Rejected; nothing of the request has run.
    Rejected = 2,
    /// Failed; the request may have run.
    Failed = 3,
    /// The request arrived too late, or with a lease of another incarnation; nothing of it has run.
    Late = 4,
}

impl Outcome {
    fn from_code(code: u8) -> Result<Outcome, DecodeError> {
        match code {
            0 => Ok(Outcome::Served),
            1 => Ok(Outcome::NoValue),
            2 => Ok(Outcome::Rejected),
            3 => Ok(Outcome::Failed),
            4 => Ok(Outcome::Late),
            _ => Err(DecodeError::UnknownOutcome),
        }
    }
}

/// The decision of an arbiter on the claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ClaimVerdict {
    /// The request is to be served at this site.
    Here = 0,
    /// The request has been served; its receipt is attached.
    Served = 1,
    /// The request has been forwarded to the other site.
    Crossed = 2,
    /// The arbiter cannot decide.
    Undecided = 3,
}

impl ClaimVerdict {
    fn from_code(code: u8) -> Result<ClaimVerdict, DecodeError> {
        match code {
            0 => Ok(ClaimVerdict::Here),
            1 => Ok(ClaimVerdict::Served),
            2 => Ok(ClaimVerdict::Crossed),
            3 => Ok(ClaimVerdict::Undecided),
            _ => Err(DecodeError::UnknownClaimVerdict),
        }
    }
}

/// The body of a REQUEST.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The incarnation of the node that issued the lease.
    pub lease_epoch: u64,
    /// The number of the lease that allows the request to start.
    pub lease_number: u64,
    /// Time that the receiver has to serve the request, from its arrival, in microseconds.
    pub time_left_us: u32,
    /// Whether the request writes.
    pub is_write: bool,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// Name of the request's class.
    pub class: Bytes,
    /// Name of the request's tenant.
    pub tenant: Bytes,
    /// The idempotency key; empty if the request has none.
    pub idempotency_key: Bytes,
    /// The id of the request.
    pub id: Bytes,
    /// The key that the request reads or writes.
    pub key: Bytes,
    /// Length of the value to write in bytes; the value follows in BODY frames.
    pub value_len: u32,
}

/// The body of a HELLO, the first frame that each side sends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hello {
    /// The version of the protocol that the node uses.
    pub version: u16,
    /// The incarnation of the node, which is unique among all starts of all nodes.
    pub epoch: u64,
    /// How long the leases of the node are valid, in milliseconds.
    pub lease_lifetime_ms: u16,
    /// Name of the node's site.
    pub site: Bytes,
    /// Name of the node.
    pub node: Bytes,
    /// Version of the list of nodes.
    pub node_list_version: u64,
    /// Names of the nodes of the site.
    pub nodes: Vec<Bytes>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// HELLO: the introduction of a node.
    Hello(Hello),
    /// REQUEST: the beginning of a request.
    Request(Request),
    /// HEAD: the beginning of a response.
    ResponseHead {
        /// The outcome of the request.
        outcome: Outcome,
        /// Retry-After of a rejected request, in milliseconds.
        retry_after_ms: u32,
        /// Length of the value in bytes; the value follows in BODY frames.
        value_len: u32,
    },
    /// BODY: the next bytes of a value.
    Body(Bytes),
    /// CANCEL: the response is no longer needed.
    Cancel,
    /// CREDIT: number of additional bytes that may be sent in BODY frames, for this request or (request 0) on this
    /// connection.
    Credit(u32),
    /// BEAT: a heartbeat, which the receiver returns with `is_echo` set.
    Heartbeat {
        /// Whether this is the reply to a heartbeat.
        is_echo: bool,
        /// A number that the receiver copies into the reply.
        sent: u64,
    },
    /// LEASE: permission to start a request.
    Lease {
        /// The incarnation of the node that issues the lease.
        epoch: u64,
        /// The number of the lease.
        number: u64,
    },
    /// CLAIM: requests the verdict of the arbiter on this idempotency key.
    Claim(Bytes),
    /// CLAIMED: the response of the arbiter to a CLAIM.
    ClaimResponse {
        /// The decision of the arbiter.
        verdict: ClaimVerdict,
        /// The receipt of the request, if the verdict is [`ClaimVerdict::Served`].
        receipt: Bytes,
    },
    /// GOAWAY: the sender is draining and accepts no new requests.
    GoAway,
}

/// A frame of the link.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number of the request that the frame belongs to; 0 for the connection itself.
    pub request: u32,
    /// The content of the frame.
    pub message: Message,
}

impl Message {
    /// Code of the frame kind in the header.
    fn kind(&self) -> u8 {
        match self {
            Message::Hello(_) => 1,
            Message::Request(_) => 2,
            Message::ResponseHead { .. } => 3,
            Message::Body(_) => 4,
            Message::Cancel => 5,
            Message::Credit(_) => 6,
            Message::Heartbeat { .. } => 7,
            Message::Lease { .. } => 8,
            Message::Claim(_) => 9,
            Message::ClaimResponse { .. } => 10,
            Message::GoAway => 11,
        }
    }

    fn encode_body(&self, out: &mut Vec<u8>) {
        match self {
            Message::Hello(hello) => hello.encode(out),
            Message::Request(request) => request.encode(out),
            Message::ResponseHead {
                outcome,
                retry_after_ms,
                value_len,
            } => {
                out.put_u8(*outcome as u8);
                out.put_u32(*retry_after_ms);
                out.put_u32(*value_len);
            }
            Message::Body(bytes) | Message::Claim(bytes) => out.put_slice(bytes),
            Message::Cancel | Message::GoAway => {}
            Message::Credit(bytes) => out.put_u32(*bytes),
            Message::Heartbeat { is_echo, sent } => {
                out.put_u8(u8::from(*is_echo));
                out.put_u64(*sent);
            }
            Message::Lease { epoch, number } => {
                out.put_u64(*epoch);
                out.put_u64(*number);
            }
            Message::ClaimResponse { verdict, receipt } => {
                out.put_u8(*verdict as u8);
                out.put_slice(receipt);
            }
        }
    }

    fn decode(kind: u8, body: Bytes) -> Result<Message, DecodeError> {
        let mut body = BodyReader(body);
        let message = match kind {
            1 => Message::Hello(Hello::decode(&mut body)?),
            2 => Message::Request(Request::decode(&mut body)?),
            3 => Message::ResponseHead {
                outcome: Outcome::from_code(body.u8()?)?,
                retry_after_ms: body.u32()?,
                value_len: body.u32()?,
            },
            4 => Message::Body(body.take_remaining()),
            5 => Message::Cancel,
            6 => Message::Credit(body.u32()?),
            7 => Message::Heartbeat {
                is_echo: match body.u8()? {
                    0 => false,
                    1 => true,
                    _ => return Err(DecodeError::UnknownFlags),
                },
                sent: body.u64()?,
            },
            8 => Message::Lease {
                epoch: body.u64()?,
                number: body.u64()?,
            },
            9 => Message::Claim(body.take_remaining()),
            10 => Message::ClaimResponse {
                verdict: ClaimVerdict::from_code(body.u8()?)?,
                receipt: body.take_remaining(),
            },
            11 => Message::GoAway,
            _ => return Err(DecodeError::UnknownFrameKind),
        };
        body.expect_end()?;
        Ok(message)
    }
}

impl Hello {
    fn encode(&self, out: &mut Vec<u8>) {
        out.put_u16(self.version);
        out.put_u64(self.epoch);
        out.put_u16(self.lease_lifetime_ms);
        encode_short_text(out, &self.site);
        encode_short_text(out, &self.node);
        out.put_u64(self.node_list_version);
        out.put_u16(self.nodes.len() as u16);
        for node in &self.nodes {
            encode_short_text(out, node);
        }
    }

    fn decode(body: &mut BodyReader) -> Result<Hello, DecodeError> {
        let mut hello = Hello {
            version: body.u16()?,
            epoch: body.u64()?,
            lease_lifetime_ms: body.u16()?,
            site: body.short_text()?,
            node: body.short_text()?,
            node_list_version: body.u64()?,
            nodes: Vec::new(),
        };
        let count = usize::from(body.u16()?);
        if count > MAX_NODES {
            return Err(DecodeError::TooManyNodes);
        }
        for _ in 0..count {
            hello.nodes.push(body.short_text()?);
        }
        Ok(hello)
    }
}

impl Request {
    fn encode(&self, out: &mut Vec<u8>) {
        let write_flag = if self.is_write { WRITE_FLAG } else { 0 };
        let retry_flag = if self.is_retry { RETRY_FLAG } else { 0 };
        out.put_u64(self.lease_epoch);
        out.put_u64(self.lease_number);
        out.put_u32(self.time_left_us);
        out.put_u8(write_flag | retry_flag);
        encode_short_text(out, &self.class);
        encode_short_text(out, &self.tenant);
        encode_short_text(out, &self.idempotency_key);
        encode_short_text(out, &self.id);
        out.put_u16(self.key.len() as u16);
        out.put_slice(&self.key);
        out.put_u32(self.value_len);
    }

    fn decode(body: &mut BodyReader) -> Result<Request, DecodeError> {
        let lease_epoch = body.u64()?;
        let lease_number = body.u64()?;
        let time_left_us = body.u32()?;
        let flags = body.u8()?;
        if flags & !(WRITE_FLAG | RETRY_FLAG) != 0 {
            return Err(DecodeError::UnknownFlags);
        }
        Ok(Request {
            lease_epoch,
            lease_number,
            time_left_us,
            is_write: flags & WRITE_FLAG != 0,
            is_retry: flags & RETRY_FLAG != 0,
            class: body.short_text()?,
            tenant: body.short_text()?,
            idempotency_key: body.short_text()?,
            id: body.short_text()?,
            key: body.long_text()?,
            value_len: body.u32()?,
        })
    }
}

/// Appends a short text: its length in one byte, then its bytes. Callers limit the length; a longer text is truncated.
fn encode_short_text(out: &mut Vec<u8>, text: &[u8]) {
    let text = &text[..text.len().min(MAX_SHORT_TEXT_BYTES)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

/// Appends a frame to `out`. `request` is the number of the request that the frame belongs to, 0 for the connection
/// itself. Callers limit the body to [`MAX_BODY_BYTES`] bytes.
pub fn encode(out: &mut Vec<u8>, request: u32, message: &Message) {
    let start = out.len();
    out.put_u8(message.kind());
    // Version 1 defines no flags. The length is filled in below.
    out.put_u8(0);
    out.put_u16(0);
    out.put_u32(request);
    message.encode_body(out);
    let len = out.len() - start - HEADER_BYTES;
    debug_assert!(len <= MAX_BODY_BYTES, "frame body of {len} bytes");
    out[start + 2..start + 4].copy_from_slice(&(len as u16).to_be_bytes());
}

/// Decodes the fields of a frame's body in order.
struct BodyReader(Bytes);

impl BodyReader {
    /// Checks that at least `len` bytes are left.
    fn require(&self, len: usize) -> Result<(), DecodeError> {
        if self.0.len() < len {
            return Err(DecodeError::BodyShorterThanFields);
        }
        Ok(())
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.require(1).map(|()| self.0.get_u8())
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.require(2).map(|()| self.0.get_u16())
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.require(4).map(|()| self.0.get_u32())
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.require(8).map(|()| self.0.get_u64())
    }

    fn take(&mut self, len: usize) -> Result<Bytes, DecodeError> {
        self.require(len).map(|()| self.0.split_to(len))
    }

    /// Reads a text that follows its length in one byte.
    fn short_text(&mut self) -> Result<Bytes, DecodeError> {
        let len = self.u8()?;
        self.take(usize::from(len))
    }

    /// Reads a text that follows its length in two bytes.
    fn long_text(&mut self) -> Result<Bytes, DecodeError> {
        let len = self.u16()?;
        self.take(usize::from(len))
    }

    fn take_remaining(&mut self) -> Bytes {
        std::mem::take(&mut self.0)
    }

    /// Checks that all fields have been read.
    fn expect_end(&self) -> Result<(), DecodeError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::BodyLongerThanFields)
        }
    }
}

/// Removes the next frame from the buffer and returns it; `None` while it is incomplete.
///
/// # Errors
/// The bytes are not a frame of version 1.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, DecodeError> {
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let kind = buf[0];
    let flags = buf[1];
    let body_len = usize::from(u16::from_be_bytes([buf[2], buf[3]]));
    let request = u32::from_be_bytes([buf[4], buf[5], buf[6], buf[7]]);
    if flags != 0 {
        return Err(DecodeError::UnknownFlags);
    }
    if body_len > MAX_BODY_BYTES {
        return Err(DecodeError::BodyTooLong);
    }
    if buf.len() < HEADER_BYTES + body_len {
        return Ok(None);
    }
    buf.advance(HEADER_BYTES);
    let message = Message::decode(kind, buf.split_to(body_len).freeze())?;
    Ok(Some(Frame { request, message }))
}

#[cfg(test)]
#[path = "site_link_tests.rs"]
mod tests;
