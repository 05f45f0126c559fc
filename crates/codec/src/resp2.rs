//! RESP2, the Redis serialization protocol (Redis documentation, "Redis serialization protocol specification"):
//! readers for commands and replies, and writers for bulk strings and headers.
//!
//! Readers are incremental: they hold the state of the message that is being received, allocate memory only for bytes that
//! have arrived, scan no byte twice for the end of a line, and return the same messages however the bytes are split into
//! reads. Values of up to [`MAX_BUFFERED_VALUE_BYTES`] bytes are delivered at once; longer ones in replies are delivered as
//! they arrive.

use std::io::Write;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use crate::partial_bytes::PartialBytes;

/// Maximum length of a value in bytes (4 MiB). A header that announces a longer one is an error.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Maximum length of a value in a reply that is delivered at once, in bytes. Longer values are streamed.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// Maximum length of an argument that is not a value, in bytes: a name, key, id or list of fields.
pub const MAX_ARGUMENT_BYTES: usize = 4096;
/// Maximum length of a line in bytes: a header, a simple string or an error. An error with a load report is far shorter.
const MAX_LINE: usize = 1024;
/// Maximum number of words of a command. `C.SET` has five; the commands that client libraries send at the start of a
/// connection have a few more.
const MAX_WORDS: usize = 16;
/// Maximum number of elements of an array in a reply. Replies of cache servers have three.
const MAX_ELEMENTS: usize = 8;
/// Index of the only word that may be longer than [`MAX_ARGUMENT_BYTES`]: the value of `C.SET`.
const VALUE_POSITION: usize = 4;
/// Memory for a word of a command besides its content, in bytes: the entry in the list, and its allocation.
const WORD_OVERHEAD: usize = 64;
/// Terminator of a line and of a bulk string.
const CRLF: &[u8; 2] = b"\r\n";

/// The bytes are not RESP2 or exceed a limit. The start of the next message is unknown, so the connection has to be
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum DecodeError {
    /// A line is longer than the limit.
    LineTooLong,
    /// A length is not a number, or out of bounds.
    InvalidLength,
    /// A bulk string is not followed by CRLF.
    MissingBulkEnd,
    /// A command does not begin with the header of an array.
    ExpectedArray,
    /// A command has too many words, or a negative number of them.
    InvalidWordCount,
    /// A word of a command is not a bulk string.
    ExpectedBulkString,
    /// A reply has an empty line in place of an element.
    EmptyLine,
    /// A bulk string that is long enough to be streamed is not the first element of an array in a reply.
    MisplacedLongString,
    /// An array in a reply has too many elements, or none.
    InvalidElementCount,
    /// An element of a reply has an unknown type, or is a nested array.
    UnknownType,
}

impl DecodeError {
    /// The message of the error, as it is sent to the peer.
    pub fn message(self) -> &'static str {
        match self {
            DecodeError::LineTooLong => "line too long",
            DecodeError::InvalidLength => "bad length",
            DecodeError::MissingBulkEnd => "bulk string without its end",
            DecodeError::ExpectedArray => "expected an array",
            DecodeError::InvalidWordCount => "bad number of words",
            DecodeError::ExpectedBulkString => "expected a bulk string",
            DecodeError::EmptyLine => "empty line",
            DecodeError::MisplacedLongString => "long string out of place",
            DecodeError::InvalidElementCount => "bad number of parts",
            DecodeError::UnknownType => "unknown type",
        }
    }
}

/// Reserves the memory of the long values that a reader accepts.
pub trait ReserveMemory {
    /// Reserves this many bytes for a value. Returns `false` and reserves nothing if there are too few.
    fn try_reserve(&mut self, bytes: usize) -> bool;
}

/// Limits the total memory of the long values of all connections. The length of a value is reserved when its header
/// arrives, before its bytes do, and remains reserved until it is released.
#[derive(Debug)]
pub struct ByteBudget {
    available: usize,
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> ByteBudget {
        ByteBudget { available: bytes }
    }

    /// Returns reserved bytes to the budget.
    pub fn release(&mut self, bytes: usize) {
        self.available += bytes;
    }
}

impl ReserveMemory for ByteBudget {
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let Some(available) = self.available.checked_sub(bytes) else {
            return false;
        };
        self.available = available;
        true
    }
}

