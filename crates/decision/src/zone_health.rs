//! Zone health: servers that fail together, since a zone that is lost takes all of its servers with it at
//! once.
//!
//! A node with few requests meets each server once in some seconds; to detect one by one that a whole zone is
//! unreachable would cost it a request and a wait for each, and again at the end of each one's ejection. Here
//! it is detected after the third.
//!
//! Guarantees: no zone counts as lost while one of its servers answers; it takes `MIN_SERVERS` different
//! servers in a row of which none was reached; the last zone is never lost. While one is lost, one of its
//! servers is probed after a backoff that doubles up to `MAX_BACKOFF`, whatever the traffic. No clock: time
//! is an argument.

use crate::api::{Action, Actions, Micros, ServerId, Status};
use crate::balancer::Balancer;
use crate::latency::label_index;
use crate::server_health::Server;
use crate::timer_token::TimerToken;

/// Different servers that must fail in a row.
const MIN_SERVERS: usize = 3;
/// Log odds against chance at which a zone is lost: one in a thousand.
const LOST_LOG_ODDS: f64 = 6.9;
/// Evidence of a connection that is not established (that happens one time in ten at most), and of silence.
pub(crate) const CONNECT_FAILED_EVIDENCE: f64 = 2.31;
pub(crate) const SILENCE_EVIDENCE: f64 = 1.2;
/// First and longest time between two probes of a lost zone.
const MIN_BACKOFF: Micros = 500_000;
const MAX_BACKOFF: Micros = 2_000_000;
/// By when the endpoint list has announced a start. Until then the servers of a zone that was lost are taken
/// to have started when the zone recovered.
pub(crate) const RESTART_ANNOUNCED_WITHIN: Micros = 6_000_000;

#[derive(Default)]
struct Zone {
    /// It has servers in the endpoint list.
    listed: bool,
    /// Servers that were not reached since one was, at most [`MIN_SERVERS`].
    unreached: Vec<ServerId>,
    log_odds: f64,
    /// The backoff after the next probe, while the zone is lost.
    backoff: Option<Micros>,
    next_probe: Micros,
    /// A timer for the next probe runs. Guards against one more for each time that a zone is lost and
    /// recovers.
    timer_set: bool,
}

/// The zones, by label; servers without one share the first.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    zones: Vec<Zone>,
}

impl ZoneHealth {
    /// The zones that have listed servers now.
    pub(crate) fn set_listed(&mut self, zones: impl Iterator<Item = Option<u16>>) {
        for zone in &mut self.zones {
            zone.listed = false;
        }
        for label in zones {
            self.zone(label).listed = true;
        }
    }

    fn zone(&mut self, label: Option<u16>) -> &mut Zone {
        let index = label_index(label);
        if self.zones.len() <= index {
            self.zones.resize_with(index + 1, Zone::default);
        }
        &mut self.zones[index]
    }

    /// Whether this zone is lost, and another is not.
    pub(crate) fn is_lost(&self, label: Option<u16>) -> bool {
        let lost = |zone: &Zone| zone.backoff.is_some();
        self.zones.get(label_index(label)).is_some_and(lost)
            && self.zones.iter().any(|zone| zone.listed && !lost(zone))
    }

    /// A server of the zone was reached, whatever it answered. True: the zone was lost.
    pub(crate) fn record_reached(&mut self, label: Option<u16>) -> bool {
        let zone = self.zone(label);
        zone.unreached.clear();
        zone.log_odds = 0.0;
        zone.backoff.take().is_some()
    }

    /// A server of the zone was not reached, which is so much evidence. True: the zone is lost from now on.
    pub(crate) fn record_unreached(
        &mut self,
        now: Micros,
        label: Option<u16>,
        server: &ServerId,
        evidence: f64,
    ) -> bool {
        let zone = self.zone(label);
        if zone.backoff.is_some() {
            return false;
        }
        if !zone.unreached.contains(server) && zone.unreached.len() < MIN_SERVERS {
            zone.unreached.push(server.clone());
        }
        zone.log_odds += evidence;
        if zone.unreached.len() < MIN_SERVERS || zone.log_odds < LOST_LOG_ODDS {
            return false;
        }
        zone.backoff = Some(MIN_BACKOFF);
        zone.next_probe = now + MIN_BACKOFF;
        true
    }

    /// Whether a probe of a lost zone is due; if so, the next one is later. `drawn`, from 0 to 1, spreads the
    /// probes of many nodes.
    pub(crate) fn begin_probe(&mut self, now: Micros, label: Option<u16>, drawn: f64) -> bool {
        let zone = self.zone(label);
        let Some(backoff) = zone.backoff.filter(|_| now >= zone.next_probe) else {
            return false;
        };
        zone.backoff = Some((backoff * 2).min(MAX_BACKOFF));
        zone.next_probe = now + (backoff as f64 * (0.5 + drawn)) as Micros;
        true
    }

