//! Tokens of the balancer's timers: they encode the purpose of a timer as a number, which the node passes
//! back when the timer expires.

use crate::api::{Action, Micros};
use crate::balancer::Balancer;

/// The low bits of a token that encode the timer's purpose, and the codes of the purposes.
const PURPOSE_BITS: u32 = 3;
const DEADLINE: u64 = 0;
const HEDGE: u64 = 1;
const ENDPOINT_LIST: u64 = 2;
const ZONE_PROBE: u64 = 3;
const DEDUPLICATION_WINDOW: u64 = 4;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// After this, no response to the request with this serial number is useful.
    Deadline(u64),
    /// The hedging delay of the request with this serial number has passed.
    Hedge(u64),
    /// The servers forget an attempt of the request with this serial number.
    DeduplicationWindow(u64),
    /// A poll of the endpoint list is due.
    EndpointList,
    /// A probe of this lost zone is due. None: the servers without a zone label.
    ZoneProbe(Option<u16>),
}

impl TimerToken {
    /// Returns the action that sets this timer.
    pub(crate) fn after(self, delay: Micros) -> Action {
        Action::SetTimer {
            delay,
            token: self.into(),
        }
    }
}

impl From<TimerToken> for u64 {
    fn from(token: TimerToken) -> u64 {
        let (value, purpose) = match token {
            TimerToken::Deadline(serial) => (serial, DEADLINE),
            TimerToken::Hedge(serial) => (serial, HEDGE),
            TimerToken::DeduplicationWindow(serial) => (serial, DEDUPLICATION_WINDOW),
            TimerToken::EndpointList => (0, ENDPOINT_LIST),
            TimerToken::ZoneProbe(zone) => (zone.map_or(0, |zone| u64::from(zone) + 1), ZONE_PROBE),
        };
        value << PURPOSE_BITS | purpose
    }
}

impl From<u64> for TimerToken {
    fn from(token: u64) -> TimerToken {
        let value = token >> PURPOSE_BITS;
        match token & ((1 << PURPOSE_BITS) - 1) {
            DEADLINE => TimerToken::Deadline(value),
            HEDGE => TimerToken::Hedge(value),
            DEDUPLICATION_WINDOW => TimerToken::DeduplicationWindow(value),
            ENDPOINT_LIST => TimerToken::EndpointList,
            _ => {
                let zone = value.checked_sub(1);
                TimerToken::ZoneProbe(zone.and_then(|zone| u16::try_from(zone).ok()))
            }
        }
    }
}

impl Balancer {
    /// Whether the timer with this token still has an effect: those of requests that have ended have none.
    pub fn needs_timer(&self, token: u64) -> bool {
        match token.into() {
            TimerToken::Deadline(serial)
            | TimerToken::Hedge(serial)
            | TimerToken::DeduplicationWindow(serial) => {
                self.in_flight.requests.contains_key(&serial)
            }
            TimerToken::EndpointList | TimerToken::ZoneProbe(_) => true,
        }
    }
}

#[cfg(test)]
#[path = "timer_token_tests.rs"]
mod tests;
