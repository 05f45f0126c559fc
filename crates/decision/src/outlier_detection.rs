//! Which servers fail by themselves, and what part of their keys they keep meanwhile.
//!
//! Every server is taken to be sound or bad. How often an attempt fails at a sound one, how often at a bad one, and how
//! many are bad is learned over all servers together (a mixture of two Bernoulli distributions, its parameters by
//! expectation and maximization as outcomes come; Dempster, Laird and Rubin 1977, Cappé and Moulines 2009). So a node
//! that sends each server a request in some seconds knows a bad one after two or three of them: what is usual it has
//! learned from the others.
//!
//! Guarantees: where half of the servers look bad nobody is cut, nor where all fail alike; at most `CUT_MOST` of the servers
//! are cut at a time, the worst first; a server that is cut keeps at least `TRIAL` of its first attempts, and
//! what is held against it fades with time. Records are kept for listed servers alone (`retain`). No clock and no chance of its own: time and draws are arguments.

use std::collections::HashMap;

use crate::api::{Micros, ServerId};

/// The time in which what is known of a server is forgotten to 1/e.
const FADE: f64 = 20e6;
/// Logarithm of the odds of being bad, at the least and at the most. A server that was sound for long must not need
/// many failures to be found out, nor one that was bad many answers to be believed.
const ODDS_LEAST: f64 = -4.7;
const ODDS_MOST: f64 = 2.0;
/// What one failure may say at most: alone it cuts nobody where bad servers are few.
const ONE_MOST: f64 = 2.0;
/// Where the shares begin: failing share at sound and at bad servers, and the outcomes that this is worth.
const SOUND: f64 = 0.1;
const BAD: f64 = 0.8;
const BEGIN: f64 = 10.0;
/// Outcomes over which the shares are averaged.
const POOL: f64 = 256.0;
/// Servers that are bad where nothing is known, of so many.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_ALL: f64 = 10.0;
/// Probability of being bad at which a server loses keys, and how far above it nothing but trials is left to it.
const BAR: f64 = 0.5;
const RAMP: f64 = 0.35;
/// Part of the first attempts for its keys that a cut server is given to prove itself.
pub const TRIAL: f64 = 0.1;
/// Most of the servers that are cut at a time.
const CUT_MOST: f64 = 1.0 / 3.0;
/// Notes between two looks at the whole fleet.
const LOOK_EVERY: u32 = 8;

/// What an attempt asked for. Each has shares of its own: what waits for the origin fails more often everywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    /// A key that was served lately.
    Known,
    /// A key that may have to be fetched.
    Doubtful,
    /// A write.
    Write,
}

/// A share of failures, averaged.
struct Share {
    share: f64,
    count: f64,
}

impl Share {
    fn new(share: f64) -> Share {
        Share {
            share,
            count: BEGIN,
        }
    }

    fn note(&mut self, failed: f64, weight: f64) {
        self.count = (self.count + weight).min(POOL);
        self.share += (failed - self.share) * weight / self.count;
    }
}

/// What is known of one server: logarithm of the odds that its outcomes speak of a bad one.
struct Record {
    against: f64,
    noted: Micros,
}

impl Record {
    fn against(&self, now: Micros) -> f64 {
        self.against * (-((now - self.noted).max(0) as f64) / FADE).exp()
    }
}

/// What is known of all listed servers, and who is cut.
pub struct Outliers {
    records: HashMap<ServerId, Record>,
    /// For each [`Asked`]: at sound servers, at bad ones.
    shares: [(Share, Share); 3],
    /// Logarithm of the odds of being bad before any evidence.
    prior: f64,
    /// Servers that are cut, with the part of their keys that they keep. Bounded by `CUT_MOST`.
    cut: HashMap<ServerId, f64>,
    notes: u32,
}

impl Default for Outliers {
    fn default() -> Outliers {
        Outliers {
            records: HashMap::new(),
            shares: std::array::from_fn(|_| (Share::new(SOUND), Share::new(BAD))),
            prior: odds(PRIOR_BAD / PRIOR_ALL),
            cut: HashMap::new(),
            notes: 0,
        }
    }
}

fn odds(probability: f64) -> f64 {
    (probability / (1.0 - probability)).ln()
}

fn probability(odds: f64) -> f64 {
    1.0 / (1.0 + (-odds).exp())
}

