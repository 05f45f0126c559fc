//! The probe requests that are in flight.

use std::collections::HashMap;

use sloewick_decision::api::{Micros, ServerId};

/// A probe in flight.
pub(crate) struct Probe {
    pub(crate) server: ServerId,
    pub(crate) started: Micros,
}

/// The probes in flight, by serial. Each ends by its response or its timeout, which bounds them.
pub(crate) struct Probes {
    in_flight: HashMap<u64, Probe>,
    /// Probes ask for a load report.
    pub(crate) with_load: bool,
}

impl Probes {
    pub(crate) fn new(with_load: bool) -> Probes {
        Probes {
            in_flight: HashMap::new(),
            with_load,
        }
    }

    pub(crate) fn insert(&mut self, serial: u64, server: ServerId, started: Micros) {
        self.in_flight.insert(serial, Probe { server, started });
    }

    /// Takes a probe that has ended.
    pub(crate) fn remove(&mut self, serial: u64) -> Option<Probe> {
        self.in_flight.remove(&serial)
    }
}
