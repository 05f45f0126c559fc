//! Slow start of a new cache server at a node whose wall clock is wrong.

mod support;

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use support::*;

/// Number of cache servers listed from the start.
const WARM_SERVERS: usize = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// How long the node serves before the new server is listed.
const TIME_BEFORE_NEW_SERVER: Duration = Duration::from_secs(3);
/// How long requests are counted after the new server is listed.
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// Calls `step` every millisecond until `duration` has passed.
fn serve_for(duration: Duration, step: &mut dyn FnMut()) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        step();
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn unix_ms() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as i64
}

/// Returns the fraction of all requests that a node sends to a server that has just started. The wall clock of the node is
/// wrong by `clock_step_seconds`; positive values are ahead.
fn fraction_to_new_server(clock_step_seconds: i64) -> f64 {
    let listeners: Vec<_> = (0..=WARM_SERVERS).map(|_| listener()).collect();
    let targets: Vec<Value> = listeners
        .iter()
        .enumerate()
        .map(|(n, server)| target(&format!("s-{n}"), server))
        .collect();
    let (warm, new) = targets.split_at(WARM_SERVERS);
    let mut discovery = ScriptedDiscovery::new(41, warm);
    let mut command = program();
    command
        .env("LD_PRELOAD", preload_library("stepped_clock"))
        .env("WALL_CLOCK_STEP", clock_step_seconds.to_string());
    let node = Node::builder()
        .command(command)
        .settings(polling_settings())
        .targets(warm)
        .set("/discovery", discovery.address().to_string())
        .start();
    let counts: Vec<Cell<usize>> = listeners.iter().map(|_| Cell::new(0)).collect();
    let start_server = |(server, count)| -> CacheServer<_> {
        let count: &Cell<usize> = count;
        CacheServer::new(server, move |_, _| {
            count.set(count.get() + 1);
            Some(hit_reply(b"value"))
        })
    };
    let mut servers: Vec<_> = listeners
        .into_iter()
        .zip(&counts)
        .map(start_server)
        .collect();
    let mut traffic = Traffic::to(&node).every(REQUEST_INTERVAL);
    let mut step = |discovery: &mut ScriptedDiscovery| {
        discovery.step();
        traffic.step();
        servers.iter_mut().for_each(CacheServer::poll);
    };
    serve_for(TIME_BEFORE_NEW_SERVER, &mut || step(&mut discovery));
    for count in &counts {
        count.set(0);
    }
    let mut new_target = new[0].clone();
    new_target["boot_ms"] = json!(unix_ms());
    let listed: Vec<Value> = warm.iter().cloned().chain([new_target]).collect();
    discovery.change(&listed, &[]);
    serve_for(COUNTED_TIME, &mut || step(&mut discovery));
    let all: usize = counts.iter().map(Cell::get).sum();
    let requests_to_new = counts[WARM_SERVERS].get();
    println!("wall clock step {clock_step_seconds} s: {requests_to_new} of {all} requests to the new server");
    requests_to_new as f64 / all as f64
}

// Guards against a full share of requests to a server that has just started: by a wall clock that is an hour ahead, the
// server started an hour ago and has warmed up.
#[test]
fn new_server_warms_up_although_the_wall_clock_is_an_hour_ahead_or_behind() {
    let full_share = 1.0 / (WARM_SERVERS + 1) as f64;
    let fractions = std::thread::scope(|scope| {
        let threads = [0, 3_600, -3_600]
            .map(|step_seconds| scope.spawn(move || fraction_to_new_server(step_seconds)));
        threads.map(|thread| thread.join().unwrap())
    });
    assert!(
        fractions.iter().all(|fraction| *fraction < 0.5 * full_share),
        "fraction sent to the new server, with a correct clock, one ahead and one behind: {fractions:.3?}"
    );
}
