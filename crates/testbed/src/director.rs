//! Turns a scenario's faults into what happens when, to whom. It holds no sockets: what it orders is done by a
//! [`Stage`], on the virtual network or on real sockets.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::cachebox;
use crate::clients;
use crate::discovery::{self, Listed};
use crate::facts::Told;
use crate::origin;
use crate::rng::Rng;
use crate::scenario::{Fault, Scenario};

/// What carries the director's orders out.
pub trait Stage {
    /// Starts a box; its address is that of `place`, which a box that has ended may have had.
    fn start_box(&mut self, number: usize, place: usize, zone: usize, cold: bool);
    /// Ends a box's process.
    fn kill_box(&mut self, number: usize);
    fn order_box(&mut self, number: usize, order: cachebox::Order);
    /// The entry of a box, as it stands in the list; `boot`: since the run began.
    fn listed(&self, number: usize, place: usize, zone: usize, told: Told) -> Listed;
    fn order_discovery(&mut self, order: discovery::Order);
    fn order_origin(&mut self, order: origin::Order);
    fn order_clients(&mut self, order: clients::Order);
    fn rude(&mut self, rate: f64);
    fn kill_node(&mut self, node: usize);
    /// Tells a node to end as planned.
    fn stop_node(&mut self, node: usize);
    fn start_node(&mut self, node: usize);
    /// A node's process does nothing until it goes on.
    fn pause_node(&mut self, node: usize);
    fn resume_node(&mut self, node: usize);
    /// Discovery is at another address from now on; the nodes' configuration says so.
    fn move_discovery(&mut self);
    fn kill_discovery(&mut self);
    /// Starts discovery again, with this list; its versions go on, or are counted anew.
    fn start_discovery(&mut self, list: Vec<Listed>, anew: bool);
    fn say(&mut self, text: String);

    fn vanish_box(&mut self, number: usize);
    fn cut(&mut self, number: usize, from_box: bool, cut: bool);
    fn refuse(&mut self, number: usize, refuses: bool);

    // What only a virtual network can do.
    fn reset_connections(&mut self, _part: f64) {}
    fn partial(&mut self, _part: f64) {}
    fn skew(&mut self, _node: usize, _by: Micros) {}
    /// So many clients rest at each node, having asked once.
    fn idle(&mut self, _count: usize) {}
}

/// How long discovery takes to see what has happened to a box, in seconds.
const NOTICE: (f64, f64) = (1.5, 4.0);
/// And to see that one has died without a word.
const SILENT_NOTICE: (f64, f64) = (4.9, 9.0);
/// How long after SIGTERM connections still come.
const FRONT_AFTER_STOP: f64 = 0.3;
/// When a node that was told to stop is started again: after the longest deadline and more.
const STOP_MOST: f64 = 3.0;

#[derive(Clone, Debug)]
struct Member {
    place: usize,
    zone: usize,
    alive: bool,
    /// Drained or replaced: no fault picks it.
    leaving: bool,
    told: Told,
}

type Task = Box<dyn FnOnce(&mut Director, &mut dyn Stage)>;

/// The schedule of one run.
pub struct Director {
    rng: Rng,
    scenario: Scenario,
    boxes: Vec<Member>,
    places: usize,
    nodes_up: Vec<bool>,
    todo: BTreeMap<(Micros, u64), Task>,
    set: u64,
    now: Micros,
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

impl Director {
    pub fn new(scenario: &Scenario, seed: u64) -> Director {
        let mut director = Director {
            rng: Rng::part(seed, "director", 0),
            scenario: scenario.clone(),
            boxes: Vec::new(),
            places: scenario.boxes,
            nodes_up: vec![true; scenario.nodes],
            todo: BTreeMap::new(),
            set: 0,
            now: 0,
        };
        for i in 0..scenario.boxes {
            director.boxes.push(Member {
                place: i,
                zone: i % 2,
                alive: true,
                leaving: false,
                told: Told::In { boot: 0 },
            });
        }
        for fault in &scenario.faults {
            let fault = fault.clone();
            director.at(micros(fault.at), move |d, s| d.begin(&fault, s));
        }
        director
    }

    /// Starts what the run begins with.
    pub fn raise(&mut self, stage: &mut dyn Stage) {
        for (number, member) in self.boxes.iter().enumerate() {
            stage.start_box(number, member.place, member.zone, false);
        }
        let list = self.list(stage);
        stage.start_discovery(list, false);
        (0..self.scenario.nodes).for_each(|node| stage.start_node(node));
    }

    pub fn next(&self) -> Option<Micros> {
        self.todo.first_key_value().map(|((at, _), _)| *at)
    }

