//! The judge: from what passed, whether the rules were kept. It is told facts of the peers and nothing of what
//! a node says of itself.
//!
//! Times are as the peers saw them; where a node can have known less than a peer, the judge allows for the
//! longest way of the network, so that it never accuses a node of what it could not see.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

use sloewick_decision::api::Micros;

use crate::clients::RUDE_OWED;
use crate::facts::{Answer, Fact, Fate, Id, Told, What};

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, in time, made for this request; nothing sent for it afterwards, nor once its client has left.
    NoneLost,
    /// No effect twice, and no refusal of what may have run.
    NoEffectTwice,
    /// Nothing new to a box later than the grace after it was told as draining or gone.
    DrainsKept,
    /// No cold box is pushed over.
    NoColdBoxPushedOver,
    /// Bad clients are told or closed, boxes get only what clients sent, nothing is left open, processes come up in time.
    GoodManners,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::NoneLost => "no request is lost",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains are kept",
            Rule::NoColdBoxPushedOver => "no cold box is pushed over",
            Rule::GoodManners => "good manners",
        })
    }
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub at: Micros,
    pub id: Option<Id>,
    pub why: String,
    /// What happened around it, oldest first.
    pub around: Vec<Fact>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6} s: {}: {}",
            self.at as f64 / 1e6,
            self.rule,
            self.why
        )?;
        if let Some(id) = &self.id {
            write!(f, " (request {id})")?;
        }
        for fact in &self.around {
            write!(f, "\n    {fact}")?;
        }
        Ok(())
    }
}

/// How a class of requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Free,
    /// All boxes drop a repeat of the key for this long.
    Keyed(Micros),
    Unsafe,
}

/// The settings' figures.
#[derive(Clone, Debug)]
pub struct Figures {
    pub classes: Vec<Repeat>,
    /// How long after the client's time an answer still counts.
    pub slack: Micros,
    /// When sending to a draining or gone box must have ceased.
    pub grace: Micros,
    /// Longest way of anything over the network, one way.
    pub way: Micros,
    /// The time over which a cold box's work is summed.
    pub fall: Micros,
    pub cold: Cold,
}

/// What a cold box bears, as the settings have it.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Part of its capacity at its start, and when it has all.
    pub from: f64,
    pub time: Micros,
    /// It bears so many times its capacity over the time to a fall.
    pub multiple: f64,
    /// Mean work of a request, by class.
    pub work: Vec<Micros>,
}

impl Cold {
    /// Requests of the least mean work that a box of this speed and age bears in the time to a fall, with what is put
    /// down to chance.
    fn borne(&self, speed: f64, age: Micros, fall: Micros) -> f64 {
        let grown = (self.from + (1.0 - self.from) * age as f64 / self.time.max(1) as f64).min(1.0);
        let budget = self.multiple * speed * grown * fall as f64 / self.unit();
        budget + 2.0 * budget.sqrt() + 2.0
    }

    fn unit(&self) -> f64 {
        self.work.iter().copied().min().unwrap_or(1).max(1) as f64
    }
}

/// Breaches kept; a run that breaks more is broken enough.
const BREACHES_MOST: usize = 50;
/// Facts of one request that are kept.
const HISTORY_MOST: usize = 40;
/// How long a request is remembered after its end, for what may still come of it.
const REMEMBERED: Micros = 20_000_000;

/// How long after its client has left nothing of a request may be sent on any more, and what every time limit is longer on
/// sockets.
const LEFT_MOST: Micros = 300_000;
const SOCKET_SLACK: Micros = 50_000;
/// Nor later than this, from the third attempt of a run on: the first two are put down to chance.
const LEFT_SOON: Micros = 100_000;
const LEFT_SOON_SPARED: u64 = 2;

/// A change counts as told so long after discovery had it and could be reached, whatever became of the calls.
const TOLD_AT_LATEST: Micros = 6_000_000;

/// A process that follows another one is ready within this; if it is not looked at for so long, within the second.
const READY_MOST: Micros = 10_000_000;
const READY_MOST_CUT: Micros = 6_000_000;

/// One in so many requests at most may have its new connection closed with no answer; who has no room refuses.
const SHUT_OF: u64 = 200;

/// How long an effect is remembered: far beyond the boxes' window, a client's last try and a jammed origin.
const WISH_REMEMBERED: Micros = 120_000_000;

