//! The transport of one host, with its streams and listeners.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;

use bytes::Buf;
use sloewick_decision::api::Micros;
use sloewick_node::transport::{
    PendingSignals, ReadyEvent, Stream, Token, Transport, SIGNALS_TOKEN,
};

use super::state::{Connection, ConnectionEnd, Event, ListeningSocket, Segment};
use super::{HostId, SharedWorld, World, EPOCH};
use crate::port::SendTimes;

/// The [`Transport`] of one host.
#[derive(Clone)]
pub struct VirtualTransport {
    pub(super) world: SharedWorld,
    pub(super) host: HostId,
}

/// One end of a connection; closed when dropped.
pub struct VirtualStream {
    world: SharedWorld,
    conn: usize,
    end: usize,
    /// Guards against a stream that outlives its host's process: another connection may have its slot by now.
    serial: u64,
}

/// A listening socket of one host; closed when dropped.
pub struct VirtualListener {
    world: SharedWorld,
    at: SocketAddr,
    host: HostId,
    started: Micros,
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        let mut w = self.world.borrow_mut();
        if w.conns
            .get(self.conn)
            .is_some_and(|c| c.serial == self.serial)
        {
            w.close(self.conn, self.end);
        }
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        let mut w = self.world.borrow_mut();
        let is_own = w
            .listeners
            .get(&self.at)
            .is_some_and(|p| p.host == self.host);
        if is_own && w.hosts[self.host].started == self.started {
            w.close_listener(self.at);
        }
    }
}

impl Transport for VirtualTransport {
    type Stream = VirtualStream;
    type Listener = VirtualListener;

    fn now(&self) -> Micros {
        let w = self.world.borrow();
        w.now - w.hosts[self.host].started
    }

    fn monotonic_time(&self) -> Micros {
        self.world.borrow().now
    }

    fn boot_id(&self) -> String {
        String::new()
    }

    fn unix_time_at_start(&self) -> Micros {
        let w = self.world.borrow();
        EPOCH + w.hosts[self.host].started + w.hosts[self.host].skew
    }

    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<VirtualListener> {
        let mut w = self.world.borrow_mut();
        if w.listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        w.allocate_descriptor(self.host)?;
        w.listeners.insert(
            at,
            ListeningSocket {
                host: self.host,
                token,
                backlog: VecDeque::new(),
                notified: false,
            },
        );
        let started = w.hosts[self.host].started;
        Ok(VirtualListener {
            world: self.world.clone(),
            at,
            host: self.host,
            started,
        })
    }

