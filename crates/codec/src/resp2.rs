//! RESP2, read as its bytes come. Nothing is allocated for what a peer only claims to send, and nothing is
//! scanned twice, however the bytes are cut.

use bytes::{Buf, Bytes, BytesMut};

/// Longest value (PROTOCOL: 4 MiB); a longer claim is broken framing.
pub const MAX_VALUE: usize = 4 << 20;
/// Values up to this are passed on whole, longer ones as they come.
pub const MAX_BUFFERED_VALUE: usize = 64 << 10;
/// Longest line: a length, a simple string or an error. A server's error with a load report is far shorter.
const LINE_MOST: usize = 1024;
/// Most words of a command: C.SET has five; client libraries greet with a few more.
const WORDS_MOST: usize = 16;
/// Longest word that is not a value: a name, key, id or list of fields.
pub const MAX_ARGUMENT: usize = 4096;
/// Most parts of a reply's array; the protocol has three.
const PARTS_MOST: usize = 8;

/// The bytes are no RESP2, or go beyond a limit: the connection cannot be read on.
#[derive(Debug, PartialEq)]
pub struct DecodeError(pub &'static str);

/// Lets long values into memory, as long as there is room for them. They are counted when announced.
#[derive(Debug)]
pub struct Budget {
    left: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Budget {
        Budget { left: bytes }
    }

    /// Guards against memory running out under writes with long values: what is let in counts until it is
    /// given back.
    pub fn take(&mut self, bytes: usize) -> bool {
        let left = self.left.checked_sub(bytes);
        self.left = left.unwrap_or(self.left);
        left.is_some()
    }

    pub fn give_back(&mut self, bytes: usize) {
        self.left += bytes;
    }
}

/// Takes one line off the buffer, without its end. `seen` remembers how far an incomplete one was scanned.
fn line(buf: &mut BytesMut, seen: &mut usize) -> Result<Option<BytesMut>, DecodeError> {
    let from = seen.saturating_sub(1).min(buf.len());
    match buf[from..]
        .windows(2)
        .position(|w| w == b"\r\n")
        .map(|at| from + at)
    {
        Some(at) if at <= LINE_MOST => {
            *seen = 0;
            let line = buf.split_to(at);
            buf.advance(2);
            Ok(Some(line))
        }
        None if buf.len() < LINE_MOST + 2 => {
            *seen = buf.len();
            Ok(None)
        }
        _ => Err(DecodeError("line too long")),
    }
}

fn number(digits: &[u8]) -> Result<i64, DecodeError> {
    let text = std::str::from_utf8(digits)
        .ok()
        .filter(|t| !t.starts_with('+'));
    text.and_then(|t| t.parse().ok())
        .ok_or(DecodeError("bad length"))
}

fn bulk(buf: &mut BytesMut, len: usize) -> Result<Option<Bytes>, DecodeError> {
    if buf.len() < len + 2 {
        return Ok(None);
    }
    if &buf[len..len + 2] != b"\r\n" {
        return Err(DecodeError("bulk string without its end"));
    }
    let bytes = buf.split_to(len).freeze();
    buf.advance(2);
    Ok(Some(bytes))
}

/// A client's command.
#[derive(Debug, Default, PartialEq)]
pub struct Command {
    pub words: Vec<Bytes>,
    /// Bytes taken from the budget for its value.
    pub reserved: usize,
    /// There was no room for its value, which was thrown away.
    pub dropped: bool,
}

/// Cuts commands from a client's bytes.
#[derive(Debug, Default)]
pub struct CommandReader {
    seen: usize,
    left: usize,
    /// Length of the word that is coming.
    word: Option<usize>,
    /// Bytes of a dropped value still to be thrown away.
    skip: usize,
    command: Command,
}

impl CommandReader {
    /// Whether part of a command has come.
    pub fn is_mid_message(&self) -> bool {
        self.left > 0
    }

    /// What the unfinished command holds of the budget.
    pub fn reserved(&self) -> usize {
        self.command.reserved
    }

    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        budget: &mut Budget,
    ) -> Result<Option<Command>, DecodeError> {
        while self.left == 0 {
            let Some(head) = line(buf, &mut self.seen)? else {
                return Ok(None);
            };
            let count = match head.split_first() {
                Some((b'*', digits)) => number(digits)?,
                _ => return Err(DecodeError("expected an array")),
            };
            if !(0..=WORDS_MOST as i64).contains(&count) {
                return Err(DecodeError("bad number of words"));
            }
            self.left = count as usize;
        }
        loop {
            if self.skip > 0 {
                let some = self.skip.min(buf.len());
                buf.advance(some);
                self.skip -= some;
                if self.skip > 0 {
                    return Ok(None);
                }
                self.command.words.push(Bytes::new());
                self.left -= 1;
            } else if let Some(len) = self.word {
                let Some(bytes) = bulk(buf, len)? else {
                    return Ok(None);
                };
                self.word = None;
                self.command.words.push(bytes);
                self.left -= 1;
            }
            if self.left == 0 {
                return Ok(Some(std::mem::take(&mut self.command)));
            }
            let Some(head) = line(buf, &mut self.seen)? else {
                return Ok(None);
            };
            let len = match head.split_first() {
                Some((b'$', digits)) => number(digits)?,
                _ => return Err(DecodeError("expected a bulk string")),
            };
            // Only the fifth word, a write's value, may be long.
            let most = if self.command.words.len() == 4 {
                MAX_VALUE
            } else {
                MAX_ARGUMENT
            };
            let len = usize::try_from(len)
                .ok()
                .filter(|l| *l <= most)
                .ok_or(DecodeError("bad length"))?;
            if len > MAX_ARGUMENT && !budget.take(len) {
                self.command.dropped = true;
                self.skip = len + 2;
                continue;
            }
            if len > MAX_ARGUMENT {
                self.command.reserved += len;
            }
            self.word = Some(len);
        }
    }
}