#[derive(Debug)]
struct Attempt {
    number: u64,
    at: Micros,
    fate: Option<Fate>,
}

#[derive(Debug)]
struct Request {
    node: usize,
    class: usize,
    budget: Micros,
    first: Id,
    /// What its client calls the wish.
    idem: Option<Id>,
    left: Option<Micros>,
    answered: Option<(Micros, Answer)>,
    excused: bool,
    attempts: Vec<Attempt>,
    effects: u32,
    history: Vec<Fact>,
}

/// What it has seen so far.
pub struct Judge {
    /// Others than the fleet's own clients may ask: what those did not ask for is passed over.
    pub visitors: bool,
    figures: Figures,
    requests: HashMap<Id, Request>,
    /// When each is to be looked at again, oldest first: is it answered; forget it.
    due: BTreeMap<Micros, Vec<(Id, bool)>>,
    /// By wish, for as long as a request of it can be about; the oldest first in `effects_seen`.
    effects: HashMap<Id, u32>,
    effects_seen: VecDeque<(Micros, Id)>,
    told: HashMap<(usize, usize), Micros>,
    /// By node and box: since when the node has been told of the box's start.
    knows_start: HashMap<(usize, usize), Micros>,
    running: BTreeSet<usize>,
    box_ended: BTreeSet<usize>,
    /// Boxes that the list names as started after their end, and when it last did.
    phantoms: BTreeMap<usize, Option<Micros>>,
    work: HashMap<usize, VecDeque<Work>>,
    /// Boxes that started cold: when, how fast they are once warm, and whether they have fallen.
    cold: HashMap<usize, Started>,
    /// What discovery has of each box, since when, and since when it can be reached.
    had: HashMap<usize, (Micros, Told)>,
    reached: Option<Micros>,
    /// Since when each node runs.
    began: HashMap<usize, Micros>,
    restarts: Vec<Restart>,
    /// Requests, and those whose new connection was closed unread.
    asked: u64,
    shut: u64,
    node_ended: HashMap<usize, Micros>,
    /// Nodes that stand still: what they hold or are sent meanwhile is their clients' to ask again.
    paused: BTreeSet<usize>,
    resumed: HashMap<usize, Micros>,
    pub breaches: Vec<Breach>,
    pub checked: u64,
    pub left: Left,
    /// The most that a cold box was sent by all nodes in the time to a fall, as a part of what it bears and chance.
    pub fullest: f64,
}

/// Requests whose client left before their answer, and how many attempts of those began 0.1 s later, and later than may
/// ever be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Left {
    pub requests: u64,
    pub late: u64,
    pub sent_on: u64,
}

/// An attempt that came to a box: its drawn and its mean work.
#[derive(Debug)]
struct Work {
    at: Micros,
    node: usize,
    drawn: Micros,
    mean: Micros,
}

/// A process that follows another one of its node.
#[derive(Debug)]
struct Restart {
    node: usize,
    at: Micros,
    /// Until it answered PING.
    took: Option<Micros>,
    /// How long it was looked at.
    watched: Option<Micros>,
}

#[derive(Debug)]
struct Started {
    at: Micros,
    speed: f64,
    fell: bool,
}

impl Judge {
    pub fn new(figures: Figures) -> Judge {
        Judge {
            visitors: false,
            figures,
            requests: HashMap::new(),
            due: BTreeMap::new(),
            effects: HashMap::new(),
            effects_seen: VecDeque::new(),
            told: HashMap::new(),
            knows_start: HashMap::new(),
            running: BTreeSet::new(),
            box_ended: BTreeSet::new(),
            phantoms: BTreeMap::new(),
            work: HashMap::new(),
            cold: HashMap::new(),
            had: HashMap::new(),
            reached: None,
            began: HashMap::new(),
            restarts: Vec::new(),
            asked: 0,
            shut: 0,
            node_ended: HashMap::new(),
            paused: BTreeSet::new(),
            resumed: HashMap::new(),
            breaches: Vec::new(),
            checked: 0,
            left: Left::default(),
            fullest: 0.0,
        }
    }

    fn breach(&mut self, rule: Rule, at: Micros, id: Option<&Id>, why: String) {
        let around = id
            .and_then(|id| self.requests.get(id))
            .map_or(Vec::new(), |r| r.history.clone());
        self.add(Breach {
            rule,
            at,
            id: id.cloned(),
            why,
            around,
        });
    }

    /// Whether this node stands still.
    pub fn paused(&self, node: usize) -> bool {
        self.paused.contains(&node)
    }

