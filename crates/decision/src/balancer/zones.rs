//! What a node does about a lost zone: it notes who is reached, and asks a lost zone again.

use super::{Balancer, Server, ZONE};
use crate::api::{Action, Micros, ServerId, Status};
use crate::zone_health::{RESTART_TOLD, SILENT, UNREACHED};

impl Server {
    /// When it started, as far as is known: a zone that was lost and is let in again has most likely lost what it kept, and
    /// the list can't have told yet. Guards against cold servers that are taken for the ones that were there before.
    pub(super) fn started(&self, now: Micros) -> Option<Micros> {
        self.entry
            .started
            .max(self.back.filter(|at| now < *at + RESTART_TOLD))
    }
}

impl Balancer {
    /// What an outcome, or silence, says of the server's zone.
    pub(super) fn note_fate(
        &mut self,
        now: Micros,
        server: &ServerId,
        status: Option<Status>,
        actions: &mut Vec<Action>,
    ) {
        let line = if self.far.index.contains_key(server) {
            &mut self.far
        } else {
            &mut self.line
        };
        let Some(i) = line.index.get(server) else {
            return;
        };
        let zone = line.servers[*i].entry.zone;
        // Where no other zone is left, its servers are sent on to as before: none of them has been away.
        let back = self.fates.lost(zone).then_some(now);
        let lost = match status {
            Some(Status::ConnectFailed) => self.fates.unreached(now, zone, server, UNREACHED),
            None => self.fates.unreached(now, zone, server, SILENT),
            Some(Status::Ok | Status::Miss | Status::Error | Status::Rejected) => {
                if self.fates.reached(zone) {
                    // What was held against them was the zone's.
                    for s in line.servers.iter_mut().filter(|s| s.entry.zone == zone) {
                        (s.streak, s.pause, s.back) = (0.0, 0, back.or(s.back));
                    }
                    self.log(format!("zone {zone:?} answers again"), actions);
                }
                false
            }
            Some(_) => false,
        };
        if lost {
            self.log(format!("zone {zone:?} lost after {server}"), actions);
            self.plan_look(now, zone, actions);
        }
    }

    fn plan_look(&mut self, now: Micros, zone: Option<u16>, actions: &mut Vec<Action>) {
        if let Some(delay) = self.fates.plan(now, zone) {
            let token = zone.map_or(0, |z| u64::from(z) + 1) << 2 | ZONE;
            actions.push(Action::SetTimer {
                delay: delay.max(self.set.tick),
                token,
            });
        }
    }

    /// Looks whether a lost zone is back: one of its servers is asked, where that is allowed; else the next
    /// request for it finds out.
    pub(super) fn look_at(&mut self, now: Micros, zone: Option<u16>, actions: &mut Vec<Action>) {
        self.fates.planned_is_due(zone);
        let drawn = self.rng.next();
        if self.fates.look(now, zone, drawn) {
            let all = self.line.servers.iter().chain(&self.far.servers);
            let mine: Vec<&Server> = all.filter(|s| s.entry.zone == zone).collect();
            match mine.get((drawn * mine.len() as f64) as usize) {
                Some(s) if self.set.probes => actions.push(Action::Probe(s.entry.server.clone())),
                _ => {
                    let back = self.fates.lost(zone).then_some(now);
                    self.fates.reached(zone);
                    let all = self.line.servers.iter_mut().chain(&mut self.far.servers);
                    all.filter(|s| s.entry.zone == zone)
                        .for_each(|s| s.back = back.or(s.back));
                }
            }
        }
        self.plan_look(now, zone, actions);
    }
}
