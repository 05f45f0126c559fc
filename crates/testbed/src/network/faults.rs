//! Faults of the network and of its hosts: killed processes, cut links, resets, refused connections and stepped clocks.

use std::net::SocketAddr;

use sloewick_decision::api::Micros;
use sloewick_node::transport::PendingSignals;

use super::state::{Connection, Segment};
use super::{HostId, World};

/// Longest time after a cut has healed until TCP has retransmitted what was lost in it, in microseconds.
const MAX_RETRANSMIT_DELAY: f64 = 400_000.0;

impl World {
    /// Kills the process on a host: its connections are reset, and its addresses refuse connections.
    pub fn kill(&mut self, host: HostId) {
        let own_ends: Vec<(usize, usize)> = self.ends_of(host);
        for (conn, end) in own_ends {
            if !self.conns[conn].ends[end].closed {
                self.conns[conn].ends[end].closed = true;
                self.send(conn, end, Segment::Reset);
                self.remove_if_closed(conn);
            }
        }
        let listeners: Vec<SocketAddr> = self
            .listeners
            .iter()
            .filter(|(_, p)| p.host == host)
            .map(|(at, _)| *at)
            .collect();
        for at in listeners {
            self.close_listener(at);
        }
        let h = &mut self.hosts[host];
        h.alive = false;
        h.descriptors = 0;
        h.ready.clear();
        h.listeners_ready.clear();
        (h.pending_signals, h.signalled) = (PendingSignals::default(), false);
    }

    /// Starts a new process on the machine of one that has died.
    pub fn restart_host(&mut self, host: HostId) {
        let now = self.now;
        let h = &mut self.hosts[host];
        (h.alive, h.isolated, h.started, h.descriptors) = (true, false, now, 0);
    }

    /// Cuts a machine off in both directions: all that it sends or is sent is lost, and its connections stay open.
    pub fn isolate(&mut self, host: HostId) {
        self.hosts[host].isolated = true;
    }

    /// Cuts one direction between two hosts, or heals it.
    pub fn cut(&mut self, from: HostId, to: HostId, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else if self.cuts.remove(&(from, to)) {
            let (now, waiting) = (self.now, std::mem::take(&mut self.cut_events));
            let (healed, still_cut): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|h| (h.0, h.1) == (from, to));
            self.cut_events = still_cut;
            // The same pause for all events of a cut keeps the order within a connection.
            let pause = (self.rng.unit_interval() * MAX_RETRANSMIT_DELAY) as Micros;
            for (_, _, event) in healed {
                self.push(now + pause, event);
            }
        }
    }

    /// Delays the arrival of ends and resets that this host sends, in microseconds.
    pub fn delay_close_notifications(&mut self, host: HostId, by: Micros) {
        self.close_delay = Some((host, by));
    }

    /// Resets each `of`-th connection that this host opens from now on at its first bytes; none if `of` is 0.
    pub fn reset_new_connections(&mut self, host: HostId, of: u64) {
        self.forced_resets = (of > 0).then_some((host, of, 0));
    }

    /// Sets the probability that a write between this host and others that have one takes only some of its bytes.
    pub fn set_partial(&mut self, host: HostId, fraction: f64) {
        self.hosts[host].partial_writes = fraction;
    }

    /// Makes a host refuse new connections, or accept them again.
    pub fn set_refuses(&mut self, host: HostId, refuses: bool) {
        self.hosts[host].refuses_connections = refuses;
    }

    /// Sets the error of a host's wall clock, in microseconds.
    pub fn set_skew(&mut self, host: HostId, skew: Micros) {
        self.hosts[host].skew = skew;
    }

    /// Resets a fraction of the connections between two groups of hosts, drawn at random.
    pub fn reset_some(&mut self, some: &[HostId], others: &[HostId], fraction: f64) {
        let between = |c: &Connection| {
            let (a, b) = (&c.ends[0].host, &c.ends[1].host);
            (some.contains(a) && others.contains(b)) || (some.contains(b) && others.contains(a))
        };
        let open: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| between(c))
            .map(|(conn, _)| conn)
            .collect();
        for conn in open {
            if self.rng.chance(fraction) {
                (0..2).for_each(|end| self.send(conn, end, Segment::Reset));
            }
        }
    }

    /// Reconnects an isolated machine; the state of its process is unchanged.
    pub fn end_isolation(&mut self, host: HostId) {
        self.hosts[host].isolated = false;
    }

    /// Sends signals to the process on a host.
    pub fn signal(&mut self, host: HostId, pending_signals: PendingSignals) {
        let h = &mut self.hosts[host];
        h.pending_signals.reload |= pending_signals.reload;
        h.pending_signals.stop |= pending_signals.stop;
        h.signalled = true;
        self.wake(host);
    }
}
