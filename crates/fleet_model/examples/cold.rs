//! Counts what all nodes together send to each cold server, beside what the settings allow it, by number of nodes: a zone
//! with half of the servers is back cold, and then three in ten nodes start anew. Draws the fullest server, where a file is named.
//!
//!     cargo run --release -p sloewick-fleet-model --example cold
//!     cargo run --release -p sloewick-fleet-model --example cold -- docs/cold-servers.svg

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::error::Error;
use std::sync::Arc;

use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use sloewick_decision::api::*;
use sloewick_decision::Balancer;
use sloewick_fleet_model::Site;

const NODES: [usize; 5] = [3, 20, 30, 100, 300];
const SERVERS: usize = 40;
/// Requests a second, whatever the number of nodes: 15 at a server.
const RATE: f64 = 600.0;
const KEYS: f64 = 3_000.0;
const SECOND: Micros = 1_000_000;
/// The zone is back then, and some nodes start anew.
const BACK: Micros = 8 * SECOND;
const ANEW: Micros = 14 * SECOND;
const END: Micros = 28 * SECOND;
const ANSWER: Micros = 20_000;
const SEEDS: u64 = 5;
/// Every fifth node sees so many times what another sees.
const BUSY: f64 = 4.0;

fn entry(server: usize, started: Option<Micros>) -> Endpoint {
    Endpoint {
        server: format!("s{server}").into(),
        weight: 1.0,
        zone: Some(server as u16 % 2),
        kind: None,
        state: ServerState::Live,
        started,
        cell: None,
    }
}

fn list(cold: bool) -> Arc<[Endpoint]> {
    (0..SERVERS)
        .map(|s| entry(s, (cold && s % 2 == 1).then_some(BACK)))
        .collect()
}

struct Run {
    set: Settings,
    /// When each server was sent something.
    sent: Vec<Vec<Micros>>,
}

fn play(nodes: usize, seed: u64) -> Run {
    let set = Settings {
        nodes,
        ..Site {
            nodes,
            ..Site::default()
        }
        .settings()
    };
    let node = |n: usize, start: u64, now: Micros| {
        let set = Settings {
            node_number: Some(n as u64),
            ..set.clone()
        };
        let seed = seed << 32 | start << 16 | n as u64;
        let mut node = Balancer::new(set, seed, now).expect("valid settings");
        node.handle(
            now,
            Event::EndpointList(EndpointListKind::Full, list(now >= BACK)),
            &mut Vec::new(),
        );
        node
    };
    let mut fleet: Vec<Balancer> = (0..nodes).map(|n| node(n, 0, 0)).collect();
    let shares: Vec<f64> = (0..nodes)
        .map(|n| if n % 5 == 0 { BUSY } else { 1.0 })
        .collect();
    let all: f64 = shares.iter().sum();
    let zipf = Zipf::new(KEYS, 1.0).expect("a valid law");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut due: BinaryHeap<Reverse<(Micros, usize, usize, usize)>> = BinaryHeap::new();
    let mut sent = vec![Vec::new(); SERVERS];
    let (mut next, mut serial) = (0, 0);
    let (mut back, mut anew) = (false, false);
    loop {
        let now = due.peek().map_or(next, |Reverse((at, ..))| next.min(*at));
        if now >= END {
            return Run { set, sent };
        }
        if now >= BACK && !std::mem::replace(&mut back, true) {
            for node in &mut fleet {
                node.handle(
                    now,
                    Event::EndpointList(EndpointListKind::Full, list(true)),
                    &mut Vec::new(),
                );
            }
        }
        if now >= ANEW && !std::mem::replace(&mut anew, true) {
            (0..nodes)
                .filter(|n| n % 10 < 3)
                .for_each(|n| fleet[n] = node(n, 1, now));
        }
        if now < next {
            let Some(Reverse((_, n, id, server))) = due.pop() else {
                continue;
            };
            let event = Event::AttemptEnded(AttemptOutcome {
                request: format!("r{id}").into(),
                server: format!("s{server}").into(),
                attempt: 0,
                latency: ANSWER,
                status: Status::Ok,
                closed: true,
                cache_result: None,
                load: None,
            });
            fleet[n].handle(now, event, &mut Vec::new());
            continue;
        }
        let gap: f64 = Exp1.sample(&mut rng);
        next += (gap / RATE * SECOND as f64) as Micros + 1;
        serial += 1;
        let mut drawn = rng.random::<f64>() * all;
        let found = shares.iter().position(|share| {
            drawn -= share;
            drawn < 0.0
        });
        let n = found.unwrap_or(nodes - 1);
        let request = Request {
            id: format!("r{serial}").into(),
            class: 0,
            tenant: None,
            key: Some(format!("k{}", zipf.sample(&mut rng)).into()),
            budget: 400_000,
            work: None,
            size: None,
            retry: false,
            write: false,
        };
        let mut actions = Vec::new();
        fleet[n].handle(now, Event::Request(request), &mut actions);
        for action in actions {
            if let Action::Send { server, .. } = action {
                let server: usize = server[1..].parse().expect("servers are numbered");
                sent[server].push(now);
                due.push(Reverse((now + ANSWER, n, serial, server)));
            }
        }
    }
}

