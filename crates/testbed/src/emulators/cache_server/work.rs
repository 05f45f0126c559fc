//! Work of the emulated core: the queue, the duration of each task, and the crash of a cold server that is overloaded.

use sloewick_decision::api::Micros;

use super::{CacheServer, Job, Timer};
use crate::checker::observations::{AttemptOutcome, Event};
use crate::port::SendTimes;
use crate::requirements::with_allowance_for_chance;

impl<N: SendTimes> CacheServer<N> {
    /// Returns the current speed of the core, relative to a standard core.
    pub(super) fn capacity(&self) -> f64 {
        let age =
            (self.port.now() - self.started_at) as f64 / self.settings.warm_after.max(1) as f64;
        let warm = if self.settings.cold {
            (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
        } else {
            1.0
        };
        self.settings.speed * warm
    }

    /// Counts the mean work of a received attempt. A cold server that has received too much crashes.
    pub(super) fn count_received_work(&mut self, mean_work: Micros) {
        let now = self.port.now();
        self.recent_work.push_back((now, mean_work));
        self.recent_work_sum += mean_work;
        while let Some((at, old)) = self
            .recent_work
            .front()
            .copied()
            .filter(|(at, _)| now - at > self.settings.fall)
        {
            debug_assert!(at <= now);
            self.recent_work_sum -= old;
            self.recent_work.pop_front();
        }
        let is_cold = self.settings.cold && now - self.started_at < self.settings.warm_after;
        let least_work = self.settings.read_work.min(self.settings.write_work).max(1) as f64;
        let budget = self.settings.fall_multiple * self.capacity() * self.settings.fall as f64;
        let limit = with_allowance_for_chance(budget / least_work) * least_work;
        if is_cold && self.settings.fall_multiple > 0.0 && self.recent_work_sum as f64 > limit {
            self.recorder.record(
                self.port.unix(),
                Event::ServerOverloaded {
                    server: self.settings.number,
                },
            );
            self.crash();
        }
    }

    /// Ends the emulated process: all its connections close.
    pub(super) fn crash(&mut self) {
        self.has_crashed = true;
        for job in std::mem::take(&mut self.queue) {
            self.report_outcome(&job, AttemptOutcome::Interrupted);
        }
        if let Some((_, Some(job))) = self.core.take() {
            self.report_outcome(&job, AttemptOutcome::Interrupted);
        }
        let mut calls: Vec<(u64, Job)> =
            std::mem::take(&mut self.origin_calls).into_iter().collect();
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

    /// Starts the core's next task if it is idle: handshakes of new connections first, then attempts.
    pub(super) fn start_next_task(&mut self) {
        let now = self.port.now();
        if self.core.is_some() || now < self.stalled_until {
            return;
        }
        let (work, job) = if self.pending_handshakes > 0 {
            self.pending_handshakes -= 1;
            (self.settings.handshake, None)
        } else {
            loop {
                match self.queue.pop_front() {
                    None => return,
                    Some(job) if job.expires_at <= now => self.reject(&job),
                    Some(job) => break (job.work, Some(job)),
                }
            }
        };
        self.last_core_task += 1;
        let time = work as f64 / self.capacity() * self.slowdown;
        self.port
            .set_timer(now + time as Micros, Timer::CoreDone(self.last_core_task));
        self.core = Some((self.last_core_task, job));
    }

    pub(super) fn core_done(&mut self, number: u64) {
        if self.core.as_ref().is_none_or(|(n, _)| *n != number) {
            return;
        }
        if self.port.now() < self.stalled_until {
            return self
                .port
                .set_timer(self.stalled_until, Timer::CoreDone(number));
        }
        let job = self.core.take().and_then(|(_, job)| job);
        if let Some(job) = job {
            if job.write {
                self.call_origin(job, true);
            } else if self.is_cached(&job.key) {
                self.send_result(&job, "hit");
            } else {
                self.call_origin(job, false);
            }
        }
        self.start_next_task();
    }
}