/// A part of a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Simple(Bytes),
    Error(Bytes),
    Int(i64),
    Bulk(Bytes),
    Null,
}

/// A cache server's reply. The first part of an array whose long value was streamed is `Null`.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    One(Part),
    Array(Vec<Part>),
}

/// What has come of a reply.
#[derive(Debug, PartialEq)]
pub enum Piece {
    Whole(Reply),
    /// A long value begins; its bytes follow.
    Begin(usize),
    /// Bytes of the long value.
    Body(Bytes),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Want {
    Line,
    Bulk(usize),
    /// Bytes left of a long value, without its line end.
    Body(usize),
    BodyEnd,
}

/// Cuts replies from a cache server's bytes.
#[derive(Debug)]
pub struct ReplyReader {
    seen: usize,
    want: Want,
    /// Parts still to come of the array that is being read.
    array: Option<usize>,
    parts: Vec<Part>,
}

impl Default for ReplyReader {
    fn default() -> ReplyReader {
        ReplyReader {
            seen: 0,
            want: Want::Line,
            array: None,
            parts: Vec::new(),
        }
    }
}

impl ReplyReader {
    /// Whether part of a reply has been taken off the buffer.
    pub fn is_mid_message(&self) -> bool {
        self.array.is_some() || self.want != Want::Line
    }

    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Piece>, DecodeError> {
        loop {
            let part = match self.want {
                Want::Line => {
                    let Some(head) = line(buf, &mut self.seen)? else {
                        return Ok(None);
                    };
                    match self.head(head.freeze())? {
                        Some(part) => part,
                        None => match self.want {
                            Want::Body(len) => return Ok(Some(Piece::Begin(len))),
                            _ => continue,
                        },
                    }
                }
                Want::Bulk(len) => {
                    let Some(bytes) = bulk(buf, len)? else {
                        return Ok(None);
                    };
                    Part::Bulk(bytes)
                }
                Want::Body(left) if buf.is_empty() => {
                    debug_assert!(left > 0);
                    return Ok(None);
                }
                Want::Body(left) => {
                    let bytes = buf.split_to(left.min(buf.len())).freeze();
                    let left = left - bytes.len();
                    self.want = if left == 0 {
                        Want::BodyEnd
                    } else {
                        Want::Body(left)
                    };
                    return Ok(Some(Piece::Body(bytes)));
                }
                Want::BodyEnd => {
                    if bulk(buf, 0)?.is_none() {
                        return Ok(None);
                    }
                    Part::Null
                }
            };
            self.want = Want::Line;
            if let Some(left) = &mut self.array {
                self.parts.push(part);
                *left -= 1;
                if *left == 0 {
                    self.array = None;
                    return Ok(Some(Piece::Whole(Reply::Array(std::mem::take(
                        &mut self.parts,
                    )))));
                }
            } else {
                return Ok(Some(Piece::Whole(Reply::One(part))));
            }
        }
    }

    /// A line's part, or none where it announces more (`want` and `array` then tell what).
    fn head(&mut self, head: Bytes) -> Result<Option<Part>, DecodeError> {
        let kind = *head.first().ok_or(DecodeError("empty line"))?;
        let rest = head.slice(1..);
        Ok(match kind {
            b'+' => Some(Part::Simple(rest)),
            b'-' => Some(Part::Error(rest)),
            b':' => Some(Part::Int(number(&rest)?)),
            b'$' => match number(&rest)? {
                -1 => Some(Part::Null),
                len if len > MAX_BUFFERED_VALUE as i64 && len <= MAX_VALUE as i64 => {
                    // Only what a client asked for may be long: the first part.
                    if self.array.is_none() || !self.parts.is_empty() {
                        return Err(DecodeError("long string out of place"));
                    }
                    self.want = Want::Body(len as usize);
                    None
                }
                len if (0..=MAX_BUFFERED_VALUE as i64).contains(&len) => {
                    self.want = Want::Bulk(len as usize);
                    None
                }
                _ => return Err(DecodeError("bad length")),
            },
            b'*' if self.array.is_none() => match number(&rest)? {
                -1 => Some(Part::Null),
                count if (1..=PARTS_MOST as i64).contains(&count) => {
                    self.array = Some(count as usize);
                    None
                }
                _ => return Err(DecodeError("bad number of parts")),
            },
            _ => return Err(DecodeError("unknown type")),
        })
    }
}

/// Appends a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    write_header(out, b'$', bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a line that announces a length.
pub fn write_header(out: &mut Vec<u8>, kind: u8, n: usize) {
    use std::io::Write;
    out.push(kind);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{n}\r\n");
}

#[cfg(test)]
#[path = "resp2_tests.rs"]
mod tests;