    /// Whether it stood still for some of the time that bad clients have to be told within.
    fn stood_still(&self, node: usize, at: Micros) -> bool {
        self.paused(node)
            || self
                .resumed
                .get(&node)
                .is_some_and(|resumed| at - resumed <= RUDE_OWED)
    }

    /// Adds what was found outside the facts.
    pub fn add(&mut self, breach: Breach) {
        if self.breaches.len() < BREACHES_MOST {
            self.breaches.push(breach);
        }
    }

    /// Takes up a fact; facts come in the order of their times.
    pub fn see(&mut self, fact: &Fact) {
        self.checked += 1;
        self.pass(fact.at);
        if let Some(id) = request_of(&fact.what) {
            if let Some(r) = self
                .requests
                .get_mut(id)
                .filter(|r| r.history.len() < HISTORY_MOST)
            {
                r.history.push(fact.clone());
            }
        }
        let at = fact.at;
        match &fact.what {
            What::Asked {
                id,
                node,
                class,
                first,
                budget,
                idem,
                ..
            } => {
                let request = Request {
                    node: *node,
                    class: *class,
                    budget: *budget,
                    first: first.clone(),
                    idem: idem.clone(),
                    left: None,
                    answered: None,
                    // Sent to a node that had died, before the client could see that.
                    excused: self.node_ended.contains_key(node) || self.paused.contains(node),
                    attempts: Vec::new(),
                    effects: 0,
                    history: vec![fact.clone()],
                };
                self.asked += 1;
                self.requests.insert(id.clone(), request);
                let owed = at + budget + self.figures.slack + 2 * self.figures.way;
                self.due.entry(owed).or_default().push((id.clone(), false));
                self.due
                    .entry(at + REMEMBERED)
                    .or_default()
                    .push((id.clone(), true));
            }
            What::Resent { id, node } => self.resent(at, id, *node),
            What::Left { id } => {
                if let Some(r) = self
                    .requests
                    .get_mut(id)
                    .filter(|r| r.left.is_none() && r.answered.is_none())
                {
                    r.left = Some(at);
                    self.left.requests += 1;
                }
            }
            What::Shut { id, node } => {
                let unread = |r: &Request| r.attempts.is_empty() && !r.excused && r.left.is_none();
                if self.requests.get(id).is_some_and(unread) && !self.node_ended.contains_key(node)
                {
                    self.shut += 1;
                }
            }
            What::Answered { id, how } => self.answered(at, id, how),
            What::Unasked { node, bytes } => {
                let why = format!("node {node} answered what nobody asked: {bytes}");
                self.breach(Rule::NoneLost, at, None, why);
            }
            What::Attempt {
                id,
                attempt,
                at_box,
                first_byte,
                work,
                ..
            } => {
                self.attempt(at, id, *attempt, *at_box, *first_byte, *work);
            }
            What::Fate { id, attempt, fate } => {
                let found = self.requests.get_mut(id);
                let found =
                    found.and_then(|r| r.attempts.iter_mut().find(|a| a.number == *attempt));
                if let Some(a) = found {
                    a.fate = Some(*fate);
                }
            }
            What::Effect { id, idem } => self.effect(at, id, idem.as_ref()),
            What::Told { node, at_box, told } => {
                let key = (*node, *at_box);
                match told {
                    Told::In { .. } => {
                        self.told.remove(&key);
                        if self.box_ended.contains(at_box) {
                            self.phantoms.insert(*at_box, None);
                        }
                        self.knows_start.entry(key).or_insert(at);
                    }
                    Told::Draining | Told::Gone => {
                        self.phantoms
                            .entry(*at_box)
                            .and_modify(|over| *over = Some(at));
                        self.told.entry(key).or_insert(at);
                    }
                }
            }
            What::Known { node, at_box, told } => match told {
                Told::In { .. } => {
                    self.knows_start.entry((*node, *at_box)).or_insert(at);
                }
                Told::Draining | Told::Gone => {
                    self.told.entry((*node, *at_box)).or_insert(at);
                }
            },
            What::Had { at_box, told } => {
                // The first time counts, as for what is written: from draining to gone nothing is new.
                let out = |told: &Told| !matches!(told, Told::In { .. });
                let since = self
                    .had
                    .get(at_box)
                    .filter(|(_, was)| out(was) && out(told));
                let since = since.map_or(at, |(since, _)| *since);
                self.had.insert(*at_box, (since, *told));
            }
            // One that moves goes on.
            What::Reached { can } => self.reached = can.then(|| self.reached.unwrap_or(at)),
            What::ReadyEvent { node } => {
                let start = self
                    .restarts
                    .iter_mut()
                    .rfind(|s| s.node == *node && s.watched.is_none());
                if let Some(start) = start.filter(|s| s.took.is_none()) {
                    start.took = Some(at - start.at);
                }
            }
            What::NodeStopping { node } => self.watched(*node, at),
            What::BoxStarted {
                at_box,
                cold: true,
                speed,
            } => {
                self.cold.insert(
                    *at_box,
                    Started {
                        at,
                        speed: *speed,
                        fell: false,
                    },
                );
            }
            What::BoxEnded { at_box } => {
                self.box_ended.insert(*at_box);
            }
            What::Fell { at_box } => self.fell(at, *at_box),
            What::NodePaused { node } => {
                self.watched(*node, at);
                self.paused.insert(*node);
                let held = self
                    .requests
                    .values_mut()
                    .filter(|r| r.node == *node && r.answered.is_none());
                held.for_each(|r| r.excused = true);
            }
            What::NodeResumed { node } => {
                self.paused.remove(node);
                self.resumed.insert(*node, at);
                // What discovery wrote meanwhile it can read from now on.
                for ((of, _), told) in &mut self.told {
                    *told = if of == node { at.max(*told) } else { *told };
                }
            }
            What::NodeStarted { node } => {
                self.paused.remove(node);
                self.node_ended.remove(node);
                self.told.retain(|(n, _), _| n != node);
                self.knows_start.retain(|(n, _), _| n != node);
                self.running.insert(*node);
                self.watched(*node, at);
                if self.began.insert(*node, at).is_some() {
                    self.restarts.push(Restart {
                        node: *node,
                        at,
                        took: None,
                        watched: None,
                    });
                }
            }
            What::NodeEnded { node, killed } => {
                self.watched(*node, at);
                self.node_ended.insert(*node, at);
                self.running.remove(node);
                if *killed {
                    // What a node held when it was killed is the client's to retry.
                    let held = self
                        .requests
                        .values_mut()
                        .filter(|r| r.node == *node && r.answered.is_none());
                    held.for_each(|r| r.excused = true);
                }
            }
            What::Syntax { at_box, bytes } => {
                let why = format!("box {at_box} was sent what no client sent: {bytes}");
                self.breach(Rule::GoodManners, at, None, why);
            }
            What::OtherProtocol { at_box } => {
                // A node that has not been told who has the address now can know no better.
                let since = |node: &usize| self.knows_start.get(&(*node, *at_box)).copied();
                let late = |since: &Micros| at - since > self.figures.grace + 2 * self.figures.way;
                // Nor one whose list names a box that is no more as started later at some address.
                let misled = self
                    .phantoms
                    .values()
                    .any(|over| over.is_none_or(|over| !late(&over)));
                let all = self
                    .running
                    .iter()
                    .map(since)
                    .collect::<Option<Vec<Micros>>>();
                if !misled && all.is_some_and(|all| all.iter().all(late)) {
                    let why = format!(
                        "box {at_box} was spoken to in the other protocol, and all nodes knew it"
                    );
                    self.breach(Rule::GoodManners, at, None, why);
                }
            }
            What::RudeEnded {
                node, served: true, ..
            } => {
                let why = format!("node {node} served what can't be read");
                self.breach(Rule::NoneLost, at, None, why);
            }
            What::RudeLeft { node, what }
                if !self.node_ended.contains_key(node) && !self.stood_still(*node, at) =>
            {
                let why = format!(
                    "node {node} left a client that sent {what} with neither an error nor a close"
                );
                self.breach(Rule::GoodManners, at, None, why);
            }
            _ => {}
        }
    }

