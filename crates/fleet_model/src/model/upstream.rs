//! Attempts at the servers and at the origin: queue, core, cache, fetch, answer.

use sloewick_decision::api::{CacheResult, Micros, Status};

use super::Model;
use crate::attempt::{Attempt, AttemptIndex, Stage};
use crate::event_queue::FleetEvent;

impl Model {
    /// An attempt arrives at its server, which rejects it if its queue is full.
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

    /// A server's core takes the attempt at the head of its queue.
    fn start_next(&mut self, server: usize) {
        let Some(index) = self.servers[server].queue.pop_front() else {
            return;
        };
        let attempt = &mut self.attempts[index];
        attempt.stage = Stage::Working;
        let node = attempt.node;
        let mut work = self.draw_exponential(self.site.mean_work);
        if !self.servers[server].take_idle_connection(node) {
            work += self.site.handshake_work as Micros;
        }
        let run = self.servers[server].start_work(index);
        self.schedule(work, FleetEvent::WorkDone { server, run });
    }

    /// A run of a server's core ends, unless it was aborted before.
    pub(super) fn work_done(&mut self, server: usize, run: u64) {
        if self.servers[server].run != run {
            return;
        }
        if let Some(index) = self.servers[server].active.take() {
            self.process(index);
        }
        self.start_next(server);
    }

    /// The server answers a hit and forwards all else to the origin.
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
        self.attempts[index].stage = Stage::AtOrigin;
        self.servers[server].fetches += 1;
        self.origin_queue.push_back(index);
        if self.origin_queue.len() == 1 {
            self.start_origin();
        }
        self.schedule(self.site.fetch_timeout, FleetEvent::FetchTimeout(index));
    }

    /// The origin takes the head of its queue. It does not notice that a server has ceased to wait.
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

    /// The origin's answer arrives; a write invalidates the key at all servers.
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
        if stage != Stage::AtOrigin {
            self.counts().unawaited_fetches += 1;
            return;
        }
        self.servers[server].fetches -= 1;
        if !write {
            self.servers[server].cached.insert(key);
        }
        self.answer(index, Status::Ok, Some(CacheResult::Miss));
    }

    /// The connection of an attempt is closed: a queued attempt is dropped, work stops, a fetch does not fill the cache.
    pub(super) fn cancel_attempt(&mut self, index: AttemptIndex) {
        let Attempt { server, stage, .. } = self.attempts[index];
        self.attempts[index].awaited = false;
        match stage {
            Stage::Queued => self.servers[server].queue.retain(|queued| *queued != index),
            Stage::Working => {
                self.servers[server].abort_work();
                self.start_next(server);
            }
            Stage::AtOrigin => self.servers[server].fetches -= 1,
            Stage::Done => {}
        }
        self.attempts[index].stage = Stage::Done;
    }

    /// The server answers an attempt; its connection becomes idle. No effect on an attempt that its node no longer awaits.
    pub(super) fn answer(
        &mut self,
        index: AttemptIndex,
        status: Status,
        cache_result: Option<CacheResult>,
    ) {
        let attempt = &mut self.attempts[index];
        attempt.stage = Stage::Done;
        if !std::mem::replace(&mut attempt.awaited, false) {
            return;
        }
        let (server, node) = (attempt.server, attempt.node);
        self.servers[server].return_connection(node);
        self.attempt_ended(index, status, cache_result);
    }
}
