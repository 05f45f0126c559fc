//! The memcached binary protocol, from "Memcached Binary Protocol" (draft-stone-memcache-binary, and the
//! project's own page `BinaryProtocolRevamped`): a header of 24 bytes, then extras, key and value.
//!
//! Readers are incremental and bounded: nothing is allocated for what a peer only claims to send, nothing is
//! scanned twice, and the same bytes give the same packets however they are cut. What can't be read on is told
//! with the status that an answer to it would have.

use bytes::{Buf, Bytes, BytesMut};

use crate::resp::{Budget, VALUE_MOST, WHOLE_MOST};

/// Bytes of a header.
pub const HEADER: usize = 24;
/// Longest key (the protocol's own limit).
pub const KEY_MOST: usize = 250;
/// Longest extras: Increment has 20, the longest of the protocol.
pub const EXTRAS_MOST: usize = 20;
/// Values up to this count as part of a connection; longer ones are taken from the budget.
pub const VALUE_FREE: usize = 4096;
/// Longest body that is let in, or thrown away rather than ending the connection: the longest value with what may stand
/// before it.
const BODY_MOST: usize = VALUE_MOST + 1024;

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
            Opcode::Quit | Opcode::Noop | Opcode::Version | Opcode::SaslList => (Empty, Empty, Empty),
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
pub struct Broken {
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

