//! The same fleets through both protocols: identical responses, equal service, and no violated rule.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use sloewick_decision::api::Micros;
use sloewick_testbed::checker::observations::{Answer, Event, Id, RequestNames};
use sloewick_testbed::faults::scenario::{self, Scenario};
use sloewick_testbed::site::{Clients, ProtocolOptions, ServerProtocols};
use sloewick_testbed::virtual_fleet::{self, LogEntry, Options, Outcome};

/// Requests in the order sent: time, class, key, and the time and kind of the final response, None without one.
type RequestLog = Vec<(Micros, usize, usize, Option<(Micros, Answer)>)>;

/// Plays a scenario and returns its outcome with a log of all requests.
fn play_recorded(
    scenario: &Scenario,
    seed: u64,
    protocols: ProtocolOptions,
) -> (Outcome, RequestLog) {
    let seen: Rc<RefCell<(RequestLog, HashMap<Id, usize>)>> = Rc::default();
    let recorded = seen.clone();
    let observer = Box::new(move |entry: LogEntry<'_>| {
        let LogEntry::Observation(observation) = entry else {
            return;
        };
        let (requests, places) = &mut *recorded.borrow_mut();
        match &observation.event {
            Event::RequestSent { id, class, key, .. } => {
                places.insert(id.clone(), requests.len());
                requests.push((observation.at, *class, *key, None));
            }
            Event::Answered { id, answer } => {
                if let Some(place) = places.get(id) {
                    requests[*place].3 = Some((observation.at, answer.clone()));
                }
            }
            _ => {}
        }
    });
    let options = Options {
        observer: Some(observer),
        protocols,
        ..Options::default()
    };
    let outcome = virtual_fleet::play(scenario, seed, options);
    let requests = std::mem::take(&mut seen.borrow_mut().0);
    (outcome, requests)
}

fn shipped() -> Vec<Scenario> {
    scenario::SHIPPED
        .iter()
        .map(|(_, text)| scenario::parse(text).unwrap())
        .collect()
}

#[test]
fn both_protocols_give_every_request_the_same_response_at_the_same_instant() {
    let threads: Vec<_> = shipped()
        .into_iter()
        // Misbehaving clients connect to other listeners, which shifts everything else.
        .filter(|s| s.faults.iter().all(|f| f.name != "rude"))
        .map(|scenario| {
            std::thread::spawn(move || {
                let play = |clients| {
                    play_recorded(
                        &scenario,
                        1,
                        ProtocolOptions {
                            clients,
                            servers: ServerProtocols::Resp,
                        },
                    )
                };
                let ((one, by_resp), (other, by_memcached)) =
                    (play(Clients::RespByKey), play(Clients::Memcached));
                assert!(
                    one.violations.is_empty() && other.violations.is_empty(),
                    "{}",
                    scenario.name
                );
                assert!(by_resp.len() > 1_000, "{}", scenario.name);
                assert_eq!(by_resp.len(), by_memcached.len(), "{}", scenario.name);
                for (n, (a, b)) in by_resp.iter().zip(&by_memcached).enumerate() {
                    assert_eq!(a, b, "{}: request {n}", scenario.name);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}

/// Mean service figure of a scenario over the given seeds; asserts that no run violates a rule.
fn service(scenario: &Scenario, seeds: std::ops::Range<u64>, protocols: ProtocolOptions) -> f64 {
    let count = seeds.end - seeds.start;
    let sum: f64 = seeds
        .map(|seed| {
            let outcome = virtual_fleet::play(
                scenario,
                seed,
                Options {
                    protocols,
                    ..Options::default()
                },
            );
            assert!(
                outcome.violations.is_empty(),
                "seed {seed}: {}",
                outcome.violations[0]
            );
            outcome.report.total().service(&outcome.report.classes)
        })
        .sum();
    sum / count as f64
}

#[test]
fn mixed_fleet_of_cache_servers_serves_as_well_as_a_uniform_one() {
    let threads: Vec<_> = ["calm", "main-break"]
        .into_iter()
        .map(|name| {
            std::thread::spawn(move || {
                let scenario = shipped().into_iter().find(|s| s.name == name).unwrap();
                let of = |servers| {
                    service(
                        &scenario,
                        1..6,
                        ProtocolOptions {
                            clients: Clients::Both,
                            servers,
                        },
                    )
                };
                let (resp, mixed, memcached) = (
                    of(ServerProtocols::Resp),
                    of(ServerProtocols::Mixed),
                    of(ServerProtocols::Memcached),
                );
                println!("{name}: RESP2 {resp:.4}, mixed {mixed:.4}, memcached {memcached:.4}");
                assert!((resp - mixed).abs() < 0.01, "{name}: {resp} {mixed}");
                assert!(
                    (resp - memcached).abs() < 0.01,
                    "{name}: {resp} {memcached}"
                );
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn rolling_deploy_replaces_resp2_servers_by_memcached_ones_without_violations() {
    let scenario = shipped()
        .into_iter()
        .find(|s| s.name == "rolling-deploy")
        .unwrap();
    for clients in [Clients::Resp, Clients::Memcached] {
        let protocols = ProtocolOptions {
            clients,
            servers: ServerProtocols::Later,
        };
        let (outcome, requests) = play_recorded(&scenario, 5, protocols);
        assert!(outcome.violations.is_empty(), "{}", outcome.violations[0]);
        assert!(requests.len() > 1_000);
    }
}

#[test]
fn swarm_with_both_frontends_and_both_server_protocols_violates_no_rule() {
    // With seeds 6, 16, 33 and 48 a cache server takes over an address whose previous owner used the other protocol.
    let threads: Vec<_> = [1..17u64, 17..33, 33..49, 49..65]
        .into_iter()
        .map(|seeds| {
            std::thread::spawn(move || {
                for seed in seeds {
                    let protocols = ProtocolOptions {
                        clients: Clients::Both,
                        servers: ServerProtocols::Mixed,
                    };
                    let options = Options {
                        protocols,
                        ..Options::default()
                    };
                    let outcome = virtual_fleet::play(&scenario::swarm(seed), seed, options);
                    let first = outcome
                        .violations
                        .first()
                        .map(std::string::ToString::to_string)
                        .unwrap_or_default();
                    assert!(outcome.violations.is_empty(), "seed {seed}: {first}");
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn request_ids_shortened_to_16_bits_are_resolved_to_full_ids() {
    use sloewick_testbed::checker::observations::{
        memcached_request_id, opaque_of, short_id, AttemptOutcome, Observation,
    };
    let id: Id = "0123456789abcdef".into();
    let mut names = RequestNames::default();
    let request = Event::RequestSent {
        id: id.clone(),
        node: 0,
        class: 0,
        tenant: 0,
        key: 0,
        idempotency_key: None,
        first: id.clone(),
        budget: 1,
    };
    names.resolve(Observation {
        at: 0,
        event: request,
    });
    let outcome = |id: Id| Observation {
        at: 1,
        event: Event::AttemptOutcome {
            id,
            attempt: 1,
            outcome: AttemptOutcome::Executed,
        },
    };
    assert_eq!(
        names.resolve(outcome(short_id(opaque_of(&id)))).event,
        outcome(id).event
    );
    // A short id that matches no request is left unchanged.
    assert_eq!(
        names.resolve(outcome(short_id(7))).event,
        outcome("#0007".into()).event
    );
    assert_eq!(
        (
            &*memcached_request_id(7),
            opaque_of(&memcached_request_id(7))
        ),
        ("%00000007", 7)
    );
}
