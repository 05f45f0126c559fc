//! What a node believes of the origin behind its servers, and what it lets through to it.
//!
//! Two beliefs, of different things. A *jam*: hardly any fetch is answered in time ([`sloewick_overload::Jam`], pooled over
//! all servers, so that a node with little traffic has it within two seconds). And *failing servers*: keys that were served
//! lately fail at the server in the middle, whatever the reason. In a jam part of what may need the origin is given up at once, the
//! rest of the fetches are left to their servers, and nothing is asked twice; while servers fail, keys not served lately are let through rarely, known keys and writes longer.
//!
//! Guarantees: while servers fail and there is no jam, an unknown key is let through once in a deadline at least; in a jam a share
//! of what comes, which is never nothing. So the end of either is seen. No clock and no chance of its own.

use sloewick_overload::{Came, Jam, Need, Opening};

use crate::api::{CacheMode, CacheResult, Micros, Status};
use crate::outlier_detection::Asked;

/// Admission: its fall with each failed attempt, its rise with each answer, its floor. In balance about one
/// attempt in six fails.
pub(crate) const FALL: f64 = 0.05;
pub(crate) const RISE: f64 = 0.01;
pub(crate) const LEAST: f64 = 0.002;
/// Failures among keys served lately above which failed fetches are taken for the origin's.
const KNOWN_LATE: f64 = 0.1;
/// Attempts for keys served lately over which the share of answered ones is averaged.
const KNOWN_SPAN: f64 = 32.0;

pub(crate) struct Origin {
    mode: CacheMode,
    jam: Jam,
    opening: Opening,
    /// Share of attempts for keys served lately that were answered. In a jam writes void them one by one.
    known: f64,
    /// Share of doubtful requests let through, and when the last one was.
    pub admit: f64,
    admitted: Micros,
}

impl Origin {
    pub fn new(mode: CacheMode, now: Micros) -> Origin {
        Origin {
            mode,
            jam: Jam::new(now),
            opening: Opening::new(now),
            known: 1.0,
            admit: 1.0,
            admitted: now,
        }
    }

    /// Whether a request of this kind is one for the origin, and the origin jams.
    pub fn jams(&self, now: Micros, asked: Asked) -> bool {
        asked != Asked::Known && self.jam.on(now)
    }

    /// Whether a second attempt may only add to what keeps the origin from answering: it jams, or may do so.
    pub fn may_jam(&self, now: Micros) -> bool {
        self.jam.near(now)
    }

    /// An attempt ended so, or was given up without an outcome.
    pub fn ended(
        &mut self,
        now: Micros,
        asked: Asked,
        status: Option<Status>,
        note: Option<CacheResult>,
    ) {
        if asked == Asked::Known
            && status.is_none_or(|s| matches!(s, Status::Ok | Status::Timeout | Status::Rejected))
        {
            self.known +=
                (f64::from(u8::from(status == Some(Status::Ok))) - self.known) / KNOWN_SPAN;
        }
        let came = match (status, note) {
            // Beside the caches the origin is asked by the node itself, and a fetch fills no cache by itself.
            _ if self.mode == CacheMode::CacheAside => return,
            (Some(Status::Ok), _) if asked == Asked::Write => Came::Fetched,
            (Some(Status::Ok), Some(CacheResult::Hit)) => Came::Kept,
            (Some(Status::Ok), Some(_)) => Came::Fetched,
            (Some(Status::Ok), None) => Came::Answered,
            (None | Some(Status::Timeout | Status::Rejected | Status::Error), _) => Came::Late,
            _ => return,
        };
        let need = match asked {
            Asked::Known => Need::Known,
            Asked::Doubtful => Need::Doubtful,
            Asked::Write => Need::Write,
        };
        self.jam.note(now, need, came);
    }

    /// Whether a request is given up at once because the origin jams, or did a moment ago: more than it can do would
    /// only keep its queue so long that nothing is answered in time. `drawn`: from 0 to 1.
    pub fn sheds(&mut self, now: Micros, asked: Asked, drawn: impl FnOnce() -> f64) -> bool {
        let open = self.opening.share(now, self.jam.on(now));
        let share = if asked == Asked::Known {
            open.max(self.known)
        } else {
            open
        };
        open < 1.0 && drawn() >= share
    }

    /// Whether a request is let through. `drawn`: from 0 to 1.
    pub fn admits(
        &mut self,
        now: Micros,
        asked: Asked,
        deadline: Micros,
        drawn: impl FnOnce() -> f64,
    ) -> bool {
        let doubt = match asked {
            Asked::Write => 0.5,
            Asked::Doubtful => 1.0,
            Asked::Known => 0.1,
        };
        let doubtful = asked == Asked::Doubtful;
        let trial = doubtful && now - self.admitted > deadline;
        let through = trial || self.admit >= 1.0 || drawn() < self.admit.powf(doubt);
        if through && doubtful {
            self.admitted = now;
        }
        through
    }

    /// A request for a key not served lately ended. `known_late`: share of attempts for keys served lately that fail
    /// at the server in the middle. A few servers that are slow or broken are not the origin.
    pub fn fetch_ended(&mut self, answered: bool, known_late: impl FnOnce() -> f64) {
        if answered {
            self.admit = (self.admit + RISE).min(1.0);
        } else if self.mode == CacheMode::CacheAside || known_late() > KNOWN_LATE {
            self.admit = (self.admit * (1.0 - FALL)).max(LEAST);
        }
    }
}