    /// Does what is due.
    pub fn run(&mut self, now: Micros, stage: &mut dyn Stage) {
        self.now = now;
        while self.next().is_some_and(|at| at <= now) {
            if let Some((_, task)) = self.todo.pop_first() {
                task(self, stage);
            }
        }
    }

    fn at(&mut self, at: Micros, task: impl FnOnce(&mut Director, &mut dyn Stage) + 'static) {
        self.set += 1;
        self.todo.insert((at, self.set), Box::new(task));
    }

    fn after(&mut self, seconds: f64, task: impl FnOnce(&mut Director, &mut dyn Stage) + 'static) {
        self.at(self.now + micros(seconds), task);
    }

    // ---- the list ----

    /// The list as it stands.
    pub fn list(&self, stage: &dyn Stage) -> Vec<Listed> {
        let of = |(number, m): (usize, &Member)| stage.listed(number, m.place, m.zone, m.told);
        self.boxes
            .iter()
            .enumerate()
            .map(of)
            .filter(|l| l.told != Told::Gone)
            .collect()
    }

    fn tell(&mut self, number: usize, told: Told, stage: &mut dyn Stage) {
        let m = &mut self.boxes[number];
        m.told = told;
        let listed = stage.listed(number, m.place, m.zone, told);
        stage.order_discovery(discovery::Order::Change(listed));
    }

    fn tell_later(&mut self, number: usize, told: Told, notice: (f64, f64)) {
        let after = self.rng.between(notice.0, notice.1);
        self.after(after, move |d, s| {
            // What has ended since stays so.
            if told == Told::Gone || d.boxes[number].alive {
                d.tell(number, told, s);
            }
        });
    }

    /// Boxes that are whole, picked by chance.
    fn pick(&mut self, count: usize) -> Vec<usize> {
        let mut sound: Vec<usize> = (0..self.boxes.len())
            .filter(|i| self.boxes[*i].alive && !self.boxes[*i].leaving)
            .collect();
        // Some box always remains.
        let most = sound.len().saturating_sub(1).min(count);
        let mut picked = Vec::new();
        for _ in 0..most {
            picked.push(sound.swap_remove(self.rng.below(sound.len())));
        }
        picked
    }

    /// A new box, cold, that discovery sees a little later.
    fn succeed(&mut self, place: Option<usize>, zone: usize, stage: &mut dyn Stage) {
        let place = place.unwrap_or_else(|| {
            self.places += 1;
            self.places - 1
        });
        let number = self.boxes.len();
        let boot = self.now;
        self.boxes.push(Member {
            place,
            zone,
            alive: true,
            leaving: false,
            told: Told::Gone,
        });
        stage.start_box(number, place, zone, true);
        self.tell_later(number, Told::In { boot }, NOTICE);
    }

    fn crash(&mut self, number: usize, stage: &mut dyn Stage) {
        self.boxes[number].alive = false;
        self.boxes[number].leaving = true;
        stage.kill_box(number);
        self.tell_later(number, Told::Gone, SILENT_NOTICE);
    }

    /// A machine falls silent. When it is back, what was open is reset, and the same box starts cold.
    fn vanish(&mut self, number: usize, back: f64, stage: &mut dyn Stage) {
        stage.vanish_box(number);
        self.boxes[number].leaving = true;
        self.boxes[number].alive = false;
        self.tell_later(number, Told::Gone, SILENT_NOTICE);
        self.after(back, move |d, s| {
            let (place, zone) = (d.boxes[number].place, d.boxes[number].zone);
            s.kill_box(number);
            d.succeed(Some(place), zone, s);
        });
    }

    // ---- faults ----

