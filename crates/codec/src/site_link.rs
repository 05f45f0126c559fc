//! The framing of the link between two sites, version 1; `docs/gateway-link.md` is its specification.
//!
//! Many requests share a connection: no frame is longer than [`MAX_BODY`], so that none holds the others up for long.
//! The reader is incremental and bounded, and the same bytes give the same messages however they are cut.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes before a frame's body.
pub const HEADER: usize = 8;
/// Longest body.
pub const MAX_BODY: usize = 16 << 10;
/// The version that is spoken here.
pub const VERSION: u16 = 1;
/// Most nodes that a HELLO names.
pub const MAX_NODES: usize = 512;

/// The bytes can't be read on: the connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

/// How a request that crossed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Ended {
    /// Served: so many bytes of value follow in BODY frames.
    Served = 0,
    /// Served: there is no value.
    NoValue = 1,
    /// Refused: nothing of it has run.
    Refused = 2,
    /// Failed: no promise.
    Failed = 3,
    /// It came too late, or by a lease of another start: nothing of it has run.
    Late = 4,
}

/// What an arbiter says of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Claimed {
    Here = 0,
    Served = 1,
    Crossed = 2,
    CantTell = 3,
}

/// A request as it crosses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The lease by which it may begin.
    pub epoch: u64,
    pub lease: u64,
    /// What the far side may use, from arrival, in microseconds.
    pub left: u32,
    pub write: bool,
    /// Marked by its client as a repeat.
    pub retry: bool,
    pub class: Bytes,
    pub tenant: Bytes,
    /// Its idempotency key; empty: none.
    pub idem: Bytes,
    pub id: Bytes,
    pub key: Bytes,
    /// Bytes of a write's value, which follow in BODY frames.
    pub value: u32,
}

/// What an end says of itself first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hello {
    pub version: u16,
    /// This start of the node: no other start of any node has it.
    pub epoch: u64,
    /// How long its leases are good, in milliseconds.
    pub life: u16,
    pub site: Bytes,
    pub node: Bytes,
    /// The nodes of its site, and the number of that list.
    pub list: u64,
    pub nodes: Vec<Bytes>,
}

/// A message of the link.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Hello(Hello),
    Request(Request),
    /// The answer's beginning; when to come back, in milliseconds (refusals); bytes of value that follow.
    Head {
        ended: Ended,
        retry_after: u32,
        value: u32,
    },
    Body(Bytes),
    Cancel,
    /// So many more bytes of BODY may be sent, for this request or (request 0) on this connection.
    Credit(u32),
    /// Comes back as it is, with `echo` set.
    Beat {
        echo: bool,
        sent: u64,
    },
    Lease {
        epoch: u64,
        number: u64,
    },
    Claim(Bytes),
    Claimed {
        claimed: Claimed,
        receipt: Bytes,
    },
    /// No new requests: this end stops.
    GoAway,
}

impl Message {
    fn kind(&self) -> u8 {
        match self {
            Message::Hello(_) => 1,
            Message::Request(_) => 2,
            Message::Head { .. } => 3,
            Message::Body(_) => 4,
            Message::Cancel => 5,
            Message::Credit(_) => 6,
            Message::Beat { .. } => 7,
            Message::Lease { .. } => 8,
            Message::Claim(_) => 9,
            Message::Claimed { .. } => 10,
            Message::GoAway => 11,
        }
    }
}

/// Appends a short text: its length in one byte. Longer ones are cut, which no caller lets happen.
fn put_short(out: &mut Vec<u8>, text: &[u8]) {
    let text = &text[..text.len().min(255)];
    out.put_u8(text.len() as u8);
    out.put_slice(text);
}

/// Appends a message. `request`: the one that it belongs to, 0 for the link itself. A BODY must not exceed
/// [`MAX_BODY`].
pub fn put(out: &mut Vec<u8>, request: u32, message: &Message) {
    let begin = out.len();
    out.put_u8(message.kind());
    out.put_u8(0);
    out.put_u16(0);
    out.put_u32(request);
    match message {
        Message::Hello(h) => {
            out.put_u16(h.version);
            out.put_u64(h.epoch);
            out.put_u16(h.life);
            put_short(out, &h.site);
            put_short(out, &h.node);
            out.put_u64(h.list);
            out.put_u16(h.nodes.len() as u16);
            h.nodes.iter().for_each(|node| put_short(out, node));
        }
        Message::Request(r) => {
            out.put_u64(r.epoch);
            out.put_u64(r.lease);
            out.put_u32(r.left);
            out.put_u8(u8::from(r.write) | u8::from(r.retry) << 1);
            [&r.class, &r.tenant, &r.idem, &r.id]
                .into_iter()
                .for_each(|text| put_short(out, text));
            out.put_u16(r.key.len() as u16);
            out.put_slice(&r.key);
            out.put_u32(r.value);
        }
        Message::Head {
            ended,
            retry_after,
            value,
        } => {
            out.put_u8(*ended as u8);
            out.put_u32(*retry_after);
            out.put_u32(*value);
        }
        Message::Body(bytes) | Message::Claim(bytes) => out.put_slice(bytes),
        Message::Cancel | Message::GoAway => {}
        Message::Credit(bytes) => out.put_u32(*bytes),
        Message::Beat { echo, sent } => {
            out.put_u8(u8::from(*echo));
            out.put_u64(*sent);
        }
        Message::Lease { epoch, number } => {
            out.put_u64(*epoch);
            out.put_u64(*number);
        }
        Message::Claimed { claimed, receipt } => {
            out.put_u8(*claimed as u8);
            out.put_slice(receipt);
        }
    }
    let len = out.len() - begin - HEADER;
    debug_assert!(len <= MAX_BODY, "a body of {len} bytes");
    out[begin + 2..begin + 4].copy_from_slice(&(len as u16).to_be_bytes());
}

