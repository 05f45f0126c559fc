//! The stand-ins, each against scripted peers, as the protocol page has them.

mod support;

use std::sync::mpsc::Receiver;

use sloewick_testbed::checker::observations::{
    AnnouncedState, Answer, AttemptOutcome, Event, Observation,
};
use sloewick_testbed::commands::CommandQueue;
use sloewick_testbed::emulators::cache_server::{self, CacheServer};
use sloewick_testbed::emulators::discovery::{self, Discovery};
use sloewick_testbed::emulators::origin::{self, Origin};
use sloewick_testbed::network::hosts::Hosts;
use sloewick_testbed::site::ProtocolOptions;
use sloewick_testbed::{emulators::clients, site};
use support::*;

struct Store {
    hosts: Hosts,
    node: Peer,
    observations: Receiver<Observation>,
    command_queue: CommandQueue<cache_server::ControlCommand>,
    origin_commands: CommandQueue<origin::ControlCommand>,
    cache: usize,
    seen: Vec<Event>,
}

/// A box and an origin, and one scripted connection (0) to the box, where a node would be.
fn store(edit: impl FnOnce(&mut cache_server::Settings, &mut origin::Settings)) -> Store {
    let mut hosts = hosts();
    let (recorder, observations) = recorder();
    let mut set = site::cache_server_settings(0, address(1, 80), address(2, 80), false, false, 1);
    set.initial_hit_fraction = 0.0;
    set.speed = 1.0;
    let mut origin_set = site::origin(address(2, 80), 1, &calm());
    edit(&mut set, &mut origin_set);
    let (command_queue, origin_commands) = (CommandQueue::default(), CommandQueue::default());
    let origin_host = hosts.world.borrow_mut().add_host("origin", 0, 1000);
    hosts
        .world
        .borrow_mut()
        .add_address(origin_host, address(2, 80));
    let origin = Origin::new(
        hosts.net(origin_host),
        origin_set,
        origin_commands.clone(),
        recorder.clone(),
    )
    .unwrap();
    hosts.place(origin_host, Box::new(origin));
    let cache = hosts.world.borrow_mut().add_host("box", 0, 1000);
    hosts.world.borrow_mut().add_address(cache, address(1, 80));
    let actor = CacheServer::new(hosts.net(cache), set, command_queue.clone(), recorder).unwrap();
    hosts.place(cache, Box::new(actor));
    let node = Peer::new(&mut hosts, "node", None);
    hosts.play_to(20 * WAY);
    node.connect(&mut hosts, address(1, 80));
    hosts.play_to(60 * WAY);
    Store {
        hosts,
        node,
        observations,
        command_queue,
        origin_commands,
        cache,
        seen: Vec::new(),
    }
}

impl Store {
    fn after(&mut self, time: i64) {
        let now = self.hosts.now();
        self.hosts.play_to(now + time);
        while let Ok(observation) = self.observations.try_recv() {
            self.seen.push(observation.event);
        }
    }

    fn order(&mut self, order: cache_server::ControlCommand) {
        self.command_queue.push(order);
        self.hosts.wake(self.cache);
        self.after(WAY);
    }

    /// What comes on the connection for this, within a second.
    fn ask(&mut self, text: String) -> String {
        let before = self.node.text().len();
        self.node.send(&mut self.hosts, 0, text);
        self.after(1_000_000);
        self.node.text()[before..].to_string()
    }

    fn count(&self, event: impl Fn(&Event) -> bool) -> usize {
        self.seen.iter().filter(|w| event(w)).count()
    }

    fn fates(&self) -> Vec<AttemptOutcome> {
        let outcome = |w: &Event| {
            if let Event::AttemptOutcome { outcome, .. } = w {
                Some(*outcome)
            } else {
                None
            }
        };
        self.seen.iter().filter_map(outcome).collect()
    }
}

