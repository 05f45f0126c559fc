//! The start times of servers, on the node's clock.
//!
//! Discovery gives a start time in Unix time, but the wall clock of the node or of the server may be wrong by any amount: a
//! server that has just started could appear to be an hour old, and would get a full share of the requests. Therefore a
//! start time is also checked against the endpoint lists, for which no wall clock is needed: a server that the last list
//! did not contain, or contained with another start time, cannot have started much earlier than that list arrived.

use std::collections::{HashMap, HashSet};

use sloewick_decision::api::{EndpointListKind, Micros, ServerId, ServerState};

use super::endpoints::{EndpointList, ListedEndpoint};

/// Longest time from the start of a server to its first listing. A start time that precedes the last list without the
/// server by more than this is wrong.
const MAX_LISTING_DELAY: Micros = 10_000_000;

/// The start time of a server as given by discovery (Unix time in milliseconds) and as used by the node; `started` is None
/// if the server started long ago.
#[derive(Clone, Copy)]
struct KnownStart {
    boot_ms: i64,
    started: Option<Micros>,
}

/// The start times of the listed servers.
pub(crate) struct ServerStartTimes {
    /// Unix time at which the node's clock began. It is read once: if the start time of a server varied between two lists,
    /// the server would appear to have restarted.
    clock_start: Micros,
    /// When the last list from discovery was applied, with or without a change; None before the first one.
    last_list: Option<Micros>,
    known: HashMap<ServerId, KnownStart>,
}

impl ServerStartTimes {
    pub(crate) fn new(clock_start: Micros) -> ServerStartTimes {
        ServerStartTimes {
            clock_start,
            last_list: None,
            known: HashMap::new(),
        }
    }

    /// Returns the start time of a server of the list that is being applied, on the node's clock; None if it started long
    /// ago.
    pub(crate) fn start_of(&mut self, listed: &ListedEndpoint, now: Micros) -> Option<Micros> {
        let server = &listed.entry.server;
        let known = self.known.get(server);
        if let Some(known) = known.filter(|known| known.boot_ms == listed.boot_ms) {
            return known.started;
        }
        let by_wall_clock = self.start_by_wall_clock(listed.boot_ms, now);
        let started = by_wall_clock.map(|start| self.limit_to_last_list(start));
        if listed.entry.state != ServerState::Removed {
            let start = KnownStart {
                boot_ms: listed.boot_ms,
                started,
            };
            self.known.insert(server.clone(), start);
        }
        started
    }

    /// Takes over the start time of a server, on the node's clock, from another process of the node.
    pub(crate) fn restore(&mut self, listed: &ListedEndpoint, started: Micros) {
        let start = KnownStart {
            boot_ms: listed.boot_ms,
            started: Some(started),
        };
        self.known.insert(listed.entry.server.clone(), start);
    }

    /// Takes over when another process of the node got its last list, on the node's clock.
    pub(crate) fn restore_last_list(&mut self, at: Micros) {
        self.last_list = self.last_list.max(Some(at));
    }

    /// Records that a list has been applied, and forgets the servers that it has removed.
    pub(crate) fn list_applied(
        &mut self,
        list: &EndpointList,
        kind: EndpointListKind,
        now: Micros,
    ) {
        for listed in &list.targets {
            if listed.entry.state == ServerState::Removed {
                self.known.remove(&listed.entry.server);
            }
        }
        // The list in the configuration is skipped, since it may be of any age.
        if kind != EndpointListKind::Cached {
            self.last_list = Some(now);
        }
        if kind != EndpointListKind::Delta {
            let listed: HashSet<&ServerId> = list.targets.iter().map(|t| &t.entry.server).collect();
            self.known.retain(|server, _| listed.contains(server));
        }
    }

    /// Converts a start time to the node's clock; None if `boot_ms` is 0 or less, which means long ago.
    fn start_by_wall_clock(&self, boot_ms: i64, now: Micros) -> Option<Micros> {
        if boot_ms <= 0 {
            return None;
        }
        let start = boot_ms
            .saturating_mul(1000)
            .saturating_sub(self.clock_start);
        // The server's clock may be ahead of the node's; a start time in the future is replaced by the current time.
        Some(start.min(now))
    }

    /// Returns the time of the last list instead of `start` if `start` is too early for a server that this list did not
    /// contain, or contained with another start time.
    fn limit_to_last_list(&self, start: Micros) -> Micros {
        match self.last_list {
            Some(last_list) if start < last_list.saturating_sub(MAX_LISTING_DELAY) => last_list,
            _ => start,
        }
    }
}

#[cfg(test)]
#[path = "server_starts_tests.rs"]
mod tests;
