//! Servers that share a fate: a zone that is lost takes all of its servers with it at once.
//!
//! A node with few requests meets each server once in some seconds; finding out one by one that a whole zone is
//! away costs it a request and a wait for each, and again at the end of each one's pause. Here it is known after the third.
//!
//! Guarantees: no zone counts as lost while one of its servers answers; it takes `SERVERS_LEAST` different servers in a
//! row of which none was reached; the last zone is never lost. While one is lost, one of its servers is asked
//! again after a pause that doubles up to `PAUSE_MOST`, whatever the traffic. No clock: time is an argument.

use crate::api::{Micros, ServerId};

/// Different servers that must fail in a row.
const SERVERS_LEAST: usize = 3;
/// Odds against chance at which a zone is lost, as a logarithm: one in a thousand.
const LOST: f64 = 6.9;
/// What a connection that does not come up says (it does one time in ten at most), and what silence says.
pub const UNREACHED: f64 = 2.31;
pub const SILENT: f64 = 1.2;
/// First and longest pause between two looks at a lost zone.
const PAUSE: Micros = 500_000;
const PAUSE_MOST: Micros = 2_000_000;
/// By when the list has told of a start: a change counts as told by then. Until then the servers of a zone that was lost are
/// taken to have started when they are let in again.
pub const RESTART_TOLD: Micros = 6_000_000;

#[derive(Default)]
struct Fate {
    /// It has servers in the list.
    listed: bool,
    /// Servers that were not reached since one was, at most `SERVERS_LEAST`.
    unreached: Vec<ServerId>,
    against: f64,
    /// The pause after the next look, while it is lost.
    pause: Option<Micros>,
    next: Micros,
    /// A timer for the next look runs. Guards against one more for each time that a zone comes and goes.
    planned: bool,
}

/// The zones, by label; servers without one share the first place.
#[derive(Default)]
pub struct Fates {
    zones: Vec<Fate>,
}

fn place(zone: Option<u16>) -> usize {
    zone.map_or(0, |z| usize::from(z) + 1)
}

impl Fates {
    /// The zones that have listed servers now.
    pub fn list(&mut self, zones: impl Iterator<Item = Option<u16>>) {
        self.zones.iter_mut().for_each(|fate| fate.listed = false);
        for zone in zones {
            self.fate(zone).listed = true;
        }
    }

    fn fate(&mut self, zone: Option<u16>) -> &mut Fate {
        let at = place(zone);
        if self.zones.len() <= at {
            self.zones.resize_with(at + 1, Fate::default);
        }
        &mut self.zones[at]
    }

    /// Whether this zone is lost, and another is not.
    pub fn lost(&self, zone: Option<u16>) -> bool {
        self.zones
            .get(place(zone))
            .is_some_and(|fate| fate.pause.is_some())
            && self
                .zones
                .iter()
                .any(|fate| fate.listed && fate.pause.is_none())
    }

    /// A server of the zone was reached, whatever it said. True: the zone was lost.
    pub fn reached(&mut self, zone: Option<u16>) -> bool {
        let fate = self.fate(zone);
        fate.unreached.clear();
        fate.against = 0.0;
        fate.pause.take().is_some()
    }

    /// A server of the zone was not reached, which says so much. True: the zone is lost from now on.
    pub fn unreached(
        &mut self,
        now: Micros,
        zone: Option<u16>,
        server: &ServerId,
        says: f64,
    ) -> bool {
        let fate = self.fate(zone);
        if fate.pause.is_some() {
            return false;
        }
        if !fate.unreached.contains(server) && fate.unreached.len() < SERVERS_LEAST {
            fate.unreached.push(server.clone());
        }
        fate.against += says;
        if fate.unreached.len() < SERVERS_LEAST || fate.against < LOST {
            return false;
        }
        (fate.pause, fate.next) = (Some(PAUSE), now + PAUSE);
        true
    }

    /// Whether a lost zone is due to be looked at; if so, the next look is later. `drawn`, from 0 to 1, spreads
    /// the looks of many nodes.
    pub fn look(&mut self, now: Micros, zone: Option<u16>, drawn: f64) -> bool {
        let fate = self.fate(zone);
        let Some(pause) = fate.pause.filter(|_| now >= fate.next) else {
            return false;
        };
        fate.pause = Some((pause * 2).min(PAUSE_MOST));
        fate.next = now + (pause as f64 * (0.5 + drawn)) as Micros;
        true
    }

    /// Until the next look at a lost zone, if no timer for it runs; one does from now on.
    pub fn plan(&mut self, now: Micros, zone: Option<u16>) -> Option<Micros> {
        let fate = self.fate(zone);
        if fate.pause.is_none() || std::mem::replace(&mut fate.planned, true) {
            return None;
        }
        Some((fate.next - now).max(0))
    }

    /// The timer for a look has come.
    pub fn planned_is_due(&mut self, zone: Option<u16>) {
        self.fate(zone).planned = false;
    }
}

#[cfg(test)]
#[path = "zone_health_tests.rs"]
mod tests;
