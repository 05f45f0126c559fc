//! Stand-in for the origin: few workers, a bounded queue, slow spells; it applies writes, drops their repeats
//! for a while, and tells the boxes which copies are void.
//!
//! Boxes keep one connection each and number their calls (RESP2, answers in any order):
//! `O.GET tag key` and `O.SET tag key id idem` (`-`: no idempotency key) are answered `[tag, version]`, or
//! `[tag, nil]` when the queue is full. Unasked come `[VOID, key]` and `[VOIDPART, per mille, salt]`.

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

/// Calls that wait; more are turned away.
const QUEUE_MOST: usize = 1000;

/// Idempotency keys remembered before the old ones are looked for.
const KEYS_MOST: usize = 20_000;

#[derive(Clone, Debug)]
pub struct Settings {
    pub at: SocketAddr,
    pub workers: usize,
    pub fetch_mean: Micros,
    pub write_mean: Micros,
    /// How long a write's repeat is dropped.
    pub window: Micros,
    /// Fetches of one key that come while one is under way wait for it.
    pub share_fetches: bool,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// So many times slower.
    Slow(f64),
    /// This part of all kept copies is void.
    Void { fraction: f64, salt: u64 },
}

#[derive(Debug)]
enum Job {
    Get {
        key: Id,
    },
    /// `repeat`: it is dropped.
    Set {
        key: Id,
        id: Id,
        idempotency_key: Option<Id>,
        repeat: bool,
    },
}

#[derive(Debug)]
struct Call {
    conn: usize,
    serial: u64,
    tag: Bytes,
    job: Job,
}

pub struct Origin<N: SendTimes> {
    port: Port<N, u64>,
    set: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    slow: f64,
    queue: VecDeque<Call>,
    working: BTreeMap<u64, Call>,
    next: u64,
    /// Fetches under way, and who else waits for them.
    fetching: HashMap<Id, Vec<(usize, u64, Bytes)>>,
    versions: HashMap<Id, u64>,
    version: u64,
    seen: HashMap<Id, Micros>,
    readers: HashMap<usize, CommandReader>,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> Origin<N> {
    /// # Errors
    /// Its address cannot be listened on.
    pub fn new(
        net: N,
        set: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<Origin<N>> {
        let mut port = Port::new(net);
        port.listen(set.at)?;
        let rng = Rng::stream(set.seed, "origin", 0);
        Ok(Origin {
            port,
            set,
            command_queue,
            recorder,
            rng,
            slow: 1.0,
            queue: VecDeque::new(),
            working: BTreeMap::new(),
            next: 0,
            fetching: HashMap::new(),
            versions: HashMap::new(),
            version: 0,
            seen: HashMap::new(),
            readers: HashMap::new(),
            events: Vec::new(),
        })
    }

    fn command(&mut self, conn: usize, words: &[Bytes]) {
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
                    .is_some_and(|idempotency_key| self.repeats(idempotency_key));
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
                .filter(|_| self.set.share_fetches)
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
        if self.queue.len() >= QUEUE_MOST {
            if let Job::Get { key } = &job {
                self.fetching.remove(key);
            }
            return self.answer(conn, serial, &tag, None);
        }
        self.queue.push_back(Call {
            conn,
            serial,
            tag,
            job,
        });
        self.start();
    }

    /// Whether a write with this key has come within the window; it counts from the first that came.
    fn repeats(&mut self, idempotency_key: &Id) -> bool {
        let (now, window) = (self.port.now(), self.set.window);
        if self
            .seen
            .get(idempotency_key)
            .is_some_and(|at| now - *at < window)
        {
            return true;
        }
        if self.seen.len() > KEYS_MOST {
            self.seen.retain(|_, at| now - *at < window);
        }
        self.seen.insert(idempotency_key.clone(), now);
        false
    }

    fn start(&mut self) {
        while self.working.len() < self.set.workers {
            let Some(call) = self.queue.pop_front() else {
                return;
            };
            let mean = match call.job {
                Job::Get { .. } => self.set.fetch_mean,
                Job::Set { .. } => self.set.write_mean,
            } as f64;
            let time = (mean / 2.0 + self.rng.exponential(mean / 2.0)) * self.slow;
            self.next += 1;
            self.port
                .set_timer(self.port.now() + time as Micros, self.next);
            self.working.insert(self.next, call);
        }
    }

    fn done(&mut self, call: Call) {
        match call.job {
            Job::Get { key } => {
                let version = self.versions.get(&key).copied().unwrap_or(0);
                self.answer(call.conn, call.serial, &call.tag, Some(version));
                for (conn, serial, tag) in self.fetching.remove(&key).unwrap_or_default() {
                    self.answer(conn, serial, &tag, Some(version));
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
                        self.version += 1;
                        self.versions.insert(key.clone(), self.version);
                        self.recorder.record(
                            unix,
                            Event::Effect {
                                id,
                                idempotency_key,
                            },
                        );
                        self.tell_all(&[b"VOID", key.as_bytes()]);
                    }
                }
                self.answer(call.conn, call.serial, &call.tag, Some(self.version));
            }
        }
    }

    fn answer(&mut self, conn: usize, serial: u64, tag: &Bytes, version: Option<u64>) {
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

    fn tell_all(&mut self, words: &[&[u8]]) {
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

    fn read(&mut self, conn: usize) {
        let mut commands = Vec::new();
        let Some(line) = self.port.connection(conn) else {
            return;
        };
        let reader = self.readers.entry(conn).or_default();
        let mut buf = BytesMut::new();
        std::mem::swap(&mut buf, &mut line.buf);
        while let Ok(Some(command)) = reader.next(&mut buf, &mut ByteBudget::new(0)) {
            commands.push(command.arguments);
        }
        line.buf = buf;
        for words in commands {
            self.command(conn, &words);
        }
    }
}

impl<N: SendTimes> Actor for Origin<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, what) in &events {
            match what {
                ConnectionEvent::Received => self.read(*conn),
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
            if let Some(call) = self.working.remove(&number) {
                self.done(call);
            }
            self.start();
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(order) = self.command_queue.pop() {
            match order {
                ControlCommand::Slow(times) => self.slow = times,
                ControlCommand::Void { fraction, salt } => {
                    let fraction = ((fraction * 1000.0) as u64).to_string();
                    self.tell_all(&[
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
