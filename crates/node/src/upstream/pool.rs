//! Pools of connections to cache servers, one for each server.
//!
//! Guarantees: at most [`MAX_CONNECTIONS_PER_SERVER`] connections to a server and `max_connections` in total. A connection
//! is reused only if its address and protocol are those of the server's current entry in the endpoint list, and not when
//! the server may be about to close it, nor while a second response to its last request may arrive: if no connection can be added,
//! it is reserved, and the next request is written on it when that time is over. The results of exchanges are queued as [`UpstreamEvent`]s in `events`, from which
//! the event loop takes them.

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

use slab::Slab;
use sloewick_decision::api::{ConnectionChange, Micros, ServerId, Status};
use thiserror::Error;

use crate::event_trace::ConnectionStep;
use crate::frontend::response::Protocol;
use crate::memory::MemoryAccount;
use crate::timers::{TimerEvent, Timers};
use crate::tokens::upstream_token;
use crate::transport::{is_descriptor_limit, Stream, Transport, WriteQueue};
use crate::upstream::connection::{Destination, EncodedRequest, Exchange, UpstreamConnection};
use crate::upstream::memory::AwaitingMemory;
use crate::upstream::response_reader::ServerReply;

/// Bounds the connections to one server, since no setting states how many a server accepts from all nodes together. If one
/// node has this many requests in flight at a server, the server is full or hanging, and further requests would only wait
/// there.
pub(super) const MAX_CONNECTIONS_PER_SERVER: usize = 64;
/// The percentage of the server's idle timeout after which a connection is no longer reused. The server's timer started
/// earlier than this node's, and a request that is sent while the server closes the connection is reset.
const IDLE_TIMEOUT_PERCENT: i64 = 80;
/// Timeout of a probe request; a server that answers probes at all answers at once. No setting states how long servers take
/// for one, and the decision module sends them only to a lost zone.
pub(super) const PROBE_TIMEOUT: Micros = 250_000;

/// Longest request, in bytes, that a server reads at once. A longer one may be read in pieces, over seconds.
const MAX_SHORT_REQUEST_BYTES: usize = 4 << 10;

/// A violation of the protocol by a server. The text is written to the log.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ProtocolError {
    #[error("unsolicited response")]
    Unsolicited,
    #[error("response before its request was written")]
    PrematureResponse,
    #[error("response to another request")]
    TagMismatch,
    #[error("value bytes outside a value")]
    UnexpectedValue,
    #[error("malformed response")]
    MalformedReply,
    #[error("malformed value")]
    MalformedValue,
    #[error("response of an unexpected type, or to another request")]
    UnexpectedResponse,
}

/// The progress or the end of an exchange, or a protocol violation.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    /// The exchange has ended with this response.
    Reply(Exchange, ServerReply),
    /// The exchange has ended without a response.
    Ended(Exchange, Status),
    /// The connection that was reserved for the exchange has ended. Nothing of its request has been written.
    Unwritten(Exchange),
    /// A long value of `len` bytes starts.
    ValueStarted {
        exchange: Exchange,
        connection: usize,
        len: usize,
    },
    /// More of a long value can be read with [`UpstreamPools::read_value`].
    ValueAvailable(Exchange),
    /// The last connection to the server has ended, or the first one after that is opened.
    ConnectionsChanged(ServerId, ConnectionChange),
    /// The server has violated its protocol. The event loop writes this to the log.
    ProtocolError(ServerId, ProtocolError),
}

/// The connections to one server.
pub(super) struct Pool {
    pub(super) address: SocketAddr,
    pub(super) protocol: Protocol,
    /// The server is in the endpoint list.
    pub(super) listed: bool,
    /// Keys of the idle connections, longest idle first. The most recently used one is reused first, so that the others
    /// reach the idle timeout and are closed.
    pub(super) idle: Vec<usize>,
    /// Number of connections, idle or in use.
    pub(super) open_count: usize,
    /// Whether no connection has been open since the last one ended.
    pub(super) has_lost_all: bool,
    /// The highest [`UpstreamConnection::write_number`] of an attempt that the server has answered.
    pub(super) last_answered_write: u64,
    /// When the server last answered.
    pub(super) last_answer: Option<Micros>,
}

