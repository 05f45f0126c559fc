//! When requests may cross the link, and how traffic returns to the near site.
//!
//! A [`CircuitBreaker`] holds the state of one link. It opens after consecutive failures, tests the link with one
//! probe request at a time after a backoff that doubles up to a maximum, and bounds the requests in flight over the
//! link by tokens that successes refill. A [`RecoveryRamp`] holds the fraction of requests that the near fleet
//! serves; after an outage the fraction grows linearly while the fleet warms up.

use sloewick_decision::api::Micros;

/// Limits of a circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreakerLimits {
    /// Consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time between the opening of the breaker and the first probe request, in microseconds. It doubles with each
    /// probe request that fails.
    pub initial_backoff: Micros,
    /// Longest time between two probe requests, in microseconds.
    pub max_backoff: Micros,
    /// Maximum number of tokens. Each request that crosses takes one, so this is the maximum number of requests that
    /// may be in flight, or have failed without a success to compensate.
    pub max_tokens: f64,
    /// Tokens that a success adds to the one that its own request took.
    pub tokens_per_success: f64,
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
    /// The near site cancelled it, which is no evidence of the link's state.
    Cancelled,
}

/// The circuit breaker of one link.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: CircuitBreakerLimits,
    state: State,
    /// Requests that may still cross, besides probe requests.
    tokens: f64,
}

impl CircuitBreaker {
    /// Creates a closed breaker with the maximum number of tokens.
    pub fn new(limits: CircuitBreakerLimits) -> CircuitBreaker {
        CircuitBreaker {
            limits,
            state: State::Closed {
                consecutive_failures: 0,
            },
            tokens: limits.max_tokens,
        }
    }

    /// Returns whether a request may cross now. If so, it is in flight until its outcome is passed to
    /// [`CircuitBreaker::record`].
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

    /// Records how a request that crossed the link has ended.
    pub fn record(&mut self, now: Micros, outcome: CrossingOutcome) {
        self.refill(outcome);
        self.state = match (self.state, outcome) {
            (State::HalfOpen { .. }, CrossingOutcome::Served) => {
                // The far site has just recovered: begin with a single request.
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
                open_state(now, (backoff * 2).min(self.limits.max_backoff))
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
            // Rejected and cancelled requests do not change the state of a closed breaker, nor do requests that were
            // in flight when it opened.
            (state, _) => state,
        };
    }

    /// Refills the tokens after a request has ended: a served request returns its token with
    /// `tokens_per_success`, a cancelled one returns its token only, and any other none.
    fn refill(&mut self, outcome: CrossingOutcome) {
        let max_tokens = self.limits.max_tokens;
        self.tokens = match outcome {
            CrossingOutcome::Served => {
                (self.tokens + 1.0 + self.limits.tokens_per_success).min(max_tokens)
            }
            CrossingOutcome::Cancelled => (self.tokens + 1.0).min(max_tokens),
            CrossingOutcome::Rejected | CrossingOutcome::Failed => self.tokens,
        };
    }

    /// Returns the state of a closed breaker after this number of consecutive failures.
    fn after_failure(&self, now: Micros, consecutive_failures: u32) -> State {
        if consecutive_failures >= self.limits.failure_threshold {
            open_state(now, self.limits.initial_backoff)
        } else {
            State::Closed {
                consecutive_failures,
            }
        }
    }

    /// Returns whether the breaker is open or half open.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }
}

/// Returns the state of a breaker that opens now and admits a probe request after `backoff`.
fn open_state(now: Micros, backoff: Micros) -> State {
    State::Open {
        until: now + backoff,
        backoff,
    }
}

/// Whether the near fleet serves requests.
#[derive(Clone, Copy, Debug)]
enum NearFleetState {
    /// It has not failed since the ramp was created, and serves all requests.
    Serving,
    /// It serves no requests.
    Failed,
    /// It has served a growing fraction of the requests since this time.
    Recovering { since: Micros },
}

/// The fraction of requests that the near fleet serves during and after an outage.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryRamp {
    initial_fraction: f64,
    duration: Micros,
    near_fleet: NearFleetState,
}

impl RecoveryRamp {
    /// Creates the ramp of a fleet that serves all requests. After an outage the fraction grows from
    /// `initial_fraction` to 1 within `duration`, in microseconds.
    pub fn new(initial_fraction: f64, duration: Micros) -> RecoveryRamp {
        RecoveryRamp {
            initial_fraction,
            duration,
            near_fleet: NearFleetState::Serving,
        }
    }

    /// Records that the near fleet cannot serve.
    pub fn fail(&mut self) {
        self.near_fleet = NearFleetState::Failed;
    }

    /// Records that the near fleet can serve again. Does nothing unless it had failed.
    pub fn recover(&mut self, now: Micros) {
        if matches!(self.near_fleet, NearFleetState::Failed) {
            self.near_fleet = NearFleetState::Recovering { since: now };
        }
    }

    /// Returns the fraction of requests that the near fleet is to serve now, from 0 to 1.
    pub fn fraction(&self, now: Micros) -> f64 {
        match self.near_fleet {
            NearFleetState::Serving => 1.0,
            NearFleetState::Failed => 0.0,
            NearFleetState::Recovering { since } => {
                let progress = (now - since) as f64 / self.duration.max(1) as f64;
                (self.initial_fraction + (1.0 - self.initial_fraction) * progress).clamp(0.0, 1.0)
            }
        }
    }
}

#[cfg(test)]
#[path = "circuit_breaker_tests.rs"]
mod tests;
