//! Which servers there are: the endpoint list as discovery gives it, and which zone's servers are near.

use std::collections::HashMap;

use super::{Balancer, Line, Server, CROSSING_DEAR, LIST, ZONE_LEAST};
use crate::api::{Action, CacheMode, Endpoint, EndpointListKind, Micros, ServerState};

impl Balancer {
    pub(super) fn on_servers(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        self.lay_out(kind, entries);
        let first = self.line.servers.is_empty();
        if kind != EndpointListKind::Delta {
            let named: HashMap<&str, ()> = entries.iter().map(|e| (&*e.server, ())).collect();
            for line in [&mut self.line, &mut self.far] {
                for p in (0..line.servers.len()).rev() {
                    if !named.contains_key(&*line.servers[p].entry.server) {
                        line.leave(p);
                    }
                }
            }
            self.origins
                .retain(|s| named.contains_key(&*s.entry.server));
        }
        let changed = entries.iter().filter(|e| self.place(e)).count();
        let changed = changed + self.part_zones();
        self.line.reindex();
        self.far.reindex();
        self.outliers.retain(|id| self.line.index.contains_key(id));
        self.fates.list(
            self.line
                .servers
                .iter()
                .chain(&self.far.servers)
                .map(|s| s.entry.zone),
        );
        if changed > 0 || kind != EndpointListKind::Delta {
            self.weigh();
            if first || changed * 2 > self.line.servers.len() {
                self.line.update(&self.weights, 1.0);
                self.line.updated = now;
            }
        }
        match kind {
            EndpointListKind::Cached if self.set.poll => self.plan_list(actions),
            _ => self.list_failures = 0,
        }
        let waiting: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, h)| h.attempts.is_empty())
            .map(|(serial, _)| *serial)
            .collect();
        for serial in waiting {
            self.send_next(now, serial, actions);
        }
    }

    fn place(&mut self, entry: &Endpoint) -> bool {
        let live = entry.state == ServerState::Live;
        if self.set.mode == CacheMode::CacheAside
            && entry.kind.is_some()
            && entry.kind == self.set.origin_kind
        {
            self.origins.retain(|s| s.entry.server != entry.server);
            if live {
                self.origins.push(Server::new(entry.clone()));
                self.origins
                    .sort_by(|a, b| a.entry.server.cmp(&b.entry.server));
            }
            return false;
        }
        let here = |line: &Line| {
            line.servers
                .iter()
                .position(|s| s.entry.server == entry.server)
        };
        let (near, far) = (here(&self.line), here(&self.far));
        let (line, found) = if far.is_some() {
            (&mut self.far, far)
        } else {
            (&mut self.line, near)
        };
        match (found, live) {
            (Some(p), true) => {
                let server = &mut line.servers[p];
                if server.entry.started != entry.started {
                    (server.streak, server.pause, server.sick_until) = (0.0, 0, 0);
                    server.back = None;
                    self.outliers.restarted(&entry.server);
                    self.fates.reached(entry.zone);
                }
                server.entry = entry.clone();
                false
            }
            (Some(p), false) => {
                line.leave(p);
                near.is_some()
            }
            (None, true) => {
                line.join(Server::new(entry.clone()));
                true
            }
            (None, false) => false,
        }
    }

    fn part_zones(&mut self) -> usize {
        let all = || self.line.servers.iter().chain(&self.far.servers);
        let zones: std::collections::BTreeSet<_> = all().map(|s| s.entry.zone).collect();
        let crossing = self.set.price_cross_zone * (1.0 - 1.0 / zones.len().max(1) as f64);
        let at_home = all().filter(|s| s.entry.zone == self.set.zone).count();
        let part = self.set.zone.is_some() && crossing > CROSSING_DEAR && at_home >= ZONE_LEAST;
        let home = self.set.zone;
        let mut moved = 0;
        for stays in [true, false] {
            let (line, far) = (&mut self.line, &mut self.far);
            let (from, to) = if stays { (line, far) } else { (far, line) };
            for p in (0..from.servers.len()).rev() {
                if (!part || from.servers[p].entry.zone == home) != stays {
                    let entry = from.servers[p].entry.clone();
                    from.leave(p);
                    to.join(Server::new(entry));
                    moved += 1;
                }
            }
        }
        moved
    }

    pub(super) fn plan_list(&mut self, actions: &mut Vec<Action>) {
        if !self.set.poll || self.list_planned {
            return;
        }
        self.list_planned = true;
        let most = self.set.poll_within as f64 / 2.0;
        let spread = (most / 16.0 * 2f64.powi(self.list_failures.min(4) as i32)).min(most);
        let spread = if self.list_failures == 0 {
            most
        } else {
            spread
        };
        let delay = (spread * (0.05 + 0.95 * self.rng.next())) as Micros;
        actions.push(Action::SetTimer { delay, token: LIST });
    }
}