    /// Looks at all whose time has come.
    pub fn pass(&mut self, now: Micros) {
        while let Some((at, _)) = self.due.first_key_value().filter(|(at, _)| **at < now) {
            let at = *at;
            for (id, forget) in self.due.remove(&at).unwrap_or_default() {
                if forget {
                    self.requests.remove(&id);
                    continue;
                }
                let Some(r) = self.requests.get(&id) else {
                    continue;
                };
                if r.answered.is_none() && r.left.is_none() && !r.excused {
                    let why = format!(
                        "no answer from node {} within {} ms",
                        r.node,
                        r.budget / 1000
                    );
                    self.breach(Rule::NoneLost, at, Some(&id), why);
                }
            }
        }
    }

    /// All that is still owed at the end of the run.
    pub fn finish(&mut self, now: Micros) {
        self.pass(now);
        self.restarted(now);
        if self.shut * SHUT_OF > self.asked {
            let why = format!(
                "of {} requests {} had their new connection closed with no answer: over one in {SHUT_OF}",
                self.asked, self.shut
            );
            self.breach(Rule::NoneLost, now, None, why);
        }
    }

    /// A node's process is not looked at any more: it ends, stands still or begins anew.
    fn watched(&mut self, node: usize, at: Micros) {
        if let Some(start) = self.restarts.iter_mut().rfind(|s| s.node == node) {
            start.watched.get_or_insert(at - start.at);
        }
    }