/// All connections to cache servers.
pub(crate) struct UpstreamPools<S> {
    pub(super) connections: Slab<UpstreamConnection<S>>,
    /// Ordered by server, so that the choice of the connection that is closed for a new one is deterministic.
    pub(super) pools: BTreeMap<ServerId, Pool>,
    pub(super) max_connections: usize,
    /// Serial number of the connection that was opened last.
    serial: u64,
    /// How long a connection may be idle before it is closed.
    pub(super) max_idle: Micros,
    connect_timeout: Micros,
    pub(crate) events: VecDeque<UpstreamEvent>,
    /// Key and serial number of connections that were established for an attempt and await its confirmation.
    pub(super) established: VecDeque<(usize, u64)>,
    /// Number of attempts written completely since the process started.
    pub(crate) attempts_written: u64,
    /// Connection steps for the event trace; None if the trace is off. The event loop empties it in each round.
    pub(crate) connection_steps: Option<Vec<(ServerId, ConnectionStep)>>,
    /// The connections whose responses wait for memory.
    pub(super) awaiting_memory: Vec<AwaitingMemory>,
    /// Bytes of memory that the connections hold.
    pub(super) memory_used: usize,
    /// Bytes that are charged for them.
    pub(super) charged: usize,
}

/// The parts of the node that [`UpstreamPools`] uses in a call: the time, the transport, the timers, a read buffer and the account
/// of memory.
pub(crate) struct UpstreamContext<'a, N> {
    pub(crate) now: Micros,
    pub(crate) net: &'a mut N,
    pub(crate) timers: &'a mut Timers,
    pub(crate) scratch: &'a mut [u8],
    pub(crate) memory: &'a mut MemoryAccount,
    /// Bytes that the client holds whose response is read.
    pub(crate) client_memory: usize,
    /// Most bytes of a streamed value that are read now.
    pub(crate) max_read: usize,
}

impl<S: Stream> UpstreamPools<S> {
    /// Creates the pools without servers. `server_idle_timeout`: time after which servers close idle connections. `traced`:
    /// whether connection steps are collected for the event trace.
    pub(crate) fn new(
        max_connections: usize,
        server_idle_timeout: Micros,
        connect_timeout: Micros,
        traced: bool,
    ) -> UpstreamPools<S> {
        UpstreamPools {
            connections: Slab::new(),
            pools: BTreeMap::new(),
            max_connections,
            serial: 0,
            max_idle: server_idle_timeout * IDLE_TIMEOUT_PERCENT / 100,
            connect_timeout,
            events: VecDeque::new(),
            established: VecDeque::new(),
            attempts_written: 0,
            connection_steps: traced.then(Vec::new),
            awaiting_memory: Vec::new(),
            memory_used: 0,
            charged: 0,
        }
    }

