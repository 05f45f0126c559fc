//! The memcached binary protocol, from "Memcached Binary Protocol" (draft-stone-memcache-binary, and the
//! project's own page `BinaryProtocolRevamped`): a header of 24 bytes, then extras, key and value.
//!
//! Readers are incremental and bounded: nothing is allocated for what a peer only claims to send, nothing is
//! scanned twice, and the same bytes give the same packets however they are cut. What can't be read on is told
//! with the status that an answer to it would have.

use bytes::{Buf, Bytes, BytesMut};

use crate::resp2::{Budget, MAX_BUFFERED_VALUE, MAX_VALUE};

/// Bytes of a header.
pub const HEADER: usize = 24;
/// Longest key (the protocol's own limit).
pub const MAX_KEY: usize = 250;
/// Longest extras: Increment has 20, the longest of the protocol.
pub const MAX_EXTRAS: usize = 20;
/// Values up to this count as part of a connection; longer ones are taken from the budget.
pub const VALUE_FREE: usize = 4096;
/// Longest body that is let in, or thrown away rather than ending the connection: the longest value with what may stand
/// before it.
const MAX_BODY: usize = MAX_VALUE + 1024;

const REQUEST: u8 = 0x80;
const RESPONSE: u8 = 0x81;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Opcode {
    Get = 0x00,
    Set = 0x01,
    Add = 0x02,
    Replace = 0x03,
    Delete = 0x04,
    Increment = 0x05,
    Decrement = 0x06,
    Quit = 0x07,
    Flush = 0x08,
    GetQ = 0x09,
    Noop = 0x0a,
    Version = 0x0b,
    GetK = 0x0c,
    GetKQ = 0x0d,
    Append = 0x0e,
    Prepend = 0x0f,
    Stat = 0x10,
    SetQ = 0x11,
    AddQ = 0x12,
    ReplaceQ = 0x13,
    DeleteQ = 0x14,
    IncrementQ = 0x15,
    DecrementQ = 0x16,
    QuitQ = 0x17,
    FlushQ = 0x18,
    AppendQ = 0x19,
    PrependQ = 0x1a,
    Verbosity = 0x1b,
    Touch = 0x1c,
    Gat = 0x1d,
    GatQ = 0x1e,
    SaslList = 0x20,
    SaslAuth = 0x21,
    SaslStep = 0x22,
}

impl Opcode {
    /// All that are known here, in the order of their codes.
    pub const ALL: [Opcode; 34] = [
        Opcode::Get,
        Opcode::Set,
        Opcode::Add,
        Opcode::Replace,
        Opcode::Delete,
        Opcode::Increment,
        Opcode::Decrement,
        Opcode::Quit,
        Opcode::Flush,
        Opcode::GetQ,
        Opcode::Noop,
        Opcode::Version,
        Opcode::GetK,
        Opcode::GetKQ,
        Opcode::Append,
        Opcode::Prepend,
        Opcode::Stat,
        Opcode::SetQ,
        Opcode::AddQ,
        Opcode::ReplaceQ,
        Opcode::DeleteQ,
        Opcode::IncrementQ,
        Opcode::DecrementQ,
        Opcode::QuitQ,
        Opcode::FlushQ,
        Opcode::AppendQ,
        Opcode::PrependQ,
        Opcode::Verbosity,
        Opcode::Touch,
        Opcode::Gat,
        Opcode::GatQ,
        Opcode::SaslList,
        Opcode::SaslAuth,
        Opcode::SaslStep,
    ];

    pub fn from_code(code: u8) -> Option<Opcode> {
        // By place in a table: a request is not to cost more the later its opcode was added.
        const TABLE: [Option<Opcode>; 64] = {
            let (mut table, mut i) = ([None; 64], 0);
            while i < Opcode::ALL.len() {
                table[Opcode::ALL[i] as usize] = Some(Opcode::ALL[i]);
                i += 1;
            }
            table
        };
        TABLE.get(usize::from(code)).copied().flatten()
    }

