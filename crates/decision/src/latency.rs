//! Estimates of how long answers take: by class, by kind of machine, by zone. The hedging delay, and how fast
//! a kind of machine is beside the others, follow from them.

use crate::api::{Endpoint, Micros};

/// Samples that outweigh the assumption that all kinds are equally fast.
const EQUAL_SPEED_SAMPLES: f64 = 10.0;
/// Samples over which a class and a kind are averaged.
pub(crate) const MAX_SAMPLES: f64 = 512.0;
/// Factors by which the high quantile follows an answer above it, and one below it: together they hold it
/// where one answer in twenty is above.
const QUANTILE_RISE: f64 = 1.05;
const QUANTILE_FALL: f64 = 0.9973;

/// What the machines of one kind take beside what is expected of an average one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KindEstimate {
    /// Sum of the logarithms of latency over expected latency.
    pub(crate) log_sum: f64,
    /// Samples in it.
    pub(crate) samples: f64,
}

/// Latency by class, by kind of machine, by zone.
#[derive(Default)]
pub(crate) struct LatencyEstimates {
    /// For each class: a high quantile and the mean logarithm of latency, and the samples of the latter.
    pub(crate) high_quantile: Vec<f64>,
    pub(crate) mean_log: Vec<f64>,
    pub(crate) samples: Vec<f64>,
    /// For each kind of machine, by label (see [`label_slot`]).
    pub(crate) kinds: Vec<KindEstimate>,
    /// For each zone, by label: the least latency seen, in microseconds.
    pub(crate) zone_minimum: Vec<f64>,
}

/// One answer that a server gave.
pub(crate) struct LatencySample<'a> {
    pub(crate) class: usize,
    pub(crate) latency: Micros,
    /// Expected work in standard-core microseconds, if known.
    pub(crate) work: Option<f64>,
    pub(crate) server: &'a Endpoint,
    /// It was not fetched from the origin.
    pub(crate) hit: bool,
}

/// The index of a label in a list by labels: those without one share the first slot.
pub(crate) fn label_index(label: Option<u16>) -> usize {
    label.map_or(0, |label| usize::from(label) + 1)
}

/// The slot of a label in a list that grows as labels come.
pub(crate) fn label_slot<T: Clone>(list: &mut Vec<T>, label: Option<u16>, initial: T) -> &mut T {
    let index = label_index(label);
    if list.len() <= index {
        list.resize(index + 1, initial);
    }
    &mut list[index]
}

impl LatencyEstimates {
    /// Classes with these latency objectives, before any answer.
    pub(crate) fn new(objectives: impl Iterator<Item = Micros>) -> LatencyEstimates {
        let high_quantile: Vec<f64> = objectives.map(|objective| objective as f64 / 2.0).collect();
        let none = vec![0.0; high_quantile.len()];
        LatencyEstimates {
            high_quantile,
            mean_log: none.clone(),
            samples: none,
            ..LatencyEstimates::default()
        }
    }

    /// A server answered.
    pub(crate) fn record(&mut self, sample: &LatencySample<'_>) {
        let class = sample.class;
        let latency = (sample.latency as f64).max(1.0);
        let quantile = &mut self.high_quantile[class];
        *quantile *= if latency > *quantile {
            QUANTILE_RISE
        } else {
            QUANTILE_FALL
        };
        if !sample.hit {
            return;
        }
        let minimum = label_slot(&mut self.zone_minimum, sample.server.zone, f64::MAX);
        *minimum = minimum.min(latency);
        // Without most of the way to the zone: what remains is the machine's own.
        let log = (latency - 0.9 * *minimum).max(100.0).ln();
        let samples = (self.samples[class] + 1.0).min(MAX_SAMPLES);
        self.samples[class] = samples;
        self.mean_log[class] += (log - self.mean_log[class]) / samples;
        let expected = sample
            .work
            .map_or(self.mean_log[class], |work| work.max(1.0).ln());
        let kind = label_slot(&mut self.kinds, sample.server.kind, KindEstimate::default());
        let decay = if kind.samples >= MAX_SAMPLES {
            1.0 - 1.0 / MAX_SAMPLES
        } else {
            1.0
        };
        kind.log_sum = kind.log_sum * decay + log - expected;
        kind.samples = kind.samples * decay + 1.0;
    }

    /// Speed of a kind of machine beside all kinds, in steps so that nodes agree: 1 where nothing is known.
    pub(crate) fn speed(&self, kind: Option<u16>) -> f64 {
        let mut all = KindEstimate::default();
        for estimate in &self.kinds {
            all.log_sum += estimate.log_sum;
            all.samples += estimate.samples;
        }
        let Some(kind) = self.kinds.get(label_index(kind)) else {
            return 1.0;
        };
        if kind.samples == 0.0 {
            return 1.0;
        }
        let log = (all.log_sum / all.samples - kind.log_sum / kind.samples) * kind.samples
            / (kind.samples + EQUAL_SPEED_SAMPLES);
        ((log * 8.0).round() / 8.0).clamp(-1.5, 1.5).exp()
    }
}