/// Takes parts off a body.
struct Parts(Bytes);

impl Parts {
    fn has(&self, n: usize) -> Result<(), DecodeError> {
        if self.0.len() < n {
            return Err(DecodeError("a body is shorter than its parts"));
        }
        Ok(())
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.has(1).map(|()| self.0.get_u8())
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.has(2).map(|()| self.0.get_u16())
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.has(4).map(|()| self.0.get_u32())
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.has(8).map(|()| self.0.get_u64())
    }

    fn take(&mut self, n: usize) -> Result<Bytes, DecodeError> {
        self.has(n).map(|()| self.0.split_to(n))
    }

    fn short(&mut self) -> Result<Bytes, DecodeError> {
        let len = self.u8()?;
        self.take(usize::from(len))
    }

    fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.0)
    }
}

fn message(kind: u8, body: Bytes) -> Result<Message, DecodeError> {
    let mut p = Parts(body);
    let message = match kind {
        1 => {
            let (version, epoch, life) = (p.u16()?, p.u64()?, p.u16()?);
            let (site, node, list) = (p.short()?, p.short()?, p.u64()?);
            let count = usize::from(p.u16()?);
            if count > MAX_NODES {
                return Err(DecodeError("too many nodes"));
            }
            let nodes = (0..count).map(|_| p.short()).collect::<Result<_, _>>()?;
            Message::Hello(Hello {
                version,
                epoch,
                life,
                site,
                node,
                list,
                nodes,
            })
        }
        2 => {
            let (epoch, lease, left, flags) = (p.u64()?, p.u64()?, p.u32()?, p.u8()?);
            if flags > 3 {
                return Err(DecodeError("unknown flags"));
            }
            let (class, tenant, idem, id) = (p.short()?, p.short()?, p.short()?, p.short()?);
            let len = usize::from(p.u16()?);
            let (key, value) = (p.take(len)?, p.u32()?);
            let (write, retry) = (flags & 1 > 0, flags & 2 > 0);
            Message::Request(Request {
                epoch,
                lease,
                left,
                write,
                retry,
                class,
                tenant,
                idem,
                id,
                key,
                value,
            })
        }
        3 => {
            let ended = match p.u8()? {
                0 => Ended::Served,
                1 => Ended::NoValue,
                2 => Ended::Refused,
                3 => Ended::Failed,
                4 => Ended::Late,
                _ => return Err(DecodeError("unknown end")),
            };
            Message::Head {
                ended,
                retry_after: p.u32()?,
                value: p.u32()?,
            }
        }
        4 => Message::Body(p.rest()),
        5 => Message::Cancel,
        6 => Message::Credit(p.u32()?),
        7 => {
            let echo = p.u8()?;
            if echo > 1 {
                return Err(DecodeError("unknown flags"));
            }
            Message::Beat {
                echo: echo == 1,
                sent: p.u64()?,
            }
        }
        8 => Message::Lease {
            epoch: p.u64()?,
            number: p.u64()?,
        },
        9 => Message::Claim(p.rest()),
        10 => {
            let claimed = match p.u8()? {
                0 => Claimed::Here,
                1 => Claimed::Served,
                2 => Claimed::Crossed,
                3 => Claimed::CantTell,
                _ => return Err(DecodeError("unknown claim")),
            };
            Message::Claimed {
                claimed,
                receipt: p.rest(),
            }
        }
        11 => Message::GoAway,
        _ => return Err(DecodeError("unknown kind of frame")),
    };
    if !p.0.is_empty() {
        return Err(DecodeError("a body is longer than its parts"));
    }
    Ok(message)
}

/// The next message and the request that it belongs to, none while it is still coming. It holds nothing between calls.
///
/// # Errors
/// A frame that version 1 does not have.
pub fn next(buf: &mut BytesMut) -> Result<Option<(u32, Message)>, DecodeError> {
    if buf.len() < HEADER {
        return Ok(None);
    }
    let (kind, flags) = (buf[0], buf[1]);
    let len = usize::from(u16::from_be_bytes([buf[2], buf[3]]));
    let request = u32::from_be_bytes([buf[4], buf[5], buf[6], buf[7]]);
    if flags != 0 || len > MAX_BODY {
        return Err(DecodeError(if flags != 0 {
            "unknown flags"
        } else {
            "a body is too long"
        }));
    }
    if buf.len() < HEADER + len {
        return Ok(None);
    }
    buf.advance(HEADER);
    message(kind, buf.split_to(len).freeze()).map(|message| Some((request, message)))
}

#[cfg(test)]
#[path = "site_link_tests.rs"]
mod tests;