#[test]
fn a_key_is_a_miss_then_a_hit_and_void_after_a_write() {
    let mut s = store(|_, _| {});
    let how = |text: String| text.split("\r\n").nth(4).unwrap_or_default().to_string();
    assert_eq!(how(s.ask(get("r1", "trace-read", 900))), "miss");
    assert_eq!(how(s.ask(get("r2", "trace-read", 900))), "hit");
    assert!(s
        .ask(set("w1", "alarm-set", 900, Some("k1")))
        .contains("w1|logger/1|"));
    assert_eq!(how(s.ask(get("r3", "trace-read", 900))), "miss");
    assert_eq!(s.count(|w| matches!(w, Event::Fetch { .. })), 2);
    s.origin_commands.push(origin::ControlCommand::Void {
        fraction: 1.0,
        salt: 9,
    });
    s.after(600_000);
    assert_eq!(how(s.ask(get("r4", "trace-read", 900))), "miss");
}

#[test]
fn a_miss_while_another_fetch_of_the_key_is_out_is_pending() {
    let mut s = store(|_, origin| (origin.fetch_mean, origin.share_fetches) = (300_000, true));
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(20_000);
    s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 3000));
    s.node.send(&mut s.hosts, 1, get("r2", "trace-read", 3000));
    s.after(3_000_000);
    let text = s.node.text();
    assert!(text.contains("pending") && text.contains("miss"), "{text}");
    assert_eq!(s.count(|w| *w == Event::Fetch { shared: true }), 1);
    assert_eq!(s.count(|w| *w == Event::Fetch { shared: false }), 1);
}

#[test]
fn a_keyed_write_takes_effect_once_within_the_window_and_again_after_it() {
    let mut s = store(|_, _| {});
    for id in ["w1", "w2"] {
        assert!(s
            .ask(set(id, "alarm-set", 900, Some("k1")))
            .contains(&format!("{id}|")));
    }
    let effects = |s: &Store| s.count(|w| matches!(w, Event::Effect { .. }));
    assert_eq!(
        (
            effects(&s),
            s.count(|w| matches!(w, Event::RepeatDropped { .. }))
        ),
        (1, 1)
    );
    assert!(s.ask(set("w3", "alarm-ack", 900, None)).contains("w3|"));
    assert!(s.ask(set("w3", "alarm-ack", 900, None)).contains("w3|"));
    assert_eq!(effects(&s), 3, "what has no key is never dropped");
    s.after(site::DEDUPLICATION_WINDOW);
    // The box has closed the idle connection by now.
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(100_000);
    let conn = s
        .node
        .seen()
        .iter()
        .rev()
        .find(|(_, seen)| *seen == Seen::Up)
        .unwrap()
        .0;
    s.node
        .send(&mut s.hosts, conn, set("w4", "alarm-set", 900, Some("k1")));
    s.after(1_000_000);
    assert_eq!(effects(&s), 4);
}

#[test]
fn a_full_waiting_room_turns_away_and_says_so() {
    let mut s = store(|set, _| set.queue_capacity = 1);
    for _ in 0..3 {
        s.node.connect(&mut s.hosts, address(1, 80));
    }
    s.after(60_000);
    for conn in 0..4 {
        s.node.send(
            &mut s.hosts,
            conn,
            get(&format!("r{conn}"), "trace-read", 900),
        );
    }
    s.after(1_000_000);
    assert_eq!(
        s.node.text().matches("-BUSY\r\n").count(),
        2,
        "{}",
        s.node.text()
    );
    assert_eq!(
        s.fates()
            .iter()
            .filter(|f| **f == AttemptOutcome::Rejected)
            .count(),
        2
    );
    assert_eq!(
        s.fates()
            .iter()
            .filter(|f| **f == AttemptOutcome::Executed)
            .count(),
        2
    );
}

#[test]
fn a_draining_box_finishes_what_it_has_and_takes_nothing_new() {
    let mut s = store(|_, _| {});
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(20_000);
    s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 900));
    s.after(2 * WAY);
    s.order(cache_server::ControlCommand::Drain);
    s.node.send(&mut s.hosts, 1, get("r2", "trace-read", 900));
    s.after(1_000_000);
    assert!(s.node.text().contains("r1|") && s.node.text().contains("-BUSY"));
}

