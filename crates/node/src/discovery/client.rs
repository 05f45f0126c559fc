//! The client of the discovery service: requests the full endpoint list, and watches it for changes, over HTTP/1.1.
//!
//! The first watch starts with the process, because the list in the configuration may be old and may lack a change that was
//! announced long ago. A watch is a series of long-poll requests. The next request follows each response at once, since a
//! gap of over 200 ms would start a new watch. A failed request is reported, and followed by another one after the delay
//! that the schedule gives.
//!
//! A lost watch request looks like one without changes: no response arrives. After a start, a move of discovery or a
//! failure, the node may have missed a change, which counts as announced a bounded time after discovery had it. Therefore
//! the requests that follow have short waits, so that a missing response is noticed soon, until one is answered
//! (`WatchStage`).
//!
//! Guarantees: at most one request is in flight; each has a timeout, and the length of its response is bounded. A truncated
//! response is never applied as an endpoint list. Of a list that is older than the known one, only the drains are applied,
//! unless discovery has restarted its numbering. A failed request is followed by another one within the longest retry delay
//! of the schedule.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sloewick_codec::http1;
use sloewick_decision::api::{Micros, ServerState};

use crate::discovery::endpoints::{parse_endpoint_list_text, EndpointList};
use crate::discovery::list_replica::{ListRelation, RevisionSequence};
use crate::discovery::request::{
    DiscoveryError, DiscoveryRequest, Failures, PendingRequest, RequestFailure,
};
use crate::discovery::schedule::{connect_timeout, response_timeout, PollSchedule, WatchStage};
use crate::timers::{TimerEvent, Timers};
use crate::transport::{read_into, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue};

/// Delay of the next request after a request that was answered within this time without a change, which prevents a busy
/// loop. The first delay is below the 200 ms within which a watch continues; it doubles with each further such response.
const WATCH_BACKOFF: Micros = 100_000;
const MAX_WATCH_BACKOFF_DOUBLINGS: u32 = 3;

/// Longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = http1::MAX_HEAD_BYTES + http1::MAX_BODY_BYTES;
/// A response may take one part in this many of the memory of the process.
const RESPONSE_MEMORY_DIVISOR: usize = 16;

/// Longest response that a process with this many bytes of memory reads, in bytes.
pub(crate) fn max_response_bytes(memory: usize) -> usize {
    MAX_RESPONSE_BYTES.min(memory / RESPONSE_MEMORY_DIVISOR)
}

/// The start or the result of a request to discovery.
pub(crate) enum DiscoveryEvent {
    /// A request has been started, other than one that continues a watch whose last request was answered.
    Requested(DiscoveryRequest),
    /// The full endpoint list, or the entries that have changed, possibly none.
    List {
        list: EndpointList,
        relation: ListRelation,
    },
    Failed(RequestFailure),
}

/// Sends requests to discovery, one at a time, and reads the responses.
pub(crate) struct DiscoveryClient<S> {
    address: SocketAddr,
    token: Token,
    /// Revision of the known list; None if discovery has moved since.
    revision: Option<i64>,
    watching: bool,
    requires_full_list: bool,
    stage: WatchStage,
    /// A response was older than the known list: the next request is for the full list, which is accepted even if it is
    /// older.
    is_revision_suspect: bool,
    /// The next request starts no earlier than this.
    next_request_at: Micros,
    failures: Failures,
    /// Number of successive responses that arrived within [`WATCH_BACKOFF`] without a change.
    immediate_empty_responses: u32,
    schedule: PollSchedule,
    pending: Option<PendingRequest<S>>,
    /// Longest response that is read, in bytes.
    max_response_bytes: usize,
    /// Serial number of the last request or timer.
    serial: u64,
}

impl<S: Stream> DiscoveryClient<S> {
    /// Creates a client that starts with a watch. `revision`: that of the list in the configuration.
    pub(crate) fn new(
        address: SocketAddr,
        token: Token,
        revision: i64,
        schedule: PollSchedule,
    ) -> DiscoveryClient<S> {
        DiscoveryClient {
            address,
            token,
            revision: Some(revision),
            watching: true,
            requires_full_list: false,
            stage: WatchStage::Started,
            is_revision_suspect: false,
            next_request_at: 0,
            failures: Failures::default(),
            immediate_empty_responses: 0,
            schedule,
            pending: None,
            max_response_bytes: MAX_RESPONSE_BYTES,
            serial: 0,
        }
    }

    /// Limits the response to a fraction of this many bytes of memory.
    pub(crate) fn limit_memory(&mut self, memory: usize) {
        self.max_response_bytes = max_response_bytes(memory);
    }

    /// Continues from a list that another process of the node has got. If it is one of another service, its revision means nothing
    /// here.
    pub(crate) fn continue_from(&mut self, sequence: RevisionSequence, revision: i64) {
        if sequence.service == self.address {
            self.revision = Some(revision);
        }
    }

