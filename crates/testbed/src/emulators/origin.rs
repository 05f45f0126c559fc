//! Emulator of the origin: a few workers, a bounded queue, and periods of slowness as a fault.
//!
//! The origin applies writes, drops repeats of a write within a deduplication window, and invalidates the keys that
//! cache servers have in their caches.
//!
//! Each cache server keeps one connection and numbers its calls (RESP2; the answers come in any order). The origin
//! answers `O.GET tag key` and `O.SET tag key id idem` (`-`: no idempotency key) with `[tag, version]`, or with
//! `[tag, nil]` when its queue is full. It sends the invalidations `[VOID, key]` and `[VOIDPART, per mille, salt]`
//! unrequested.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sloewick_codec::resp2::{write_bulk, write_header, ByteBudget, CommandReader};
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Id, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};
use crate::rng::Rng;

/// Limit of waiting calls; the origin rejects further ones.
const MAX_QUEUED_CALLS: usize = 1000;

/// Number of remembered idempotency keys above which the origin removes the expired ones.
const IDEMPOTENCY_KEYS_BEFORE_CLEANUP: usize = 20_000;

/// Configuration of the origin.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address that the origin listens on.
    pub at: SocketAddr,
    /// Number of calls that the origin works on at the same time.
    pub workers: usize,
    /// Mean duration of a fetch.
    pub fetch_mean: Micros,
    /// Mean duration of a write.
    pub write_mean: Micros,
    /// Deduplication window: how long after a write its repeats are dropped.
    pub window: Micros,
    /// A fetch of a key waits for the result of one that is already in flight.
    pub share_fetches: bool,
    /// Seed of the origin's random stream.
    pub seed: u64,
}

/// A command of the fault scheduler to the origin.
#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// Multiplies the duration of all calls by this factor.
    Slow(f64),
    /// Invalidates this fraction of all cached keys, selected by a hash with this salt.
    Void { fraction: f64, salt: u64 },
}

/// What a call requests.
#[derive(Debug)]
enum Job {
    Get {
        key: Id,
    },
    /// A write; `repeat`: its idempotency key was received within the window, so that it is dropped.
    Set {
        key: Id,
        id: Id,
        idempotency_key: Option<Id>,
        repeat: bool,
    },
}

/// A call of a cache server.
#[derive(Debug)]
struct Call {
    conn: usize,
    /// Serial number of the connection, since indices are used again.
    serial: u64,
    /// The caller's number of the call, which the answer repeats.
    tag: Bytes,
    job: Job,
}

