//! Calls to discovery: the whole list, and the watch on its changes, over HTTP/1.1.
//!
//! The module decides when to ask. A watch, once asked for, goes on by itself: its next call follows each
//! answer at once, since a gap of over 200 ms would begin a new watch. Any failure ends it and is told.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use serde_json::Value;
use sloewick_codec::http1;
use sloewick_decision::api::{Micros, ServerId, ServerState};
use sloewick_decision::settings::{Fields, RawEndpoint, SettingsError};

use crate::timers::{Due, Timers};
use crate::transport::{fill, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue};

/// How long a watch may wait at one service for all nodes, at the least and at the most. A call is dear to it, and silence
/// shows only after the wait. Each node has a wait of its own between the two: silence that begins at all of them at once
/// must not bring all of their calls at once. The protocol's own example is the longest; the shortest leaves as much time
/// as such a service needs to take one call from each node (8 s at the most that any site has told).
const WATCH_LEAST: Micros = 12_000_000;
const WATCH_MOST: Micros = 20_000_000;
/// How much later than its wait a watch's answer may come. What it has to tell counts as told 2 s after the wait.
const WATCH_LATE: Micros = 500_000;
/// And how much later after the wait, or after a call fell silent, what it has to tell counts as told.
const TOLD_BEHIND_WAIT: Micros = 2_000_000;
const TOLD_SILENT: Micros = 6_000_000;
/// A call that need not wait is given up after this, with time to ask again before it counts as told.
const CALL_MOST: Micros = 4_000_000;
/// After a new address came, what is to be told there counts as told so much later.
const TOLD_MOVED: Micros = 4_000_000;
/// A watch that is answered at once with nothing must not become a busy loop; still inside the 200 ms in which a watch
/// goes on.
const WATCH_PAUSE: Micros = 100_000;
/// Longest pause before a list is asked for again where an answer is owed by a stated time: after an answer in doubt, while
/// a pushed list does not come, while what counts as told could not be heard. Four fit into the grace, in which what a list
/// tells must be obeyed, where that is shorter.
const AGAIN_MOST: Micros = 200_000;
/// Waits of a watch at an agent beside the node, which answers at no cost: half of the grace, within these.
const PUSHED_LEAST: Micros = 100_000;
const PUSHED_MOST: Micros = 2_000_000;

/// The times of a node's calls, from its settings.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How long a watch waits, in whole milliseconds.
    wait: Micros,
    /// How long after that it is given up.
    late: Micros,
    /// Pause before a list is asked for again where an answer is owed by a stated time.
    again: Micros,
    /// In which what is told must be obeyed.
    grace: Micros,
}

impl Times {
    /// `poll`: one service for all nodes; otherwise an agent beside each. `turn`: this node's part of what is spread over all
    /// nodes, from 0 to 1.
    pub fn new(poll: bool, grace: Micros, turn: f64) -> Times {
        let again = (grace / 4).clamp(20_000, AGAIN_MOST);
        if poll {
            let spread = (WATCH_MOST - WATCH_LEAST) as f64 * (1.0 - turn.clamp(0.0, 1.0));
            let wait = (WATCH_LEAST + spread as Micros) / 1000 * 1000;
            return Times {
                wait,
                late: WATCH_LATE,
                again,
                grace,
            };
        }
        // Nothing that the agent has may go unheard for longer than the grace: it counts as told at once.
        let wait = (grace / 2).clamp(PUSHED_LEAST, PUSHED_MOST) / 1000 * 1000;
        Times {
            wait,
            late: again,
            again,
            grace,
        }
    }
}

/// One list entry and where it is reached from here.
pub struct Listed {
    pub entry: RawEndpoint,
    pub address: SocketAddr,
    /// Unix time of its last start in milliseconds; 0: long ago.
    pub boot_ms: i64,
}

/// What discovery said.
pub struct Answer {
    pub rev: i64,
    pub all: bool,
    pub targets: Vec<Listed>,
}

/// Reads an answer's JSON.
pub fn answer(value: &Value) -> Result<Answer, SettingsError> {
    let f = Fields::of(value, "known")?;
    let targets = f
        .array("targets")?
        .iter()
        .map(listed)
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Answer {
        rev: f.int("rev")?,
        all: f.flag("all")?,
        targets,
    })
}

