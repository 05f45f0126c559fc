//! Upgrades, outages of discovery and changes of the endpoint list in drawn orders, at drawn moments, with real processes: nothing
//! goes to a server of whose drain or end a process of the node was told, and a server that is in service is served in the end.
//!
//! A few seeds are played by default; `UPGRADE_SEEDS=FIRST..END` plays others.

mod support;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

const DEFAULT_SEEDS: u64 = 5;
/// Fleets that are played at the same time.
const PARALLEL_FLEETS: usize = 6;
const MAX_PROCESSES: usize = 3;
/// Servers that may drain or go; the others stay in service.
const CHANGING_SERVERS: usize = 3;
/// Time in which a process that has been told of a change can publish it.
const PUBLISH_TIME: Duration = Duration::from_millis(100);
/// Time from the return of discovery until every process has the list: the longest pause between two requests, a time-out and a
/// sweep, on a busy machine.
const RECOVERY_TIME: Duration = Duration::from_secs(25);

/// One step of a play.
#[derive(Clone, Copy, Debug)]
enum Step {
    Tell(usize, &'static str),
    Discovery(ServiceMode),
    RestartNumbering,
    /// A process starts with the configuration of the first one, or with one that has discovery's present list.
    StartProcess {
        knows_present_list: bool,
    },
    /// The newest process is killed, if an older one runs.
    BreakOff,
    /// The oldest process ends, once a newer one is ready.
    StopOldest,
    /// All processes read a configuration whose list is older.
    Reload,
}

const MODES: [ServiceMode; 4] = [
    ServiceMode::Up,
    ServiceMode::Down,
    ServiceMode::RejectsNewRequests,
    ServiceMode::SilentToNewRequests,
];

fn draw_step(draw: &mut Draw) -> Step {
    match draw.below(18) {
        0..=4 => {
            let state = draw.pick(&["terminating", "terminating", "terminated", "in_service"]);
            Step::Tell(draw.within(0..CHANGING_SERVERS), state)
        }
        5..=8 => Step::Discovery(draw.pick(&MODES)),
        9 => Step::RestartNumbering,
        10..=12 => Step::StartProcess {
            knows_present_list: draw.below(3) == 0,
        },
        13 => Step::BreakOff,
        14..=16 => Step::StopOldest,
        _ => Step::Reload,
    }
}

/// A play: the node and its running processes, oldest first.
struct Play {
    node: UpgradedNode,
    running: Vec<usize>,
}

impl Play {
    fn perform(&mut self, step: Step) {
        match step {
            Step::Tell(server, state) => {
                self.node.tell(server, state);
            }
            Step::Discovery(mode) => self.node.discovery.set_mode(mode),
            Step::RestartNumbering => {
                self.node.discovery.set_mode(ServiceMode::Down);
                self.node.discovery.restart_numbering();
            }
            Step::StartProcess { knows_present_list } if self.running.len() < MAX_PROCESSES => {
                let options = ProcessOptions {
                    known: knows_present_list.then(|| self.node.discovery.present_list()),
                    ..ProcessOptions::default()
                };
                let process = self.node.start_process(options);
                self.running.push(process);
            }
            Step::BreakOff if self.running.len() > 1 => {
                std::thread::sleep(PUBLISH_TIME);
                let newest = self.running.remove(self.running.len() - 1);
                self.node.kill_process(newest);
            }
            Step::StopOldest if self.running.len() > 1 => {
                let oldest = self.running.remove(0);
                self.node.wait_until_ready(self.running[0]);
                self.node.stop_process(oldest);
            }
            Step::Reload => self.reload(),
            Step::StartProcess { .. } | Step::BreakOff | Step::StopOldest => {}
        }
    }

    fn reload(&self) {
        for process in &self.running {
            let process = &self.node.processes[*process].node;
            let mut config: Value = serde_json::from_str(&process.config()).unwrap();
            config["known"]["rev"] = json!(KNOWN_REV - 1);
            process.reload(&config.to_string());
        }
    }

    /// The servers that discovery lists as in service and that have received nothing since this moment.
    fn servers_not_served(&self, since: Instant) -> Vec<usize> {
        let servers = 0..self.node.targets.len();
        let is_idle = |server: &usize| {
            self.node.is_in_service(*server) && self.node.received_since(*server, since) == 0
        };
        servers.filter(is_idle).collect()
    }
}

/// Plays a seed; returns what was wrong, with the steps before it.
fn play(seed: u64) -> Option<String> {
    let mut draw = Draw::new(seed);
    let mut node = if draw.below(2) == 0 {
        UpgradedNode::new()
    } else {
        UpgradedNode::polling()
    };
    node.start_first_process();
    let mut play = Play {
        node,
        running: vec![0],
    };
    let mut steps = Vec::new();
    for _ in 0..draw.within(8..18) {
        let step = draw_step(&mut draw);
        let pause = draw.millis(0..1_200);
        steps.push((step, pause));
        play.perform(step);
        std::thread::sleep(pause);
    }
    play.node.discovery.set_mode(ServiceMode::Up);
    let returned = Instant::now();
    while !play.servers_not_served(returned).is_empty() && returned.elapsed() < RECOVERY_TIME {
        std::thread::sleep(Duration::from_millis(50));
    }
    let not_served = play.servers_not_served(returned);
    let late = play.node.late_requests();
    let unanswered = play.node.unanswered();
    let is_sound = not_served.is_empty() && late.is_empty() && unanswered == 0;
    (!is_sound).then(|| {
        let first_late = late.first();
        let late = late.len();
        format!("seed {seed}: {late} late, first {first_late:?}; {unanswered} unanswered; not served {not_served:?}; {steps:?}")
    })
}

#[test]
fn drains_are_kept_and_servers_served_in_drawn_orders_of_upgrades_outages_and_changes() {
    let seeds: Vec<u64> = seeds("UPGRADE_SEEDS", DEFAULT_SEEDS).collect();
    let mut failures = Vec::new();
    for fleets in seeds.chunks(PARALLEL_FLEETS) {
        let plays: Vec<_> = fleets
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || play(seed))
            })
            .collect();
        for play in plays {
            failures.extend(play.join().expect("a play has panicked"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
