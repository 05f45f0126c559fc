//! Whether the origin jams: hardly a fetch is answered in time any more, at whatever server.
//!
//! An origin that is asked for more than it can do, or that is slower for a while, answers everything late. A node that
//! gives late requests up and closes their connections has their fetches dropped; then no cache is filled, every request
//! becomes a fetch, and the jam outlives its cause. So a node has to know that it is in one, and one server or one key
//! tells it nothing: it meets each server once in some seconds. The evidence is pooled over all servers.
//!
//! It has to be told from servers that are short of work time, where just the opposite is right. There, hits and fetches are late
//! alike, and of those that are answered as many are fetches as ever. In a jam hits are answered as fast as ever, and
//! fetches and writes hardly at all. So answered fetches weigh most, answered hits tell that none was among them, and a read that was
//! not answered, which may have waited for a server, tells little.
//!
//! The test is a cumulative sum of log likelihood ratios (Page, "Continuous inspection schemes", Biometrika 41, 1954)
//! of "one fetch in [`LEFT`] is still answered" against what is usual here, for each need by itself: learned soon in calm, and slowly in a jam.
//!
//! Guarantees: nothing but failures and hits begins a jam, at least four outcomes are needed; answered fetches end it within
//! two; with no outcomes, a jam is forgotten within three times [`FADE`]. Bounded state.

/// Microseconds.
pub type Micros = i64;

/// Of the fetches that are usually answered in time, one in so many is in a jam.
const LEFT: f64 = 10.0;
/// The sum at which a jam is on, and below which it is over. Between them it stays what it was. Runs of hits and time-outs come by
/// chance: at 3.5 a third of all nodes believed in a jam at some time of a calm day, for 1.8% of their requests.
const ON: f64 = 6.0;
const NEAR: f64 = 2.0;
const OVER: f64 = 0.0;
/// Bounds of the sum: a long calm must not hide a jam for long, nor a long jam its end.
const LEAST: f64 = -1.0;
const MOST: f64 = 6.9;
/// What an answer of the origin says in a jam: its queue is short again, or this one would not have come in time. Two end any jam.
const ENDS: f64 = -MOST / 2.0;
/// What a failed write says at most, and what a failed read does: a server may be why it failed.
const WRITE_MOST: f64 = 1.5;
const READ_MOST: f64 = 0.3;
/// What an answer says of which nobody knows whether it was fetched.
const UNTOLD: f64 = -0.5;
/// Bounds of what is usual: shares near one would make any outcome of the other kind decide alone.
const LOST_MOST: f64 = 0.6;
const LATE_MOST: f64 = 0.9;
/// The time in which what was seen fades to 1/e.
const FADE: Micros = 10_000_000;
/// Outcomes over which the usual shares are averaged, and those that what is assumed before the first one counts for.
const SPAN: f64 = 128.0;
const ASSUMED: f64 = 16.0;
/// The same in a jam: what is taken for one for a minute or more may be what is usual here.
const SPAN_JAMMED: f64 = 1024.0;

/// What was asked of the origin, as far as the node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A read of what was served lately: fetched only where a write or time has voided the copy.
    Known,
    /// A read that may have to be fetched.
    Doubtful,
    /// A write, which always goes there.
    Write,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Answered in time from what the server kept.
    Kept,
    /// Answered in time by the origin.
    Fetched,
    /// Answered in time; nobody tells how.
    Answered,
    /// Not answered in time, or turned away by a server that held too many.
    Late,
}

/// A share among outcomes, learned from some: soon from the first ones, or a node that has just started would judge by what
/// is usual elsewhere.
#[derive(Clone, Debug)]
struct Share {
    share: f64,
    seen: f64,
}

impl Share {
    fn new(share: f64) -> Share {
        Share {
            share,
            seen: ASSUMED,
        }
    }

    fn note(&mut self, is: bool, jammed: bool) {
        let span = if jammed { SPAN_JAMMED } else { self.seen };
        self.seen = (self.seen + 1.0).min(SPAN);
        self.share += (f64::from(u8::from(is)) - self.share) / span;
    }
}

/// What is usual for one need.
#[derive(Clone, Debug)]
struct Usual {
    /// Fetches among told answers, as far as some were seen; and what is assumed of them until then.
    fetched: Share,
    needed: Share,
    /// Those not answered in time, and the least part of them that is taken for usual.
    late: Share,
    least: f64,
}

impl Usual {
    fn new(needed: f64, late: f64, least: f64) -> Usual {
        Usual {
            fetched: Share::new(0.0),
            needed: Share::new(needed),
            late: Share::new(late),
            least,
        }
    }

    /// What this outcome says for a jam: the logarithm of its odds.
    fn tells(&self, came: Came, most: f64) -> f64 {
        let lost = |fetched: &Share| fetched.share * (1.0 - 1.0 / LEFT);
        match came {
            // Of those that are answered: so late answers, which servers may be to blame for, do not count twice. Nothing is
            // missed among hits where nothing was fetched before.
            Came::Kept => -(1.0 - lost(&self.fetched).min(LOST_MOST)).ln(),
            Came::Fetched => -LEFT.ln(),
            Came::Answered => UNTOLD,
            // As far as such requests need the origin: where caches hold all, servers are what is late.
            Came::Late => {
                let late = self.late.share.clamp(self.least, LATE_MOST);
                ((late + (1.0 - late) * lost(&self.needed)) / late)
                    .ln()
                    .min(most)
            }
        }
    }

    fn note(&mut self, came: Came, jammed: bool) {
        if matches!(came, Came::Kept | Came::Fetched) {
            self.fetched.note(came == Came::Fetched, jammed);
            self.needed.note(came == Came::Fetched, jammed);
        }
        self.late.note(came == Came::Late, jammed);
    }
}

/// What a node knows of the origin.
#[derive(Clone, Debug)]
pub struct Jam {
    sum: f64,
    at: Micros,
    on: bool,
    /// Reads of what was served lately, reads in doubt, writes.
    usual: [Usual; 3],
}

impl Jam {
    /// A node that has just started. It knows of no jam, and of a little less calm than one that has seen some.
    pub fn new(now: Micros) -> Jam {
        let usual = [
            Usual::new(0.01, 0.05, 0.02),
            Usual::new(0.7, 0.3, 0.05),
            Usual::new(1.0, 0.05, 0.01),
        ];
        Jam {
            sum: 0.0,
            at: now,
            on: false,
            usual,
        }
    }

    /// Whether there is one.
    pub fn on(&self, now: Micros) -> bool {
        self.on && self.faded(now) > ON / 10.0
    }

    /// Whether there is one or may be: enough to leave out what is done for good measure, too little to refuse anything.
    pub fn near(&self, now: Micros) -> bool {
        self.on(now) || self.faded(now) >= NEAR
    }

    fn faded(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at).max(0) as f64) / FADE as f64).exp()
    }

    /// An attempt ended.
    pub fn note(&mut self, now: Micros, need: Need, came: Came) {
        let on = self.on(now);
        let usual = &mut self.usual[need as usize];
        let tells = usual.tells(
            came,
            if need == Need::Write {
                WRITE_MOST
            } else {
                READ_MOST
            },
        );
        let tells = if on && came == Came::Fetched {
            tells.min(ENDS)
        } else {
            tells
        };
        self.sum = (self.faded(now) + tells).clamp(LEAST, MOST);
        self.at = self.at.max(now);
        self.on = if on { self.sum > OVER } else { self.sum >= ON };
        self.usual[need as usize].note(came, self.on);
    }
}

#[cfg(test)]
#[path = "detector_tests.rs"]
mod tests;