#[test]
fn a_connection_beyond_the_cap_is_closed_and_a_new_one_costs_work() {
    let mut s = store(|set, _| (set.connections, set.handshake) = (2, 50_000));
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(3 * WAY);
    let begun = s.hosts.now();
    s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 900));
    s.after(1_000_000);
    let answered = s
        .node
        .script
        .borrow()
        .seen
        .iter()
        .find(|(_, _, seen)| matches!(seen, Seen::Bytes(_)))
        .unwrap()
        .0;
    assert!(
        answered - begun > 45_000,
        "{} us behind a new connection",
        answered - begun
    );
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(10 * WAY);
    assert_eq!(s.node.seen().last(), Some(&(2, Seen::Ended)));
}

#[test]
fn a_cold_box_is_slower_and_falls_over_when_pushed() {
    let time = |cold: bool| {
        let mut s = store(|set, _| (set.cold, set.read_work) = (cold, 200_000));
        let begun = s.hosts.now();
        s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 9000));
        s.after(9_000_000);
        let at = s
            .node
            .script
            .borrow()
            .seen
            .iter()
            .find(|(_, _, seen)| matches!(seen, Seen::Bytes(_)))
            .map(|s| s.0);
        at.unwrap() - begun
    };
    assert!(
        time(true) > 2 * time(false),
        "{} {}",
        time(true),
        time(false)
    );
    let mut s = store(|set, _| set.cold = true);
    // 13% of one core, two and a half times, for two seconds: 0.65 s of work.
    for n in 0..200 {
        s.node
            .send(&mut s.hosts, 0, get(&format!("r{n}"), "trace-read", 900));
    }
    s.after(30_000_000);
    assert_eq!(
        s.count(|w| *w == Event::ServerOverloaded { server: 0 }),
        0,
        "in turn they are no push"
    );
    assert!(falls_of_reads_at_once(200, 1));
}

/// Whether a server that has just started falls when so many reads arrive at once, each on a connection of its own.
fn falls_of_reads_at_once(reads: usize, seed: u64) -> bool {
    let mut s = store(|set, _| (set.cold, set.seed) = (true, seed));
    for n in 0..reads {
        s.node.connect(&mut s.hosts, address(1, 80));
        s.after(WAY);
        s.node
            .send(&mut s.hosts, n, get(&format!("r{n}"), "trace-read", 900));
    }
    s.after(1_000_000);
    let falls = s.count(|w| *w == Event::ServerOverloaded { server: 0 });
    assert!(falls <= 1);
    assert_eq!(s.hosts.has(s.cache), falls == 0);
    falls == 1
}

// Guards against a cold server that falls by the work that it happens to draw, while it got no more requests than it bears.
#[test]
fn cold_server_falls_by_the_number_of_requests_and_not_by_the_work_drawn_for_them() {
    // 13% of one core, two and a half times, for two seconds, is 46 reads of 14 ms; 2 x root of 46 + 2 more are borne.
    for seed in 0..20 {
        assert!(!falls_of_reads_at_once(61, seed), "seed {seed}");
        assert!(falls_of_reads_at_once(66, seed), "seed {seed}");
    }
}

#[test]
fn work_of_an_attempt_that_was_given_up_stops() {
    let mut s = store(|set, _| set.read_work = 400_000);
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(20_000);
    s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 3000));
    s.after(3 * WAY);
    s.node.send(&mut s.hosts, 1, get("r2", "trace-read", 3000));
    s.after(3 * WAY);
    s.node.close(&mut s.hosts, 0);
    s.after(5_000_000);
    assert_eq!(
        s.fates(),
        [AttemptOutcome::Interrupted, AttemptOutcome::Executed]
    );
}

