//! When requests may cross the link, and how traffic returns to the near site.
//!
//! A [`CircuitBreaker`] holds the state of one link. It opens after consecutive failures, tests the link with one probe
//! request at a time after a backoff that doubles up to a maximum, and bounds the requests in flight over the link by a
//! budget that successes refill. A [`RecoveryRamp`] holds the share of requests that the near fleet serves; after an
//! outage the share grows linearly while the fleet warms up.

use sloewick_decision::api::Micros;

/// Limits of a circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreakerLimits {
    /// Consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// How long the breaker is open at first, in microseconds. The time doubles with each probe request that fails.
    pub initial_backoff: Micros,
    /// Longest time between two probe requests, in microseconds.
    pub max_backoff: Micros,
    /// Maximum number of requests that may be in flight, or have failed without a success to compensate.
    pub budget: f64,
    /// What a success adds to the budget beyond its own request.
    pub budget_per_success: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed {
        consecutive_failures: u32,
    },
    Open {
        until: Micros,
        backoff: Micros,
    },
    /// One probe request is in flight.
    HalfOpen {
        backoff: Micros,
    },
}

/// How a request that crossed the link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossingOutcome {
    /// The far site served it.
    Served,
    /// The far site rejected it: the link works, but the far site has no capacity.
    Rejected,
    /// The link broke, there was no response in time, or the far site failed.
    Failed,
    /// It was cancelled here, which says nothing of the link.
    Cancelled,
}

/// The circuit breaker of one link.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: CircuitBreakerLimits,
    state: State,
    tokens: f64,
}

impl CircuitBreaker {
    /// A closed breaker with a full budget.
    pub fn new(limits: CircuitBreakerLimits) -> CircuitBreaker {
        CircuitBreaker {
            limits,
            state: State::Closed {
                consecutive_failures: 0,
            },
            tokens: limits.budget,
        }
    }

    /// Whether a request may cross now. If so it is in flight until [`CircuitBreaker::record`].
    pub fn try_cross(&mut self, now: Micros) -> bool {
        match self.state {
            State::Closed { .. } if self.tokens >= 1.0 => {
                self.tokens -= 1.0;
                true
            }
            State::Open { until, backoff } if now >= until => {
                self.state = State::HalfOpen { backoff };
                true
            }
            _ => false,
        }
    }

    /// Records how a request that crossed has ended.
    pub fn record(&mut self, now: Micros, outcome: CrossingOutcome) {
        self.refill(outcome);
        self.state = match (self.state, outcome) {
            (State::HalfOpen { .. }, CrossingOutcome::Served) => {
                // The far site has only just recovered: begin with a single request.
                self.tokens = 1.0;
                State::Closed {
                    consecutive_failures: 0,
                }
            }
            (State::HalfOpen { backoff }, CrossingOutcome::Cancelled) => State::Open {
                until: now,
                backoff,
            },
            (State::HalfOpen { backoff }, _) => {
                open(now, (backoff * 2).min(self.limits.max_backoff))
            }
            (State::Closed { .. }, CrossingOutcome::Served) => State::Closed {
                consecutive_failures: 0,
            },
            (
                State::Closed {
                    consecutive_failures,
                },
                CrossingOutcome::Failed,
            ) => self.after_failure(now, consecutive_failures + 1),
            // Rejections leave the breaker as it is, and so do requests that were in flight when it opened.
            (state, _) => state,
        };
    }

    /// Returns the token of a request that has ended, if the link served it or it says nothing of the link.
    fn refill(&mut self, outcome: CrossingOutcome) {
        let max_tokens = self.limits.budget;
        self.tokens = match outcome {
            CrossingOutcome::Served => {
                (self.tokens + 1.0 + self.limits.budget_per_success).min(max_tokens)
            }
            CrossingOutcome::Cancelled => (self.tokens + 1.0).min(max_tokens),
            CrossingOutcome::Rejected | CrossingOutcome::Failed => self.tokens,
        };
    }

    /// The state of a closed breaker after a failure.
    fn after_failure(&self, now: Micros, consecutive_failures: u32) -> State {
        if consecutive_failures >= self.limits.failure_threshold {
            open(now, self.limits.initial_backoff)
        } else {
            State::Closed {
                consecutive_failures,
            }
        }
    }

    /// Whether the breaker is open or half open.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }
}

/// A breaker that is open from now on.
fn open(now: Micros, backoff: Micros) -> State {
    State::Open {
        until: now + backoff,
        backoff,
    }
}

/// Whether the near fleet serves requests.
#[derive(Clone, Copy, Debug)]
enum NearFleet {
    /// It has not failed.
    Serving,
    Failed,
    Recovering {
        since: Micros,
    },
}

/// The share of requests that the near fleet serves after an outage.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryRamp {
    initial_fraction: f64,
    duration: Micros,
    near_fleet: NearFleet,
}

impl RecoveryRamp {
    /// A ramp of a fleet that serves all requests. After an outage the share grows from `initial_fraction` to 1 within
    /// `duration`, in microseconds.
    pub fn new(initial_fraction: f64, duration: Micros) -> RecoveryRamp {
        RecoveryRamp {
            initial_fraction,
            duration,
            near_fleet: NearFleet::Serving,
        }
    }

    /// The near fleet cannot serve.
    pub fn fail(&mut self) {
        self.near_fleet = NearFleet::Failed;
    }

    /// The near fleet can serve again. Does nothing unless it had failed.
    pub fn recover(&mut self, now: Micros) {
        if matches!(self.near_fleet, NearFleet::Failed) {
            self.near_fleet = NearFleet::Recovering { since: now };
        }
    }

    /// The fraction of requests that the near fleet is to serve, from 0 to 1.
    pub fn fraction(&self, now: Micros) -> f64 {
        match self.near_fleet {
            NearFleet::Serving => 1.0,
            NearFleet::Failed => 0.0,
            NearFleet::Recovering { since } => {
                let progress = (now - since) as f64 / self.duration.max(1) as f64;
                (self.initial_fraction + (1.0 - self.initial_fraction) * progress).clamp(0.0, 1.0)
            }
        }
    }
}

#[cfg(test)]
#[path = "circuit_breaker_tests.rs"]
mod tests;