/// Removes a line from the buffer and returns it without its terminator; `None` while it is incomplete. `scanned` is the
/// number of bytes of an incomplete line that have been searched for the terminator.
fn take_line(buf: &mut BytesMut, scanned: &mut usize) -> Result<Option<BytesMut>, DecodeError> {
    // The last byte that was searched may be the first byte of the terminator.
    let from = scanned.saturating_sub(1).min(buf.len());
    let end = buf[from..]
        .windows(CRLF.len())
        .position(|window| window == CRLF)
        .map(|at| from + at);
    match end {
        Some(end) if end <= MAX_LINE => {
            *scanned = 0;
            let line = buf.split_to(end);
            buf.advance(CRLF.len());
            Ok(Some(line))
        }
        None if buf.len() < MAX_LINE + CRLF.len() => {
            *scanned = buf.len();
            Ok(None)
        }
        _ => Err(DecodeError::LineTooLong),
    }
}

fn parse_number(digits: &[u8]) -> Result<i64, DecodeError> {
    std::str::from_utf8(digits)
        .ok()
        // Rust's parser accepts a plus sign, which the protocol does not allow in lengths.
        .filter(|text| !text.starts_with('+'))
        .and_then(|text| text.parse().ok())
        .ok_or(DecodeError::InvalidLength)
}

/// Removes the content of a bulk string from the buffer and returns it; `None` while it is incomplete.
fn take_bulk(buf: &mut BytesMut, len: usize) -> Result<Option<Bytes>, DecodeError> {
    if buf.len() < len + CRLF.len() {
        return Ok(None);
    }
    if &buf[len..len + CRLF.len()] != CRLF {
        return Err(DecodeError::MissingBulkEnd);
    }
    // Copied, since a slice would keep the whole read buffer in memory.
    let bytes = Bytes::copy_from_slice(&buf[..len]);
    buf.advance(len + CRLF.len());
    Ok(Some(bytes))
}

/// A bulk string of known length. A long one is moved out of the read buffer as it arrives.
#[derive(Debug)]
enum BulkString {
    /// At most [`MAX_ARGUMENT_BYTES`] bytes.
    Short(usize),
    /// The content has not arrived completely.
    Long(PartialBytes),
    /// The content is complete, its terminator is awaited.
    Unterminated(Bytes),
}

impl BulkString {
    fn new(len: usize) -> BulkString {
        if len <= MAX_ARGUMENT_BYTES {
            BulkString::Short(len)
        } else {
            BulkString::Long(PartialBytes::new(len))
        }
    }

    /// Bytes of memory that are allocated for it outside the read buffer.
    fn allocated(&self) -> usize {
        match self {
            BulkString::Short(_) => 0,
            BulkString::Long(content) => content.capacity(),
            BulkString::Unterminated(content) => content.len(),
        }
    }

    /// Reads its bytes from the buffer. Returns the content once it is complete.
    fn read(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, DecodeError> {
        if let BulkString::Long(content) = self {
            if !content.fill(buf) {
                return Ok(None);
            }
            *self = BulkString::Unterminated(content.take());
        }
        match self {
            BulkString::Short(len) => take_bulk(buf, *len),
            BulkString::Long(_) => Ok(None),
            BulkString::Unterminated(content) => {
                let terminator = take_bulk(buf, 0)?;
                Ok(terminator.map(|_| std::mem::take(content)))
            }
        }
    }
}

/// A client's command: an array of bulk strings.
#[derive(Debug, Default, PartialEq)]
pub struct Command {
    /// The command's name and its arguments.
    pub arguments: Vec<Bytes>,
    /// Bytes reserved in the budget for the value; the receiver of the command has to release them.
    pub reserved: usize,
    /// Whether the value was discarded because the budget had too few bytes available; its argument is empty then.
    pub value_discarded: bool,
}

/// What a [`CommandReader`] expects next within a command.
#[derive(Debug, Default)]
enum WordState {
    /// The header of a word.
    #[default]
    Header,
    /// The content of a word.
    Content(BulkString),
    /// The remaining bytes of a word that is discarded, including its terminator.
    Discarding(usize),
}

/// Decodes the commands that a client sends.
#[derive(Debug, Default)]
pub struct CommandReader {
    /// Number of bytes of the buffer that have been searched for the end of a line.
    scanned: usize,
    /// Number of words that the current command still lacks; 0 between commands.
    missing_words: usize,
    state: WordState,
    /// The current command, with the words received so far.
    command: Command,
}

impl CommandReader {
    /// Whether the header of a command has been read, but not all of its words.
    pub fn is_mid_message(&self) -> bool {
        self.missing_words > 0
    }

