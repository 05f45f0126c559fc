//! The tokens of the balancer's timers: what a timer is for, as the number that the node gives back when it
//! expires.

use crate::api::{Action, Micros};

/// The purpose of a timer, in the two low bits of its token.
const PURPOSE_BITS: u32 = 2;
const DEADLINE: u64 = 0;
const HEDGE: u64 = 1;
const ENDPOINT_LIST: u64 = 2;
const ZONE_PROBE: u64 = 3;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerToken {
    /// No answer to the request of this serial number is useful after this.
    Deadline(u64),
    /// The request of this serial number has waited for the hedging delay.
    Hedge(u64),
    /// The endpoint list is to be polled.
    EndpointList,
    /// A lost zone is to be probed.
    ZoneProbe(Option<u16>),
}

impl TimerToken {
    /// The action that sets this timer.
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
            ENDPOINT_LIST => TimerToken::EndpointList,
            _ => {
                let zone = value.checked_sub(1);
                TimerToken::ZoneProbe(zone.and_then(|zone| u16::try_from(zone).ok()))
            }
        }
    }
}

#[cfg(test)]
#[path = "timer_token_tests.rs"]
mod tests;