    fn broken(&self, why: &'static str, status: Option<Status>) -> Broken {
        Broken { why, answer: status.map(|status| (self.opcode, self.opaque, status)) }
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
    pub fn midway(&self) -> bool {
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
    ) -> Result<Option<Request>, Broken> {
        if let Some((left, head, why)) = &mut self.skip {
            let some = (*left).min(buf.len());
            buf.advance(some);
            *left -= some;
            if *left > 0 {
                return Ok(None);
            }
            let request = Request { fault: Some(*why), ..head.request() };
            self.skip = None;
            return Ok(Some(request));
        }
        let (h, reserved) = match self.coming {
            Some(coming) => coming,
            None => {
                if buf.first().is_some_and(|magic| *magic != REQUEST) {
                    return Err(Broken { why: "magic is not 0x80", answer: None });
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
                if h.body > BODY_MOST {
                    return Err(h.broken("body is too long", Some(Status::ValueTooLarge)));
                }
                buf.advance(HEADER);
                let fault = if h.data_type != 0 || h.key > KEY_MOST || h.extras > EXTRAS_MOST {
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
        let mut request = Request { reserved, ..h.request() };
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

/// Cuts answers from a cache box's bytes. Values beyond [`WHOLE_MOST`] are passed on as they come.
#[derive(Debug, Default)]
pub struct ResponseReader {
    coming: Option<Head>,
    /// The answer whose long value is coming, and the bytes left of it.
    body: Option<(Response, usize)>,
}

impl ResponseReader {
    /// Whether part of an answer has been taken off the buffer.
    pub fn midway(&self) -> bool {
        self.coming.is_some() || self.body.is_some()
    }

    /// The next piece, none while it is still coming.
    ///
    /// # Errors
    /// Another magic, a data type that is not raw bytes, a body shorter than its parts, or one longer than
    /// `body_most`.
    pub fn next(&mut self, buf: &mut BytesMut, body_most: usize) -> Result<Option<Piece>, Broken> {
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
                    return Err(Broken { why: "magic is not 0x81", answer: None });
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
        let long = value > WHOLE_MOST;
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
pub fn put_request_head(out: &mut Vec<u8>, r: &Request, len: usize) {
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
pub fn put_request(out: &mut Vec<u8>, r: &Request) {
    put_request_head(out, r, r.value.len());
    out.extend_from_slice(&r.value);
}

/// Appends an answer.
pub fn put_response(out: &mut Vec<u8>, r: &Response) {
    put_response_head(out, r, r.value.len());
    out.extend_from_slice(&r.value);
}

/// Appends the head of an answer whose value, of `len` bytes, is written behind it.
pub fn put_response_head(out: &mut Vec<u8>, r: &Response, len: usize) {
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
pub fn put_status(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status) {
    put_text(out, opcode, opaque, status, status.text());
}

/// Appends an answer with a status and a text for people.
pub fn put_text(out: &mut Vec<u8>, opcode: u8, opaque: u32, status: Status, text: &str) {
    let value = Bytes::copy_from_slice(text.as_bytes());
    let (extras, key) = (Bytes::new(), Bytes::new());
    put_response(out, &Response { opcode, status: status as u16, opaque, cas: 0, extras, key, value });
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MOST: usize = 64 << 10;

    fn pieces<'a>(input: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
        let mut at: Vec<usize> = cuts.iter().map(|c| c % (input.len() + 1)).collect();
        at.extend([0, input.len()]);
        at.sort_unstable();
        at.windows(2).map(|w| &input[w[0]..w[1]]).collect()
    }

    fn requests(input: &[u8], cuts: &[usize], room: usize) -> (Vec<Request>, Option<Broken>) {
        let (mut reader, mut buf, mut out) = (RequestReader::default(), BytesMut::new(), Vec::new());
        let mut budget = Budget::new(room);
        for piece in pieces(input, cuts) {
            buf.extend_from_slice(piece);
            loop {
                match reader.next(&mut buf, &mut budget, MOST) {
                    Ok(Some(request)) => out.push(request),
                    Ok(None) => break,
                    Err(broken) => return (out, Some(broken)),
                }
            }
        }
        (out, None)
    }

    fn responses(input: &[u8], cuts: &[usize]) -> (Vec<Response>, Option<Broken>) {
        let (mut reader, mut buf, mut out) = (ResponseReader::default(), BytesMut::new(), Vec::new());
        let mut body = Vec::new();
        for piece in pieces(input, cuts) {
            buf.extend_from_slice(piece);
            loop {
                match reader.next(&mut buf, MOST * 4) {
                    // A long value is put together again.
                    Ok(Some(Piece::Whole(response))) if body.is_empty() => out.push(response),
                    Ok(Some(Piece::Whole(mut response))) => {
                        response.value = std::mem::take(&mut body).into();
                        out.push(response);
                    }
                    Ok(Some(Piece::Begin(..))) => assert!(body.is_empty()),
                    Ok(Some(Piece::Body(bytes))) => body.extend_from_slice(&bytes),
                    Ok(None) => break,
                    Err(broken) => return (out, Some(broken)),
                }
            }
        }
        (out, None)
    }

    /// The packets of the protocol's own page, as bytes.
    #[test]
    fn packets_of_the_specification() {
        let get = b"\x80\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00Hello";
        let (got, broken) = requests(get, &[], 0);
        assert_eq!((got.len(), broken), (1, None));
        assert_eq!((got[0].opcode, &got[0].key[..]), (Opcode::Get as u8, &b"Hello"[..]));
        let add = b"\x80\x02\x00\x05\x08\x00\x00\x00\x00\x00\x00\x12\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xde\xad\xbe\xef\x00\x00\x0e\x10HelloWorld";
        let (got, broken) = requests(add, &[], 0);
        assert_eq!(broken, None);
        assert_eq!(&got[0].extras[..], b"\xde\xad\xbe\xef\x00\x00\x0e\x10");
        assert_eq!(
            (&got[0].key[..], &got[0].value[..], got[0].fault),
            (&b"Hello"[..], &b"World"[..], None)
        );
        let miss = b"\x81\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00Not found";
        let (got, broken) = responses(miss, &[]);
        assert_eq!(broken, None);
        assert_eq!(
            (Status::from_code(got[0].status), &got[0].value[..]),
            (Some(Status::KeyNotFound), &b"Not found"[..])
        );
        let mut out = Vec::new();
        put_status(&mut out, Opcode::Get as u8, 0, Status::KeyNotFound);
        assert_eq!(out, miss);
        let hit = b"\x81\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xde\xad\xbe\xefWorld";
        let (got, _) = responses(hit, &[]);
        assert_eq!(
            (got[0].cas, &got[0].extras[..], &got[0].value[..]),
            (1, &b"\xde\xad\xbe\xef"[..], &b"World"[..])
        );
    }

    #[test]
    fn a_long_value_passes_through_as_it_comes() {
        let value = Bytes::from(vec![b'v'; WHOLE_MOST + 1]);
        let long = Response {
            opcode: Opcode::GetK as u8,
            status: 0,
            opaque: 3,
            cas: 5,
            extras: Bytes::from_static(&[0; 4]),
            key: Bytes::from_static(b"k"),
            value,
        };
        let mut input = Vec::new();
        put_response(&mut input, &long);
        put_status(&mut input, Opcode::Noop as u8, 4, Status::Ok);
        for cuts in [&[][..], &[10, 24, 27, 29, 30, 5_000, input.len() - 24], &[28]] {
            let (got, broken) = responses(&input, cuts);
            assert_eq!((got.len(), broken), (2, None));
            assert_eq!((&got[0], got[1].opaque), (&long, 4));
        }
        let (mut reader, mut buf) = (ResponseReader::default(), BytesMut::from(&input[..]));
        let begin = reader.next(&mut buf, MOST * 4).unwrap().unwrap();
        assert!(matches!(begin, Piece::Begin(r, len) if r.opaque == 3 && len == WHOLE_MOST + 1));
        assert!(reader.midway());
    }

    fn lying(key: u16, extras: u8, body: u32) -> Vec<u8> {
        let mut out = vec![REQUEST, Opcode::Set as u8];
        out.extend(key.to_be_bytes());
        out.extend([extras, 0, 0, 0]);
        out.extend(body.to_be_bytes());
        out.extend(7u32.to_be_bytes());
        out.extend(0u64.to_be_bytes());
        out
    }

    #[test]
    fn lengths_that_lie_end_in_an_error_and_take_no_memory() {
        let cases = [
            (lying(10, 8, 17), Some(Status::InvalidArguments)),
            (lying(u16::MAX, 255, 3), Some(Status::InvalidArguments)),
            (lying(1, 8, u32::MAX), Some(Status::ValueTooLarge)),
            (b"GET / HTTP/1.1\r\n".to_vec(), None),
            (vec![RESPONSE; 30], None),
        ];
        for (input, status) in cases {
            for cut in 0..input.len() {
                let (got, broken) = requests(&input, &[cut], 1 << 20);
                assert!(got.is_empty());
                let answer = broken.expect("an error").answer;
                assert_eq!(answer.map(|(_, opaque, status)| (opaque, status)), status.map(|s| (7, s)));
            }
        }
        let mut reader = RequestReader::default();
        let mut buf = BytesMut::from(&lying(1, 8, 60_000)[..]);
        assert_eq!(reader.next(&mut buf, &mut Budget::new(1 << 20), MOST), Ok(None));
        assert!(buf.capacity() < 4096 && reader.midway());
        assert_eq!(reader.reserved(), 60_000 - 9);
    }

    #[test]
    fn what_has_no_room_is_thrown_away_and_the_next_is_read() {
        let long = |len: usize| {
            let request = Request {
                opcode: Opcode::Set as u8,
                opaque: 9,
                extras: Bytes::from_static(&[0; 8]),
                key: Bytes::from_static(b"k"),
                value: vec![b'v'; len].into(),
                ..Request::default()
            };
            let mut out = Vec::new();
            put_request(&mut out, &request);
            put_request(&mut out, &Request { opcode: Opcode::Noop as u8, ..Request::default() });
            out
        };
        for (len, room, fault) in
            [(MOST + 1, 1 << 20, Status::ValueTooLarge), (5_000, 4_999, Status::OutOfMemory)]
        {
            let (got, broken) = requests(&long(len), &[30, 2000], room);
            assert_eq!((got.len(), broken), (2, None));
            assert_eq!((got[0].fault, got[0].opaque, got[0].reserved), (Some(fault), 9, 0));
            assert_eq!((got[1].opcode, got[1].fault), (Opcode::Noop as u8, None));
        }
        let (got, _) = requests(&long(5_000), &[], 5_000);
        assert_eq!((got[0].fault, got[0].reserved), (None, 5_000));
    }

    #[test]
    fn a_value_of_the_longest_length_is_let_in() {
        let mut out = Vec::new();
        let (key, extras) = (vec![b'k'; KEY_MOST].into(), Bytes::from_static(&[0; 8]));
        let (opcode, value) = (Opcode::Set as u8, vec![b'v'; VALUE_MOST].into());
        put_request(&mut out, &Request { opcode, key, extras, value, ..Request::default() });
        let mut buf = BytesMut::from(&out[..]);
        let read = RequestReader::default().next(&mut buf, &mut Budget::new(VALUE_MOST), VALUE_MOST);
        assert!(read.unwrap().is_some_and(|r| r.fault.is_none() && r.value.len() == VALUE_MOST));
    }

    #[test]
    fn parts_that_an_opcode_does_not_have_are_a_fault() {
        let make = |opcode: Opcode, extras: usize, key: usize, value: usize| {
            let mut out = Vec::new();
            let part = |len: usize| Bytes::from(vec![b'x'; len]);
            let (extras, key, value) = (part(extras), part(key), part(value));
            put_request(
                &mut out,
                &Request { opcode: opcode as u8, extras, key, value, ..Request::default() },
            );
            requests(&out, &[], 0).0[0].fault
        };
        assert_eq!(make(Opcode::Get, 0, 3, 0), None);
        assert_eq!(make(Opcode::GetKQ, 0, 3, 0), None);
        assert_eq!(make(Opcode::SetQ, 8, 3, 0), None);
        assert_eq!(make(Opcode::Stat, 0, 0, 0), None);
        assert_eq!(make(Opcode::Flush, 4, 0, 0), None);
        let bad = Some(Status::InvalidArguments);
        assert_eq!(make(Opcode::Get, 0, 0, 0), bad);
        assert_eq!(make(Opcode::Get, 4, 3, 0), bad);
        assert_eq!(make(Opcode::Get, 0, 3, 1), bad);
        assert_eq!(make(Opcode::Set, 4, 3, 1), bad);
        assert_eq!(make(Opcode::Noop, 0, 1, 0), bad);
        assert_eq!(make(Opcode::Get, 0, KEY_MOST + 1, 0), bad);
    }

    #[test]
    fn quiet_opcodes_are_silent_as_the_specification_has_it() {
        for opcode in Opcode::ALL {
            assert_eq!(Opcode::from_code(opcode as u8), Some(opcode));
            assert!(!opcode.loud().quiet());
            for status in Status::ALL {
                let read = matches!(opcode, Opcode::GetQ | Opcode::GetKQ | Opcode::GatQ);
                let silent = if read { status == Status::KeyNotFound } else { status == Status::Ok };
                assert_eq!(opcode.silent_on(status), opcode.quiet() && silent, "{opcode:?} {status:?}");
            }
        }
        assert_eq!(Opcode::ALL.iter().filter(|o| o.quiet()).count(), 13);
        assert_eq!(Opcode::from_code(0x1f), None);
        assert!(Status::ALL.iter().all(|s| Status::from_code(*s as u16) == Some(*s)));
    }

    fn bytes(most: usize) -> impl Strategy<Value = Bytes> {
        prop::collection::vec(any::<u8>(), 0..most).prop_map(Bytes::from)
    }

    proptest! {
        #[test]
        fn requests_come_back_as_they_were_however_they_are_cut(
            list in prop::collection::vec((any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>(),
                bytes(EXTRAS_MOST + 1), bytes(KEY_MOST + 1), bytes(300)), 1..6),
            cuts in prop::collection::vec(any::<usize>(), 0..20),
        ) {
            let mut input = Vec::new();
            let mut sent = Vec::new();
            for (opcode, vbucket, opaque, cas, extras, key, value) in list {
                let request = Request { opcode, vbucket, opaque, cas, extras, key, value, reserved: 0, fault: None };
                put_request(&mut input, &request);
                sent.push(request);
            }
            let (whole, broken) = requests(&input, &[], 0);
            prop_assert_eq!(broken, None);
            prop_assert_eq!(&requests(&input, &cuts, 0).0, &whole);
            let plain: Vec<Request> = whole.into_iter().map(|r| Request { fault: None, ..r }).collect();
            prop_assert_eq!(plain, sent);
        }

        #[test]
        fn answers_come_back_as_they_were_however_they_are_cut(
            list in prop::collection::vec((any::<u8>(), any::<u16>(), any::<u32>(), any::<u64>(),
                bytes(30), bytes(300), bytes(300)), 1..6),
            cuts in prop::collection::vec(any::<usize>(), 0..20),
        ) {
            let mut input = Vec::new();
            let mut sent = Vec::new();
            for (opcode, status, opaque, cas, extras, key, value) in list {
                let response = Response { opcode, status, opaque, cas, extras, key, value };
                put_response(&mut input, &response);
                sent.push(response);
            }
            prop_assert_eq!(responses(&input, &cuts), (sent, None));
        }

        #[test]
        fn noise_never_panics_and_is_cut_alike(
            mut input in prop::collection::vec(any::<u8>(), 0..200),
            small in any::<bool>(),
            cuts in prop::collection::vec(any::<usize>(), 0..5),
        ) {
            for (magic, at) in [(REQUEST, 0), (RESPONSE, 0)] {
                if let Some(first) = input.get_mut(at) {
                    *first = magic;
                }
                if small {
                    // Lengths that may fit.
                    input.iter_mut().skip(8).take(3).for_each(|b| *b = 0);
                }
                prop_assert_eq!(requests(&input, &[], 50), requests(&input, &cuts, 50));
                prop_assert_eq!(responses(&input, &[]), responses(&input, &cuts));
            }
        }
    }
}
