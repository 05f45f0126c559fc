//! The frames of the link between two sites, version 1. The specification is `docs/gateway-link.md`; names in capitals
//! are those of its section "Frames".
//!
//! Many requests share a connection: no frame's body is longer than [`MAX_BODY`], so that none delays the others for
//! long. Reading and writing hold no state; a frame is read once it is complete, and the same bytes give the same
//! frames however they are split into reads.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Bytes before a frame's body.
pub const HEADER: usize = 8;
/// Longest body of a frame in bytes.
pub const MAX_BODY: usize = 16 << 10;
/// The version of the protocol that this module implements.
pub const VERSION: u16 = 1;
/// Most nodes that a HELLO names.
pub const MAX_NODES: usize = 512;
/// Longest short text in bytes: its length takes one byte.
const MAX_SHORT_TEXT: usize = 255;
/// The flag of a REQUEST that writes.
const WRITE_FLAG: u8 = 1;
/// The flag of a REQUEST that its client has marked as a retry.
const RETRY_FLAG: u8 = 2;

/// The bytes are no frame of version 1. The position of the next frame is unknown: the connection cannot be used any
/// further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The kind of the frame is unknown.
    #[error("unknown kind of frame")]
    UnknownKind,
    /// A flag is set that version 1 does not define.
    #[error("unknown flags")]
    UnknownFlags,
    /// The body exceeds [`MAX_BODY`].
    #[error("a body is too long")]
    BodyTooLong,
    /// The body ends before its last field.
    #[error("a body is shorter than its parts")]
    BodyTooShort,
    /// The body goes on behind its last field.
    #[error("a body is longer than its parts")]
    TrailingBytes,
    /// A HELLO names more than [`MAX_NODES`] nodes.
    #[error("too many nodes")]
    TooManyNodes,
    /// The outcome in a HEAD is unknown.
    #[error("unknown end")]
    UnknownOutcome,
    /// The verdict in a CLAIMED is unknown.
    #[error("unknown claim")]
    UnknownVerdict,
}

/// How a request that was forwarded over the link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Outcome {
    /// Served; a value follows in BODY frames.
    Served = 0,
    /// Served; there is no value.
    NoValue = 1,
    /// Rejected; nothing of it has run.
    Rejected = 2,
    /// Failed; it may have run.
    Failed = 3,
    /// It arrived too late, or by a lease of another incarnation; nothing of it has run.
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

/// What an arbiter has decided about the claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ClaimVerdict {
    /// The request is to be served at this site.
    Here = 0,
    /// The request has been served; its receipt is attached.
    Served = 1,
    /// The request has been forwarded to the other site.
    Crossed = 2,
    /// The arbiter does not know.
    CantTell = 3,
}

impl ClaimVerdict {
    fn from_code(code: u8) -> Result<ClaimVerdict, DecodeError> {
        match code {
            0 => Ok(ClaimVerdict::Here),
            1 => Ok(ClaimVerdict::Served),
            2 => Ok(ClaimVerdict::Crossed),
            3 => Ok(ClaimVerdict::CantTell),
            _ => Err(DecodeError::UnknownVerdict),
        }
    }
}

/// The body of a REQUEST.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The incarnation of the node that has issued the lease.
    pub lease_epoch: u64,
    /// The number of the lease by which the request may begin.
    pub lease_number: u64,
    /// Time that the receiver may use, from arrival, in microseconds.
    pub time_left: u32,
    /// Whether it writes.
    pub is_write: bool,
    /// Whether its client has marked it as a retry.
    pub is_retry: bool,
    /// Name of its class.
    pub class: Bytes,
    /// Name of its tenant.
    pub tenant: Bytes,
    /// Its idempotency key; empty if it has none.
    pub idempotency_key: Bytes,
    /// Its id.
    pub id: Bytes,
    /// The key that it reads or writes.
    pub key: Bytes,
    /// Bytes of the value to write, which follows in BODY frames.
    pub value_len: u32,
}

