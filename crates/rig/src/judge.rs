//! The judge: from what passed, whether the rules were kept. It is told facts of the peers and nothing of what
//! a node says of itself.
//!
//! Times are as the peers saw them; where a node can have known less than a peer, the judge allows for the
//! longest way of the network, so that it never accuses a node of what it could not see.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

use sloewick_decision::interface::Micros;

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
    /// Bad clients are told or closed, boxes get only what clients sent, nothing is left open.
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
        write!(f, "{:.6} s: {}: {}", self.at as f64 / 1e6, self.rule, self.why)?;
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
    work: HashMap<usize, VecDeque<(Micros, usize, Micros)>>,
    node_ended: HashMap<usize, Micros>,
    /// Nodes that stand still: what they hold or are sent meanwhile is their clients' to ask again.
    paused: BTreeSet<usize>,
    resumed: HashMap<usize, Micros>,
    pub breaches: Vec<Breach>,
    pub checked: u64,
    pub left: Left,
}

/// Requests whose client left before their answer, and how many of those were sent on later than may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Left {
    pub requests: u64,
    pub sent_on: u64,
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
            node_ended: HashMap::new(),
            paused: BTreeSet::new(),
            resumed: HashMap::new(),
            breaches: Vec::new(),
            checked: 0,
            left: Left::default(),
        }
    }

    fn breach(&mut self, rule: Rule, at: Micros, id: Option<&Id>, why: String) {
        let around = id.and_then(|id| self.requests.get(id)).map_or(Vec::new(), |r| r.history.clone());
        self.add(Breach { rule, at, id: id.cloned(), why, around });
    }

    /// Whether this node stands still.
    pub fn paused(&self, node: usize) -> bool {
        self.paused.contains(&node)
    }

    /// Whether it stood still for some of the time that bad clients have to be told within.
    fn stood_still(&self, node: usize, at: Micros) -> bool {
        self.paused(node) || self.resumed.get(&node).is_some_and(|resumed| at - resumed <= RUDE_OWED)
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
            if let Some(r) = self.requests.get_mut(id).filter(|r| r.history.len() < HISTORY_MOST) {
                r.history.push(fact.clone());
            }
        }
        let at = fact.at;
        match &fact.what {
            What::Asked { id, node, class, first, budget, idem, .. } => {
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
                self.requests.insert(id.clone(), request);
                let owed = at + budget + self.figures.slack + 2 * self.figures.way;
                self.due.entry(owed).or_default().push((id.clone(), false));
                self.due.entry(at + REMEMBERED).or_default().push((id.clone(), true));
            }
            What::Resent { id, node } => self.resent(at, id, *node),
            What::Left { id } => {
                if let Some(r) =
                    self.requests.get_mut(id).filter(|r| r.left.is_none() && r.answered.is_none())
                {
                    r.left = Some(at);
                    self.left.requests += 1;
                }
            }
            What::Answered { id, how } => self.answered(at, id, how),
            What::Unasked { node, bytes } => {
                let why = format!("node {node} answered what nobody asked: {bytes}");
                self.breach(Rule::NoneLost, at, None, why);
            }
            What::Attempt { id, attempt, at_box, first_byte, work, .. } => {
                self.attempt(at, id, *attempt, *at_box, *first_byte, *work);
            }
            What::Fate { id, attempt, fate } => {
                let found = self.requests.get_mut(id);
                let found = found.and_then(|r| r.attempts.iter_mut().find(|a| a.number == *attempt));
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
                        self.phantoms.entry(*at_box).and_modify(|over| *over = Some(at));
                        self.told.entry(key).or_insert(at);
                    }
                }
            }
            What::BoxEnded { at_box } => {
                self.box_ended.insert(*at_box);
            }
            What::Fell { at_box } => self.fell(at, *at_box),
            What::NodePaused { node } => {
                self.paused.insert(*node);
                let held = self.requests.values_mut().filter(|r| r.node == *node && r.answered.is_none());
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
            }
            What::NodeEnded { node, killed } => {
                self.node_ended.insert(*node, at);
                self.running.remove(node);
                if *killed {
                    // What a node held when it was killed is the client's to retry.
                    let held =
                        self.requests.values_mut().filter(|r| r.node == *node && r.answered.is_none());
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
                let misled = self.phantoms.values().any(|over| over.is_none_or(|over| !late(&over)));
                let all = self.running.iter().map(since).collect::<Option<Vec<Micros>>>();
                if !misled && all.is_some_and(|all| all.iter().all(late)) {
                    let why =
                        format!("box {at_box} was spoken to in the other protocol, and all nodes knew it");
                    self.breach(Rule::GoodManners, at, None, why);
                }
            }
            What::RudeEnded { node, served: true, .. } => {
                let why = format!("node {node} served what can't be read");
                self.breach(Rule::NoneLost, at, None, why);
            }
            What::RudeLeft { node, what }
                if !self.node_ended.contains_key(node) && !self.stood_still(*node, at) =>
            {
                let why =
                    format!("node {node} left a client that sent {what} with neither an error nor a close");
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
                let Some(r) = self.requests.get(&id) else { continue };
                if r.answered.is_none() && r.left.is_none() && !r.excused {
                    let why = format!("no answer from node {} within {} ms", r.node, r.budget / 1000);
                    self.breach(Rule::NoneLost, at, Some(&id), why);
                }
            }
        }
    }

    /// All that is still owed at the end of the run.
    pub fn finish(&mut self, now: Micros) {
        self.pass(now);
    }

    fn resent(&mut self, at: Micros, id: &Id, node: usize) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let read = !r.attempts.is_empty();
        let (old, excused) = (std::mem::replace(&mut r.node, node), r.excused);
        if read && !excused && !self.node_ended.contains_key(&old) {
            let why = format!("node {old} sent it on and then closed its connection with no answer");
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
                self.breach(Rule::NoneLost, at, Some(id), "served, and no box has served it".into());
            }
            Answer::Busy(_) if ran && self.repeat(class) == Repeat::Unsafe => {
                self.breach(Rule::NoEffectTwice, at, Some(id), "refused what may have run".into());
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
        self.figures.classes.get(class).copied().unwrap_or(Repeat::Unsafe)
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
                self.breach(Rule::NoneLost, at, Some(id), "sent on, and nobody asked for it".into());
            }
            return;
        };
        let node = r.node;
        let earlier = r.attempts.iter().find(|a| a.fate != Some(Fate::TurnedAway)).map(|a| a.at);
        let over = r.answered.as_ref().is_some_and(|(answered, _)| sent > *answered);
        let repeat = self.repeat(r.class);
        // A node that stood still meanwhile learns of it when it goes on.
        let knew = r.left.map(|left| left.max(self.resumed.get(&node).copied().unwrap_or(left)));
        let behind = knew.map_or(0, |left| sent - way - left);
        if over {
            self.breach(Rule::NoneLost, at, Some(id), "sent on after its final answer".into());
        }
        if behind > LEFT_MOST + SOCKET_SLACK {
            self.left.sent_on += 1;
            let why = format!("sent on {} ms after its client had left", behind / 1000);
            self.breach(Rule::NoneLost, at, Some(id), why);
        }
        match (repeat, earlier) {
            (Repeat::Unsafe, Some(_)) => {
                let why = "another attempt of what may have run and may not be repeated".to_string();
                self.breach(Rule::NoEffectTwice, at, Some(id), why);
            }
            (Repeat::Keyed(window), Some(first)) if sent - first > window => {
                let why = format!("sent again {} ms after it may first have run", (at - first) / 1000);
                self.breach(Rule::NoEffectTwice, at, Some(id), why);
            }
            _ => {}
        }
        if let Some(told) = self.told.get(&(node, at_box)).copied() {
            if sent - told > self.figures.grace {
                let why = format!(
                    "node {node} sent to box {at_box} {} ms after it was told that this drains or is gone",
                    (sent - told) / 1000
                );
                self.breach(Rule::DrainsKept, at, Some(id), why);
            }
        }
        let recent = self.work.entry(at_box).or_default();
        recent.push_back((at, node, work));
        while recent.front().is_some_and(|(old, ..)| at - old > self.figures.fall) {
            recent.pop_front();
        }
        if let Some(r) = self.requests.get_mut(id) {
            r.attempts.push(Attempt { number, at, fate: None });
        }
    }

    fn effect(&mut self, at: Micros, id: &Id, idem: Option<&Id>) {
        let Some(r) = self.requests.get_mut(id) else {
            if !self.visitors {
                self.breach(Rule::NoEffectTwice, at, Some(id), "an effect that nobody asked for".into());
            }
            return;
        };
        r.effects += 1;
        let (effects, class) = (r.effects, r.class);
        let refused = matches!(r.answered, Some((_, Answer::Busy(_))));
        // An effect belongs to the first try: a client's retry of it is the same wish, by whatever key the origin was
        // told of it.
        let wish = r.idem.clone().or(idem.cloned()).unwrap_or_else(|| r.first.clone());
        if effects > 1 {
            self.breach(Rule::NoEffectTwice, at, Some(id), format!("took effect {effects} times"));
        }
        if refused && self.repeat(class) == Repeat::Unsafe {
            self.breach(Rule::NoEffectTwice, at, Some(id), "took effect though it was refused".into());
        }
        while self.effects_seen.front().is_some_and(|(seen, _)| at - seen > WISH_REMEMBERED) {
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

    fn fell(&mut self, at: Micros, at_box: usize) {
        let recent = self.work.get(&at_box);
        let sum = |told: bool| -> Micros {
            let from = |node: &usize| !told || self.knows_start.contains_key(&(*node, at_box));
            recent.map_or(0, |w| w.iter().filter(|(_, node, _)| from(node)).map(|(.., work)| *work).sum())
        };
        let (all, told) = (sum(false), sum(true));
        if told * 3 >= all * 2 {
            let why = format!(
                "box {at_box} fell: {} ms of work in {} ms, {}% of it from nodes that knew of its start",
                all / 1000,
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
        | What::Answered { id, .. }
        | What::Left { id }
        | What::Attempt { id, .. }
        | What::Fate { id, .. }
        | What::Effect { id, .. }
        | What::Dropped { id, .. } => Some(id),
        _ => None,
    }
}
