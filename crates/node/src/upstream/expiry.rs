//! Ends what has taken too long on upstream connections: openings, probes, quarantines, idle times, and long values that have stalled.

use sloewick_decision::api::{Micros, Status};

use crate::event_trace::ConnectionStep;
use crate::transport::Stream;
use crate::upstream::connection::{Exchange, UpstreamConnection};
use crate::upstream::pool::{UpstreamEvent, UpstreamPools, PROBE_TIMEOUT};

/// How long next to no bytes of a long value may arrive before the connection counts as failed. Servers may take seconds between
/// two pieces.
const VALUE_STALL_TIMEOUT: Micros = 12_000_000;

impl<S: Stream> UpstreamPools<S> {
    /// Handles a timer of a connection: its opening or its probe request has timed out, or its quarantine has ended.
    pub(crate) fn timer_expired(&mut self, connection: usize, serial: u64, now: Micros) {
        let c = self.connections.get_mut(connection);
        let Some(c) = c.filter(|c| c.serial == serial) else {
            return;
        };
        match c.exchange {
            _ if c.connecting => self.fail(connection),
            Some(_) if c.is_reserved() && c.is_quarantined(now) => {}
            Some(Exchange::Attempt(_)) if c.is_reserved() => {
                self.established.push_back((connection, serial));
            }
            Some(Exchange::Probe { .. }) if c.is_reserved() => {
                c.awaits_confirmation = false;
                self.flush(connection);
            }
            Some(probe @ Exchange::Probe { .. }) if now - c.exchange_started >= PROBE_TIMEOUT => {
                self.events
                    .push_back(UpstreamEvent::Ended(probe, Status::Timeout));
                self.close(connection, ConnectionStep::AttemptAbandoned);
            }
            _ => {}
        }
    }

    /// Closes connections that have been idle too long, fails those whose long value has stopped arriving, and repeats
    /// incomplete writes.
    pub(crate) fn sweep(&mut self, now: Micros) {
        let is_expired =
            |c: &UpstreamConnection<S>| c.exchange.is_none() && now - c.idle_since >= self.max_idle;
        let is_stalled = |c: &UpstreamConnection<S>| {
            !c.is_readable && c.value_progress.has_stalled(now, VALUE_STALL_TIMEOUT)
        };
        let expired = self.keys_where(is_expired);
        let stalled = self.keys_where(is_stalled);
        for connection in expired {
            self.close(connection, ConnectionStep::IdleTimeout);
        }
        for connection in stalled {
            self.end_exchange(connection, Status::Timeout);
        }
        let unfinished = self.keys_where(|c| !c.is_unwritten() && !c.write_queue.is_empty());
        for connection in unfinished {
            self.flush(connection);
        }
    }

    fn keys_where(&self, condition: impl Fn(&UpstreamConnection<S>) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        connections
            .filter(|(_, c)| condition(c))
            .map(|(key, _)| key)
            .collect()
    }
}