impl Outliers {
    /// Forgets servers that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.records.retain(|id, _| listed(id));
        self.cut.retain(|id, _| listed(id));
    }

    /// Forgets what is held against a server: another process runs there now.
    pub fn restarted(&mut self, server: &str) {
        self.records.remove(server);
        self.cut.remove(server);
    }

    /// Probability that a server is bad, as far as its own outcomes say beside a fleet of which nothing is known.
    pub fn share(&self, now: Micros, server: &str) -> f64 {
        let against = self
            .records
            .get(server)
            .map_or(0.0, |record| record.against(now));
        if against > 0.0 {
            probability(odds(PRIOR_BAD / PRIOR_ALL) + against)
        } else {
            0.0
        }
    }

    /// Holds against a server what was held against it at this time. Who is cut shows with the next outcomes.
    pub fn recall(&mut self, at: Micros, server: &ServerId, share: f64) {
        if share > 0.0 {
            let against = odds(share.clamp(1e-9, 1.0 - 1e-9)) - odds(PRIOR_BAD / PRIOR_ALL);
            let against = against.clamp(0.0, ODDS_MOST - ODDS_LEAST);
            self.records
                .insert(server.clone(), Record { against, noted: at });
            self.notes = LOOK_EVERY;
        }
    }

    /// An attempt at a server ended by the server's own doing: answered, or not.
    pub fn note(
        &mut self,
        now: Micros,
        server: &ServerId,
        asked: Asked,
        failed: bool,
        servers: usize,
    ) {
        self.notes = self.notes.saturating_add(1);
        let fresh = || Record {
            against: 0.0,
            noted: now,
        };
        let record = self.records.entry(server.clone()).or_insert_with(fresh);
        let before = record.against(now);
        let (sound, bad) = &mut self.shares[asked as usize];
        // A share at bad servers that is no higher than at sound ones tells nothing.
        let (low, high) = (
            sound.share.clamp(0.01, 0.98),
            bad.share.clamp(0.02, 0.99).max(sound.share + 0.01),
        );
        let tells = if failed {
            (high / low).ln().min(ONE_MOST)
        } else {
            ((1.0 - high) / (1.0 - low)).ln()
        };
        record.against = (before + tells).clamp(ODDS_LEAST - self.prior, ODDS_MOST - self.prior);
        record.noted = now;
        let is_bad = probability(self.prior + before);
        let failing = f64::from(u8::from(failed));
        sound.note(failing, 1.0 - is_bad);
        bad.note(failing, is_bad);
        if failed || self.notes >= LOOK_EVERY || self.cut.contains_key(server) {
            self.look(now, servers);
        }
    }

    /// Holds every server against all `servers` that are listed.
    fn look(&mut self, now: Micros, servers: usize) {
        self.notes = 0;
        self.cut.clear();
        let against = self
            .records
            .iter()
            .map(|(id, record)| (record.against(now), id));
        let mut all: Vec<(f64, &ServerId)> = against.collect();
        all.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let suspect = |against: f64| probability(self.prior + against);
        let bad: f64 = all
            .iter()
            .filter(|(against, _)| *against > 0.0)
            .map(|(a, _)| suspect(*a))
            .sum();
        let most = (servers as f64 * CUT_MOST) as usize;
        // What half of them do is no outlier's.
        if all.iter().filter(|(against, _)| *against > 0.0).count() * 2 < servers {
            for (against, id) in all.into_iter().take(most) {
                let over = suspect(against) - BAR;
                if over > 0.0 && against > 0.0 {
                    self.cut
                        .insert(id.clone(), (1.0 - over / RAMP).clamp(0.0, 1.0));
                }
            }
        }
        let share = (PRIOR_BAD + bad) / (PRIOR_ALL + servers as f64);
        self.prior = odds(share.min(CUT_MOST));
    }

    /// Part of its keys that a server keeps: 1 unless it is cut.
    pub fn kept(&self, server: &str) -> f64 {
        if self.cut.is_empty() {
            return 1.0;
        }
        self.cut.get(server).copied().unwrap_or(1.0)
    }
}

/// The weight of a candidate as a key's second home, by weighted rendezvous hashing (Thaler and Ravishankar;
/// the logarithmic form for weights): the candidate with the highest has it. A weight that changes moves
/// only keys of its own share. `mixed` is a hash of key and server.
pub fn rendezvous(mixed: u64, weight: f64) -> f64 {
    let drawn = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(1e-9) / drawn.ln()
}
