//! Keys that were served recently: a server likely still caches them, so that a request for one needs no
//! fetch from the origin.
//!
//! Guarantees: at most `MAX_KEYS` keys are stored. The module reads no clock: time is an argument.

use std::collections::HashMap;

use crate::api::Micros;

/// Maximum number of stored keys.
const MAX_KEYS: usize = 8192;

/// When each key was last served.
#[derive(Default)]
pub(crate) struct RecentlyServed {
    pub(crate) served_at: HashMap<u64, Micros>,
}

impl RecentlyServed {
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.served_at.contains_key(&key)
    }

    /// Records that a key was served now. If there are too many keys, drops those older than `max_age`, and
    /// all of them if more than half of `MAX_KEYS` remain.
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
