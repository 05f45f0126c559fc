//! Connections from clients: commands come in, answers leave in the order of the commands.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use sloewick_decision::api::Micros;

use crate::front::Protocol;
use crate::transport::{fill, ReadOutcome, Stream, WriteQueue};
use sloewick_codec::memcached::{self, RequestReader};
use sloewick_codec::resp2::{ByteBudget, Command, CommandReader};

/// Commands of one connection that may wait for their answers; more stay in the kernel until some have gone.
const PIPELINE_MOST: usize = 128;
/// Answers that a client has not read; beyond it no more of its commands are taken.
const UNSENT_MOST: usize = 256 << 10;
/// A client may take 2 s to write a command, and one that will not is owed an error within 3 s of connecting.
const WRITING_MOST: Micros = 2_500_000;
/// So is one that says nothing; a connection may be closed when it has had no request for 2 s.
const SILENT_MOST: Micros = 2_500_000;
/// A client that reads nothing of what waits for it for so long has stalled for good. It follows from no setting: the time
/// of its requests is over by their own deadlines, and this bounds the memory that their answers hold.
const READING_MOST: Micros = 10_000_000;
/// How long the end of a client's bytes is taken for that of its sending alone: what came with it is sent, also where a
/// connection has to be opened first. What waits then is not sent on any more: 0.1 s after a client has closed nothing may
/// be, and a starved node knows of it late and is slow in sending.
pub const HALF_CLOSED_MOST: Micros = 20_000;
/// After the end of sending, how long the client's last bytes are read and thrown away: closing with unread
/// input would send a reset, which can destroy the answer that is under way.
const LINGER: Micros = 1_000_000;

/// What stands for a command until its answer has gone out.
pub enum Slot {
    /// The request (its place) is being served.
    Waiting(usize),
    ReadyEvent(Vec<Bytes>),
    /// A long value passes through from an upstream connection; its first line, until that is written.
    Stream {
        request: usize,
        conn: usize,
        head: Option<Bytes>,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    /// No more commands are read; the connection ends when all answers are out.
    AfterAnswers,
    /// Sending has ended; the rest is read and thrown away until then.
    Lingering(Micros),
}

/// Cuts what a client sends, in its protocol.
enum Reader {
    Resp(CommandReader),
    /// With the longest value that is let in.
    Memcached(RequestReader, usize),
}

pub struct Client<S> {
    pub stream: S,
    pub serial: u64,
    buf: BytesMut,
    reader: Reader,
    pub out: WriteQueue,
    pub slots: VecDeque<Slot>,
    /// Number of the first slot.
    base: u64,
    /// The kernel may hold bytes that were not read yet.
    unread: bool,
    /// The end of the client's bytes is known to be in the kernel; it has been read. The client may still
    /// wait for answers.
    closed: bool,
    ended: bool,
    /// Since when the end of the client's bytes is known, at the earliest that it can have come.
    end_since: Option<Micros>,
    /// Somebody will look again when it has been known for long enough.
    end_told: bool,
    closing: Closing,
    /// Since when a command has been half there; since when answers have waited unread; last sign of life.
    writing_since: Option<Micros>,
    stalled_since: Option<Micros>,
    pub active: Micros,
    came: Micros,
    /// When it last gave a whole command.
    asked: Option<Micros>,
    /// It has one of the places for clients. Without one it is let in for a refusal.
    pub placed: bool,
    /// It is on the list of those to be served in this round.
    pub dirty: bool,
}

/// What came of reading from a client.
pub enum Input {
    Command(Command),
    Request(memcached::Request),
    Nothing,
    /// What comes can't be read on; the answer to what could still be told apart.
    DecodeError(&'static str, Option<(u8, u32, memcached::Status)>),
}

impl<S: Stream> Client<S> {
    /// `value_most`: longest value of a memcached client.
    pub fn new(
        stream: S,
        serial: u64,
        now: Micros,
        protocol: Protocol,
        value_most: usize,
    ) -> Client<S> {
        let reader = match protocol {
            Protocol::Resp => Reader::Resp(CommandReader::default()),
            Protocol::Memcached => Reader::Memcached(RequestReader::default(), value_most),
        };
        Client {
            stream,
            serial,
            buf: BytesMut::new(),
            reader,
            out: WriteQueue::default(),
            slots: VecDeque::new(),
            base: 0,
            unread: true,
            closed: false,
            ended: false,
            end_since: None,
            end_told: false,
            closing: Closing::No,
            writing_since: None,
            stalled_since: None,
            active: now,
            came: now,
            asked: None,
            placed: true,
            dirty: false,
        }
    }