    /// Bytes reserved in the budget for the incomplete command.
    pub fn reserved(&self) -> usize {
        self.command.reserved
    }

    /// Bytes that the long value of the incomplete command lacks; `None` outside a long value.
    pub fn missing_value_bytes(&self) -> Option<usize> {
        match &self.state {
            WordState::Content(BulkString::Long(content)) => Some(content.missing()),
            WordState::Discarding(remaining) => Some(*remaining),
            _ => None,
        }
    }

    /// Bytes of memory that the incomplete command holds besides the reserved ones.
    pub fn unreserved(&self) -> usize {
        let words = &self.command.arguments;
        let content: usize = words.iter().map(Bytes::len).sum();
        let partial = match &self.state {
            WordState::Content(word) if self.command.reserved == 0 => word.allocated(),
            _ => 0,
        };
        let value = words.get(VALUE_POSITION).map_or(0, Bytes::len);
        content + words.len() * WORD_OVERHEAD + partial - value.min(self.command.reserved)
    }

    /// Removes the next command from the buffer and returns it; `None` while it is incomplete. Empty arrays are skipped.
    ///
    /// # Errors
    /// The bytes are not a command, or exceed a limit.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        budget: &mut impl ReserveMemory,
    ) -> Result<Option<Command>, DecodeError> {
        while self.missing_words == 0 {
            let Some(line) = take_line(buf, &mut self.scanned)? else {
                return Ok(None);
            };
            self.missing_words = word_count(&line)?;
        }
        loop {
            if !self.read_content(buf)? {
                return Ok(None);
            }
            if self.missing_words == 0 {
                return Ok(Some(std::mem::take(&mut self.command)));
            }
            let Some(line) = take_line(buf, &mut self.scanned)? else {
                return Ok(None);
            };
            self.begin_word(&line, budget)?;
        }
    }

    /// Reads the content of the current word, if one has begun. Returns `false` while it is incomplete.
    fn read_content(&mut self, buf: &mut BytesMut) -> Result<bool, DecodeError> {
        let word = match &mut self.state {
            WordState::Header => return Ok(true),
            WordState::Content(word) => {
                let Some(word) = word.read(buf)? else {
                    return Ok(false);
                };
                word
            }
            WordState::Discarding(remaining) => {
                let received = buf.len().min(*remaining);
                buf.advance(received);
                *remaining -= received;
                if *remaining > 0 {
                    return Ok(false);
                }
                Bytes::new()
            }
        };
        self.state = WordState::Header;
        self.command.arguments.push(word);
        self.missing_words -= 1;
        Ok(true)
    }

    /// Begins the word that this header announces. A long word is discarded if the budget has too few bytes available.
    fn begin_word(
        &mut self,
        line: &[u8],
        budget: &mut impl ReserveMemory,
    ) -> Result<(), DecodeError> {
        let len = match line.split_first() {
            Some((b'$', digits)) => parse_number(digits)?,
            _ => return Err(DecodeError::ExpectedBulkString),
        };
        let max_len = if self.command.arguments.len() == VALUE_POSITION {
            MAX_VALUE_BYTES
        } else {
            MAX_ARGUMENT_BYTES
        };
        let len = usize::try_from(len)
            .ok()
            .filter(|len| *len <= max_len)
            .ok_or(DecodeError::InvalidLength)?;
        if len > MAX_ARGUMENT_BYTES {
            if !budget.try_reserve(len) {
                self.command.value_discarded = true;
                self.state = WordState::Discarding(len + CRLF.len());
                return Ok(());
            }
            self.command.reserved += len;
        }
        self.state = WordState::Content(BulkString::new(len));
        Ok(())
    }
}

