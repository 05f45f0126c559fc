//! Which servers fail or are silent: evidence from the outcomes of attempts and probes.

use super::{Balancer, LATE_SPAN, PASS_LEAST, SICK_ODDS, SICK_PAUSE, SLOW_LEAST};
use crate::api::{Action, Micros, ServerId, Status};
use crate::origin_health::FALL;

impl Balancer {
    pub(super) fn judge(
        &mut self,
        now: Micros,
        server: &ServerId,
        status: Option<Status>,
        actions: &mut Vec<Action>,
    ) {
        self.note_fate(now, server, status, actions);
        let line = if self.far.index.contains_key(server) {
            &mut self.far
        } else {
            &mut self.line
        };
        let Some(i) = line.index.get(server).copied() else {
            return;
        };
        let least = (SICK_PAUSE * self.set.connect_timeout).max(10 * self.set.tick);
        let most = (self.set.warm_up_time / 2).max(least);
        let s = &mut line.servers[i];
        if status == Some(Status::Rejected) {
            s.pass = (s.pass * (1.0 - FALL)).max(PASS_LEAST);
        }
        s.streak += match status {
            Some(Status::Ok | Status::Miss) => {
                (s.streak, s.pause) = (0.0, 0);
                return;
            }
            // Refused: "not to this node", however many other servers did the same.
            Some(Status::ConnectFailed) => SICK_ODDS.ln(),
            // Guards against sound servers left out because kept connections end at all of them: two in a row
            // look like a crash only where few break.
            Some(Status::Reset) => (SICK_ODDS.ln() / 2.0).min(-self.broken.ln()),
            None => -self.slow.max(SLOW_LEAST).ln(),
            // Late time-outs and errors tell as much of the origin and the load as of the server.
            Some(_) => return,
        };
        if s.streak < SICK_ODDS.ln() - 1e-9 || (s.sick() && now < s.sick_until) {
            return;
        }
        s.pause = (s.pause * 2).clamp(least, most);
        s.sick_until = now + s.pause;
        s.trial_until = 0;
        let why = status.map_or("silence".to_string(), |s| s.to_string());
        let text = format!(
            "sick: {} paused {} ms after {why}",
            s.entry.server,
            s.pause / 1000
        );
        self.log(text, actions);
    }

    /// Attempts of a request that passed their patience.
    pub(super) fn note_silence(&mut self, now: Micros, serial: u64, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&serial).filter(|h| !h.streaming) else {
            return;
        };
        let mut silent = Vec::new();
        for a in &mut held.attempts {
            if a.pending() && !a.silent && now >= a.sent + a.patience {
                a.silent = true;
                silent.push(a.server.clone());
            }
        }
        let (fetch, asked) = (held.doubtful, held.asked());
        for server in silent {
            if let Some(i) = self.line.index.get(&server) {
                if !fetch {
                    let pass = &mut self.line.servers[*i].pass;
                    *pass = (*pass * (1.0 - FALL)).max(PASS_LEAST);
                }
                self.outliers
                    .note(now, &server, asked, true, self.line.servers.len());
            }
            self.slow += (1.0 - self.slow) / LATE_SPAN;
            self.judge(now, &server, None, actions);
        }
    }
}