    /// The opcode that does the same and speaks of every outcome; itself where it does.
    pub fn loud(self) -> Opcode {
        match self {
            Opcode::GetQ => Opcode::Get,
            Opcode::GetKQ => Opcode::GetK,
            Opcode::SetQ => Opcode::Set,
            Opcode::AddQ => Opcode::Add,
            Opcode::ReplaceQ => Opcode::Replace,
            Opcode::DeleteQ => Opcode::Delete,
            Opcode::IncrementQ => Opcode::Increment,
            Opcode::DecrementQ => Opcode::Decrement,
            Opcode::QuitQ => Opcode::Quit,
            Opcode::FlushQ => Opcode::Flush,
            Opcode::AppendQ => Opcode::Append,
            Opcode::PrependQ => Opcode::Prepend,
            Opcode::GatQ => Opcode::Gat,
            loud => loud,
        }
    }

    pub fn quiet(self) -> bool {
        self.loud() != self
    }

    /// Quiet reads say nothing of a miss; other quiet requests say nothing of success. Everything else speaks.
    pub fn silent_on(self, status: Status) -> bool {
        match self {
            Opcode::GetQ | Opcode::GetKQ | Opcode::GatQ => status == Status::KeyNotFound,
            _ => self.quiet() && status == Status::Ok,
        }
    }

    /// The lengths that a request's parts must have: extras, key, value.
    fn shape(self) -> (Part, Part, Part) {
        use Part::{Any, Empty, Exactly, Some};
        match self.loud() {
            Opcode::Get | Opcode::GetK | Opcode::Delete => (Empty, Some, Empty),
            Opcode::Set | Opcode::Add | Opcode::Replace => (Exactly(8), Some, Any),
            Opcode::Increment | Opcode::Decrement => (Exactly(20), Some, Empty),
            Opcode::Quit | Opcode::Noop | Opcode::Version | Opcode::SaslList => {
                (Empty, Empty, Empty)
            }
            Opcode::Append | Opcode::Prepend => (Empty, Some, Any),
            Opcode::Stat => (Empty, Any, Empty),
            Opcode::Touch | Opcode::Gat => (Exactly(4), Some, Empty),
            Opcode::Verbosity => (Exactly(4), Empty, Empty),
            Opcode::SaslAuth | Opcode::SaslStep => (Empty, Some, Any),
            // Flush may tell a time.
            _ => (Any, Empty, Empty),
        }
    }
}

#[derive(Clone, Copy)]
enum Part {
    Empty,
    Some,
    Exactly(usize),
    Any,
}

impl Part {
    fn fits(self, len: usize) -> bool {
        match self {
            Part::Empty => len == 0,
            Part::Some => len > 0,
            Part::Exactly(n) => len == n,
            Part::Any => true,
        }
    }
}

/// How a request went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Status {
    Ok = 0x0000,
    KeyNotFound = 0x0001,
    KeyExists = 0x0002,
    ValueTooLarge = 0x0003,
    InvalidArguments = 0x0004,
    NotStored = 0x0005,
    NotNumeric = 0x0006,
    VbucketElsewhere = 0x0007,
    AuthError = 0x0008,
    AuthContinue = 0x0009,
    UnknownCommand = 0x0081,
    OutOfMemory = 0x0082,
    NotSupported = 0x0083,
    InternalError = 0x0084,
    Busy = 0x0085,
    TemporaryFailure = 0x0086,
}

impl Status {
    pub const ALL: [Status; 16] = [
        Status::Ok,
        Status::KeyNotFound,
        Status::KeyExists,
        Status::ValueTooLarge,
        Status::InvalidArguments,
        Status::NotStored,
        Status::NotNumeric,
        Status::VbucketElsewhere,
        Status::AuthError,
        Status::AuthContinue,
        Status::UnknownCommand,
        Status::OutOfMemory,
        Status::NotSupported,
        Status::InternalError,
        Status::Busy,
        Status::TemporaryFailure,
    ];

    pub fn from_code(code: u16) -> Option<Status> {
        Status::ALL.into_iter().find(|s| *s as u16 == code)
    }

