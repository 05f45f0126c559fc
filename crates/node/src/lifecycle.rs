//! Whether the node takes clients, and when it lets go of those that it has. No I/O; time is an argument.
//!
//! Guaranteed: a node that is told to leave lets go of each connection right behind an answer, or after a
//! bounded quiet time if nothing is asked on it; one that stops ends by a stated time whatever its clients do;
//! a stop is never taken back, an evacuation can be.

use sloewick_decision::api::Micros;

/// How long connections are still accepted after SIGTERM where nobody else listens: they go on coming for 0.4 s.
const ACCEPT_AFTER_STOP: Micros = 500_000;
/// A node that was told to stop is killed 0.7 s after the longest deadline at the soonest, of which 3 s count at most.
const LONGEST_COUNTED: Micros = 3_000_000;
/// It ends before.
const STOP_SLACK: Micros = 600_000;
/// And whatever is open by then has its final answer so long after that deadline: the rest is for writing it out.
const ANSWER_SLACK: Micros = 400_000;
/// The times of evacuating and of getting ready are those of the page on daily operation, the same for every customer.
/// While evacuating, how long a connection may ask for nothing; 4 s after the call none may be left.
const QUIET_EVACUATING: Micros = 2_000_000;
/// While stopping; what is asked last has the time that is left until the last answers.
const QUIET_STOPPING: Micros = 1_000_000;
/// A connection that came while the node was leaving has so long to ask for something.
const QUIET_NEW: Micros = 500_000;
/// A node that inherits its listener is not needed at once: so long it waits for a list from discovery before
/// it says that it is ready. 6 s after the start it has to have said so.
const LIST_WAIT: Micros = 4_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Serving,
    /// Operators sent the clients away, then.
    Evacuating(Micros),
    /// SIGTERM came then.
    Stopping(Micros),
    /// The same, and no connection is accepted any more.
    Closed(Micros),
}

/// What is to be done about connections that wait to be accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Accept {
    Go,
    /// Those that wait are the last ones; then the listener is closed.
    Last,
    No,
}

/// The state of a node towards its clients and its operators.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// The clients' listener is held by the platform, and another process may accept from it.
    shared: bool,
    /// A list came from discovery.
    told: bool,
    /// A list is there at all.
    listed: bool,
    /// When, after a planned stop began, all that is open gets its final answer, and the process ends.
    answer_by: Micros,
    exit_by: Micros,
}

impl Lifecycle {
    /// `shared`: the clients' listener was inherited. `listed`: the configuration brought a list.
    pub fn new(shared: bool, listed: bool) -> Lifecycle {
        Lifecycle {
            phase: Phase::Serving,
            shared,
            told: false,
            listed,
            answer_by: Micros::MAX,
            exit_by: Micros::MAX,
        }
    }

    /// Discovery has told a list.
    pub fn told(&mut self) {
        (self.told, self.listed) = (true, true);
    }

    /// What PING says: no only while the clients are sent away. A front that hears it sends no more; at a
    /// planned stop it is the platform that tells the front.
    pub fn says_yes(&self) -> bool {
        !matches!(self.phase, Phase::Evacuating(_))
    }

    /// Whether this process is ready to serve.
    pub fn ready(&self, now: Micros) -> bool {
        self.phase == Phase::Serving && self.informed(now)
    }

    /// Whether what this process knows is worth telling to the next one. Sent away from, it still is; one that stops has
    /// been succeeded.
    pub fn tells(&self, now: Micros) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Evacuating(_)) && self.informed(now)
    }

    fn informed(&self, now: Micros) -> bool {
        self.listed && (!self.shared || self.told || now >= LIST_WAIT)
    }

    /// Sends the clients away; false once the node stops.
    pub fn evacuate(&mut self, now: Micros) -> bool {
        if self.phase == Phase::Serving {
            self.phase = Phase::Evacuating(now);
        }
        matches!(self.phase, Phase::Evacuating(_))
    }

    /// Back to work; false once the node stops.
    pub fn rejoin(&mut self) -> bool {
        if let Phase::Evacuating(_) = self.phase {
            self.phase = Phase::Serving;
        }
        self.phase == Phase::Serving
    }

    /// Begins a planned stop; true the first time. `longest`: the longest deadline.
    pub fn stop(&mut self, now: Micros, longest: Micros) -> bool {
        if matches!(self.phase, Phase::Stopping(_) | Phase::Closed(_)) {
            return false;
        }
        self.phase = Phase::Stopping(now);
        let counted = longest.clamp(0, LONGEST_COUNTED);
        (self.answer_by, self.exit_by) = (now + counted + ANSWER_SLACK, now + counted + STOP_SLACK);
        true
    }

    /// From when on nothing is taken any more, and nothing may be open; never, while the node is not told to stop.
    pub fn answer_by(&self) -> Micros {
        self.answer_by
    }

    /// What to do about connections that wait on a listener; `shared` tells whether it is the inherited one.
    pub fn accepts(&self, now: Micros, inherited: bool) -> Accept {
        match self.phase {
            Phase::Serving | Phase::Evacuating(_) => Accept::Go,
            // What waits there is the other process's.
            Phase::Stopping(_) | Phase::Closed(_) if inherited => Accept::No,
            Phase::Stopping(since) if now - since < ACCEPT_AFTER_STOP => Accept::Go,
            Phase::Stopping(_) => Accept::Last,
            Phase::Closed(_) => Accept::No,
        }
    }

    /// All listeners are closed.
    pub fn closed(&mut self) {
        if let Phase::Stopping(since) = self.phase {
            self.phase = Phase::Closed(since);
        }
    }

    /// Whether a connection on which nothing is owed is ended now. `came`: when it was accepted; `asked`: when
    /// the last command came on it.
    pub fn lets_go(&self, now: Micros, came: Micros, asked: Option<Micros>) -> bool {
        let (since, quiet) = match self.phase {
            Phase::Serving => return false,
            Phase::Evacuating(since) => (since, QUIET_EVACUATING),
            Phase::Stopping(_) | Phase::Closed(_) if now >= self.answer_by => return true,
            Phase::Stopping(since) | Phase::Closed(since) => (since, QUIET_STOPPING),
        };
        asked.is_some_and(|at| at >= since) || now >= (since + quiet).max(came + QUIET_NEW)
    }

    /// Whether clients are being let go, so that connections have to be looked at.
    pub fn leaving(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether the process ends now; `held`: whether there are clients still.
    pub fn over(&self, now: Micros, held: bool) -> bool {
        // Also with connections that wait and for which there is no room: the kill that follows answers nobody.
        now >= self.exit_by || matches!(self.phase, Phase::Closed(_)) && !held
    }
}

#[cfg(test)]
#[path = "lifecycle_tests.rs"]
mod tests;
