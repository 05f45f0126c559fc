//! Hot keys: how often a key is seen, and over how many servers it is spread.
//!
//! A key whose share of the requests exceeds a server's range is sent to several neighbouring servers in
//! rotation. Guarantees: memory is bounded by the number of servers.

use std::collections::HashMap;

/// Arrivals over which a key's share is counted: the short span detects a new hot key soon, the long one, for
/// each server, those just over a range. And the fewest arrivals that make a key hot.
const SHORT_SPAN: f64 = 64.0;
const LONG_SPAN_PER_SERVER: f64 = 4.0;
const MIN_HOT_COUNT: f64 = 4.0;
/// Rotations begin at so many different places, so that keys that become hot together don't move together.
const ROTATION_STARTS: u64 = 64;

/// How often a key was seen over both spans, as of an arrival, and the rotation over its servers.
pub(crate) struct KeyCount {
    pub(crate) counts: [f64; 2],
    pub(crate) updated: u64,
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

/// Counts of the keys that arrived at this node, and of all arrivals.
#[derive(Default)]
pub(crate) struct HotKeys {
    pub(crate) counts: HashMap<u64, KeyCount>,
    pub(crate) arrivals: u64,
}

impl HotKeys {
    pub(crate) fn record_arrival(&mut self, key: Option<u64>, servers: usize) {
        self.arrivals += 1;
        let Some(key) = key else { return };
        let (now, spans) = (self.arrivals, spans(servers));
        let count = self.counts.entry(key).or_insert_with(|| KeyCount {
            counts: [0.0; 2],
            updated: now,
            rotation: (now % ROTATION_STARTS) as usize,
        });
        count.counts = count.decayed(spans, now).map(|seen| seen + 1.0);
        count.updated = now;
        if self.counts.len() > 4 * spans[1] as usize {
            self.counts
                .retain(|_, count| ((now - count.updated) as f64) < 2.0 * spans[1]);
        }
    }

    /// Over how many of the servers a key is spread: 1 unless it is hot.
    pub(crate) fn spread_width(&self, key: u64, servers: usize) -> usize {
        let Some(count) = self.counts.get(&key) else {
            return 1;
        };
        let spans = spans(servers);
        let counts = count.decayed(spans, self.arrivals);
        let mut width = 1;
        for (count, span) in counts.into_iter().zip(spans) {
            if count >= MIN_HOT_COUNT {
                let filled = span * (1.0 - (-(self.arrivals as f64) / span).exp());
                let share = count / filled.max(SHORT_SPAN / 4.0);
                width = width.max((share * servers as f64).ceil() as usize);
            }
        }
        width.clamp(1, servers.max(1))
    }

    pub(crate) fn rotation(&self, key: u64) -> usize {
        self.counts.get(&key).map_or(0, |count| count.rotation)
    }

    /// An attempt for the key was sent: the next one goes to the next of its servers.
    pub(crate) fn rotate(&mut self, key: u64) {
        if let Some(count) = self.counts.get_mut(&key) {
            count.rotation = count.rotation.wrapping_add(1);
        }
    }
}