/// The body of a HELLO, with which each side begins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hello {
    /// The version of the protocol.
    pub version: u16,
    /// The node's incarnation; no other start of any node has the same.
    pub epoch: u64,
    /// How long its leases are valid, in milliseconds.
    pub lease_lifetime: u16,
    /// Name of its site.
    pub site: Bytes,
    /// Name of the node.
    pub node: Bytes,
    /// Version of the list of nodes.
    pub node_list_version: u64,
    /// Names of the nodes of its site.
    pub nodes: Vec<Bytes>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// HELLO.
    Hello(Hello),
    /// REQUEST.
    Request(Request),
    /// HEAD: the beginning of a response.
    ResponseHead {
        /// How the request has ended.
        outcome: Outcome,
        /// Retry-After of a rejection, in milliseconds.
        retry_after: u32,
        /// Bytes of the value, which follows in BODY frames.
        value_len: u32,
    },
    /// BODY: bytes of a value.
    Body(Bytes),
    /// CANCEL: the response is no longer needed.
    Cancel,
    /// CREDIT: bytes of BODY that may be sent in addition, for this request or (request 0) on this connection.
    Credit(u32),
    /// BEAT: a heartbeat, which its receiver returns with `is_echo` set.
    Heartbeat {
        /// Whether this is the reply.
        is_echo: bool,
        /// A number that the reply repeats.
        sent: u64,
    },
    /// LEASE: the right to begin a request.
    Lease {
        /// The incarnation of the node that issues it.
        epoch: u64,
        /// Its number.
        number: u64,
    },
    /// CLAIM: asks the arbiter of this idempotency key for its verdict.
    Claim(Bytes),
    /// CLAIMED: the arbiter's response.
    ClaimResponse {
        /// What the arbiter has decided.
        verdict: ClaimVerdict,
        /// The receipt of a request that has been served.
        receipt: Bytes,
    },
    /// GOAWAY: this side is draining, no new requests are to be sent to it.
    GoAway,
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The request that it belongs to; 0 for the connection itself.
    pub request: u32,
    /// Its content.
    pub message: Message,
}

impl Message {
    /// The code of the frame's kind.
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
                retry_after,
                value_len,
            } => {
                out.put_u8(*outcome as u8);
                out.put_u32(*retry_after);
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
                retry_after: body.u32()?,
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
            _ => return Err(DecodeError::UnknownKind),
        };
        body.end()?;
        Ok(message)
    }
}

impl Hello {
    fn encode(&self, out: &mut Vec<u8>) {
        out.put_u16(self.version);
        out.put_u64(self.epoch);
        out.put_u16(self.lease_lifetime);
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
            lease_lifetime: body.u16()?,
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
        out.put_u32(self.time_left);
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
        let time_left = body.u32()?;
        let flags = body.u8()?;
        if flags & !(WRITE_FLAG | RETRY_FLAG) != 0 {
            return Err(DecodeError::UnknownFlags);
        }
        Ok(Request {
            lease_epoch,
            lease_number,
            time_left,
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

/// Appends a short text: its length in one byte, then its bytes. Callers bound their texts; a longer one is truncated.
fn encode_short_text(out: &mut Vec<u8>, text: &[u8]) {
    let text = &text[..text.len().min(MAX_SHORT_TEXT)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

/// Appends a frame. `request`: the one that it belongs to, 0 for the connection itself. Callers bound the body to
/// [`MAX_BODY`].
pub fn encode(out: &mut Vec<u8>, request: u32, message: &Message) {
    let start = out.len();
    out.put_u8(message.kind());
    // Version 1 has no flags. The length is filled in below.
    out.put_u8(0);
    out.put_u16(0);
    out.put_u32(request);
    message.encode_body(out);
    let len = out.len() - start - HEADER;
    debug_assert!(len <= MAX_BODY, "a body of {len} bytes");
    out[start + 2..start + 4].copy_from_slice(&(len as u16).to_be_bytes());
}

/// Reads the fields of a frame's body.
struct BodyReader(Bytes);

impl BodyReader {
    fn require(&self, len: usize) -> Result<(), DecodeError> {
        if self.0.len() < len {
            return Err(DecodeError::BodyTooShort);
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

    /// A text behind its length in one byte.
    fn short_text(&mut self) -> Result<Bytes, DecodeError> {
        let len = self.u8()?;
        self.take(usize::from(len))
    }

    /// A text behind its length in two bytes.
    fn long_text(&mut self) -> Result<Bytes, DecodeError> {
        let len = self.u16()?;
        self.take(usize::from(len))
    }

    fn take_remaining(&mut self) -> Bytes {
        std::mem::take(&mut self.0)
    }

    /// Checks that all fields have been read.
    fn end(&self) -> Result<(), DecodeError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TrailingBytes)
        }
    }
}

/// Takes the next frame off the buffer; `None` while it is incomplete.
///
/// # Errors
/// The bytes are no frame of version 1.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, DecodeError> {
    if buf.len() < HEADER {
        return Ok(None);
    }
    let kind = buf[0];
    let flags = buf[1];
    let body_len = usize::from(u16::from_be_bytes([buf[2], buf[3]]));
    let request = u32::from_be_bytes([buf[4], buf[5], buf[6], buf[7]]);
    if flags != 0 {
        return Err(DecodeError::UnknownFlags);
    }
    if body_len > MAX_BODY {
        return Err(DecodeError::BodyTooLong);
    }
    if buf.len() < HEADER + body_len {
        return Ok(None);
    }
    buf.advance(HEADER);
    let message = Message::decode(kind, buf.split_to(body_len).freeze())?;
    Ok(Some(Frame { request, message }))
}

#[cfg(test)]
#[path = "site_link_tests.rs"]
mod tests;
