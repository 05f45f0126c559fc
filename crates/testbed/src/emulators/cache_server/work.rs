//! Work of the emulated core: what is queued, how long it takes, and the failure of a cold server that is sent too much.

use sloewick_decision::api::Micros;

use super::{CacheServer, Due, Job};
use crate::checker::observations::{AttemptOutcome, Event};
use crate::port::SendTimes;

impl<N: SendTimes> CacheServer<N> {
    /// What it can do now, as a part of a standard core.
    pub(super) fn capacity(&self) -> f64 {
        let age = (self.port.now() - self.began) as f64 / self.set.warm_after.max(1) as f64;
        let warm = if self.set.cold {
            (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
        } else {
            1.0
        };
        self.set.speed * warm
    }

    /// Counts work that came, and falls over when that is too much for a cold box.
    pub(super) fn receive(&mut self, work: Micros) {
        let now = self.port.now();
        self.received.push_back((now, work));
        self.received_sum += work;
        while let Some((at, old)) = self
            .received
            .front()
            .copied()
            .filter(|(at, _)| now - at > self.set.fall)
        {
            debug_assert!(at <= now);
            self.received_sum -= old;
            self.received.pop_front();
        }
        let cold = self.set.cold && now - self.began < self.set.warm_after;
        let most = self.set.fall_multiple * self.capacity() * self.set.fall as f64;
        if cold && self.set.fall_multiple > 0.0 && self.received_sum as f64 > most {
            self.recorder.record(
                self.port.unix(),
                Event::ServerOverloaded {
                    server: self.set.number,
                },
            );
            self.stop();
        }
    }

    /// The process ends: all connections break.
    pub(super) fn stop(&mut self) {
        self.fallen = true;
        for job in std::mem::take(&mut self.queue) {
            self.report_outcome(&job, AttemptOutcome::Interrupted);
        }
        if let Some((_, Some(job))) = self.core.take() {
            self.report_outcome(&job, AttemptOutcome::Interrupted);
        }
        let mut calls: Vec<(u64, Job)> = std::mem::take(&mut self.calls).into_iter().collect();
        calls.sort_by_key(|(call, _)| *call);
        for (_, job) in &calls {
            self.report_outcome(job, AttemptOutcome::Interrupted);
        }
        self.port.close_listeners();
        self.port
            .conns()
            .into_iter()
            .for_each(|conn| self.port.close(conn));
        self.peers.clear();
    }

    /// Gives the core what is next: greetings of connections before attempts.
    pub(super) fn start(&mut self) {
        let now = self.port.now();
        if self.core.is_some() || now < self.stalled_until {
            return;
        }
        let (work, job) = if self.greetings > 0 {
            self.greetings -= 1;
            (self.set.handshake, None)
        } else {
            loop {
                match self.queue.pop_front() {
                    None => return,
                    Some(job) if job.over <= now => self.reject(&job),
                    Some(job) => break (job.work, Some(job)),
                }
            }
        };
        self.core_number += 1;
        let time = work as f64 / self.capacity() * self.slow;
        self.port
            .set_timer(now + time as Micros, Due::Core(self.core_number));
        self.core = Some((self.core_number, job));
    }

    pub(super) fn core_done(&mut self, number: u64) {
        if self.core.as_ref().is_none_or(|(n, _)| *n != number) {
            return;
        }
        if self.port.now() < self.stalled_until {
            return self.port.set_timer(self.stalled_until, Due::Core(number));
        }
        let job = self.core.take().and_then(|(_, job)| job);
        if let Some(job) = job {
            if job.write {
                self.ask(job, true);
            } else if self.is_cached(&job.key) {
                self.finish(&job, "hit");
            } else {
                self.ask(job, false);
            }
        }
        self.start();
    }
}