    /// The text that memcached puts into the body of an answer with this status.
    pub fn text(self) -> &'static str {
        match self {
            Status::Ok => "",
            Status::KeyNotFound => "Not found",
            Status::KeyExists => "Data exists for key.",
            Status::ValueTooLarge => "Too large.",
            Status::InvalidArguments => "Invalid arguments",
            Status::NotStored => "Not stored.",
            Status::NotNumeric => "Non-numeric server-side value for incr or decr",
            Status::VbucketElsewhere => "I'm not responsible for this vbucket",
            Status::AuthError => "Auth failure.",
            Status::AuthContinue => "Auth continue",
            Status::UnknownCommand => "Unknown command",
            Status::OutOfMemory => "Out of memory",
            Status::NotSupported => "Not supported",
            Status::InternalError => "Internal error",
            Status::Busy => "Busy",
            Status::TemporaryFailure => "Temporary failure",
        }
    }
}

/// A request as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// As it came: it may be none that is known.
    pub opcode: u8,
    pub vbucket: u16,
    /// Goes back with the answer, untouched.
    pub opaque: u32,
    pub cas: u64,
    pub extras: Bytes,
    pub key: Bytes,
    pub value: Bytes,
    /// Bytes taken from the budget for its value.
    pub reserved: usize,
    /// What an answer to it has to say since it can't be served: its parts have wrong lengths, or there was no
    /// room for its value, which was thrown away.
    pub fault: Option<Status>,
}

/// An answer as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub opcode: u8,
    /// As it came: it may be none that is known.
    pub status: u16,
    pub opaque: u32,
    pub cas: u64,
    pub extras: Bytes,
    pub key: Bytes,
    pub value: Bytes,
}

/// The bytes can't be read on. `answer` is what a request that could still be told apart is owed.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodeError {
    pub why: &'static str,
    pub answer: Option<(u8, u32, Status)>,
}

#[derive(Clone, Copy, Debug)]
struct Head {
    magic: u8,
    opcode: u8,
    key: usize,
    extras: usize,
    data_type: u8,
    status: u16,
    body: usize,
    opaque: u32,
    cas: u64,
}

fn head(mut bytes: &[u8]) -> Head {
    Head {
        magic: bytes.get_u8(),
        opcode: bytes.get_u8(),
        key: usize::from(bytes.get_u16()),
        extras: usize::from(bytes.get_u8()),
        data_type: bytes.get_u8(),
        status: bytes.get_u16(),
        body: bytes.get_u32() as usize,
        opaque: bytes.get_u32(),
        cas: bytes.get_u64(),
    }
}

impl Head {
    /// The request without its body.
    fn request(&self) -> Request {
        Request {
            opcode: self.opcode,
            vbucket: self.status,
            opaque: self.opaque,
            cas: self.cas,
            ..Request::default()
        }
    }

    fn broken(&self, why: &'static str, status: Option<Status>) -> DecodeError {
        DecodeError {
            why,
            answer: status.map(|status| (self.opcode, self.opaque, status)),
        }
    }
}

/// Cuts requests from a client's bytes.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// The request whose body is coming, and what it holds of the budget.
    coming: Option<(Head, usize)>,
    /// Bytes of a body that is thrown away, the request that it belongs to, and why.
    skip: Option<(usize, Head, Status)>,
}

impl RequestReader {
    /// Whether part of a request has been taken off the buffer.
    pub fn is_mid_message(&self) -> bool {
        self.coming.is_some() || self.skip.is_some()
    }

    /// What the unfinished request holds of the budget.
    pub fn reserved(&self) -> usize {
        self.coming.map_or(0, |(_, reserved)| reserved)
    }