    fn begin(&mut self, fault: &Fault, stage: &mut dyn Stage) {
        stage.say(format!("{} begins", fault.name));
        let (part, times) = (fault.number("part"), fault.number("times"));
        let lasts = fault.number("for");
        let count = fault.number("count") as usize;
        match fault.name {
            "crash-boxes" => {
                let back = fault.number("back");
                for number in self.pick(count) {
                    let zone = self.boxes[number].zone;
                    self.crash(number, stage);
                    self.after(back, move |d, s| d.succeed(None, zone, s));
                }
            }
            "reborn-boxes" => {
                for number in self.pick(count) {
                    let (place, zone) = (self.boxes[number].place, self.boxes[number].zone);
                    self.crash(number, stage);
                    self.succeed(Some(place), zone, stage);
                }
            }
            "vanish-boxes" => {
                for number in self.pick(count) {
                    self.vanish(number, fault.number("back"), stage);
                }
            }
            "lose-zone" => {
                let zone = self.rng.below(2);
                let whole = |m: &Member| m.zone == zone && m.alive && !m.leaving;
                let lost: Vec<usize> = (0..self.boxes.len())
                    .filter(|i| whole(&self.boxes[*i]))
                    .collect();
                for number in lost {
                    self.vanish(number, fault.number("back"), stage);
                }
            }
            "bad-boxes" => {
                for number in self.pick(count) {
                    stage.order_box(number, cachebox::Order::Errors(part));
                    self.after(lasts, move |_, s| {
                        s.order_box(number, cachebox::Order::Errors(0.0))
                    });
                }
            }
            "stall-boxes" => {
                for number in self.pick(count) {
                    stage.order_box(number, cachebox::Order::Stall(micros(lasts)));
                }
            }
            "slow-boxes" => {
                for number in self.pick(count) {
                    stage.order_box(number, cachebox::Order::Slow(times));
                    self.after(lasts, move |_, s| {
                        s.order_box(number, cachebox::Order::Slow(1.0))
                    });
                }
            }
            "spoil" => self.answers(part, lasts, cachebox::Order::Spoil, stage),
            "surplus" => self.answers(part, lasts, cachebox::Order::Surplus, stage),
            "errors" => self.answers(part, lasts, cachebox::Order::Errors, stage),
            "deploy" => {
                let (over, grace) = (fault.number("over"), fault.number("grace"));
                let count = (part * self.boxes.len() as f64).ceil() as usize;
                let mut old = self.pick(count);
                old.sort_unstable();
                let step = over / old.len().max(1) as f64;
                for (i, number) in old.into_iter().enumerate() {
                    self.boxes[number].leaving = true;
                    self.after(step * i as f64, move |d, s| d.replace(number, grace, s));
                }
            }
            "relist" => {
                let gone = (0..self.boxes.len()).rfind(|i| !self.boxes[*i].alive);
                if let Some(number) = gone.filter(|i| self.boxes[*i].told == Told::Gone) {
                    let boot = self.now;
                    self.tell(number, Told::In { boot }, stage);
                    self.after(lasts, move |d, s| d.tell(number, Told::Gone, s));
                }
            }
            "kill-nodes" => {
                let (back, notice) = (fault.number("back"), fault.number("notice"));
                for node in self.pick_nodes(part) {
                    self.nodes_up[node] = false;
                    stage.kill_node(node);
                    self.after(notice, move |_, s| {
                        s.order_clients(clients::Order::Down(node))
                    });
                    self.after(back.max(notice), move |d, s| d.start_node(node, s));
                }
            }
            "restart-nodes" => {
                let over = fault.number("over");
                let picked = self.pick_nodes_all(part);
                let step = over / picked.len().max(1) as f64;
                for (i, node) in picked.into_iter().enumerate() {
                    self.after(step * i as f64, move |d, s| {
                        if !std::mem::replace(&mut d.nodes_up[node], false) {
                            return;
                        }
                        s.stop_node(node);
                        d.after(FRONT_AFTER_STOP, move |_, s| {
                            s.order_clients(clients::Order::Down(node))
                        });
                        d.after(STOP_MOST, move |d, s| d.start_node(node, s));
                    });
                }
            }
            "pause-nodes" => {
                for node in self.pick_nodes(part) {
                    self.nodes_up[node] = false;
                    stage.pause_node(node);
                    self.after(lasts, move |d, s| {
                        d.nodes_up[node] = true;
                        s.resume_node(node);
                    });
                }
            }
            "skew" => {
                let by = micros(fault.number("by"));
                if let Some(node) = self.pick_nodes(0.25).first().copied() {
                    self.nodes_up[node] = false;
                    stage.kill_node(node);
                    stage.skew(node, by);
                    self.after(1.0, move |_, s| s.order_clients(clients::Order::Down(node)));
                    self.after(1.5, move |d, s| d.start_node(node, s));
                }
            }
            "slow-origin" => {
                stage.order_origin(origin::Order::Slow(times));
                self.after(lasts, |_, s| s.order_origin(origin::Order::Slow(1.0)));
            }
            "void" => {
                let salt = self.rng.word() >> 1;
                stage.order_origin(origin::Order::Void { part, salt });
            }
            "hot-keys" => {
                let keys = fault.number("keys") as usize;
                stage.order_clients(clients::Order::Hot { keys, part });
                self.after(lasts, |_, s| {
                    s.order_clients(clients::Order::Hot { keys: 0, part: 0.0 })
                });
            }
            "load" => {
                stage.order_clients(clients::Order::Rate(times));
                self.after(lasts, |_, s| s.order_clients(clients::Order::Rate(1.0)));
            }
            "hang-ups" => {
                stage.order_clients(clients::Order::Impatient(part));
                self.after(lasts, |_, s| {
                    s.order_clients(clients::Order::Impatient(0.0))
                });
            }
            "discovery-down" | "discovery-anew" => {
                let anew = fault.name == "discovery-anew";
                stage.kill_discovery();
                self.after(lasts, move |d, s| {
                    let list = d.list(s);
                    s.start_discovery(list, anew);
                });
            }
            "discovery-fail" => {
                stage.order_discovery(discovery::Order::Fail(true));
                self.after(lasts, |_, s| {
                    s.order_discovery(discovery::Order::Fail(false))
                });
            }
            "discovery-late" => {
                stage.order_discovery(discovery::Order::Late(micros(fault.number("by"))));
                self.after(lasts, |_, s| s.order_discovery(discovery::Order::Late(0)));
            }
            "discovery-stale" => {
                stage.order_discovery(discovery::Order::Stale(true));
                self.after(lasts, |_, s| {
                    s.order_discovery(discovery::Order::Stale(false))
                });
            }
            "discovery-moves" => stage.move_discovery(),
            "rude" => {
                stage.rude(fault.number("rate"));
                self.after(lasts, |_, s| s.rude(0.0));
            }
            "idle-clients" => {
                stage.idle(count);
                self.after(lasts, |_, s| s.idle(0));
            }
            "partition" => {
                let way = fault.word("way");
                for number in self.pick(count) {
                    for from_box in [true, false] {
                        if way == "both" || (way == "from-boxes") == from_box {
                            stage.cut(number, from_box, true);
                            self.after(lasts, move |_, s| s.cut(number, from_box, false));
                        }
                    }
                }
            }
            "resets" => self.reset(part, self.now + micros(lasts), stage),
            "refuse-boxes" => {
                for number in self.pick(count) {
                    stage.refuse(number, true);
                    self.after(lasts, move |_, s| s.refuse(number, false));
                }
            }
            "partial" => {
                stage.partial(part);
                self.after(lasts, |_, s| s.partial(0.0));
            }
            other => stage.say(format!("{other} is not played")),
        }
    }