    /// There is something to read; `closed` if the client has ended its sending behind it, at `since` at the earliest.
    pub fn readable(&mut self, closed: bool, since: Micros) {
        self.unread = true;
        if closed {
            self.ends(since);
        }
    }

    /// The end of the client's bytes is in the kernel, and has come at `since` at the earliest.
    pub fn ends(&mut self, since: Micros) {
        self.closed = true;
        self.end_since = Some(self.end_since.map_or(since, |known| known.min(since)));
    }

    /// Whether the end of the client's bytes has become known since this was asked last, and since when it stands.
    pub fn newly_ended(&mut self) -> Option<Micros> {
        let since = self.end_since.filter(|_| !self.end_told)?;
        self.end_told = true;
        Some(since)
    }

    /// Whether what has not been sent for this client is not to be sent any more: it has closed its connection, or has
    /// ended its sending and has been waited for long enough. Which of the two shows only when something is written to it.
    pub fn abandoned(&self, now: Micros) -> bool {
        self.end_since
            .is_some_and(|since| now - since >= HALF_CLOSED_MOST)
    }

    /// Its requests that have no answer yet.
    pub fn waiting(&self) -> Vec<usize> {
        let waits = |slot: &Slot| match slot {
            Slot::Waiting(request) => Some(*request),
            _ => None,
        };
        self.slots.iter().filter_map(waits).collect()
    }

    /// The next command. Nothing is taken while too much waits: what is not read holds the client back.
    pub fn next(&mut self, now: Micros, budget: &mut ByteBudget, scratch: &mut [u8]) -> Input {
        if let Closing::Lingering(_) = self.closing {
            self.drop_input(scratch);
            return Input::Nothing;
        }
        loop {
            // Behind a long value that has begun nothing is taken: if it breaks off, the connection must end, and what was
            // taken behind it could not be answered.
            let streams = matches!(self.slots.front(), Some(Slot::Stream { head: None, .. }));
            if self.closing != Closing::No
                || streams
                || self.slots.len() >= PIPELINE_MOST
                || self.out.len() > UNSENT_MOST
            {
                return Input::Nothing;
            }
            let input = match &mut self.reader {
                Reader::Resp(reader) => match reader.next(&mut self.buf, budget) {
                    Ok(command) => command.map(Input::Command),
                    Err(error) => return Input::DecodeError(error.message(), None),
                },
                Reader::Memcached(reader, most) => {
                    match reader.next(&mut self.buf, budget, *most) {
                        Ok(request) => request.map(Input::Request),
                        Err(error) => {
                            let response = error.response.map(|r| (r.opcode, r.opaque, r.status));
                            return Input::DecodeError(error.kind.message(), response);
                        }
                    }
                }
            };
            if let Some(input) = input {
                self.active = now;
                self.asked = Some(now);
                self.writing_since = None;
                return input;
            }
            if !self.unread {
                break;
            }
            match fill(&mut self.stream, &mut self.buf, scratch) {
                ReadOutcome::More => {}
                // A short read emptied the socket, but of an end behind it there is no second event.
                ReadOutcome::Some => self.unread = self.closed,
                ReadOutcome::Empty => {
                    self.unread = false;
                    break;
                }
                ReadOutcome::Ended | ReadOutcome::Broke => {
                    (self.unread, self.ended) = (false, true);
                    self.end_since.get_or_insert(now);
                    break;
                }
            }
        }
        if self.is_mid_message() {
            self.writing_since.get_or_insert(now);
        } else {
            // Idle connections hold no buffers.
            self.buf = BytesMut::new();
        }
        Input::Nothing
    }

    fn is_mid_message(&self) -> bool {
        let reading = match &self.reader {
            Reader::Resp(reader) => reader.is_mid_message(),
            Reader::Memcached(reader, _) => reader.is_mid_message(),
        };
        reading || !self.buf.is_empty()
    }

    /// What its unfinished command holds of the budget.
    pub fn reserved(&self) -> usize {
        match &self.reader {
            Reader::Resp(reader) => reader.reserved(),
            Reader::Memcached(reader, _) => reader.reserved(),
        }
    }

    pub fn protocol(&self) -> Protocol {
        match self.reader {
            Reader::Resp(_) => Protocol::Resp,
            Reader::Memcached(..) => Protocol::Memcached,
        }
    }