    /// Nine in ten restarted processes have to be ready in time.
    fn restarted(&mut self, now: Micros) {
        let judged: Vec<(usize, bool)> = self
            .restarts
            .iter()
            .filter_map(|s| {
                let watched = s.watched.unwrap_or(now - s.at);
                let most = if watched >= READY_MOST {
                    READY_MOST
                } else {
                    READY_MOST_CUT
                };
                let known = s.took.is_some() || watched >= most;
                known.then_some((s.node, s.took.is_none_or(|took| took > most)))
            })
            .collect();
        let late: Vec<usize> = judged
            .iter()
            .filter(|(_, late)| *late)
            .map(|(node, _)| *node)
            .collect();
        if late.len() * 10 > judged.len() {
            let why = format!(
                "of {} restarted processes {} were not ready within {} s: of nodes {late:?}",
                judged.len(),
                late.len(),
                READY_MOST / 1_000_000
            );
            self.breach(Rule::GoodManners, now, None, why);
        }
    }

    fn resent(&mut self, at: Micros, id: &Id, node: usize) {
        let Some(r) = self.requests.get_mut(id) else {
            return;
        };
        let read = !r.attempts.is_empty();
        let (old, excused) = (std::mem::replace(&mut r.node, node), r.excused);
        if read && !excused && !self.node_ended.contains_key(&old) {
            let why =
                format!("node {old} sent it on and then closed its connection with no answer");
            self.breach(Rule::NoneLost, at, Some(id), why);
        }
        // Counted from now at the node that gets it next.
        if let Some(r) = self.requests.get_mut(id) {
            r.excused = true;
        }
    }

    fn answered(&mut self, at: Micros, id: &Id, how: &Answer) {
        let Some(r) = self.requests.get_mut(id) else {
            return self.breach(
                Rule::NoneLost,
                at,
                Some(id),
                "an answer to a request that nobody sent".into(),
            );
        };
        let before = r.answered.replace((at, how.clone()));
        let ran = r.attempts.iter().any(|a| a.fate != Some(Fate::TurnedAway));
        let served = r.attempts.iter().any(|a| a.fate == Some(Fate::Ran));
        let sent = !r.attempts.is_empty();
        let (class, excused, node) = (r.class, r.excused, r.node);
        if before.is_some() {
            return self.breach(Rule::NoneLost, at, Some(id), "a second final answer".into());
        }
        match how {
            Answer::Foreign(value) => {
                let why = format!("served with what was not made for it: {value}");
                self.breach(Rule::NoneLost, at, Some(id), why);
            }
            Answer::Served if !served => {
                self.breach(
                    Rule::NoneLost,
                    at,
                    Some(id),
                    "served, and no box has served it".into(),
                );
            }
            Answer::Busy(_) if ran && self.repeat(class) == Repeat::Unsafe => {
                self.breach(
                    Rule::NoEffectTwice,
                    at,
                    Some(id),
                    "refused what may have run".into(),
                );
            }
            // A value that broke off part way may be no fault of the node, and the client can tell.
            Answer::Ended { part: true } if served => {}
            Answer::Ended { .. } if excused || self.node_ended.contains_key(&node) => {}
            // A connection that the node closes between requests may be crossed by one that it has not read;
            // only what may be repeated is sent once more, and shows then whether the node had read it.
            Answer::Ended { part: false } if !sent && self.repeat(class) == Repeat::Unsafe => {}
            Answer::Ended { .. } => {
                let why = format!("node {node} ended the connection with no whole answer");
                self.breach(Rule::NoneLost, at, Some(id), why);
            }
            _ => {}
        }
    }