/// The number of words that a command's header announces.
fn word_count(line: &[u8]) -> Result<usize, DecodeError> {
    let count = match line.split_first() {
        Some((b'*', digits)) => parse_number(digits)?,
        _ => return Err(DecodeError::ExpectedArray),
    };
    usize::try_from(count)
        .ok()
        .filter(|count| *count <= MAX_WORDS)
        .ok_or(DecodeError::InvalidWordCount)
}

/// A RESP2 value other than an array.
#[derive(Clone, Debug, PartialEq)]
pub enum Element {
    /// A simple string.
    Simple(Bytes),
    /// A simple error: its kind and message, without the leading hyphen.
    Error(Bytes),
    /// An integer.
    Integer(i64),
    /// A bulk string.
    Bulk(Bytes),
    /// A null bulk string or a null array.
    Null,
}

impl Element {
    /// Length of its text or value in bytes.
    fn len(&self) -> usize {
        match self {
            Element::Simple(bytes) | Element::Error(bytes) | Element::Bulk(bytes) => bytes.len(),
            Element::Integer(_) | Element::Null => 0,
        }
    }
}

/// A cache server's reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A reply other than an array.
    Single(Element),
    /// An array. Its first element is [`Element::Null`] if it was a long value, which has been streamed.
    Array(Vec<Element>),
}

/// The result of reading from a [`ReplyReader`].
#[derive(Debug, PartialEq)]
pub enum DecodeEvent {
    /// A complete reply.
    Complete(Reply),
    /// A long value of this many bytes begins.
    ValueStart(usize),
    /// The next bytes of the long value.
    ValueChunk(Bytes),
}

/// What a [`ReplyReader`] expects next.
#[derive(Debug, Default)]
enum ReplyState {
    /// A line: the header of a bulk string or array, or a complete element.
    #[default]
    Line,
    /// The content of a bulk string.
    Bulk(BulkString),
    /// The remaining bytes of a long value.
    Value(usize),
    /// The CRLF after a long value.
    ValueEnd,
}

/// The result of one step of a [`ReplyReader`].
enum ReplyStep {
    /// Nothing can be read until more bytes arrive.
    NeedMoreBytes,
    /// A header has been read; the state of the reader tells what follows.
    Header,
    /// An element is complete.
    Element(Element),
    /// The beginning or the next bytes of a long value.
    Value(DecodeEvent),
}

/// Decodes the replies that a cache server sends.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Number of bytes of the buffer that have been searched for the end of a line.
    scanned: usize,
    state: ReplyState,
    /// Number of elements that the current array still lacks; `None` outside an array.
    missing_elements: Option<usize>,
    /// The elements of the current array.
    elements: Vec<Element>,
}

impl ReplyReader {
    /// Whether a part of a reply has been read, but not all of it.
    pub fn is_mid_message(&self) -> bool {
        self.missing_elements.is_some() || !matches!(self.state, ReplyState::Line)
    }

    /// Bytes of memory that the incomplete reply holds.
    pub fn allocated(&self) -> usize {
        let content: usize = self.elements.iter().map(Element::len).sum();
        let partial = match &self.state {
            ReplyState::Bulk(bulk) => bulk.allocated(),
            _ => 0,
        };
        content + partial
    }

    /// The length of the long bulk string that is being received; `None` if there is none.
    pub fn expected_len(&self) -> Option<usize> {
        match &self.state {
            ReplyState::Bulk(BulkString::Long(content)) => Some(content.len()),
            _ => None,
        }
    }

