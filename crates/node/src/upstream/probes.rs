//! The probe requests that are in flight.

use std::collections::HashMap;

use sloewick_decision::api::{Micros, ServerId};

/// A probe in flight.
pub(crate) struct Probe {
    pub(crate) server: ServerId,
    pub(crate) started: Micros,
}

/// The probes in flight, by serial number. Their number is bounded, since each ends with its response or its timeout.
pub(crate) struct Probes {
    in_flight: HashMap<u64, Probe>,
    /// RESP2 probes request a load report.
    pub(crate) requests_load_report: bool,
}

impl Probes {
    pub(crate) fn new(with_load: bool) -> Probes {
        Probes {
            in_flight: HashMap::new(),
            requests_load_report: with_load,
        }
    }

    pub(crate) fn insert(&mut self, serial: u64, server: ServerId, started: Micros) {
        self.in_flight.insert(serial, Probe { server, started });
    }

    /// Removes a probe that has ended. Returns None if no such probe is in flight.
    pub(crate) fn remove(&mut self, serial: u64) -> Option<Probe> {
        self.in_flight.remove(&serial)
    }
}
