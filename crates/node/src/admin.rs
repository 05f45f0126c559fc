//! The operators' calls over HTTP/1.1 (RFC 9112): one call on a connection, which ends with its answer.
//!
//! Guaranteed: at most [`CALLERS`] connections, each for a bounded time and with a bounded buffer; a caller
//! that does not finish its call never keeps another one waiting.

use bytes::{Bytes, BytesMut};
use slab::Slab;
use sloewick_codec::http1::{self, RequestError};
use sloewick_decision::api::Micros;

use crate::transport::{fill, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue};

/// Callers at a time; one more takes the place of the one that has been there longest without a whole call.
pub const CALLERS: usize = 16;
/// Time for a call, and for reading its answer.
const CALL_MOST: Micros = 3_000_000;
const READING_MOST: Micros = 1_000_000;
/// Reads from one caller for one event; each brings up to [`crate::transport::READ_MOST`] bytes.
const READS_MOST: usize = 8;

/// What operators may ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    ReadyEvent,
    Telemetry,
    Evacuate,
    Rejoin,
}

const CALLS: [(&str, &str, Call); 4] = [
    ("GET", "/api/ready", Call::ReadyEvent),
    ("GET", "/api/telemetry", Call::Telemetry),
    ("POST", "/api/evacuate", Call::Evacuate),
    ("POST", "/api/rejoin", Call::Rejoin),
];

struct Caller<S> {
    stream: S,
    buf: BytesMut,
    out: WriteQueue,
    came: Micros,
    /// Answered then; from then on what comes is read and thrown away.
    answered: Option<Micros>,
    ending: bool,
}

/// The operators' listener and those who call.
pub struct Ops<N: Transport> {
    listener: N::Listener,
    more: bool,
    callers: Slab<Caller<N::Stream>>,
    token: fn(usize) -> Token,
}

/// An answer's status and its text.
pub type Answer = (u16, String);

impl<N: Transport> Ops<N> {
    pub fn new(listener: N::Listener, token: fn(usize) -> Token) -> Ops<N> {
        Ops {
            listener,
            more: true,
            callers: Slab::new(),
            token,
        }
    }

    /// Connections wait on the listener.
    pub fn waiting(&mut self) {
        self.more = true;
    }

    /// Takes in the callers that wait.
    pub fn accept(&mut self, net: &mut N, now: Micros) {
        let mut taken = 0;
        while self.more && taken < CALLERS {
            taken += 1;
            if self.callers.len() >= CALLERS {
                let oldest = self
                    .callers
                    .iter()
                    .min_by_key(|(_, c)| (c.answered.is_none(), c.came));
                let Some(key) = oldest.map(|(key, _)| key) else {
                    return;
                };
                self.callers.remove(key);
            }
            match net.accept(&mut self.listener, (self.token)(self.callers.vacant_key())) {
                Ok(stream) => {
                    self.callers.insert(Caller {
                        stream,
                        buf: BytesMut::new(),
                        out: WriteQueue::default(),
                        came: now,
                        answered: None,
                        ending: false,
                    });
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => self.more = false,
                // A lack of descriptors, or the caller has gone: asked again in the next round.
                Err(_) => return,
            }
        }
    }

    /// Something happened on a caller's connection: `answer` is asked for what a whole call gets.
    pub fn ready(
        &mut self,
        key: usize,
        event: &ReadyEvent,
        now: Micros,
        scratch: &mut [u8],
        answer: impl FnOnce(Call) -> Answer,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let mut ended = event.error;
        // Guards against a caller that writes without end: what is beyond this is left in the kernel, where it
        // holds up nobody, until the caller's time is over.
        for _ in 0..READS_MOST {
            match fill(&mut caller.stream, &mut caller.buf, scratch) {
                ReadOutcome::Ended | ReadOutcome::Broke => ended = true,
                ReadOutcome::Empty => {}
                _ if caller.answered.is_some() => {
                    caller.buf.clear();
                    continue;
                }
                _ if caller.buf.len() > http1::MAX_HEAD => {}
                _ => continue,
            }
            break;
        }
        if caller.answered.is_none() {
            let (status, text) = match http1::request_head(&caller.buf, ended) {
                Ok(None) => return,
                Ok(Some(head)) => match find(&head.method, &head.path) {
                    Ok(call) => answer(call),
                    Err(refused) => refused,
                },
                Err(RequestError::Unreadable) => (400, "this is no HTTP/1.1 request\n".to_string()),
                Err(RequestError::TooLong) => (
                    431,
                    format!("a head has {} bytes at most\n", http1::MAX_HEAD),
                ),
            };
            caller.answer(status, &text, now);
        }
        if caller.go_on(ended) {
            self.callers.remove(key);
        }
    }

    /// Ends what has taken too long.
    pub fn sweep(&mut self, now: Micros) {
        self.callers.retain(|_, caller| match caller.answered {
            Some(at) => now - at < READING_MOST,
            None => now - caller.came < CALL_MOST,
        });
    }
}

fn find(method: &str, path: &str) -> Result<Call, Answer> {
    let path = path.split('?').next().unwrap_or(path);
    let known = CALLS.iter().find(|(_, p, _)| *p == path);
    let Some((wanted, _, call)) = known else {
        let all: Vec<&str> = CALLS.iter().map(|(_, p, _)| *p).collect();
        return Err((404, format!("no such call; there are {}\n", all.join(", "))));
    };
    if method != *wanted {
        return Err((405, format!("{path} is called by {wanted}\n")));
    }
    Ok(*call)
}

impl<S: Stream> Caller<S> {
    fn answer(&mut self, status: u16, text: &str, now: Micros) {
        self.answered = Some(now);
        self.buf.clear();
        self.out
            .push(Bytes::from(http1::text_response(status, text)));
    }

    /// Writes on; true when the connection is done with.
    fn go_on(&mut self, ended: bool) -> bool {
        if self.out.flush(&mut self.stream).is_err() {
            return true;
        }
        if self.out.is_empty() && !self.ending {
            // Closing with unread input would send a reset, which can destroy the answer under way.
            self.ending = true;
            return self.stream.end().is_err() || ended;
        }
        ended && self.out.is_empty()
    }
}