    fn accept(
        &mut self,
        listener: &mut VirtualListener,
        token: Token,
    ) -> io::Result<VirtualStream> {
        let mut w = self.world.borrow_mut();
        let has_waiting = w
            .listeners
            .get(&listener.at)
            .is_some_and(|p| !p.backlog.is_empty());
        if !has_waiting {
            if let Some(socket) = w.listeners.get_mut(&listener.at) {
                socket.notified = false;
            }
            return Err(ErrorKind::WouldBlock.into());
        }
        w.allocate_descriptor(self.host)?;
        let conn = w
            .listeners
            .get_mut(&listener.at)
            .and_then(|p| p.backlog.pop_front());
        let Some(conn) = conn.filter(|conn| w.conns.contains(*conn)) else {
            w.hosts[self.host].descriptors -= 1;
            return Err(ErrorKind::ConnectionAborted.into());
        };
        w.conns[conn].ends[1].token = Some(token);
        let serial = w.conns[conn].serial;
        w.mark_ready(conn, 1);
        Ok(VirtualStream {
            world: self.world.clone(),
            conn,
            end: 1,
            serial,
        })
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<VirtualStream> {
        let mut w = self.world.borrow_mut();
        w.allocate_descriptor(self.host)?;
        w.serial += 1;
        let serial = w.serial;
        // An address that belongs to no machine: the connecting host itself refuses the connection.
        let far = w.addresses.get(&to).copied().unwrap_or(self.host);
        let mut ends = [
            ConnectionEnd::new(self.host, Some(token)),
            ConnectionEnd::new(far, None),
        ];
        if let Some((_, of, opened)) = w
            .forced_resets
            .as_mut()
            .filter(|(host, ..)| *host == self.host)
        {
            *opened += 1;
            ends[1].reset_on_data = opened.is_multiple_of(*of);
        }
        let conn = w.conns.insert(Connection { serial, ends, to });
        let delay = w.delay(self.host, far);
        let at = w.now + delay;
        w.conns[conn].ends[1].last_arrival = at;
        w.push(at, Event::Syn { conn, serial });
        Ok(VirtualStream {
            world: self.world.clone(),
            conn,
            end: 0,
            serial,
        })
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, _wait: Micros) -> io::Result<()> {
        ready.clear();
        let mut w = self.world.borrow_mut();
        if std::mem::take(&mut w.hosts[self.host].signalled) {
            let token = SIGNALS_TOKEN;
            ready.push(ReadyEvent {
                token,
                readable: true,
                writable: false,
                read_closed: false,
                error: false,
            });
        }
        for at in std::mem::take(&mut w.hosts[self.host].listeners_ready) {
            if let Some(socket) = w.listeners.get(&at) {
                let token = socket.token;
                ready.push(ReadyEvent {
                    token,
                    readable: true,
                    writable: false,
                    read_closed: false,
                    error: false,
                });
            }
        }
        for (conn, end) in std::mem::take(&mut w.hosts[self.host].ready) {
            let Some(c) = w.conns.get_mut(conn) else {
                continue;
            };
            let e = &mut c.ends[end];
            if e.host != self.host || e.closed {
                continue;
            }
            e.is_ready = false;
            let Some(token) = e.token else { continue };
            let failed = e.error.is_some();
            let is_established = e.is_established;
            let (has_bytes, peer_ended) = (e.received_len > 0, e.peer_ended);
            ready.push(ReadyEvent {
                token,
                readable: has_bytes || peer_ended || failed,
                writable: failed || (is_established && w.send_capacity(conn, end) > 0),
                read_closed: peer_ended || failed,
                error: failed,
            });
        }
        Ok(())
    }

    fn take_signals(&mut self) -> PendingSignals {
        std::mem::take(&mut self.world.borrow_mut().hosts[self.host].pending_signals)
    }

    fn log(&mut self, line: &str) {
        let mut w = self.world.borrow_mut();
        let line = format!(
            "{:10.6} {} {line}",
            w.now as f64 / 1e6,
            w.hosts[self.host].name
        );
        w.hosts[self.host].log.push(line);
    }
}

impl VirtualStream {
    /// Calls a function on the connection, or returns `if_missing` if the connection no longer exists.
    fn with<T>(&self, if_missing: T, call: impl FnOnce(&mut World, usize, usize) -> T) -> T {
        let mut w = self.world.borrow_mut();
        match w.conns.get(self.conn) {
            Some(c) if c.serial == self.serial => call(&mut w, self.conn, self.end),
            _ => if_missing,
        }
    }
}

impl Stream for VirtualStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.with(Err(ErrorKind::ConnectionReset.into()), |w, conn, end| {
            let e = &mut w.conns[conn].ends[end];
            if e.received_len == 0 {
                return match e.error {
                    Some(kind) => Err(kind.into()),
                    None if e.peer_ended => Ok(0),
                    None => Err(ErrorKind::WouldBlock.into()),
                };
            }
            let mut n = 0;
            while let Some((front, _)) = e.received.front_mut().filter(|_| n < into.len()) {
                let take = front.len().min(into.len() - n);
                into[n..n + take].copy_from_slice(&front[..take]);
                front.advance(take);
                n += take;
                if front.is_empty() {
                    e.received.pop_front();
                }
            }
            e.received_len -= n;
            let far = &mut w.conns[conn].ends[1 - end];
            if std::mem::take(&mut far.write_blocked) {
                w.mark_ready(conn, 1 - end);
            }
            Ok(n)
        })
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        self.with(Err(ErrorKind::BrokenPipe.into()), |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            if let Some(kind) = e.error {
                return Err(kind.into());
            }
            if !e.is_established {
                return Err(ErrorKind::NotConnected.into());
            }
            if e.fin_sent {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let host = e.host;
            let all: usize = chunks.iter().map(|c| c.len()).sum();
            let mut send_capacity = w.send_capacity(conn, end).min(all);
            let far = w.conns[conn].ends[1 - end].host;
            let fraction = w.hosts[host]
                .partial_writes
                .min(w.hosts[far].partial_writes);
            if fraction > 0.0 && all > 1 {
                if w.rng.chance(fraction / 2.0) {
                    send_capacity = 0;
                    let (at, serial) = (
                        w.now + 1_000 + w.rng.below(20_000) as Micros,
                        w.conns[conn].serial,
                    );
                    w.push(at, Event::WriteRetry { conn, serial, end });
                } else if w.rng.chance(fraction) {
                    send_capacity = send_capacity.min(1 + w.rng.below(all));
                }
            }
            if send_capacity == 0 {
                w.conns[conn].ends[end].write_blocked = true;
                return Err(ErrorKind::WouldBlock.into());
            }
            let mut bytes = Vec::with_capacity(send_capacity);
            for chunk in chunks {
                let take = chunk.len().min(send_capacity - bytes.len());
                bytes.extend_from_slice(&chunk[..take]);
            }
            let now = w.now;
            w.send(conn, end, Segment::Data(bytes.into(), now));
            Ok(send_capacity)
        })
    }

    fn has_no_input(&self) -> bool {
        self.with(false, |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            e.received_len == 0 && !e.peer_ended && e.error.is_none()
        })
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            let e = &mut w.conns[conn].ends[end];
            let error = e.error.filter(|_| !e.error_taken);
            e.error_taken |= error.is_some();
            Ok(error.map(io::Error::from))
        })
    }

    fn check_connected(&self) -> io::Result<()> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            match e.error {
                Some(kind) => Err(kind.into()),
                None if e.is_established => Ok(()),
                None => Err(ErrorKind::NotConnected.into()),
            }
        })
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            if w.conns[conn].ends[end].error.is_some() {
                return Err(ErrorKind::NotConnected.into());
            }
            if !std::mem::replace(&mut w.conns[conn].ends[end].fin_sent, true) {
                w.send(conn, end, Segment::Fin);
            }
            Ok(())
        })
    }

    fn set_reset_on_close(&mut self, reset: bool) {
        self.with((), |w, conn, end| {
            w.conns[conn].ends[end].resets_on_close = reset;
        });
    }

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

impl SendTimes for VirtualTransport {
    fn send_time(&self, stream: &VirtualStream) -> Option<Micros> {
        stream.with(None, |w, conn, end| {
            w.conns[conn].ends[end]
                .received
                .front()
                .map(|(_, sent)| EPOCH + sent)
        })
    }
}
