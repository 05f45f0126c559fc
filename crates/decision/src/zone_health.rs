//! Zone health: detects that a whole zone is unreachable. A zone that is lost takes all of its servers with
//! it at once.
//!
//! A node with little traffic sends to each server only once in a few seconds. To detect the servers of a
//! lost zone one by one would cost it a request and a wait for each, and again at the end of each ejection.
//! Here the loss is detected after the third server.
//!
//! Guarantees: a zone does not count as lost while one of its servers responds; it takes `MIN_SERVERS`
//! different servers in a row of which none was reached; the last zone is never lost. While a zone is lost,
//! one of its servers is probed after a backoff that doubles up to `MAX_BACKOFF`, regardless of the
//! traffic. No clock: time is an argument.

use crate::api::{Action, Actions, Micros, ServerId, Status};
use crate::balancer::Balancer;
use crate::latency::label_index;
use crate::server_health::Server;
use crate::timer_token::TimerToken;

/// Number of different servers that must be unreachable in a row before a zone counts as lost.
const MIN_SERVERS: usize = 3;
/// Log odds against chance at which a zone counts as lost: one in a thousand.
const LOST_LOG_ODDS: f64 = 6.9;
/// Evidence, as log odds, of a connection that cannot be established (by chance one time in ten at most),
/// and of an attempt that has exceeded its expected latency.
pub(crate) const CONNECT_FAILED_EVIDENCE: f64 = 2.31;
pub(crate) const SILENCE_EVIDENCE: f64 = 1.2;
/// Initial and maximum time between two probes of a lost zone, in microseconds.
const MIN_BACKOFF: Micros = 500_000;
const MAX_BACKOFF: Micros = 2_000_000;
/// Time in which the endpoint list announces a server's start, in microseconds. Until then the servers of a
/// zone that was lost are assumed to have started when the zone recovered.
pub(crate) const RESTART_ANNOUNCED_WITHIN: Micros = 6_000_000;

/// The health of one zone.
#[derive(Default)]
struct Zone {
    /// The endpoint list has servers in this zone.
    listed: bool,
    /// Different servers that were not reached since the zone was last reached, at most [`MIN_SERVERS`].
    unreached: Vec<ServerId>,
    /// Evidence that the zone is unreachable, as log odds against chance.
    log_odds: f64,
    /// Backoff after the next probe. None while the zone is not lost.
    backoff: Option<Micros>,
    /// When the next probe is due, while the zone is lost.
    next_probe: Micros,
    /// Whether a timer for the next probe is running. Guards against one more timer each time that the zone
    /// is lost and recovers.
    timer_set: bool,
}

/// The health of all zones, indexed by label; servers without a label share the first entry.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    zones: Vec<Zone>,
}

impl ZoneHealth {
    /// Sets which zones have listed servers.
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

    /// Whether this zone is lost and another listed zone is not.
    pub(crate) fn is_lost(&self, label: Option<u16>) -> bool {
        let lost = |zone: &Zone| zone.backoff.is_some();
        self.zones.get(label_index(label)).is_some_and(lost)
            && self.zones.iter().any(|zone| zone.listed && !lost(zone))
    }

    /// Records that a server of the zone was reached, whatever its response. Returns whether the zone was
    /// lost.
    pub(crate) fn record_reached(&mut self, label: Option<u16>) -> bool {
        let zone = self.zone(label);
        zone.unreached.clear();
        zone.log_odds = 0.0;
        zone.backoff.take().is_some()
    }

    /// Records that a server of the zone was not reached, which adds `evidence` to the log odds. Returns
    /// whether this made the zone count as lost.
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

    /// Returns whether a probe of a lost zone is due; if so, schedules the next one with a longer backoff.
    /// `drawn`, a random number from 0 to 1, spreads the probes of many nodes over time.
    pub(crate) fn begin_probe(&mut self, now: Micros, label: Option<u16>, drawn: f64) -> bool {
        let zone = self.zone(label);
        let Some(backoff) = zone.backoff.filter(|_| now >= zone.next_probe) else {
            return false;
        };
        zone.backoff = Some((backoff * 2).min(MAX_BACKOFF));
        zone.next_probe = now + (backoff as f64 * (0.5 + drawn)) as Micros;
        true
    }

    /// Returns the delay until the next probe of a lost zone and marks its timer as running. Returns None
    /// if the zone is not lost or its timer is already running.
    pub(crate) fn schedule_probe(&mut self, now: Micros, label: Option<u16>) -> Option<Micros> {
        let zone = self.zone(label);
        if zone.backoff.is_none() || std::mem::replace(&mut zone.timer_set, true) {
            return None;
        }
        Some((zone.next_probe - now).max(0))
    }

    /// Records that the timer for the next probe has expired.
    pub(crate) fn timer_expired(&mut self, label: Option<u16>) {
        self.zone(label).timer_set = false;
    }
}

impl Server {
    /// When the server started, if known. A zone that was lost and has recovered has most likely lost its
    /// caches, and the endpoint list cannot have announced the restarts yet; so for
    /// [`RESTART_ANNOUNCED_WITHIN`] the recovery counts as the start. Guards against treating restarted
    /// servers as warm.
    pub(crate) fn started(&self, now: Micros) -> Option<Micros> {
        let recovered = self
            .zone_recovered
            .filter(|recovered| now < *recovered + RESTART_ANNOUNCED_WITHIN);
        self.entry.started.max(recovered)
    }
}

impl Balancer {
    /// Updates the health of a server's zone from the outcome of an attempt or a probe. `status` is None
    /// for an attempt that has exceeded its expected latency without a response.
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
                self.record_zone_reached(now, server, zone, actions);
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

    /// Records that a server of the zone responded, which readmits the zone if it was lost.
    fn record_zone_reached(
        &mut self,
        now: Micros,
        server: &ServerId,
        zone: Option<u16>,
        actions: &mut Actions,
    ) {
        // Without another zone the servers were still sent requests, so none of them counts as having been
        // unreachable and restarted.
        let recovered = self.zone_health.is_lost(zone).then_some(now);
        if !self.zone_health.record_reached(zone) {
            return;
        }
        // The evidence against the servers was caused by their zone.
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

    /// Sets the timer for the next probe of a lost zone, unless it is running.
    fn schedule_zone_probe(&mut self, now: Micros, zone: Option<u16>, actions: &mut Actions) {
        if let Some(delay) = self.zone_health.schedule_probe(now, zone) {
            actions.push(Action::SetTimer {
                delay: delay.max(self.settings.tick),
                token: TimerToken::ZoneProbe(zone).into(),
            });
        }
    }

    /// Handles the probe timer of a lost zone. Probes one of its servers; where probes are not allowed,
    /// readmits the zone, so that the next request shows whether it has recovered.
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

    /// Treats a lost zone as recovered, since only a request can show whether it has.
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

/// The label of a zone for the log; "none" for servers without one.
fn zone_label(zone: Option<u16>) -> String {
    zone.map_or_else(|| "none".to_string(), |zone| zone.to_string())
}

#[cfg(test)]
#[path = "zone_health_tests.rs"]
mod tests;