fn listed(value: &Value) -> Result<Listed, SettingsError> {
    let f = Fields::of(value, "targets")?;
    let text = |name| {
        f.opt(name)
            .map(|_| f.text(name).map(str::to_string))
            .transpose()
    };
    let state = match f.text("state")? {
        "in_service" => ServerState::Live,
        "terminating" => ServerState::Draining,
        "terminated" => ServerState::Removed,
        other => {
            return Err(SettingsError::new(
                "state",
                format!("{other:?} is no server state"),
            ))
        }
    };
    let server: ServerId = f.text("uid")?.into();
    let endpoint = f.text("endpoint")?;
    let address = endpoint.parse().map_err(|_| {
        SettingsError::new("endpoint", format!("{endpoint:?} is no address and port"))
    })?;
    let cell = f.opt("pod_group").map(|_| f.int("pod_group")).transpose()?;
    let entry = RawEndpoint {
        server,
        weight: f.number_or("capacity_hint", 1.0)?,
        zone: text("az")?,
        kind: text("model")?,
        state,
        started: None,
        cell: cell.and_then(|n| u32::try_from(n).ok()),
    };
    Ok(Listed {
        entry,
        address,
        boot_ms: f.opt("boot_ms").map_or(Ok(0), |_| f.int("boot_ms"))?,
    })
}

/// A start in Unix time on the node's clock, which began at `began` in Unix time; none for long ago.
///
/// Guards against a start that moves: told again, it must be the same to the microsecond, or the server
/// would be taken for one that has started again. Two clocks read anew each time never agree so well.
pub fn started(boot_ms: i64, began: Micros, now: Micros) -> Option<Micros> {
    // A server's clock may run ahead of this one; a start cannot lie in the future.
    (boot_ms > 0).then(|| boot_ms.saturating_mul(1000).saturating_sub(began).min(now))
}

/// News for the node.
pub enum News {
    List(Answer),
    Failed(&'static str),
}

#[derive(Clone, Copy, PartialEq)]
enum What {
    Whole,
    Watch,
}

struct Call<S> {
    stream: S,
    what: What,
    out: WriteQueue,
    buf: BytesMut,
    serial: u64,
    began: Micros,
}

/// The node's side of discovery.
pub struct Discovery<S> {
    address: SocketAddr,
    token: Token,
    /// Lists are pushed to an agent beside the node: it is watched always, without the module asking.
    pushed: bool,
    rev: Option<i64>,
    watching: bool,
    whole_wanted: bool,
    /// An answer was older than the list held: only a whole list is believed next.
    doubted: bool,
    not_before: Micros,
    /// Until then an answer is owed to the node itself, whatever the module plans: something that it has not heard counts
    /// as told.
    owed_by: Option<Micros>,
    /// Calls that have failed since.
    failed: u32,
    times: Times,
    call: Option<Call<S>>,
    serial: u64,
}

impl<S: Stream> Discovery<S> {
    pub fn new(
        address: SocketAddr,
        token: Token,
        pushed: bool,
        rev: i64,
        times: Times,
    ) -> Discovery<S> {
        Discovery {
            address,
            token,
            pushed,
            rev: Some(rev),
            watching: pushed,
            whole_wanted: false,
            doubted: false,
            not_before: 0,
            owed_by: None,
            failed: 0,
            times,
            call: None,
            serial: 0,
        }
    }

    /// Begins or ends the watch, as the module says.
    pub fn subscribe(&mut self, on: bool) {
        self.watching = on || self.pushed;
        if !self.watching && self.call.as_ref().is_some_and(|c| c.what == What::Watch) {
            self.call = None;
        }
    }

    /// Asks for the whole list, once. A watch that waits is ended for it and goes on behind it.
    pub fn fetch(&mut self) {
        self.whole_wanted = true;
        if self.call.as_ref().is_some_and(|c| c.what == What::Watch) {
            self.call = None;
        }
    }

    /// Discovery is at another address now. It may count its versions anew, so that one which is held from
    /// before says nothing there: the whole list is asked for at once, and a watch goes on behind it.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros) {
        if address != self.address {
            self.address = address;
            self.rev = None;
            self.not_before = 0;
            self.call = None;
            self.whole_wanted = true;
            self.owe(now + TOLD_MOVED);
        }
    }

    /// Something counts as told then, heard or not: until it has been obeyed, failed calls are made again by themselves.
    fn owe(&mut self, told: Micros) {
        (self.owed_by, self.failed) = (Some(told + self.times.grace), 0);
    }