    /// Starts an exchange on an idle connection or a new one, and returns the key of the connection.
    ///
    /// # Errors
    /// Returns the status of the exchange if no connection could be used. The request has not been executed then.
    pub(crate) fn start(
        &mut self,
        exchange: Exchange,
        server: &ServerId,
        request: &EncodedRequest,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> Result<usize, Status> {
        while let Some(connection) = self.take_idle(server, context.now) {
            if self.try_reuse(connection, exchange, request, context) {
                return Ok(connection);
            }
        }
        match self.open(server, context) {
            Ok(connection) => {
                self.assign(connection, exchange, request, context);
                Ok(connection)
            }
            Err(Status::NotSent) => self.start_at_limit(exchange, server, request, context),
            Err(status) => Err(status),
        }
    }

    /// Takes the most recently used idle connection that is not quarantined out of the server's pool.
    fn take_idle(&mut self, server: &ServerId, now: Micros) -> Option<usize> {
        let connections = &self.connections;
        let pool = self.pools.get_mut(server)?;
        let index = pool
            .idle
            .iter()
            .rposition(|key| !connections[*key].is_quarantined(now))?;
        Some(pool.idle.remove(index))
    }

    /// Starts an exchange on an idle connection. Returns false if the connection was stale and had to be closed, which does
    /// not count as a failure of the server.
    fn try_reuse(
        &mut self,
        connection: usize,
        exchange: Exchange,
        request: &EncodedRequest,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> bool {
        let reused = self.is_reusable(connection, context.now)
            && self.assign(connection, exchange, request, context);
        if !reused {
            self.connections[connection].exchange = None;
            self.close(connection, ConnectionStep::Broken);
        }
        reused
    }

    pub(super) fn is_reusable(&self, connection: usize, now: Micros) -> bool {
        let c = &self.connections[connection];
        now - c.idle_since < self.max_idle && (c.connecting || c.stream.has_no_input())
    }

    fn open(
        &mut self,
        server: &ServerId,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> Result<usize, Status> {
        let pool = self.pools.get(server).ok_or(Status::NotSent)?;
        let to = Destination {
            server: server.clone(),
            address: pool.address,
            protocol: pool.protocol,
        };
        let is_server_full = pool.open_count >= MAX_CONNECTIONS_PER_SERVER;
        if is_server_full && !self.end_waiting_response(Some(server)) {
            return Err(Status::NotSent);
        }
        let is_full = self.connections.len() >= self.max_connections;
        if is_full && !self.close_longest_idle() && !self.end_waiting_response(None) {
            return Err(Status::NotSent);
        }
        let stream = self.connect(to.address, context.net)?;
        self.serial += 1;
        let serial = self.serial;
        let connection =
            self.connections
                .insert(UpstreamConnection::new(stream, to, serial, context.now));
        if let Some(pool) = self.pools.get_mut(server) {
            pool.open_count += 1;
            if std::mem::take(&mut pool.has_lost_all) {
                let change = ConnectionChange::Resumed;
                let resumed = UpstreamEvent::ConnectionsChanged(server.clone(), change);
                self.events.push_back(resumed);
            }
        }
        self.update_memory(connection);
        self.record_step(connection, ConnectionStep::Opening);
        context.timers.set(
            context.now + self.connect_timeout,
            TimerEvent::Upstream { connection, serial },
        );
        Ok(connection)
    }

    fn connect(
        &mut self,
        address: SocketAddr,
        net: &mut impl Transport<Stream = S>,
    ) -> Result<S, Status> {
        let mut opened = net.connect(address, upstream_token(self.connections.vacant_key()));
        if opened.as_ref().is_err_and(is_descriptor_limit) && self.close_longest_idle() {
            opened = net.connect(address, upstream_token(self.connections.vacant_key()));
        }
        opened.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => Status::ConnectFailed,
            _ => Status::NotSent,
        })
    }

    /// Starts an exchange on a connection, and writes its request unless the connection is still being opened. Returns
    /// false if the write fails.
    fn assign(
        &mut self,
        connection: usize,
        exchange: Exchange,
        request: &EncodedRequest,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> bool {
        let c = &mut self.connections[connection];
        c.exchange = Some(exchange);
        c.exchange_started = context.now;
        c.queue(request);
        let serial = c.serial;
        if let Exchange::Probe { .. } = exchange {
            context.timers.set(
                context.now + PROBE_TIMEOUT,
                TimerEvent::Upstream { connection, serial },
            );
        }
        c.send_count_pending = matches!(exchange, Exchange::Attempt(_));
        let is_usable = c.connecting || c.write_queue.flush(&mut c.stream).is_ok();
        self.count_if_written(connection);
        is_usable
    }

    /// Adds the connection's attempt to the number of sends once it is written completely.
    pub(super) fn count_if_written(&mut self, connection: usize) {
        let c = &mut self.connections[connection];
        if c.send_count_pending && c.exchange.is_some() && c.is_written() {
            c.send_count_pending = false;
            self.attempts_written += 1;
            c.write_number = self.attempts_written;
        }
    }

    /// Records that the server of a connection answers the request in progress.
    pub(super) fn record_answer(&mut self, connection: usize, now: Micros) {
        let c = &self.connections[connection];
        if let Some(pool) = self.pools.get_mut(&c.server) {
            pool.last_answer = Some(now);
            pool.last_answered_write = pool.last_answered_write.max(c.write_number);
        }
    }

    /// Whether the program of the server has certainly read the request in progress on a connection: the kernel has accepted it,
    /// it is too short to be read in pieces, and the server has answered an attempt that was written after it.
    pub(crate) fn has_received(&self, connection: usize) -> bool {
        let Some(c) = self.connections.get(connection) else {
            return false;
        };
        let pool = self.pools.get(&c.server);
        c.is_written()
            && c.request_len <= MAX_SHORT_REQUEST_BYTES
            && pool.is_some_and(|pool| pool.last_answered_write > c.write_number)
    }

    /// Whether the kernel has accepted the request in progress on a connection completely.
    pub(crate) fn is_written(&self, connection: usize) -> bool {
        self.connections
            .get(connection)
            .is_some_and(UpstreamConnection::is_written)
    }

    /// Abandons the exchange of a connection. Returns whether the server may have executed the request.
    ///
    /// The connection is closed, unless nothing of the request has been written. If the request is a write, the connection is
    /// reset, so that bytes that its server does not have yet never reach it.
    pub(crate) fn abandon(&mut self, connection: usize, now: Micros) -> bool {
        let Some(c) = self.connections.get_mut(connection) else {
            return false;
        };
        let may_have_run = c.is_written();
        c.exchange = None;
        if c.is_unwritten() {
            (c.write_queue, c.awaits_confirmation) = (WriteQueue::default(), false);
            self.make_idle(connection, now);
        } else {
            self.close(connection, ConnectionStep::AttemptAbandoned);
        }
        may_have_run
    }

    /// Returns a connection to its pool, or closes it if its server has another address or protocol now or is no longer
    /// listed.
    pub(super) fn make_idle(&mut self, connection: usize, now: Micros) {
        if !self.is_current(connection) {
            return self.close(connection, ConnectionStep::NotNeeded);
        }
        let c = &mut self.connections[connection];
        c.idle_since = now;
        c.reset_on_close(false);
        if let Some(pool) = self.pools.get_mut(&c.server) {
            pool.idle.push(connection);
        }
    }

    /// Whether the address and protocol of a connection are those of its server's current entry in the endpoint list.
    pub(crate) fn is_current(&self, connection: usize) -> bool {
        let c = &self.connections[connection];
        self.pools.get(&c.server).is_some_and(|pool| {
            pool.listed && pool.address == c.address && pool.protocol == c.reader.protocol()
        })
    }

    pub(super) fn record_step(&mut self, connection: usize, step: ConnectionStep) {
        if let Some(steps) = &mut self.connection_steps {
            steps.push((self.connections[connection].server.clone(), step));
        }
    }

    pub(super) fn close(&mut self, connection: usize, step: ConnectionStep) {
        self.record_step(connection, step);
        let c = self.connections.remove(connection);
        self.memory_used -= c.recorded_memory;
        if let Some(pool) = self.pools.get_mut(&c.server) {
            pool.open_count -= 1;
            pool.idle.retain(|idle| *idle != connection);
            let is_broken = matches!(step, ConnectionStep::Broken | ConnectionStep::Refused);
            if pool.open_count == 0 {
                pool.has_lost_all = true;
                let change = if is_broken {
                    ConnectionChange::Lost
                } else {
                    ConnectionChange::Closed
                };
                let ended = UpstreamEvent::ConnectionsChanged(c.server.clone(), change);
                self.events.push_back(ended);
            }
        }
        self.remove_unused_pool(&c.server);
    }

    /// Closes the connection that has been idle longest. Returns false if none is idle.
    pub(crate) fn close_longest_idle(&mut self) -> bool {
        let oldest = self.pools.values().filter_map(|pool| pool.idle.first());
        let oldest = oldest
            .min_by_key(|key| self.connections[**key].idle_since)
            .copied();
        oldest
            .map(|connection| self.close(connection, ConnectionStep::NotNeeded))
            .is_some()
    }

    /// Writes as much of a connection's request as the kernel accepts.
    pub(super) fn flush(&mut self, connection: usize) {
        let c = &mut self.connections[connection];
        // An error is ignored here: if the connection has failed, the next read reports it.
        let _ = c.write_queue.flush(&mut c.stream);
        self.count_if_written(connection);
    }
}
