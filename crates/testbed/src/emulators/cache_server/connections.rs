//! Connections from nodes: accepting them, closing idle ones, and handling their end.

use sloewick_codec::memcached::RequestReader;
use sloewick_codec::resp2::CommandReader;

use super::requests::Reader;
use super::{CacheServer, Job, Peer, Timer};
use crate::checker::observations::AttemptOutcome;
use crate::port::{Cut, SendTimes};

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn accept_connection(&mut self, conn: usize) {
        let nodes = self
            .peers
            .values()
            .filter(|p| matches!(p, Peer::Node { .. }))
            .count();
        if nodes >= self.settings.connections {
            // Above its limit of connections the server closes a new one at once.
            return self.port.close(conn);
        }
        let last_active = self.port.now();
        let reader = if self.settings.memcached {
            Reader::Memcached(RequestReader::default())
        } else {
            Reader::Resp(CommandReader::default())
        };
        self.peers.insert(
            conn,
            Peer::Node {
                reader,
                busy: false,
                corrupted: false,
                last_active,
            },
        );
        self.pending_handshakes += 1;
        self.start_next_task();
    }

    /// Closes a node's connection and abandons the attempt that was received on it.
    pub(super) fn close_connection(&mut self, conn: usize) {
        let serial = self.port.connection(conn).map(|l| l.serial);
        self.peers.remove(&conn);
        self.port.close(conn);
        let Some(serial) = serial else { return };
        let is_of_connection = |job: &Job| job.conn == conn && job.serial == serial;
        if let Some(at) = self.queue.iter().position(is_of_connection) {
            if let Some(job) = self.queue.remove(at) {
                self.report_outcome(&job, AttemptOutcome::Interrupted);
            }
        }
        if self
            .core
            .as_ref()
            .is_some_and(|(_, job)| job.as_ref().is_some_and(is_of_connection))
        {
            if let Some((_, Some(job))) = self.core.take() {
                self.report_outcome(&job, AttemptOutcome::Interrupted);
            }
            self.start_next_task();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle(&mut self) {
        let now = self.port.now();
        // While the link is cut the node must not observe a close either, so no connection is closed.
        let is_uncut = self.port.cut() == Cut::default();
        let max_idle = self.settings.idle;
        let is_idle = |peer: &Peer| matches!(peer, Peer::Node { busy: false, corrupted: false, last_active, .. } if now - last_active > max_idle);
        let all = self
            .peers
            .iter()
            .filter(|(_, peer)| is_uncut && is_idle(peer));
        let mut idle: Vec<usize> = all.map(|(conn, _)| *conn).collect();
        idle.sort_unstable();
        for conn in idle {
            self.close_connection(conn);
        }
        self.port.set_timer(now + max_idle / 4, Timer::CloseIdle);
    }
}