    /// The next request, none while it is still coming. `value_most`: longest value that is let in.
    ///
    /// # Errors
    /// Another magic, a body shorter than its parts, or one that is too long to be thrown away.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        budget: &mut Budget,
        value_most: usize,
    ) -> Result<Option<Request>, DecodeError> {
        if let Some((left, head, why)) = &mut self.skip {
            let some = (*left).min(buf.len());
            buf.advance(some);
            *left -= some;
            if *left > 0 {
                return Ok(None);
            }
            let request = Request {
                fault: Some(*why),
                ..head.request()
            };
            self.skip = None;
            return Ok(Some(request));
        }
        let (h, reserved) = match self.coming {
            Some(coming) => coming,
            None => {
                if buf.first().is_some_and(|magic| *magic != REQUEST) {
                    return Err(DecodeError {
                        why: "magic is not 0x80",
                        answer: None,
                    });
                }
                if buf.len() < HEADER {
                    return Ok(None);
                }
                let h = head(&buf[..HEADER]);
                if h.key + h.extras > h.body {
                    return Err(h.broken(
                        "key and extras are longer than the body",
                        Some(Status::InvalidArguments),
                    ));
                }
                let value = h.body - h.key - h.extras;
                if h.body > MAX_BODY {
                    return Err(h.broken("body is too long", Some(Status::ValueTooLarge)));
                }
                buf.advance(HEADER);
                let fault = if h.data_type != 0 || h.key > MAX_KEY || h.extras > MAX_EXTRAS {
                    Some(Status::InvalidArguments)
                } else if value > value_most {
                    Some(Status::ValueTooLarge)
                } else if value > VALUE_FREE && !budget.take(value) {
                    Some(Status::OutOfMemory)
                } else {
                    None
                };
                if let Some(why) = fault {
                    self.skip = Some((h.body, h, why));
                    return self.next(buf, budget, value_most);
                }
                (h, if value > VALUE_FREE { value } else { 0 })
            }
        };
        if buf.len() < h.body {
            self.coming = Some((h, reserved));
            return Ok(None);
        }
        self.coming = None;
        let mut request = Request {
            reserved,
            ..h.request()
        };
        if h.body > 0 {
            let mut bytes = buf.split_to(h.body).freeze();
            // Each part that shares the bytes is counted: those that are not there need not be.
            if h.extras > 0 {
                request.extras = bytes.split_to(h.extras);
            }
            if h.key > 0 && h.key < bytes.len() {
                request.key = bytes.split_to(h.key);
                request.value = bytes;
            } else if h.key > 0 {
                request.key = bytes;
            } else {
                request.value = bytes;
            }
        }
        if let Some(opcode) = Opcode::from_code(request.opcode) {
            let (e, k, v) = opcode.shape();
            if !(e.fits(h.extras) && k.fits(h.key) && v.fits(request.value.len())) {
                request.fault = Some(Status::InvalidArguments);
            }
        }
        Ok(Some(request))
    }
}

/// What has come of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// An answer; the value of one that was streamed is empty.
    Whole(Response),
    /// An answer whose long value (of so many bytes) follows.
    Begin(Response, usize),
    /// Bytes of the long value.
    Body(Bytes),
}

/// Cuts answers from a cache box's bytes. Values beyond [`MAX_BUFFERED_VALUE`] are passed on as they come.
#[derive(Debug, Default)]
pub struct ResponseReader {
    coming: Option<Head>,
    /// The answer whose long value is coming, and the bytes left of it.
    body: Option<(Response, usize)>,
}

impl ResponseReader {
    /// Whether part of an answer has been taken off the buffer.
    pub fn is_mid_message(&self) -> bool {
        self.coming.is_some() || self.body.is_some()
    }