    /// Guards against both a client that has gone and one that has only ended its sending: the end of its
    /// bytes looks the same. Until a write shows that nobody is there, its requests are still owed answers.
    pub fn gone(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)) | Err(_))
    }

    /// A new slot's number.
    pub fn push(&mut self, slot: Slot) -> u64 {
        self.slots.push_back(slot);
        self.base + self.slots.len() as u64 - 1
    }

    pub fn slot(&mut self, number: u64) -> Option<&mut Slot> {
        self.slots
            .get_mut(usize::try_from(number.checked_sub(self.base)?).ok()?)
    }

    /// Moves answers that are next in order on their way out.
    pub fn advance(&mut self) {
        while let Some(Slot::ReadyEvent(chunks)) = self.slots.front_mut() {
            std::mem::take(chunks)
                .into_iter()
                .for_each(|chunk| self.out.push(chunk));
            self.pop();
        }
    }

    pub fn pop(&mut self) {
        self.slots.pop_front();
        self.base += 1;
    }

    /// Writes; an error means that the client has gone.
    pub fn flush(&mut self, now: Micros) -> std::io::Result<()> {
        let written = self.out.flush(&mut self.stream)?;
        if self.out.is_empty() {
            self.stalled_since = None;
        } else if written > 0 || self.stalled_since.is_none() {
            self.stalled_since = Some(now);
        }
        if written > 0 {
            self.active = now;
        }
        Ok(())
    }

    /// Ends the connection once its answers are out.
    pub fn close_after_answers(&mut self) {
        if self.closing == Closing::No {
            self.closing = Closing::AfterAnswers;
        }
    }

    /// Ends the connection behind what is on its way out already: what could not be answered on it any more.
    pub fn cut(&mut self) -> VecDeque<Slot> {
        self.base += self.slots.len() as u64;
        self.close_after_answers();
        std::mem::take(&mut self.slots)
    }

    /// Nothing is owed to it, and it has not begun a command that this node has seen.
    pub fn idle(&self) -> bool {
        self.closing == Closing::No && !self.ended && self.settled() && !self.is_mid_message()
    }

    /// Nothing is owed to it, and nothing of it waits in the kernel either. Guards against ending a connection
    /// on which the next command has come already.
    pub fn quiet(&self) -> bool {
        self.idle() && self.stream.quiet()
    }

    /// Since when a command has been half there, unless the connection is ending.
    pub fn half_since(&self) -> Option<Micros> {
        self.writing_since
            .filter(|_| self.closing == Closing::No && !self.ended)
    }

    /// When it was accepted, and when it last gave a whole command.
    pub fn times(&self) -> (Micros, Option<Micros>) {
        (self.came, self.asked)
    }

    /// Commands whose answers have not left whole.
    pub fn owed(&self) -> usize {
        // A long value that is under way keeps its place until it has gone.
        let under_way = matches!(self.slots.front(), Some(Slot::Stream { head: None, .. }));
        self.slots.len() + usize::from(!self.out.is_empty() && !under_way)
    }

    fn settled(&self) -> bool {
        self.slots.is_empty() && self.out.is_empty()
    }

    /// Goes on with an ending that has begun; true when the connection can be dropped.
    pub fn finish(&mut self, now: Micros) -> bool {
        match self.closing {
            Closing::Lingering(until) => self.ended || now >= until,
            _ if !self.settled() => false,
            _ if self.ended => true,
            Closing::No => false,
            Closing::AfterAnswers => {
                if self.stream.end().is_err() {
                    return true;
                }
                (self.closing, self.unread) = (Closing::Lingering(now + LINGER), true);
                false
            }
        }
    }

    fn drop_input(&mut self, scratch: &mut [u8]) {
        while self.unread {
            match fill(&mut self.stream, &mut self.buf, scratch) {
                ReadOutcome::More | ReadOutcome::Some => self.buf.clear(),
                ReadOutcome::Empty => self.unread = false,
                ReadOutcome::Ended | ReadOutcome::Broke => {
                    (self.unread, self.ended) = (false, true)
                }
            }
        }
    }

    /// Reads nothing of what it is owed, or has said nothing since it came.
    ///
    /// Guards against clients that connect by hundreds and say nothing: they would hold descriptors until
    /// these run short, and usual clients would be turned out with them.
    /// One whose command waits in the kernel, unread as yet, has said something.
    pub fn stalled(&self, now: Micros) -> bool {
        let silent = self.asked.is_none() && now - self.active >= SILENT_MOST && self.quiet();
        silent
            || self
                .stalled_since
                .is_some_and(|since| now - since >= READING_MOST)
    }

    /// It has taken far too long to write a command, and nothing more of it waits in the kernel.
    pub fn unfinished(&self, now: Micros) -> bool {
        let long = self
            .writing_since
            .is_some_and(|since| now - since >= WRITING_MOST);
        self.closing == Closing::No && long && self.stream.quiet()
    }

    pub fn lingering(&self) -> bool {
        matches!(self.closing, Closing::Lingering(_))
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