    fn repeat(&self, class: usize) -> Repeat {
        self.figures
            .classes
            .get(class)
            .copied()
            .unwrap_or(Repeat::Unsafe)
    }

    fn attempt(
        &mut self,
        at: Micros,
        id: &Id,
        number: u64,
        at_box: usize,
        first_byte: Micros,
        work: Micros,
    ) {
        let way = self.figures.way;
        // By then at the latest it had left the node.
        let sent = first_byte - way;
        let Some(r) = self.requests.get(id) else {
            if !self.visitors {
                self.breach(
                    Rule::NoneLost,
                    at,
                    Some(id),
                    "sent on, and nobody asked for it".into(),
                );
            }
            return;
        };
        let node = r.node;
        let earlier = r
            .attempts
            .iter()
            .find(|a| a.fate != Some(Fate::TurnedAway))
            .map(|a| a.at);
        let over = r
            .answered
            .as_ref()
            .is_some_and(|(answered, _)| sent > *answered);
        let repeat = self.repeat(r.class);
        // A node that stood still meanwhile learns of it when it goes on.
        let class = r.class;
        let knew = r
            .left
            .map(|left| left.max(self.resumed.get(&node).copied().unwrap_or(left)));
        let behind = knew.map_or(0, |left| sent - way - left);
        if over {
            self.breach(
                Rule::NoneLost,
                at,
                Some(id),
                "sent on after its final answer".into(),
            );
        }
        if behind > LEFT_MOST + SOCKET_SLACK {
            self.left.sent_on += 1;
            let why = format!("sent on {} ms after its client had left", behind / 1000);
            self.breach(Rule::NoneLost, at, Some(id), why);
        }
        if behind > LEFT_SOON {
            self.left.late += 1;
            if self.left.late > LEFT_SOON_SPARED && behind <= LEFT_MOST + SOCKET_SLACK {
                let why = format!(
                    "sent on {} ms after its client had left, the attempt number {} that was over {} ms late",
                    behind / 1000,
                    self.left.late,
                    LEFT_SOON / 1000
                );
                self.breach(Rule::NoneLost, at, Some(id), why);
            }
        }
        match (repeat, earlier) {
            (Repeat::Unsafe, Some(_)) => {
                let why =
                    "another attempt of what may have run and may not be repeated".to_string();
                self.breach(Rule::NoEffectTwice, at, Some(id), why);
            }
            (Repeat::Keyed(window), Some(first)) if sent - first > window => {
                let why = format!(
                    "sent again {} ms after it may first have run",
                    (at - first) / 1000
                );
                self.breach(Rule::NoEffectTwice, at, Some(id), why);
            }
            _ => {}
        }
        let written = self.told.get(&(node, at_box)).copied();
        let due = self.due_by(node, at_box, false);
        if let Some(told) = written.into_iter().chain(due).min() {
            if sent - told > self.figures.grace {
                let how = if written == Some(told) {
                    "was told"
                } else {
                    "counts as told"
                };
                let why = format!(
                    "node {node} sent to box {at_box} {} ms after it {how} that this drains or is gone",
                    (sent - told) / 1000
                );
                self.breach(Rule::DrainsKept, at, Some(id), why);
            }
        }
        let mean = self.figures.cold.work.get(class).copied().unwrap_or(work);
        let recent = self.work.entry(at_box).or_default();
        recent.push_back(Work {
            at,
            node,
            drawn: work,
            mean,
        });
        while recent
            .front()
            .is_some_and(|old| at - old.at > self.figures.fall)
        {
            recent.pop_front();
        }
        self.weigh(at, at_box);
        if let Some(r) = self.requests.get_mut(id) {
            r.attempts.push(Attempt {
                number,
                at,
                fate: None,
            });
        }
    }

