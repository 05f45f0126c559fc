//! Latency estimates by class, by kind of machine and by zone. The hedging delay and the speed of a kind of
//! machine relative to the others are derived from them.

use crate::api::{Endpoint, Micros};

/// Weight of the prior assumption that all kinds are equally fast, in samples.
const EQUAL_SPEED_SAMPLES: f64 = 10.0;
/// Number of samples over which the estimates of a class and of a kind are averaged.
pub(crate) const MAX_SAMPLES: f64 = 512.0;
/// Factors by which the high quantile is multiplied after a response above it and after one below it. In
/// equilibrium one response in twenty is above it.
const QUANTILE_RISE: f64 = 1.05;
const QUANTILE_FALL: f64 = 0.9973;

/// Latency of the machines of one kind, relative to the expected latency of an average machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KindEstimate {
    /// Sum of the logarithms of the ratio of latency to expected latency.
    pub(crate) log_sum: f64,
    /// Number of samples in the sum.
    pub(crate) samples: f64,
}

/// Latency by class, by kind of machine, by zone.
#[derive(Default)]
pub(crate) struct LatencyEstimates {
    /// For each class: a high quantile of the latency, in microseconds.
    pub(crate) high_quantile: Vec<f64>,
    /// For each class: the mean logarithm of the latency of hits, without most of the network latency.
    pub(crate) mean_log: Vec<f64>,
    /// For each class: the number of samples in `mean_log`, at most [`MAX_SAMPLES`].
    pub(crate) samples: Vec<f64>,
    /// For each kind of machine, by label (see [`label_slot`]).
    pub(crate) kinds: Vec<KindEstimate>,
    /// For each zone, by label: the lowest latency of a hit, in microseconds.
    pub(crate) zone_minimum: Vec<f64>,
}

/// A response of a server.
pub(crate) struct LatencySample<'a> {
    pub(crate) class: usize,
    pub(crate) latency: Micros,
    /// Expected work in standard-core microseconds, if known.
    pub(crate) work: Option<f64>,
    pub(crate) server: &'a Endpoint,
    /// It was not fetched from the origin, as far as is known.
    pub(crate) hit: bool,
}

/// Index of a label in a list by label; None has the first index.
pub(crate) fn label_index(label: Option<u16>) -> usize {
    label.map_or(0, |label| usize::from(label) + 1)
}

/// Element of a label in a list by label, which is extended with `initial` as needed.
pub(crate) fn label_slot<T: Clone>(list: &mut Vec<T>, label: Option<u16>, initial: T) -> &mut T {
    let index = label_index(label);
    if list.len() <= index {
        list.resize(index + 1, initial);
    }
    &mut list[index]
}

impl LatencyEstimates {
    /// Estimates for classes with these latency objectives, before any response.
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

    /// Updates the estimates with a response.
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
        // Subtracts most of the network latency to the zone; the rest is due to the machine.
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

    /// Speed of a kind of machine relative to the average of all kinds; 1 if there are no samples of it.
    /// Rounded to steps, so that nodes agree.
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
