//! Attempts at the servers and at the origin: queueing, processing, cache lookup, fetch and answer.

use sloewick_decision::api::{CacheResult, Micros, Status};

use super::Model;
use crate::attempt::{Attempt, AttemptIndex, AttemptStage};
use crate::event_queue::FleetEvent;

impl Model {
    /// Adds an attempt to its server's queue, or rejects it if the queue is full.
    pub(super) fn enqueue(&mut self, index: AttemptIndex) {
        let server = self.attempts[index].server;
        if self.servers[server].queue.len() >= self.site.max_server_queue {
            return self.answer(index, Status::Rejected, None);
        }
        self.servers[server].queue.push_back(index);
        if self.servers[server].active.is_none() {
            self.start_next(server);
        }
    }

    /// Starts a server's core on the attempt at the head of its queue, if there is one.
    fn start_next(&mut self, server: usize) {
        let Some(index) = self.servers[server].queue.pop_front() else {
            return;
        };
        let attempt = &mut self.attempts[index];
        attempt.stage = AttemptStage::Processing;
        let node = attempt.node;
        let mut work = self.draw_exponential(self.site.mean_work);
        if !self.servers[server].take_idle_connection(node) {
            work += self.site.handshake_work as Micros;
        }
        let work_serial = self.servers[server].start_work(index);
        self.schedule(
            work,
            FleetEvent::WorkDone {
                server,
                work_serial,
            },
        );
    }

    /// Completes the work of a server's core, unless this work was aborted, and starts the next.
    pub(super) fn work_done(&mut self, server: usize, work_serial: u64) {
        if self.servers[server].work_serial != work_serial {
            return;
        }
        if let Some(index) = self.servers[server].active.take() {
            self.process(index);
        }
        self.start_next(server);
    }

    /// Handles an attempt at the end of its work: the server answers hits itself and forwards all other requests to the origin.
    fn process(&mut self, index: AttemptIndex) {
        let Attempt {
            server, key, write, ..
        } = self.attempts[index];
        if server < self.site.faulty_servers {
            return self.answer(index, Status::Error, None);
        }
        if !write && self.servers[server].cached.contains(&key) {
            return self.answer(index, Status::Ok, Some(CacheResult::Hit));
        }
        if self.servers[server].fetches >= self.site.max_server_fetches {
            return self.answer(index, Status::Rejected, None);
        }
        if self.origin_queue.len() >= self.site.max_origin_queue {
            return self.answer(index, Status::Error, None);
        }
        self.attempts[index].stage = AttemptStage::AtOrigin;
        self.servers[server].fetches += 1;
        self.origin_queue.push_back(index);
        if self.origin_queue.len() == 1 {
            self.start_origin();
        }
        self.schedule(self.site.fetch_timeout, FleetEvent::FetchTimeout(index));
    }

    /// Starts the origin on the head of its queue. The origin also works on fetches for which no server waits any more.
    fn start_origin(&mut self) {
        let slowdown = self.site.origin_slowdown(self.now);
        let duration = self.draw_exponential(1e6 / self.site.origin_rate * slowdown);
        self.schedule(duration, FleetEvent::OriginDone);
    }

    pub(super) fn origin_done(&mut self) {
        if let Some(index) = self.origin_queue.pop_front() {
            self.schedule(self.site.origin_latency, FleetEvent::FetchDone(index));
        }
        if !self.origin_queue.is_empty() {
            self.start_origin();
        }
    }

    /// Handles the origin's answer at the server. A completed write invalidates the key at all servers, even if its server no
    /// longer waits.
    pub(super) fn fetch_done(&mut self, index: AttemptIndex) {
        let Attempt {
            server,
            key,
            write,
            stage,
            ..
        } = self.attempts[index];
        if write {
            for server in &mut self.servers {
                server.cached.remove(&key);
            }
        }
        if stage != AttemptStage::AtOrigin {
            self.counts().abandoned_fetches += 1;
            return;
        }
        self.servers[server].fetches -= 1;
        if !write {
            self.servers[server].cached.insert(key);
        }
        self.answer(index, Status::Ok, Some(CacheResult::Miss));
    }

    /// Cancels an attempt by closing its connection: it leaves the queue, its work stops, and a fetch in flight does not
    /// fill the cache.
    pub(super) fn cancel_attempt(&mut self, index: AttemptIndex) {
        let Attempt { server, stage, .. } = self.attempts[index];
        self.attempts[index].awaited = false;
        match stage {
            AttemptStage::Queued => self.servers[server].queue.retain(|queued| *queued != index),
            AttemptStage::Processing => {
                self.servers[server].abort_work();
                self.start_next(server);
            }
            AttemptStage::AtOrigin => self.servers[server].fetches -= 1,
            AttemptStage::Done => {}
        }
        self.attempts[index].stage = AttemptStage::Done;
    }

    /// Answers an attempt and makes its connection idle. If its node no longer awaits the attempt, it only marks it as done.
    pub(super) fn answer(
        &mut self,
        index: AttemptIndex,
        status: Status,
        cache_result: Option<CacheResult>,
    ) {
        let attempt = &mut self.attempts[index];
        attempt.stage = AttemptStage::Done;
        if !std::mem::replace(&mut attempt.awaited, false) {
            return;
        }
        let (server, node) = (attempt.server, attempt.node);
        self.servers[server].return_connection(node);
        self.attempt_ended(index, status, cache_result);
    }
}