    /// Makes the call that is wanted, unless one is out.
    pub fn go_on(
        &mut self,
        net: &mut impl Transport<Stream = S>,
        timers: &mut Timers,
    ) -> Option<News> {
        let now = net.now();
        if self.call.is_some() || now < self.not_before || !(self.watching || self.whole_wanted) {
            return None;
        }
        let since = self.rev.filter(|_| !self.whole_wanted && !self.doubted);
        let (what, path, most) = match since {
            Some(rev) => {
                let Times { wait, late, .. } = self.times;
                let path = format!("/api/targets?since={rev}&timeout_ms={}", wait / 1000);
                (What::Watch, path, wait + late)
            }
            None => (What::Whole, "/api/targets".to_string(), CALL_MOST),
        };
        self.serial += 1;
        let opened = net.connect(self.address, self.token);
        let Ok(stream) = opened else {
            return Some(self.failed("no connection", now, timers));
        };
        let mut out = WriteQueue::default();
        let host = self.address;
        out.push(Bytes::from(format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n"
        )));
        timers.set(
            now + most,
            Due::Discovery {
                serial: self.serial,
            },
        );
        let serial = self.serial;
        self.call = Some(Call {
            stream,
            what,
            out,
            buf: BytesMut::new(),
            serial,
            began: now,
        });
        None
    }

    /// A call's time is over.
    pub fn due(&mut self, serial: u64, now: Micros, timers: &mut Timers) -> Option<News> {
        let call = self.call.as_ref().filter(|c| c.serial == serial)?;
        // Silence, unlike a failure, is no excuse: what the call should have told counts as told. It is made again at once.
        let told = match call.what {
            What::Watch => call.began + self.times.wait + TOLD_BEHIND_WAIT,
            What::Whole => call.began + TOLD_SILENT,
        };
        self.owe(told);
        Some(self.failed("no answer in time", now, timers))
    }

    pub fn ready(
        &mut self,
        event: &ReadyEvent,
        now: Micros,
        scratch: &mut [u8],
        timers: &mut Timers,
    ) -> Option<News> {
        let call = self.call.as_mut()?;
        let mut broke = matches!(call.stream.take_error(), Ok(Some(_)) | Err(_));
        if !broke && event.writable && !call.out.is_empty() {
            match call.stream.connected() {
                Err(e) if e.kind() == ErrorKind::NotConnected => return None,
                _ => broke = call.out.flush(&mut call.stream).is_err(),
            }
        }
        let mut ended = false;
        loop {
            match fill(&mut call.stream, &mut call.buf, scratch) {
                ReadOutcome::Ended => ended = true,
                ReadOutcome::Broke => broke = true,
                ReadOutcome::Empty => {}
                _ if call.buf.len() > http1::MAX_HEAD + http1::MAX_BODY => {
                    return Some(self.failed("answer too long", now, timers));
                }
                _ => continue,
            }
            break;
        }
        // Guards against a cut list: a reset is no end, so that only an answer which tells where it ends can be whole.
        match http1::response_body(&call.buf, ended && !broke) {
            Ok(None) if broke => Some(self.failed("connection broke", now, timers)),
            Ok(None) => None,
            Ok(Some(body)) => Some(self.answered(&body, now, timers)),
            Err(error) => Some(self.failed(error.message(), now, timers)),
        }
    }

    fn answered(&mut self, body: &[u8], now: Micros, timers: &mut Timers) -> News {
        let parsed = serde_json::from_slice(body)
            .ok()
            .and_then(|v: Value| answer(&v).ok());
        let Some(list) = parsed else {
            return self.failed("answer is not a list", now, timers);
        };
        let Some(call) = self.call.take() else {
            return News::Failed("no call");
        };
        if call.what == What::Whole && !list.all {
            return self.failed("part of a list where all was asked for", now, timers);
        }
        // Guards against an answer from before what is known already: obeying it would bring back servers
        // that are gone. If the whole list stays behind, discovery has begun to count anew. What it says of
        // drains is obeyed at once, since leaving a server out is safe either way, and the whole list is
        // asked for again here: the module's pause between calls can be longer than a drain may wait.
        if self.rev.is_some_and(|held| list.rev < held) && !(list.all && self.doubted) {
            self.doubted = true;
            self.whole_wanted = true;
            self.pause(now + self.times.again, timers);
            let targets = list
                .targets
                .into_iter()
                .filter(|t| t.entry.state != ServerState::Live)
                .collect();
            return News::List(Answer {
                rev: list.rev,
                all: false,
                targets,
            });
        }
        self.doubted = false;
        (self.owed_by, self.failed) = (None, 0);
        self.rev = Some(list.rev);
        self.whole_wanted &= !list.all;
        if list.targets.is_empty() && now - call.began < WATCH_PAUSE {
            self.pause(now + WATCH_PAUSE, timers);
        }
        News::List(list)
    }

    /// Ends the call, and the watch unless an answer is owed by a stated time: then, and where lists are pushed, it is
    /// asked for again here. Where discovery turns callers away, each pause is twice the one before.
    fn failed(&mut self, why: &'static str, now: Micros, timers: &mut Timers) -> News {
        self.call = None;
        self.owed_by = self.owed_by.filter(|by| now < *by);
        let owed = self.owed_by.is_some();
        self.watching = self.pushed || owed;
        self.whole_wanted &= owed;
        // The first one is made again at once: after silence, as much time as may pass has passed.
        if self.pushed && self.failed > 0 {
            self.pause(now + self.times.again, timers);
        } else if owed && self.failed > 0 {
            self.pause(now + (self.times.again << self.failed.min(5)) / 2, timers);
        }
        self.failed = self.failed.saturating_add(1);
        News::Failed(why)
    }

    fn pause(&mut self, until: Micros, timers: &mut Timers) {
        self.not_before = until;
        self.serial += 1;
        timers.set(
            until,
            Due::Discovery {
                serial: self.serial,
            },
        );
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
