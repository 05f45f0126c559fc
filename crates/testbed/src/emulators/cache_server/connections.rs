//! Connections of nodes: opened, idle and ended ones.

use sloewick_codec::memcached::RequestReader;
use sloewick_codec::resp2::CommandReader;

use super::requests::Reader;
use super::{CacheServer, Due, Job, Peer};
use crate::checker::observations::AttemptOutcome;
use crate::port::{Cut, SendTimes};

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn opened(&mut self, conn: usize) {
        let nodes = self
            .peers
            .values()
            .filter(|p| matches!(p, Peer::Node { .. }))
            .count();
        if nodes >= self.set.connections {
            // Over its cap it lets go at once.
            return self.port.close(conn);
        }
        let active = self.port.now();
        let reader = if self.set.memcached {
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
                active,
            },
        );
        self.greetings += 1;
        self.start();
    }

    /// A node's connection has ended: its attempt is not worked on any more.
    pub(super) fn close(&mut self, conn: usize) {
        let serial = self.port.connection(conn).map(|l| l.serial);
        self.peers.remove(&conn);
        self.port.close(conn);
        let Some(serial) = serial else { return };
        let mine = |job: &Job| job.conn == conn && job.serial == serial;
        if let Some(at) = self.queue.iter().position(mine) {
            if let Some(job) = self.queue.remove(at) {
                self.report_outcome(&job, AttemptOutcome::Interrupted);
            }
        }
        if self
            .core
            .as_ref()
            .is_some_and(|(_, job)| job.as_ref().is_some_and(mine))
        {
            if let Some((_, Some(job))) = self.core.take() {
                self.report_outcome(&job, AttemptOutcome::Interrupted);
            }
            self.start();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle(&mut self) {
        let now = self.port.now();
        // A connection that is cut does not report its end either.
        let whole = self.port.cut() == Cut::default();
        let max_idle = self.set.idle;
        let is_idle = |peer: &Peer| matches!(peer, Peer::Node { busy: false, corrupted: false, active, .. } if now - active > max_idle);
        let all = self.peers.iter().filter(|(_, peer)| whole && is_idle(peer));
        let mut idle: Vec<usize> = all.map(|(conn, _)| *conn).collect();
        idle.sort_unstable();
        for conn in idle {
            self.close(conn);
        }
        self.port.set_timer(now + max_idle / 4, Due::Idle);
    }
}
