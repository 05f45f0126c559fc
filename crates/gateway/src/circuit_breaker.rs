//! When to cross, and how to come home: a circuit breaker with trial requests, a budget of crossings, and a share of
//! local requests that grows as the local fleet warms.

use sloewick_decision::api::Micros;

/// Figures of the breaker.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open at first, and at the most; it doubles with each trial that fails.
    pub pause: Micros,
    pub pause_most: Micros,
    /// Crossings that may be owed at once beyond what recent successes have earned.
    pub budget: f64,
    /// What a success earns.
    pub earned: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Micros,
        pause: Micros,
    },
    /// One request is out to see whether the far side serves again.
    Trial {
        pause: Micros,
    },
}

/// How a crossing ended, as the breaker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    Served,
    /// Refused by the far side: the link works, and the far side is short.
    Refused,
    /// Broken link, no answer in time, failure.
    Failed,
    /// Withdrawn here: it tells nothing.
    Withdrawn,
}

/// One link's breaker.
#[derive(Debug)]
pub struct Breaker {
    limits: Limits,
    state: State,
    tokens: f64,
}

impl Breaker {
    pub fn new(limits: Limits) -> Breaker {
        Breaker {
            limits,
            state: State::Closed { failures: 0 },
            tokens: limits.budget,
        }
    }

    /// Whether a request may cross now; if so it counts as out until [`Breaker::ended`].
    pub fn cross(&mut self, now: Micros) -> bool {
        match self.state {
            State::Closed { .. } if self.tokens >= 1.0 => {
                self.tokens -= 1.0;
                true
            }
            State::Open { until, pause } if now >= until => {
                self.state = State::Trial { pause };
                true
            }
            _ => false,
        }
    }

    /// A request that crossed has ended.
    pub fn ended(&mut self, now: Micros, how: Crossing) {
        let most = self.limits.budget;
        self.tokens = match how {
            Crossing::Served => (self.tokens + 1.0 + self.limits.earned).min(most),
            Crossing::Withdrawn => (self.tokens + 1.0).min(most),
            Crossing::Refused | Crossing::Failed => self.tokens,
        };
        self.state = match (self.state, how) {
            (State::Trial { .. }, Crossing::Served) => {
                // Few at first: what has just come back is not to be pushed over.
                self.tokens = 1.0;
                State::Closed { failures: 0 }
            }
            (State::Trial { pause }, Crossing::Withdrawn) => State::Open { until: now, pause },
            (State::Trial { pause }, _) => {
                let pause = (pause * 2).min(self.limits.pause_most);
                State::Open {
                    until: now + pause,
                    pause,
                }
            }
            (State::Closed { .. }, Crossing::Served) => State::Closed { failures: 0 },
            (State::Closed { failures }, Crossing::Failed)
                if failures + 1 >= self.limits.failures =>
            {
                let pause = self.limits.pause;
                State::Open {
                    until: now + pause,
                    pause,
                }
            }
            (State::Closed { failures }, Crossing::Failed) => State::Closed {
                failures: failures + 1,
            },
            // What was out when it opened comes in late: it changes nothing.
            (state, _) => state,
        };
    }

    pub fn open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }
}

/// Coming home: the part of requests that the local fleet serves again.
#[derive(Clone, Copy, Debug)]
pub struct Homecoming {
    /// The part it begins with, and how long until it is all.
    pub from: f64,
    pub over: Micros,
    since: Option<Micros>,
}

impl Homecoming {
    pub fn new(from: f64, over: Micros) -> Homecoming {
        Homecoming {
            from,
            over,
            since: None,
        }
    }

    /// The local fleet can't serve.
    pub fn gone(&mut self) {
        self.since = Some(Micros::MAX);
    }

    /// It can again, since now.
    pub fn back(&mut self, now: Micros) {
        if self.since == Some(Micros::MAX) {
            self.since = Some(now);
        }
    }

    /// The part that it is to get: 1 where nothing has happened.
    pub fn part(&self, now: Micros) -> f64 {
        match self.since {
            None => 1.0,
            Some(Micros::MAX) => 0.0,
            Some(since) => {
                let age = (now - since) as f64 / self.over.max(1) as f64;
                (self.from + (1.0 - self.from) * age).clamp(0.0, 1.0)
            }
        }
    }
}

#[cfg(test)]
#[path = "circuit_breaker_tests.rs"]
mod tests;