    /// The next piece, none while it is still coming.
    ///
    /// # Errors
    /// Another magic, a data type that is not raw bytes, a body shorter than its parts, or one longer than
    /// `body_most`.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        body_most: usize,
    ) -> Result<Option<Piece>, DecodeError> {
        if let Some((_, left)) = &mut self.body {
            if *left > 0 {
                let bytes = buf.split_to((*left).min(buf.len())).freeze();
                *left -= bytes.len();
                return Ok((!bytes.is_empty()).then_some(Piece::Body(bytes)));
            }
            return Ok(self.body.take().map(|(response, _)| Piece::Whole(response)));
        }
        let h = match self.coming {
            Some(h) => h,
            None => {
                if buf.first().is_some_and(|magic| *magic != RESPONSE) {
                    return Err(DecodeError {
                        why: "magic is not 0x81",
                        answer: None,
                    });
                }
                if buf.len() < HEADER {
                    return Ok(None);
                }
                let h = head(&buf[..HEADER]);
                if h.key + h.extras > h.body {
                    return Err(h.broken("key and extras are longer than the body", None));
                }
                if h.body > body_most {
                    return Err(h.broken("body is too long", None));
                }
                if h.data_type != 0 {
                    return Err(h.broken("data type is not raw bytes", None));
                }
                buf.advance(HEADER);
                self.coming = Some(h);
                h
            }
        };
        let value = h.body - h.key - h.extras;
        let long = value > MAX_BUFFERED_VALUE;
        let wanted = if long { h.key + h.extras } else { h.body };
        if buf.len() < wanted {
            return Ok(None);
        }
        self.coming = None;
        let mut bytes = buf.split_to(wanted).freeze();
        let (extras, key) = (bytes.split_to(h.extras), bytes.split_to(h.key));
        let response = Response {
            opcode: h.opcode,
            status: h.status,
            opaque: h.opaque,
            cas: h.cas,
            extras,
            key,
            value: bytes,
        };
        if long {
            self.body = Some((response.clone(), value));
            return Ok(Some(Piece::Begin(response, value)));
        }
        Ok(Some(Piece::Whole(response)))
    }
}

fn put(out: &mut Vec<u8>, h: Head, extras: &[u8], key: &[u8]) {
    out.reserve(HEADER + h.key + h.extras);
    out.extend_from_slice(&[h.magic, h.opcode]);
    out.extend_from_slice(&(h.key as u16).to_be_bytes());
    out.extend_from_slice(&[h.extras as u8, h.data_type]);
    out.extend_from_slice(&h.status.to_be_bytes());
    out.extend_from_slice(&(h.body as u32).to_be_bytes());
    out.extend_from_slice(&h.opaque.to_be_bytes());
    out.extend_from_slice(&h.cas.to_be_bytes());
    out.extend_from_slice(extras);
    out.extend_from_slice(key);
}

/// Appends a request up to its value, of `len` bytes, which is written behind it. Its key and extras must keep the
/// protocol's lengths.
pub fn write_request_header(out: &mut Vec<u8>, r: &Request, len: usize) {
    let h = Head {
        magic: REQUEST,
        opcode: r.opcode,
        key: r.key.len(),
        extras: r.extras.len(),
        data_type: 0,
        status: r.vbucket,
        body: r.extras.len() + r.key.len() + len,
        opaque: r.opaque,
        cas: r.cas,
    };
    put(out, h, &r.extras, &r.key);
}

/// Appends a request.
pub fn write_request(out: &mut Vec<u8>, r: &Request) {
    write_request_header(out, r, r.value.len());
    out.extend_from_slice(&r.value);
}

/// Appends an answer.
pub fn write_response(out: &mut Vec<u8>, r: &Response) {
    write_response_header(out, r, r.value.len());
    out.extend_from_slice(&r.value);
}

/// Appends the head of an answer whose value, of `len` bytes, is written behind it.
pub fn write_response_header(out: &mut Vec<u8>, r: &Response, len: usize) {
    let h = Head {
        magic: RESPONSE,
        opcode: r.opcode,
        key: r.key.len(),
        extras: r.extras.len(),
        data_type: 0,
        status: r.status,
        body: r.extras.len() + r.key.len() + len,
        opaque: r.opaque,
        cas: r.cas,
    };
    put(out, h, &r.extras, &r.key);
}

/// Appends an answer that holds nothing but a status and its text.
pub fn write_status(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status) {
    write_text_response(out, opcode, opaque, status, status.text());
}

/// Appends an answer with a status and a text for people.
pub fn write_text_response(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status, text: &str) {
    let value = Bytes::copy_from_slice(text.as_bytes());
    let (extras, key) = (Bytes::new(), Bytes::new());
    write_response(
        out,
        &Response {
            opcode,
            status: status as u16,
            opaque,
            cas: 0,
            extras,
            key,
            value,
        },
    );
}

#[cfg(test)]
#[path = "memcached_tests.rs"]
mod tests;