impl Run {
    /// What the settings allow a cold server within the time to a fall, counted from what an average one is sent.
    fn budget(&self, now: Micros) -> f64 {
        let warm = (now - BACK) as f64 / self.set.warm_up_time as f64;
        let grown = (self.set.cold_capacity + (1.0 - self.set.cold_capacity) * warm).min(1.0);
        self.set.overload_multiple * grown * RATE * self.set.overload_window as f64
            / SECOND as f64
            / SERVERS as f64
    }

    /// For each quarter of a second that the zone is back: what each cold server was sent within the time to a fall, sorted.
    fn sums(&self) -> Vec<(Micros, Vec<f64>)> {
        let count = |sent: &Vec<Micros>, end: Micros| {
            let from = (end - self.set.overload_window).max(BACK);
            (sent.partition_point(|at| *at <= end) - sent.partition_point(|at| *at <= from)) as f64
        };
        let times = (BACK + SECOND / 4..END).step_by(SECOND as usize / 4);
        let all = times.map(|end| {
            let cold = self.sent.iter().enumerate().filter(|(s, _)| s % 2 == 1);
            let mut sums: Vec<f64> = cold.map(|(_, sent)| count(sent, end)).collect();
            sums.sort_by(f64::total_cmp);
            (end, sums)
        });
        all.collect()
    }
}

/// Seconds since the zone is back, the fullest server's sum over its budget, and what is allowed with what is put down to chance.
type Row = (f64, f64, f64);

fn rows(nodes: usize) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::new();
    let (mut most, mut over, mut of, mut given, mut able) = (0.0f64, 0, 0, 0.0, 0.0);
    for seed in 1..=SEEDS {
        let run = play(nodes, seed);
        for (n, (end, sums)) in run.sums().into_iter().enumerate() {
            let budget = run.budget(end);
            let allowed = budget + 2.0 * budget.sqrt() + 2.0;
            let fullest = sums[sums.len() - 1];
            most = most.max(fullest / allowed);
            over += sums.iter().filter(|sum| **sum > allowed).count();
            of += sums.len();
            given += sums[sums.len() / 2];
            able += budget / run.set.overload_multiple;
            let row = (
                (end - BACK) as f64 / SECOND as f64,
                fullest / budget,
                allowed / budget,
            );
            match rows.get_mut(n) {
                Some(old) => old.1 = old.1.max(row.1),
                None => rows.push(row),
            }
        }
    }
    println!(
        "{nodes:4} nodes: fullest {most:.2} of what is allowed, over in {over} of {of}; \
         the middle one is sent {:.2} of an average server's load for what it can do",
        given / able
    );
    rows
}

fn draw(file: &str, all: &[(usize, Vec<Row>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, (760, 440)).into_drawing_area();
    area.fill(&WHITE)?;
    let rows = || all.iter().flat_map(|(_, rows)| rows);
    let most = rows().map(|r| r.1.max(r.2)).fold(0.0, f64::max) * 1.05;
    let last = rows().map(|r| r.0).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "What the fullest cold server is sent by all nodes",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("seconds since it started; three in ten nodes start anew at 6")
        .y_desc("sum within 2 s, over the budget N")
        .draw()?;
    for (n, (nodes, rows)) in all.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(
                rows.iter().map(|r| (r.0, r.1)),
                colour.stroke_width(2),
            ))?
            .label(format!("{nodes} nodes"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    let allowed = all[0].1.iter().map(|r| (r.0, r.2));
    chart
        .draw_series(LineSeries::new(allowed, BLACK.mix(0.5)))?
        .label("N + 2 root of N + 2")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK.mix(0.5)));
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let all: Vec<(usize, Vec<Row>)> = NODES
        .into_iter()
        .map(|nodes| (nodes, rows(nodes)))
        .collect();
    match std::env::args().nth(1) {
        Some(file) => draw(&file, &all),
        None => Ok(()),
    }
}