#[test]
fn what_is_over_before_its_turn_is_turned_away() {
    let mut s = store(|set, _| set.read_work = 200_000);
    s.node.connect(&mut s.hosts, address(1, 80));
    s.after(20_000);
    s.node.send(&mut s.hosts, 0, get("r1", "trace-read", 3000));
    s.node.send(&mut s.hosts, 1, get("r2", "trace-read", 5));
    s.after(3_000_000);
    assert_eq!(s.node.text().matches("-BUSY").count(), 1);
}

#[test]
fn trouble_is_made_as_ordered() {
    let mut s = store(|_, _| {});
    s.order(cache_server::ControlCommand::Errors(1.0));
    assert_eq!(s.ask(get("r1", "trace-read", 900)), "-ERR failed\r\n");
    s.order(cache_server::ControlCommand::Errors(0.0));
    s.order(cache_server::ControlCommand::Surplus(1.0));
    let surplus = s.ask(get("r2", "trace-read", 900));
    assert!(
        surplus.contains("r2|") && !surplus.ends_with("$-1\r\n") || surplus.contains("wrong"),
        "{surplus}"
    );
    s.order(cache_server::ControlCommand::Surplus(0.0));
    s.order(cache_server::ControlCommand::Stall(2_000_000));
    assert_eq!(s.ask(get("r3", "trace-read", 9000)), "");
    s.after(2_000_000);
    assert!(s.node.text().contains("r3|"));
    s.order(cache_server::ControlCommand::Spoil(1.0));
    let spoilt = s.ask(get("r4", "trace-read", 900));
    assert!(
        !spoilt.contains("$-1\r\n") || spoilt.contains("abcdefgh"),
        "{spoilt}"
    );
    assert_eq!(
        s.ask(get("r5", "trace-read", 900)),
        "",
        "the connection is of no further use"
    );
}

#[test]
fn what_no_client_sends_is_told() {
    let mut s = store(|_, _| {});
    assert_eq!(
        s.ask(command(&["C.GET", "k", "id", "c=trace-read"])),
        "-SYNTAX\r\n"
    );
    assert_eq!(s.count(|w| matches!(w, Event::MalformedCommand { .. })), 1);
    assert_eq!(s.ask(command(&["PING"])), "+PONG\r\n");
    assert_eq!(s.ask(command(&["INFO", "load"])), "-NOPERM\r\n");
}

// ---- discovery ----

fn discovery_scene() -> (
    Hosts,
    Peer,
    Receiver<Observation>,
    CommandQueue<discovery::ControlCommand>,
    usize,
) {
    let mut hosts = hosts();
    let (recorder, observations) = recorder();
    let host = hosts.world.borrow_mut().add_host("discovery", 0, 100);
    hosts.world.borrow_mut().add_address(host, address(3, 80));
    let command_queue = CommandQueue::default();
    let list = [listed(0, address(1, 80)), listed(1, address(1, 81))];
    let actor = Discovery::new(
        hosts.net(host),
        &[address(3, 80)],
        41,
        &list,
        command_queue.clone(),
        recorder,
    )
    .unwrap();
    hosts.place(host, Box::new(actor));
    let node = Peer::new(&mut hosts, "node", None);
    node.connect(&mut hosts, address(3, 80));
    hosts.play_to(10 * WAY);
    (hosts, node, observations, command_queue, host)
}