    fn effect(&mut self, at: Micros, id: &Id, idem: Option<&Id>) {
        let Some(r) = self.requests.get_mut(id) else {
            if !self.visitors {
                self.breach(
                    Rule::NoEffectTwice,
                    at,
                    Some(id),
                    "an effect that nobody asked for".into(),
                );
            }
            return;
        };
        r.effects += 1;
        let (effects, class) = (r.effects, r.class);
        let refused = matches!(r.answered, Some((_, Answer::Busy(_))));
        // An effect belongs to the first try: a client's retry of it is the same wish, by whatever key the origin was
        // told of it.
        let wish = r
            .idem
            .clone()
            .or(idem.cloned())
            .unwrap_or_else(|| r.first.clone());
        if effects > 1 {
            self.breach(
                Rule::NoEffectTwice,
                at,
                Some(id),
                format!("took effect {effects} times"),
            );
        }
        if refused && self.repeat(class) == Repeat::Unsafe {
            self.breach(
                Rule::NoEffectTwice,
                at,
                Some(id),
                "took effect though it was refused".into(),
            );
        }
        while self
            .effects_seen
            .front()
            .is_some_and(|(seen, _)| at - seen > WISH_REMEMBERED)
        {
            if let Some((_, old)) = self.effects_seen.pop_front() {
                self.effects.remove(&old);
            }
        }
        let all = self.effects.entry(wish.clone()).or_default();
        *all += 1;
        if *all == 1 {
            self.effects_seen.push_back((at, wish.clone()));
        }
        if *all > 1 && effects <= 1 {
            let why = format!("{wish} took effect again, by another try");
            self.breach(Rule::NoEffectTwice, at, Some(id), why);
        }
    }

    /// When the last state that discovery has of a box counts as told to a node, if it is one of these.
    fn due_by(&self, node: usize, at_box: usize, starts: bool) -> Option<Micros> {
        let (had, told) = self.had.get(&at_box)?;
        let since = [self.began.get(&node), self.resumed.get(&node)]
            .into_iter()
            .flatten();
        let since = since.copied().fold(self.reached?.max(*had), Micros::max);
        (matches!(told, Told::In { .. }) == starts).then_some(since + TOLD_AT_LATEST)
    }

    fn told_of_start(&self, node: usize, at_box: usize, at: Micros) -> bool {
        self.knows_start.contains_key(&(node, at_box))
            || self.due_by(node, at_box, true).is_some_and(|due| due <= at)
    }

    /// Whether a cold box is sent more by all nodes than it bears and chance allows, whatever it makes of it.
    fn weigh(&mut self, at: Micros, at_box: usize) {
        let cold = &self.figures.cold;
        let Some(started) = self
            .cold
            .get(&at_box)
            .filter(|b| !b.fell && at - b.at < cold.time)
        else {
            return;
        };
        let Some(recent) = self.work.get(&at_box) else {
            return;
        };
        let borne = cold.borne(started.speed, at - started.at, self.figures.fall);
        let requests = recent.iter().map(|w| w.mean).sum::<Micros>() as f64 / cold.unit();
        self.fullest = self.fullest.max(requests / borne);
        if requests > borne {
            let what = format!("{requests:.1} requests of mean work, where it bears {borne:.1}");
            self.lay(at, at_box, &what, |work| work.mean);
        }
    }

    fn fell(&mut self, at: Micros, at_box: usize) {
        let all: Micros = self
            .work
            .get(&at_box)
            .map_or(0, |w| w.iter().map(|w| w.drawn).sum());
        self.lay(at, at_box, &format!("{} ms of work", all / 1000), |work| {
            work.drawn
        });
    }

    /// Lays the first fall of a box to those who had been told of its start, where they sent two thirds.
    fn lay(&mut self, at: Micros, at_box: usize, what: &str, of: fn(&Work) -> Micros) {
        if let Some(started) = self.cold.get_mut(&at_box) {
            if std::mem::replace(&mut started.fell, true) {
                return;
            }
        }
        let sum = |told: bool| -> Micros {
            let recent = self.work.get(&at_box).into_iter().flatten();
            recent
                .filter(|w| !told || self.told_of_start(w.node, at_box, at))
                .map(of)
                .sum()
        };
        let (all, told) = (sum(false), sum(true));
        if told * 3 >= all * 2 {
            let why = format!(
                "box {at_box} fell: {what} in {} ms, {}% of it from nodes that knew of its start",
                self.figures.fall / 1000,
                100 * told / all.max(1)
            );
            self.breach(Rule::NoColdBoxPushedOver, at, None, why);
        }
    }
}

fn request_of(what: &What) -> Option<&Id> {
    match what {
        What::Resent { id, .. }
        | What::Shut { id, .. }
        | What::Answered { id, .. }
        | What::Left { id }
        | What::Attempt { id, .. }
        | What::Fate { id, .. }
        | What::Effect { id, .. }
        | What::Dropped { id, .. } => Some(id),
        _ => None,
    }
}