    /// Starts from a list that another process of the node has got, before the first request.
    pub(crate) fn start_from(&mut self, sequence: RevisionSequence, revision: i64) {
        self.revision = None;
        self.continue_from(sequence, revision);
    }

    /// Requests the full list once, after the request in flight.
    pub(crate) fn confirm_list(&mut self) {
        self.requires_full_list = true;
    }

    /// Bytes of memory that the response in progress holds: the bytes read, and as many again when its body is taken from them.
    pub(crate) fn memory_used(&self) -> usize {
        let pending = self.pending.as_ref();
        2 * pending.map_or(0, |pending| pending.read_buffer.capacity())
    }

    /// Starts or ends the watch, as the decision module requests. A pushed list is always watched.
    pub(crate) fn set_watching(&mut self, on: bool) {
        self.watching = on || self.schedule.is_pushed;
        if !self.watching {
            self.cancel_watch();
        }
    }

    /// Requests the full list once. A watch request in flight is cancelled, and the watch continues afterwards.
    pub(crate) fn request_full_list(&mut self) {
        self.requires_full_list = true;
        self.cancel_watch();
    }

    fn cancel_watch(&mut self) {
        self.pending.take_if(|p| p.request.is_watch());
    }

    /// Handles a move of discovery to another address. The revisions there may be numbered differently, so that the known
    /// one is meaningless: the full list is requested at once, and the watch continues after it.
    pub(crate) fn change_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.revision = None;
            self.stage = WatchStage::Recovering;
            self.next_request_at = 0;
            self.failures = Failures::default();
            self.pending = None;
            self.requires_full_list = true;
        }
    }

    /// Starts the next request, unless one is in flight, a delay is running or no request is needed.
    pub(crate) fn start_request(
        &mut self,
        net: &mut impl Transport<Stream = S>,
        timers: &mut Timers,
    ) -> Option<DiscoveryEvent> {
        let now = net.now();
        let is_needed = self.watching || self.requires_full_list;
        if self.pending.is_some() || now < self.next_request_at || !is_needed {
            return None;
        }
        let request = self.next_request();
        let timeout = self.schedule.timeout(request, self.failures);
        let timeout_at = now + connect_timeout(timeout);
        self.serial += 1;
        let serial = self.serial;
        let Ok(stream) = net.connect(self.address, self.token) else {
            return Some(self.fail(DiscoveryError::ConnectFailed, now, timers));
        };
        let mut write_queue = WriteQueue::default();
        let (host, path) = (self.address, request.path());
        write_queue.push(Bytes::from(format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n"
        )));
        timers.set(timeout_at, TimerEvent::Discovery { serial });
        self.pending = Some(PendingRequest {
            stream,
            request,
            write_queue,
            read_buffer: BytesMut::new(),
            serial,
            started: now,
            is_connected: false,
            timeout_at,
            response_timeout_at: now + timeout,
        });
        let starts_watch = matches!(self.stage, WatchStage::Started | WatchStage::Recovering);
        let continues_watch = request.is_watch() && !starts_watch;
        (!continues_watch).then_some(DiscoveryEvent::Requested(request))
    }

    fn next_request(&self) -> DiscoveryRequest {
        let accepts_changes = !self.requires_full_list && !self.is_revision_suspect;
        match self.revision.filter(|_| accepts_changes) {
            Some(since) => DiscoveryRequest::Watch {
                since,
                wait: self.schedule.watch_wait(self.stage),
            },
            None => DiscoveryRequest::FullList,
        }
    }

    /// Handles an expired timer. Fails the request in flight if `serial` is its number and its timeout has passed.
    pub(crate) fn timer_expired(
        &mut self,
        serial: u64,
        now: Micros,
        timers: &mut Timers,
    ) -> Option<DiscoveryEvent> {
        let has_timed_out = |p: &PendingRequest<S>| p.serial == serial && now >= p.timeout_at;
        let pending = self.pending.as_ref().filter(|p| has_timed_out(p))?;
        let error = if pending.is_connected {
            DiscoveryError::Timeout
        } else {
            DiscoveryError::ConnectTimeout
        };
        Some(self.fail(error, now, timers))
    }

    /// Handles a readiness event of the request's socket.
    pub(crate) fn ready(
        &mut self,
        event: &ReadyEvent,
        now: Micros,
        scratch: &mut [u8],
        timers: &mut Timers,
    ) -> Option<DiscoveryEvent> {
        let pending = self.pending.as_mut()?;
        let mut has_failed = matches!(pending.stream.take_error(), Ok(Some(_)) | Err(_));
        if !has_failed && event.writable && !pending.write_queue.is_empty() {
            match pending.stream.check_connected() {
                Err(e) if e.kind() == ErrorKind::NotConnected => return None,
                _ => has_failed = pending.write_queue.flush(&mut pending.stream).is_err(),
            }
            pending.connected(timers);
        }
        let mut input_ended = false;
        let was_empty = pending.read_buffer.is_empty();
        loop {
            match read_into(&mut pending.stream, &mut pending.read_buffer, scratch) {
                ReadOutcome::Closed => input_ended = true,
                ReadOutcome::Failed => has_failed = true,
                ReadOutcome::Empty => {}
                _ if pending.read_buffer.len() > self.max_response_bytes => {
                    return Some(self.fail(DiscoveryError::ResponseTooLong, now, timers));
                }
                ReadOutcome::More => continue,
            }
            break;
        }
        // Guards against a truncated list: a reset does not mark the end of a response, so that after one only a response
        // that states its own end can be complete.
        match http1::response_body(&pending.read_buffer, input_ended && !has_failed) {
            Ok(None) if has_failed => Some(self.fail(DiscoveryError::ConnectionLost, now, timers)),
            Ok(None) => {
                if was_empty && !pending.read_buffer.is_empty() {
                    self.response_started(now, timers);
                }
                None
            }
            Ok(Some(body)) => Some(self.handle_response(&body, now, timers)),
            Err(error) => Some(self.fail(DiscoveryError::Http(error), now, timers)),
        }
    }

    /// Sets the timeout of the response, whose first bytes have arrived. It replaces that of the request, which includes
    /// the wait.
    fn response_started(&mut self, now: Micros, timers: &mut Timers) {
        if let Some(pending) = &mut self.pending {
            pending.timeout_at = now + response_timeout(self.failures);
            let serial = pending.serial;
            timers.set(pending.timeout_at, TimerEvent::Discovery { serial });
        }
    }

    /// Handles the complete body of a response.
    fn handle_response(&mut self, body: &[u8], now: Micros, timers: &mut Timers) -> DiscoveryEvent {
        let Ok(list) = parse_endpoint_list_text(body) else {
            return self.fail(DiscoveryError::InvalidList, now, timers);
        };
        let Some(pending) = self.pending.take() else {
            return self.fail(DiscoveryError::NoPendingRequest, now, timers);
        };
        if !pending.request.is_watch() && !list.all {
            return self.fail(DiscoveryError::PartialList, now, timers);
        }
        let is_older = self.revision.is_some_and(|known| list.rev < known);
        if is_older && !(list.all && self.is_revision_suspect) {
            return self.accept_drains_of_older_list(list, now, timers);
        }
        let relation = match self.revision {
            Some(_) if !is_older => ListRelation::Next,
            _ => ListRelation::NewSequence {
                service: self.address,
            },
        };
        self.is_revision_suspect = false;
        self.failures = Failures::default();
        let is_newer = self.revision.is_none_or(|known| list.rev > known);
        self.revision = Some(list.rev);
        self.requires_full_list &= !list.all;
        let brings_change = is_newer && !list.targets.is_empty();
        self.stage = self.stage.after_response(brings_change);
        if brings_change || now - pending.started >= WATCH_BACKOFF {
            self.immediate_empty_responses = 0;
        } else {
            let doublings = self
                .immediate_empty_responses
                .min(MAX_WATCH_BACKOFF_DOUBLINGS);
            self.immediate_empty_responses = self.immediate_empty_responses.saturating_add(1);
            self.delay_request(now + (WATCH_BACKOFF << doublings), timers);
        }
        DiscoveryEvent::List { list, relation }
    }

    /// Handles a list that is older than the known one. Applying it would bring back servers that were removed, so only its
    /// entries of draining and removed servers are applied, since it is safe to send a server no requests in any case.
    ///
    /// The full list is requested next. If it is older too, discovery has restarted its numbering, and that list is
    /// applied.
    fn accept_drains_of_older_list(
        &mut self,
        list: EndpointList,
        now: Micros,
        timers: &mut Timers,
    ) -> DiscoveryEvent {
        self.is_revision_suspect = true;
        self.stage = WatchStage::Recovering;
        self.requires_full_list = true;
        self.delay_request(now + self.schedule.retry_pause, timers);
        let not_live = list
            .targets
            .into_iter()
            .filter(|target| target.entry.state != ServerState::Live);
        DiscoveryEvent::List {
            list: EndpointList {
                rev: list.rev,
                all: false,
                targets: not_live.collect(),
            },
            relation: ListRelation::OlderEntries,
        }
    }

    /// Ends the request with an error, and sets the time of the next one.
    fn fail(&mut self, error: DiscoveryError, now: Micros, timers: &mut Timers) -> DiscoveryEvent {
        let started = self.pending.take().map_or(now, |pending| pending.started);
        self.stage = WatchStage::Recovering;
        self.failures.count(&error);
        let delay = self.schedule.retry_delay(&error, self.failures);
        self.delay_request(now + delay, timers);
        DiscoveryEvent::Failed(RequestFailure {
            error,
            duration: now - started,
        })
    }

    /// Delays the next request until `until`, and sets a timer that makes the event loop start it then.
    fn delay_request(&mut self, until: Micros, timers: &mut Timers) {
        self.next_request_at = until;
        self.serial += 1;
        let serial = self.serial;
        timers.set(until, TimerEvent::Discovery { serial });
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod fleet_tests;
