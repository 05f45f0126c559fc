//! The deduplication of keyed requests: which servers recognise another attempt of a request, and until when.
//!
//! Guarantees: an attempt that reaches its server only after the servers have forgotten the others is cancelled, unless its server
//! has received it already; a request is rejected only if a retry is harmless.

use crate::api::{Action, Actions, DeduplicationScope, Idempotency, Micros, Settings};
use crate::balancer::Balancer;
use crate::in_flight::{Attempt, InFlightRequest};
use crate::server_health::Server;
use crate::timer_token::TimerToken;

impl InFlightRequest {
    /// Whether a keyed attempt takes no second effect if it reaches the server `to` now.
    pub(crate) fn is_deduplicated(
        &self,
        settings: &Settings,
        to: &Server,
        now: Micros,
        attempt: usize,
    ) -> bool {
        let class = &settings.classes[self.request.class];
        let (zone, cell) = (to.entry.zone, to.entry.cell);
        let is_to_known = to.is_process_known(now);
        let is_same_group = |other: &Attempt| {
            let are_known = is_to_known && other.process_known;
            match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => are_known && zone.is_some() && other.zone == zone,
                DeduplicationScope::Cell => are_known && cell.is_some() && other.cell == cell,
            }
        };
        let forgotten_at = self.forgotten_at(settings, attempt);
        self.others_that_may_have_run(attempt).all(is_same_group)
            && forgotten_at.is_none_or(|at| now + settings.tick < at)
    }

    /// Numbers of the pending attempts.
    fn pending_numbers(&self) -> impl Iterator<Item = usize> + '_ {
        let numbered = self.attempts.iter().enumerate();
        numbered
            .filter(|(_, attempt)| attempt.is_pending())
            .map(|(number, _)| number)
    }

    /// The attempts that may have run, apart from the one with the number `attempt`.
    pub(crate) fn others_that_may_have_run(
        &self,
        attempt: usize,
    ) -> impl Iterator<Item = &Attempt> {
        let numbered = self.attempts.iter().enumerate();
        numbered
            .filter(move |(number, other)| *number != attempt && other.may_have_run())
            .map(|(_, other)| other)
    }

    /// When the servers forget the first of the other attempts of a keyed request and of earlier requests with its key: from
    /// then on the attempt with the number `attempt` would take a second effect. None if nothing else may have run, and for
    /// other classes.
    pub(crate) fn forgotten_at(&self, settings: &Settings, attempt: usize) -> Option<Micros> {
        let class = &settings.classes[self.request.class];
        if class.idempotency != Idempotency::Keyed {
            return None;
        }
        let others = self.others_that_may_have_run(attempt);
        let sent = others.map(|other| other.sent);
        let first_sent = sent.chain(self.request.earlier_request_sent).min()?;
        Some(first_sent + class.deduplication_window)
    }

    /// Whether it may be rejected, which tells the client that a retry is harmless. `retry_after`: the time that the rejection
    /// tells the client to wait.
    pub(crate) fn may_reject(&self, settings: &Settings, now: Micros, retry_after: Micros) -> bool {
        let class = &settings.classes[self.request.class];
        let next_attempt = self.attempts.len();
        match class.idempotency {
            Idempotency::Idempotent => true,
            // A retry takes no second effect while the servers remember the first.
            Idempotency::Keyed if class.deduplication_scope == DeduplicationScope::All => self
                .forgotten_at(settings, next_attempt)
                .is_none_or(|at| now + retry_after + settings.tick < at),
            _ => self.others_that_may_have_run(next_attempt).next().is_none(),
        }
    }
}

impl Balancer {
    /// Sets a timer for each pending attempt of a request that must not reach its server from some time on, because the servers
    /// have forgotten the other attempts by then.
    pub(crate) fn set_deduplication_timers(&self, now: Micros, serial: u64, actions: &mut Actions) {
        let Some(request) = self.in_flight.requests.get(&serial) else {
            return;
        };
        for number in request.pending_numbers() {
            let Some(at) = request.forgotten_at(&self.settings, number) else {
                continue;
            };
            let cancel_at = at - self.settings.tick;
            if cancel_at < request.useful_until {
                let delay = (cancel_at - now).max(0);
                actions.push(TimerToken::DeduplicationWindow(serial).after(delay));
            }
        }
    }

    /// Cancels those pending attempts of a request that would take a second effect if they reached their servers only now.
    pub(crate) fn on_deduplication_timer(&self, now: Micros, serial: u64, actions: &mut Actions) {
        let Some(request) = self.in_flight.requests.get(&serial) else {
            return;
        };
        for number in request.pending_numbers() {
            let forgotten_at = request.forgotten_at(&self.settings, number);
            if forgotten_at.is_some_and(|at| now + self.settings.tick >= at) {
                actions.push(Action::CancelUnreceived {
                    request: request.request.id.clone(),
                    attempt: number,
                });
            }
        }
    }
}

#[cfg(test)]
#[path = "deduplication_tests.rs"]
mod tests;