/// The origin.
pub struct Origin<N: SendTimes> {
    port: Port<N, u64>,
    settings: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    /// Factor of the duration of all calls.
    slowdown: f64,
    queue: VecDeque<Call>,
    /// The calls that the workers handle, by number.
    in_progress: BTreeMap<u64, Call>,
    /// Number of the latest call that a worker started.
    last_call: u64,
    /// Keys with a fetch queued or in progress, and the further calls that wait for it: connection, its serial number
    /// and the tag.
    fetching: HashMap<Id, Vec<(usize, u64, Bytes)>>,
    /// Version of each key that was written.
    versions: HashMap<Id, u64>,
    /// The latest version of any key.
    last_version: u64,
    /// When each idempotency key was first received.
    idempotency_keys: HashMap<Id, Micros>,
    readers: HashMap<usize, CommandReader>,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> Origin<N> {
    /// Creates an origin that listens.
    ///
    /// # Errors
    /// The origin's address cannot be listened on.
    pub fn new(
        net: N,
        settings: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<Origin<N>> {
        let mut port = Port::new(net);
        port.listen(settings.at)?;
        let rng = Rng::stream(settings.seed, "origin", 0);
        Ok(Origin {
            port,
            settings,
            command_queue,
            recorder,
            rng,
            slowdown: 1.0,
            queue: VecDeque::new(),
            in_progress: BTreeMap::new(),
            last_call: 0,
            fetching: HashMap::new(),
            versions: HashMap::new(),
            last_version: 0,
            idempotency_keys: HashMap::new(),
            readers: HashMap::new(),
            events: Vec::new(),
        })
    }

    fn handle_call(&mut self, conn: usize, words: &[Bytes]) {
        let text = |i: usize| -> Option<Id> {
            words
                .get(i)
                .and_then(|w| std::str::from_utf8(w).ok())
                .map(Id::from)
        };
        let (Some(name), Some(tag), Some(key)) = (text(0), words.get(1).cloned(), text(2)) else {
            return;
        };
        let job = match (&*name, text(3), text(4)) {
            ("O.GET", None, _) => Job::Get { key },
            ("O.SET", Some(id), Some(idempotency_key)) => {
                let idempotency_key =
                    Some(idempotency_key).filter(|idempotency_key| &**idempotency_key != "-");
                let repeat = idempotency_key
                    .as_ref()
                    .is_some_and(|idempotency_key| self.is_repeat(idempotency_key));
                Job::Set {
                    key,
                    id,
                    idempotency_key,
                    repeat,
                }
            }
            _ => return,
        };
        let serial = self.port.connection(conn).map_or(0, |l| l.serial);
        if let Job::Get { key } = &job {
            if let Some(waiting) = self
                .fetching
                .get_mut(key)
                .filter(|_| self.settings.share_fetches)
            {
                waiting.push((conn, serial, tag));
                return self
                    .recorder
                    .record(self.port.unix(), Event::Fetch { shared: true });
            }
            self.fetching.entry(key.clone()).or_default();
            self.recorder
                .record(self.port.unix(), Event::Fetch { shared: false });
        }
        if self.queue.len() >= MAX_QUEUED_CALLS {
            if let Job::Get { key } = &job {
                self.fetching.remove(key);
            }
            return self.send_answer(conn, serial, &tag, None);
        }
        self.queue.push_back(Call {
            conn,
            serial,
            tag,
            job,
        });
        self.start_calls();
    }

    /// Whether a write with this key was received within the window, which counts from the first one.
    fn is_repeat(&mut self, idempotency_key: &Id) -> bool {
        let (now, window) = (self.port.now(), self.settings.window);
        if self
            .idempotency_keys
            .get(idempotency_key)
            .is_some_and(|at| now - *at < window)
        {
            return true;
        }
        if self.idempotency_keys.len() > IDEMPOTENCY_KEYS_BEFORE_CLEANUP {
            self.idempotency_keys.retain(|_, at| now - *at < window);
        }
        self.idempotency_keys.insert(idempotency_key.clone(), now);
        false
    }

    fn start_calls(&mut self) {
        while self.in_progress.len() < self.settings.workers {
            let Some(call) = self.queue.pop_front() else {
                return;
            };
            let mean = match call.job {
                Job::Get { .. } => self.settings.fetch_mean,
                Job::Set { .. } => self.settings.write_mean,
            } as f64;
            let duration = (mean / 2.0 + self.rng.exponential(mean / 2.0)) * self.slowdown;
            self.last_call += 1;
            self.port
                .set_timer(self.port.now() + duration as Micros, self.last_call);
            self.in_progress.insert(self.last_call, call);
        }
    }

    fn finish_call(&mut self, call: Call) {
        match call.job {
            Job::Get { key } => {
                let version = self.versions.get(&key).copied().unwrap_or(0);
                self.send_answer(call.conn, call.serial, &call.tag, Some(version));
                for (conn, serial, tag) in self.fetching.remove(&key).unwrap_or_default() {
                    self.send_answer(conn, serial, &tag, Some(version));
                }
            }
            Job::Set {
                key,
                id,
                idempotency_key,
                repeat,
            } => {
                let unix = self.port.unix();
                match (repeat, idempotency_key) {
                    (true, Some(idempotency_key)) => self.recorder.record(
                        unix,
                        Event::RepeatDropped {
                            id,
                            idempotency_key,
                        },
                    ),
                    (_, idempotency_key) => {
                        self.last_version += 1;
                        self.versions.insert(key.clone(), self.last_version);
                        self.recorder.record(
                            unix,
                            Event::Effect {
                                id,
                                idempotency_key,
                            },
                        );
                        self.broadcast(&[b"VOID", key.as_bytes()]);
                    }
                }
                self.send_answer(call.conn, call.serial, &call.tag, Some(self.last_version));
            }
        }
    }

    fn send_answer(&mut self, conn: usize, serial: u64, tag: &Bytes, version: Option<u64>) {
        if self
            .port
            .connection(conn)
            .is_some_and(|l| l.serial == serial)
        {
            let mut out = Vec::new();
            write_header(&mut out, b'*', 2);
            write_bulk(&mut out, tag);
            match version {
                Some(version) => write_bulk(&mut out, version.to_string().as_bytes()),
                None => out.extend_from_slice(b"$-1\r\n"),
            }
            self.port.send(conn, out.into());
        }
    }

    fn broadcast(&mut self, words: &[&[u8]]) {
        let mut out = Vec::new();
        write_header(&mut out, b'*', words.len());
        for word in words {
            write_bulk(&mut out, word);
        }
        let out = Bytes::from(out);
        for conn in self.port.conns() {
            self.port.send(conn, out.clone());
        }
    }

    fn read_calls(&mut self, conn: usize) {
        let mut commands = Vec::new();
        let Some(port_connection) = self.port.connection(conn) else {
            return;
        };
        let reader = self.readers.entry(conn).or_default();
        let mut buf = BytesMut::new();
        std::mem::swap(&mut buf, &mut port_connection.buf);
        while let Ok(Some(command)) = reader.next(&mut buf, &mut ByteBudget::new(0)) {
            commands.push(command.arguments);
        }
        port_connection.buf = buf;
        for words in commands {
            self.handle_call(conn, &words);
        }
    }
}

impl<N: SendTimes> Actor for Origin<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            match event {
                ConnectionEvent::Received => self.read_calls(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => {
                    self.readers.remove(conn);
                    self.port.close(*conn);
                }
                ConnectionEvent::Accepted(_) => drop(self.readers.remove(conn)),
                ConnectionEvent::Connected => {}
            }
        }
        self.events = events;
        while let Some(number) = self.port.pop_due() {
            if let Some(call) = self.in_progress.remove(&number) {
                self.finish_call(call);
            }
            self.start_calls();
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(command) = self.command_queue.pop() {
            match command {
                ControlCommand::Slow(times) => self.slowdown = times,
                ControlCommand::Void { fraction, salt } => {
                    let fraction = ((fraction * 1000.0) as u64).to_string();
                    self.broadcast(&[
                        b"VOIDPART",
                        fraction.as_bytes(),
                        salt.to_string().as_bytes(),
                    ]);
                }
            }
        }
        Some(self.port.next_due())
    }
}