    /// Removes the next event from the buffer and returns it; `None` until more bytes arrive.
    ///
    /// # Errors
    /// The bytes are not a reply of a cache server, or exceed a limit.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<DecodeEvent>, DecodeError> {
        loop {
            match self.read_step(buf)? {
                ReplyStep::NeedMoreBytes => return Ok(None),
                ReplyStep::Header => {}
                ReplyStep::Value(event) => return Ok(Some(event)),
                ReplyStep::Element(element) => {
                    self.state = ReplyState::Line;
                    if let Some(reply) = self.add_element(element) {
                        return Ok(Some(DecodeEvent::Complete(reply)));
                    }
                }
            }
        }
    }

    fn read_step(&mut self, buf: &mut BytesMut) -> Result<ReplyStep, DecodeError> {
        match &mut self.state {
            ReplyState::Line => match take_line(buf, &mut self.scanned)? {
                Some(line) => self.read_line(&Bytes::copy_from_slice(&line)),
                None => Ok(ReplyStep::NeedMoreBytes),
            },
            ReplyState::Bulk(bulk) => {
                let bulk = bulk.read(buf)?;
                Ok(bulk.map_or(ReplyStep::NeedMoreBytes, |bytes| {
                    ReplyStep::Element(Element::Bulk(bytes))
                }))
            }
            ReplyState::Value(_) if buf.is_empty() => Ok(ReplyStep::NeedMoreBytes),
            ReplyState::Value(remaining) => {
                debug_assert!(*remaining > 0);
                let bytes = buf.split_to(buf.len().min(*remaining)).freeze();
                self.state = match *remaining - bytes.len() {
                    0 => ReplyState::ValueEnd,
                    remaining => ReplyState::Value(remaining),
                };
                Ok(ReplyStep::Value(DecodeEvent::ValueChunk(bytes)))
            }
            ReplyState::ValueEnd => {
                let end = take_bulk(buf, 0)?;
                Ok(end.map_or(ReplyStep::NeedMoreBytes, |_| {
                    ReplyStep::Element(Element::Null)
                }))
            }
        }
    }

    /// Adds an element to the current array, or takes it as the whole reply outside an array. Returns the reply if it is
    /// complete.
    fn add_element(&mut self, element: Element) -> Option<Reply> {
        let Some(missing) = &mut self.missing_elements else {
            return Some(Reply::Single(element));
        };
        self.elements.push(element);
        *missing -= 1;
        if *missing > 0 {
            return None;
        }
        self.missing_elements = None;
        Some(Reply::Array(std::mem::take(&mut self.elements)))
    }

    fn read_line(&mut self, line: &Bytes) -> Result<ReplyStep, DecodeError> {
        let kind = *line.first().ok_or(DecodeError::EmptyLine)?;
        let content = line.slice(1..);
        match kind {
            b'+' => Ok(ReplyStep::Element(Element::Simple(content))),
            b'-' => Ok(ReplyStep::Element(Element::Error(content))),
            b':' => Ok(ReplyStep::Element(Element::Integer(parse_number(
                &content,
            )?))),
            b'$' => self.begin_bulk(parse_number(&content)?),
            b'*' if self.missing_elements.is_none() => self.begin_array(parse_number(&content)?),
            _ => Err(DecodeError::UnknownType),
        }
    }

    fn begin_bulk(&mut self, len: i64) -> Result<ReplyStep, DecodeError> {
        if len == -1 {
            return Ok(ReplyStep::Element(Element::Null));
        }
        let len = usize::try_from(len)
            .ok()
            .filter(|len| *len <= MAX_VALUE_BYTES)
            .ok_or(DecodeError::InvalidLength)?;
        if len <= MAX_BUFFERED_VALUE_BYTES {
            self.state = ReplyState::Bulk(BulkString::new(len));
            return Ok(ReplyStep::Header);
        }
        // Only the value that a client has requested may be long, which is the first element.
        if self.missing_elements.is_none() || !self.elements.is_empty() {
            return Err(DecodeError::MisplacedLongString);
        }
        self.state = ReplyState::Value(len);
        Ok(ReplyStep::Value(DecodeEvent::ValueStart(len)))
    }

    fn begin_array(&mut self, count: i64) -> Result<ReplyStep, DecodeError> {
        if count == -1 {
            return Ok(ReplyStep::Element(Element::Null));
        }
        let count = usize::try_from(count)
            .ok()
            .filter(|count| (1..=MAX_ELEMENTS).contains(count))
            .ok_or(DecodeError::InvalidElementCount)?;
        self.missing_elements = Some(count);
        Ok(ReplyStep::Header)
    }
}

/// Appends a bulk string to `out`.
pub fn write_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    write_header(out, b'$', bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(CRLF);
}

/// Appends the header of an array (`kind` is `*`) or of a bulk string (`$`), which announces its length.
pub fn write_header(out: &mut Vec<u8>, kind: u8, len: usize) {
    out.push(kind);
    // Writing to a vector cannot fail.
    let _ = write!(out, "{len}\r\n");
}

#[cfg(test)]
#[path = "resp2_tests.rs"]
mod tests;