fn call(hosts: &mut Hosts, node: &Peer, path: &str, wait: i64) -> String {
    let before = node.text().len();
    node.send(hosts, 0, format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n"));
    let now = hosts.now();
    hosts.play_to(now + wait);
    node.text()[before..].to_string()
}

#[test]
fn discovery_tells_the_whole_list_and_a_watch_waits_for_changes() {
    let (mut hosts, node, observations, command_queue, host) = discovery_scene();
    let whole = call(&mut hosts, &node, "/api/targets", 10 * WAY);
    assert!(
        whole.contains(r#""all":true"#) && whole.contains(r#""rev":41"#),
        "{whole}"
    );
    assert!(whole.contains("s-0") && whole.contains("s-1"));
    assert_eq!(
        observations
            .try_iter()
            .filter(|f| matches!(f.event, Event::AnnouncementSent { .. }))
            .count(),
        2
    );
    assert_eq!(
        call(
            &mut hosts,
            &node,
            "/api/targets?since=41&timeout_ms=20000",
            1_000_000
        ),
        ""
    );
    let mut gone = listed(1, address(1, 81));
    gone.state = AnnouncedState::Removed;
    command_queue.push(discovery::ControlCommand::Change(gone));
    hosts.wake(host);
    let (before, now) = (node.text().len(), hosts.now());
    hosts.play_to(now + 10 * WAY);
    let delta = node.text()[before..].to_string();
    assert!(
        delta.contains(r#""all":false"#) && delta.contains("terminated") && !delta.contains("s-0"),
        "{delta}"
    );
    assert_eq!(
        observations.try_iter().map(|f| f.event).collect::<Vec<_>>(),
        [Event::AnnouncementSent {
            node: 0,
            server: 1,
            state: AnnouncedState::Removed
        }]
    );
    // A watch with nothing new ends with an empty change; one from an unknown version gets everything.
    let empty = call(
        &mut hosts,
        &node,
        "/api/targets?since=42&timeout_ms=500",
        600_000,
    );
    assert!(empty.contains(r#""targets":[]"#), "{empty}");
    assert!(call(
        &mut hosts,
        &node,
        "/api/targets?since=7&timeout_ms=500",
        10 * WAY
    )
    .contains(r#""all":true"#));
}

#[test]
fn discovery_fails_is_late_and_stale_as_ordered() {
    let (mut hosts, node, _facts, command_queue, host) = discovery_scene();
    let give = |hosts: &mut Hosts, order| {
        command_queue.push(order);
        hosts.wake(host);
        let now = hosts.now();
        hosts.play_to(now + WAY);
    };
    give(&mut hosts, discovery::ControlCommand::Fail(true));
    assert!(call(&mut hosts, &node, "/api/targets", 10 * WAY).starts_with("HTTP/1.1 503"));
    give(&mut hosts, discovery::ControlCommand::Fail(false));
    give(&mut hosts, discovery::ControlCommand::Late(300_000));
    assert_eq!(call(&mut hosts, &node, "/api/targets", 200_000), "");
    let now = hosts.now();
    hosts.play_to(now + 200_000);
    assert!(node.text().contains(r#""rev":41"#));
    give(&mut hosts, discovery::ControlCommand::Late(0));
    give(&mut hosts, discovery::ControlCommand::Stale(true));
    let mut drains = listed(0, address(1, 80));
    drains.state = AnnouncedState::Draining;
    give(&mut hosts, discovery::ControlCommand::Change(drains));
    assert!(!call(&mut hosts, &node, "/api/targets", 10 * WAY).contains("terminating"));
    give(&mut hosts, discovery::ControlCommand::Stale(false));
    assert!(call(&mut hosts, &node, "/api/targets", 10 * WAY).contains("terminating"));
    give(&mut hosts, discovery::ControlCommand::CountFrom(1));
    assert!(call(
        &mut hosts,
        &node,
        "/api/targets?since=42&timeout_ms=500",
        10 * WAY
    )
    .contains(r#""rev":1"#));
    give(&mut hosts, discovery::ControlCommand::Retire(100_000));
    let now = hosts.now();
    hosts.play_to(now + 200_000);
    assert!(node.saw(&Seen::Ended));
    node.connect(&mut hosts, address(3, 80));
    let now = hosts.now();
    hosts.play_to(now + 10 * WAY);
    assert!(node.saw(&Seen::Broke { refused: true }));
}

// ---- clients ----

/// A crowd before one scripted node, at 50 requests a second.
fn crowd() -> (
    Hosts,
    Peer,
    Receiver<Observation>,
    CommandQueue<clients::ControlCommand>,
) {
    let mut hosts = hosts();
    let (recorder, observations) = recorder();
    let node = Peer::new(&mut hosts, "node", Some(address(5, 80)));
    let host = hosts.world.borrow_mut().add_host("clients", 0, 1000);
    let command_queue = CommandQueue::default();
    let mut scenario = calm();
    scenario.rate = 50.0;
    let mut set = site::clients(
        vec![address(5, 80)],
        Vec::new(),
        ProtocolOptions::default(),
        3,
        &scenario,
        10_000_000,
    );
    set.retries = 1.0;
    let crowd = clients::ClientPool::new(hosts.net(host), set, command_queue.clone(), recorder);
    hosts.place(host, Box::new(crowd));
    hosts.play_to(50 * WAY);
    (hosts, node, observations, command_queue)
}

#[test]
fn a_node_is_used_once_it_has_answered_ping() {
    let (mut hosts, node, observations, _orders) = crowd();
    hosts.play_to(1_000_000);
    assert!(
        node.text().contains("PING") && !node.text().contains("C."),
        "{}",
        node.text()
    );
    assert_eq!(observations.try_iter().count(), 0);
    node.send(&mut hosts, 0, "+PONG\r\n");
    hosts.play_to(2_000_000);
    assert!(
        observations
            .try_iter()
            .filter(|f| matches!(f.event, Event::RequestSent { .. }))
            .count()
            > 20
    );
}

#[test]
fn answers_are_told_apart_and_a_refusal_is_asked_again_after_its_wait() {
    let (mut hosts, node, observations, _orders) = crowd();
    node.send(&mut hosts, 0, "+PONG\r\n");
    hosts.play_to(150 * WAY);
    let asked = |observations: &Receiver<Observation>| -> Vec<(i64, String, String)> {
        let asked = observations.try_iter().filter_map(|f| match f.event {
            Event::RequestSent { id, first, .. } => Some((f.at, id.to_string(), first.to_string())),
            _ => None,
        });
        asked.collect()
    };
    let (_, id, _) = asked(&observations)
        .first()
        .cloned()
        .expect("one has asked");
    let conn = |node: &Peer, id: &str| {
        let script = node.script.borrow();
        let found = script
            .seen
            .iter()
            .find(|(_, _, s)| matches!(s, Seen::Bytes(text) if text.contains(id)));
        found.map(|(_, conn, _)| *conn).unwrap()
    };
    let at = conn(&node, &id);
    node.send(&mut hosts, at, "-BUSY 100\r\n");
    let refused = hosts.now() + WAY;
    hosts.play_to(refused + 90_000);
    assert!(!asked(&observations)
        .iter()
        .any(|(_, _, first)| *first == id));
    hosts.play_to(refused + 110_000);
    let again = asked(&observations);
    let (when, second, _) = again
        .iter()
        .find(|(_, _, first)| *first == id)
        .cloned()
        .expect("asked again");
    assert!(second != id && (refused + 100_000..refused + 110_000).contains(&when));
    // A value made for another request is told apart from its own.
    let at = conn(&node, &second);
    node.send(&mut hosts, at, "$7\r\nother|x\r\n");
    hosts.play_to(refused + 120_000);
    let foreign = |f: Observation| {
        matches!(
            f.event,
            Event::Answered {
                answer: Answer::Foreign(_),
                ..
            }
        )
    };
    assert!(observations.try_iter().any(foreign));
}

#[test]
fn bytes_that_answer_nothing_are_told_and_a_closed_connection_is_tried_once_more() {
    let (mut hosts, node, observations, _orders) = crowd();
    node.send(&mut hosts, 0, "+PONG\r\n");
    hosts.play_to(100 * WAY);
    let first = node
        .seen()
        .iter()
        .rev()
        .find(|(_, s)| matches!(s, Seen::Bytes(t) if t.contains("C.")))
        .cloned();
    let (conn, _) = first.expect("one has asked");
    node.close(&mut hosts, conn);
    let now = hosts.now();
    hosts.play_to(now + 20 * WAY);
    let seen: Vec<Event> = observations.try_iter().map(|f| f.event).collect();
    assert!(
        seen.iter().any(|w| matches!(w, Event::Resent { .. })),
        "{seen:?}"
    );
}
