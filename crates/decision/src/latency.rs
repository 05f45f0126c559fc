//! What answers take: by class, by kind of machine, by zone. How long to wait for one, and how fast a kind is
//! against the others, follow from it.

use crate::api::{Endpoint, Micros};

/// Samples that outweigh the assumption that all kinds are equally fast.
const KIND_DOUBT: f64 = 10.0;
pub const KIND_MEMORY: f64 = 512.0;

/// What answers take: by class, by kind of machine, by zone.
#[derive(Default)]
pub(crate) struct Pace {
    /// For each class: a high quantile and the mean logarithm of latency.
    pub high: Vec<f64>,
    pub mean_log: Vec<f64>,
    pub count: Vec<f64>,
    /// For each kind: summed log of latency against what its class or hint let expect, and the count.
    pub kinds: Vec<(f64, f64)>,
    /// For each zone: the least latency seen.
    pub floor: Vec<f64>,
}

/// The place of a label in a list that grows as labels come.
pub fn slot<T: Clone>(list: &mut Vec<T>, at: Option<u16>, fresh: T) -> &mut T {
    let at = at.map_or(0, |i| usize::from(i) + 1);
    if list.len() <= at {
        list.resize(at + 1, fresh);
    }
    &mut list[at]
}

impl Pace {
    /// Classes with these aims, before any answer.
    pub fn new(aims: impl Iterator<Item = Micros>) -> Pace {
        let high: Vec<f64> = aims
            .map(|latency_objective| latency_objective as f64 / 2.0)
            .collect();
        let none = vec![0.0; high.len()];
        Pace {
            high,
            mean_log: none.clone(),
            count: none,
            ..Pace::default()
        }
    }

    pub fn learn(
        &mut self,
        class: usize,
        latency: Micros,
        work: Option<f64>,
        entry: &Endpoint,
        hit: bool,
    ) {
        let latency = (latency as f64).max(1.0);
        let high = &mut self.high[class];
        *high *= if latency > *high { 1.05 } else { 0.9973 };
        if !hit {
            return;
        }
        let floor = slot(&mut self.floor, entry.zone, f64::MAX);
        *floor = floor.min(latency);
        let log = (latency - 0.9 * *floor).max(100.0).ln();
        let count = (self.count[class] + 1.0).min(KIND_MEMORY);
        self.count[class] = count;
        self.mean_log[class] += (log - self.mean_log[class]) / count;
        let expected = work.map_or(self.mean_log[class], |w| w.max(1.0).ln());
        let kind = slot(&mut self.kinds, entry.kind, (0.0, 0.0));
        let fade = if kind.1 >= KIND_MEMORY {
            1.0 - 1.0 / KIND_MEMORY
        } else {
            1.0
        };
        *kind = (kind.0 * fade + log - expected, kind.1 * fade + 1.0);
    }

    /// Speed of a kind against all kinds, in steps so that nodes agree.
    pub fn speed(&self, kind: Option<u16>) -> f64 {
        let all = self
            .kinds
            .iter()
            .fold((0.0, 0.0), |a, k| (a.0 + k.0, a.1 + k.1));
        let Some(k) = self.kinds.get(kind.map_or(0, |i| usize::from(i) + 1)) else {
            return 1.0;
        };
        if k.1 == 0.0 {
            return 1.0;
        }
        let log = (all.0 / all.1 - k.0 / k.1) * k.1 / (k.1 + KIND_DOUBT);
        ((log * 8.0).round() / 8.0).clamp(-1.5, 1.5).exp()
    }
}