    fn answers(
        &mut self,
        part: f64,
        lasts: f64,
        order: fn(f64) -> cachebox::Order,
        stage: &mut dyn Stage,
    ) {
        for number in 0..self.boxes.len() {
            stage.order_box(number, order(part));
        }
        self.after(lasts, move |d, s| {
            (0..d.boxes.len()).for_each(|n| s.order_box(n, order(0.0)))
        });
    }

    fn reset(&mut self, part: f64, until: Micros, stage: &mut dyn Stage) {
        stage.reset_connections(part);
        if self.now < until {
            self.after(0.1, move |d, s| d.reset(part, until, s));
        }
    }

    /// Drains a box, ends it after the grace, and starts a cold successor beside it.
    fn replace(&mut self, number: usize, grace: f64, stage: &mut dyn Stage) {
        if !self.boxes[number].alive {
            return;
        }
        self.tell(number, Told::Draining, stage);
        // It turns away what still comes once the time to stop sending is over.
        self.after(2.0 + NOTICE.0, move |_, s| {
            s.order_box(number, cachebox::Order::Drain)
        });
        let zone = self.boxes[number].zone;
        self.succeed(None, zone, stage);
        self.after(grace + 2.0, move |d, s| {
            if std::mem::replace(&mut d.boxes[number].alive, false) {
                s.kill_box(number);
                d.tell(number, Told::Gone, s);
            }
        });
    }

    /// Nodes that are up, so many that one at least remains.
    fn pick_nodes(&mut self, part: f64) -> Vec<usize> {
        let mut picked = self.pick_nodes_all(part);
        let up = self.nodes_up.iter().filter(|up| **up).count();
        picked.truncate(up.saturating_sub(1));
        picked
    }

    fn pick_nodes_all(&mut self, part: f64) -> Vec<usize> {
        let mut up: Vec<usize> = (0..self.nodes_up.len())
            .filter(|n| self.nodes_up[*n])
            .collect();
        let count = ((part * self.nodes_up.len() as f64).ceil() as usize).min(up.len());
        (0..count)
            .map(|_| up.swap_remove(self.rng.below(up.len())))
            .collect()
    }

    fn start_node(&mut self, node: usize, stage: &mut dyn Stage) {
        if !std::mem::replace(&mut self.nodes_up[node], true) {
            stage.start_node(node);
            stage.order_clients(clients::Order::Up(node));
        }
    }
}
