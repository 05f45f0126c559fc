//! Keys that were served recently: likely a server still caches them, so that a request for one needs no
//! fetch.
//!
//! Guarantees: at most `MAX_KEYS` keys are remembered. No clock: time is an argument.

use std::collections::HashMap;

use crate::api::Micros;

/// Keys remembered at most.
const MAX_KEYS: usize = 8192;

/// When keys were served last: likely they are still cached somewhere.
#[derive(Default)]
pub(crate) struct RecentlyServed {
    pub(crate) served_at: HashMap<u64, Micros>,
}

impl RecentlyServed {
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.served_at.contains_key(&key)
    }

    /// A key was served now. Where there are too many, those older than `max_age` are dropped.
    pub(crate) fn record(&mut self, key: u64, now: Micros, max_age: Micros) {
        self.served_at.insert(key, now);
        if self.served_at.len() > MAX_KEYS {
            let oldest = now - max_age;
            self.served_at.retain(|_, served| *served > oldest);
            if self.served_at.len() > MAX_KEYS / 2 {
                self.served_at.clear();
            }
        }
    }

    pub(crate) fn remove(&mut self, key: u64) {
        self.served_at.remove(&key);
    }
}
