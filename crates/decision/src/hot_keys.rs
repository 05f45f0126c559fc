//! Hot keys: how often each key is requested, and over how many servers it is spread.
//!
//! A key that gets more requests than a server's range should is sent to several neighbouring servers in
//! rotation. Guarantees: memory is bounded in proportion to the number of servers.

use std::collections::HashMap;

/// Arrivals over which a key's fraction of the requests is counted. The short span detects a new hot key
/// soon, the long one, given for each server, detects keys just above a range.
const SHORT_SPAN: f64 = 64.0;
const LONG_SPAN_PER_SERVER: f64 = 4.0;
/// Fewest arrivals that make a key hot.
const MIN_HOT_COUNT: f64 = 4.0;
/// Number of different starts of a rotation, so that keys that become hot together don't rotate in step.
const ROTATION_STARTS: u64 = 64;

/// How often a key was requested, and its rotation over servers.
pub(crate) struct KeyCount {
    /// Decayed counts over the short and the long span, as of the arrival with the number `updated`.
    pub(crate) counts: [f64; 2],
    pub(crate) updated: u64,
    /// Number of the next server, modulo the number of servers that the key is spread over.
    pub(crate) rotation: usize,
}

impl KeyCount {
    fn decayed(&self, spans: [f64; 2], arrivals: u64) -> [f64; 2] {
        let age = (arrivals - self.updated) as f64;
        std::array::from_fn(|span| self.counts[span] * (-age / spans[span]).exp())
    }
}

fn spans(servers: usize) -> [f64; 2] {
    let long = LONG_SPAN_PER_SERVER * servers as f64;
    [SHORT_SPAN, long.max(SHORT_SPAN)]
}

/// Counts of the keys requested from this node, and the number of all arrivals.
#[derive(Default)]
pub(crate) struct HotKeys {
    pub(crate) counts: HashMap<u64, KeyCount>,
    pub(crate) arrivals: u64,
}

impl HotKeys {
    pub(crate) fn record_arrival(&mut self, key: Option<u64>, servers: usize) {
        self.arrivals += 1;
        let Some(key) = key else { return };
        let (arrival, spans) = (self.arrivals, spans(servers));
        let count = self.counts.entry(key).or_insert_with(|| KeyCount {
            counts: [0.0; 2],
            updated: arrival,
            rotation: (arrival % ROTATION_STARTS) as usize,
        });
        count.counts = count.decayed(spans, arrival).map(|seen| seen + 1.0);
        count.updated = arrival;
        if self.counts.len() > 4 * spans[1] as usize {
            self.counts
                .retain(|_, count| ((arrival - count.updated) as f64) < 2.0 * spans[1]);
        }
    }

    /// Returns over how many of the servers a key is spread: 1 unless it is hot.
    pub(crate) fn spread_width(&self, key: u64, servers: usize) -> usize {
        let Some(count) = self.counts.get(&key) else {
            return 1;
        };
        let spans = spans(servers);
        let counts = count.decayed(spans, self.arrivals);
        let mut width = 1;
        for (count, span) in counts.into_iter().zip(spans) {
            if count >= MIN_HOT_COUNT {
                let counted_arrivals = span * (1.0 - (-(self.arrivals as f64) / span).exp());
                let fraction = count / counted_arrivals.max(SHORT_SPAN / 4.0);
                width = width.max((fraction * servers as f64).ceil() as usize);
            }
        }
        width.clamp(1, servers.max(1))
    }

    pub(crate) fn rotation(&self, key: u64) -> usize {
        self.counts.get(&key).map_or(0, |count| count.rotation)
    }

    /// Advances the rotation of a key after an attempt for it: the next one goes to the next of its servers.
    pub(crate) fn rotate(&mut self, key: u64) {
        if let Some(count) = self.counts.get_mut(&key) {
            count.rotation = count.rotation.wrapping_add(1);
        }
    }
}