    /// Until the next probe of a lost zone, if no timer for it runs; one does from now on.
    pub(crate) fn schedule_probe(&mut self, now: Micros, label: Option<u16>) -> Option<Micros> {
        let zone = self.zone(label);
        if zone.backoff.is_none() || std::mem::replace(&mut zone.timer_set, true) {
            return None;
        }
        Some((zone.next_probe - now).max(0))
    }

    /// The timer for a probe has expired.
    pub(crate) fn timer_expired(&mut self, label: Option<u16>) {
        self.zone(label).timer_set = false;
    }
}

impl Server {
    /// When it started, as far as is known: a zone that was lost and has recovered has most likely lost its
    /// caches, and the endpoint list can't have announced it yet. Guards against restarted servers that are
    /// taken for warm ones.
    pub(crate) fn started(&self, now: Micros) -> Option<Micros> {
        let recovered = self
            .zone_recovered
            .filter(|recovered| now < *recovered + RESTART_ANNOUNCED_WITHIN);
        self.entry.started.max(recovered)
    }
}

impl Balancer {
    /// What an outcome, or silence (no status), says of the server's zone.
    pub(crate) fn observe_zone(
        &mut self,
        now: Micros,
        server: &ServerId,
        status: Option<Status>,
        actions: &mut Actions,
    ) {
        let Some(zone) = self.listed_server(server).map(|s| s.entry.zone) else {
            return;
        };
        let lost = match status {
            Some(Status::ConnectFailed) => {
                self.zone_health
                    .record_unreached(now, zone, server, CONNECT_FAILED_EVIDENCE)
            }
            None => self
                .zone_health
                .record_unreached(now, zone, server, SILENCE_EVIDENCE),
            Some(Status::Ok | Status::Miss | Status::Error | Status::Rejected) => {
                self.zone_reached(now, server, zone, actions);
                false
            }
            Some(_) => false,
        };
        if lost {
            self.log(
                format!("zone_lost: zone={} server={server}", zone_label(zone)),
                actions,
            );
            self.schedule_zone_probe(now, zone, actions);
        }
    }

    /// A server of the zone answered; if the zone was lost, it has recovered.
    fn zone_reached(
        &mut self,
        now: Micros,
        server: &ServerId,
        zone: Option<u16>,
        actions: &mut Actions,
    ) {
        // Where no other zone is left, its servers are sent requests as before: none of them was unreachable.
        let recovered = self.zone_health.is_lost(zone).then_some(now);
        if !self.zone_health.record_reached(zone) {
            return;
        }
        // The evidence against the servers was the zone's.
        let partition = self.partition_of(server);
        for server in partition
            .servers
            .iter_mut()
            .filter(|s| s.entry.zone == zone)
        {
            server.failure_log_odds = 0.0;
            server.ejection_time = 0;
            server.zone_recovered = recovered.or(server.zone_recovered);
        }
        self.log(
            format!("zone_recovered: zone={}", zone_label(zone)),
            actions,
        );
    }

    fn schedule_zone_probe(&mut self, now: Micros, zone: Option<u16>, actions: &mut Actions) {
        if let Some(delay) = self.zone_health.schedule_probe(now, zone) {
            actions.push(Action::SetTimer {
                delay: delay.max(self.settings.tick),
                token: TimerToken::ZoneProbe(zone).into(),
            });
        }
    }

    /// Finds out whether a lost zone has recovered: one of its servers is probed, where that is allowed; else
    /// the next request for it finds out.
    pub(crate) fn probe_zone(&mut self, now: Micros, zone: Option<u16>, actions: &mut Actions) {
        self.zone_health.timer_expired(zone);
        let drawn = self.rng.next_unit();
        if self.zone_health.begin_probe(now, zone, drawn) {
            let listed = self
                .partition
                .servers
                .iter()
                .chain(&self.other_zones.servers);
            let in_zone: Vec<&Server> = listed.filter(|s| s.entry.zone == zone).collect();
            match in_zone.get((drawn * in_zone.len() as f64) as usize) {
                Some(server) if self.settings.probes => {
                    actions.push(Action::Probe(server.entry.server.clone()));
                }
                _ => self.readmit_zone(now, zone),
            }
        }
        self.schedule_zone_probe(now, zone, actions);
    }

    /// Takes a lost zone for recovered, since nothing but a request can find out.
    fn readmit_zone(&mut self, now: Micros, zone: Option<u16>) {
        let recovered = self.zone_health.is_lost(zone).then_some(now);
        self.zone_health.record_reached(zone);
        let listed = self
            .partition
            .servers
            .iter_mut()
            .chain(&mut self.other_zones.servers);
        for server in listed.filter(|s| s.entry.zone == zone) {
            server.zone_recovered = recovered.or(server.zone_recovered);
        }
    }
}

/// A zone's number for the log; "none" for servers without one.
fn zone_label(zone: Option<u16>) -> String {
    zone.map_or_else(|| "none".to_string(), |zone| zone.to_string())
}

#[cfg(test)]
#[path = "zone_health_tests.rs"]
mod tests;
