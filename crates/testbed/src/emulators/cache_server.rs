//! Stand-in for a cache box, from the protocol page: work with a service time on one core, a waiting room, a
//! cold start, a connection cap and a cost for each new connection, read-through, writes passed to the origin,
//! drain, and trouble: spoilt and surplus answers, errors, stalls, slowness.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, RequestReader, Status};
use sloewick_codec::resp2::{
    write_bulk, write_header, ByteBudget, Command, CommandReader, DecodeEvent, Element, Reply,
    ReplyReader,
};
use sloewick_decision::api::Micros;

use crate::checker::observations::{short, Event, Fate, Id, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, Came, Cut, Port, Sight};
use crate::rng::Rng;

/// Memory for values of writes that wait.
const VALUES_MOST: usize = 8 << 20;
/// Keys whose fate is remembered; far more than a run has.
const KEYS_MOST: usize = 200_000;
/// How long a box tries to reach the origin again after a break.
const ORIGIN_AGAIN: Micros = 50_000;

#[derive(Clone, Debug)]
pub struct Settings {
    pub number: usize,
    pub at: SocketAddr,
    pub origin: SocketAddr,
    /// It speaks the memcached binary protocol.
    pub memcached: bool,
    /// Standard cores' work done in a microsecond, when warm.
    pub speed: f64,
    /// Mean work of a read and of a write, on a standard core.
    pub read_work: Micros,
    pub write_work: Micros,
    /// Attempts that may wait; more are turned away.
    pub room: usize,
    pub connections: usize,
    /// Work of a new connection.
    pub handshake: Micros,
    pub idle: Micros,
    /// It has just started, with nothing kept.
    pub cold: bool,
    /// The part of its capacity it starts with, and how long until it is warm.
    pub cold_from: f64,
    pub warm_after: Micros,
    /// It falls over when sent so many times what it can do, for so long.
    pub fall_multiple: f64,
    pub fall: Micros,
    /// The part of reads of keys not asked for before that it holds from before the run, when not cold.
    pub kept_before: f64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// It turns away what is new and finishes what it has.
    Drain,
    Stall(Micros),
    /// So many times slower.
    Slow(f64),
    /// Parts of the answers that are spoilt, that bring more than belongs to them, that are errors.
    Spoil(f64),
    Surplus(f64),
    Errors(f64),
    /// The ways to and from its nodes are cut, where the network itself can't do that.
    Cut(Cut),
    /// It takes no new connections, and serves those it has.
    Refuse(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The core is done with what it works on.
    Core(u64),
    Origin,
    Idle,
    StallOver,
    /// More of a value without end.
    Trickle(usize, u64),
}

#[derive(Debug)]
struct Job {
    conn: usize,
    serial: u64,
    attempt: u64,
    id: Id,
    key: Id,
    write: bool,
    idem: Option<Id>,
    work: Micros,
    over: Micros,
    /// Memcached: what goes back with the answer.
    opaque: Option<u32>,
}

/// What a node sent, in either protocol.
struct Asked {
    id: Id,
    key: Id,
    write: bool,
    idem: Option<Id>,
    /// How long the node waits.
    wait: Micros,
    opaque: Option<u32>,
}

/// How an attempt that is not served is answered.
#[derive(Clone, Copy)]
enum ErrorResponse {
    Busy,
    Failed,
}

/// Cuts what a node sends.
enum Reader {
    Resp(CommandReader),
    Memcached(RequestReader),
}

enum Input {
    Command(Command),
    Request(memcached::Request),
}

/// How long a box works on what tells no time: longer than any node waits.
const WAIT_MOST: Micros = 2_500_000;

/// A request's name: of a client that gave none, what its node made ends with the client's opaque.
fn name(id: &str) -> Id {
    match id.strip_prefix('m').and_then(|rest| rest.rsplit_once('-')) {
        Some((_, opaque)) => short(u32::from_str_radix(opaque, 16).unwrap_or(0)),
        None => id.into(),
    }
}

enum Peer {
    Node {
        reader: Reader,
        busy: bool,
        useless: bool,
        active: Micros,
    },
    Origin,
}

pub struct CacheBox<N: Sight> {
    port: Port<N, Due>,
    set: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    began: Micros,
    peers: HashMap<usize, Peer>,
    queue: VecDeque<Job>,
    /// What the core works on: a job, or the greeting of a new connection.
    core: Option<(u64, Option<Job>)>,
    greetings: usize,
    core_number: u64,
    attempts: u64,
    origin: Option<usize>,
    origin_up: bool,
    origin_reader: ReplyReader,
    calls: HashMap<u64, Job>,
    call: u64,
    /// Keys with a fetch out.
    fetching: HashMap<Id, u32>,
    kept: HashMap<Id, u64>,
    voided: HashSet<Id>,
    void_parts: Vec<(u64, u64)>,
    received: VecDeque<(Micros, Micros)>,
    received_sum: Micros,
    draining: bool,
    stalled_until: Micros,
    slow: f64,
    spoil: f64,
    surplus: f64,
    errors: f64,
    fallen: bool,
    came: Vec<(usize, Came)>,
}

/// A served answer of the binary protocol; a write's has no value.
fn put_answer(out: &mut Vec<u8>, job: &Job, opaque: u32, value: Vec<u8>) {
    let (opcode, flags, value) = if job.write {
        (Opcode::Set, &[][..], Vec::new())
    } else {
        (Opcode::Get, &[0; 4][..], value)
    };
    memcached::write_response(
        out,
        &memcached::Response {
            opcode: opcode as u8,
            status: Status::Ok as u16,
            opaque,
            cas: 0,
            extras: Bytes::from_static(flags),
            key: Bytes::new(),
            value: value.into(),
        },
    );
}

fn hash(text: &str, salt: u64) -> u64 {
    let mut rng = Rng::part(salt, text, 0);
    rng.word()
}

impl<N: Sight> CacheBox<N> {
    /// # Errors
    /// Its address cannot be listened on.
    pub fn new(
        net: N,
        set: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<CacheBox<N>> {
        let mut port = Port::new(net);
        port.listen(set.at)?;
        let began = port.now();
        port.set(began, Due::Origin);
        port.set(began + set.idle / 4, Due::Idle);
        recorder.tell(
            port.unix(),
            Event::BoxStarted {
                at_box: set.number,
                cold: set.cold,
                speed: set.speed,
            },
        );
        let rng = Rng::part(set.seed, "box", set.number);
        // No two boxes give one number.
        let attempts = (set.number as u64) << 40;
        Ok(CacheBox {
            port,
            set,
            command_queue,
            recorder,
            rng,
            began,
            peers: HashMap::new(),
            queue: VecDeque::new(),
            core: None,
            greetings: 0,
            core_number: 0,
            attempts,
            origin: None,
            origin_up: false,
            origin_reader: ReplyReader::default(),
            calls: HashMap::new(),
            call: 0,
            fetching: HashMap::new(),
            kept: HashMap::new(),
            voided: HashSet::new(),
            void_parts: Vec::new(),
            received: VecDeque::new(),
            received_sum: 0,
            draining: false,
            stalled_until: 0,
            slow: 1.0,
            spoil: 0.0,
            surplus: 0.0,
            errors: 0.0,
            fallen: false,
            came: Vec::new(),
        })
    }

    /// What it can do now, as a part of a standard core.
    fn capacity(&self) -> f64 {
        let age = (self.port.now() - self.began) as f64 / self.set.warm_after.max(1) as f64;
        let warm = if self.set.cold {
            (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
        } else {
            1.0
        };
        self.set.speed * warm
    }

    // ---- attempts ----

    fn read(&mut self, conn: usize) {
        loop {
            let (now, unix) = (self.port.now(), self.port.unix());
            let Some(Peer::Node {
                reader,
                busy,
                useless,
                active,
                ..
            }) = self.peers.get_mut(&conn)
            else {
                return;
            };
            if *useless {
                if let Some(line) = self.port.line(conn) {
                    line.buf.clear();
                }
                return;
            }
            if *busy {
                return;
            }
            let Some(line) = self.port.line(conn) else {
                return;
            };
            let first_byte = line.since;
            let mut budget = ByteBudget::new(VALUES_MOST);
            let first = line.buf.first().copied();
            let next = match reader {
                Reader::Resp(reader) => match reader.next(&mut line.buf, &mut budget) {
                    Ok(command) => Ok(command.map(Input::Command)),
                    Err(broken) => Err(broken.message()),
                },
                Reader::Memcached(reader) => {
                    match reader.next(&mut line.buf, &mut budget, VALUES_MOST) {
                        Ok(request) => Ok(request.map(Input::Request)),
                        Err(broken) => Err(broken.kind.message()),
                    }
                }
            };
            if !line.buf.is_empty() {
                line.since = unix;
            }
            match next {
                Ok(Some(input)) => {
                    *active = now;
                    match input {
                        Input::Command(command) => self.command(conn, &command, first_byte),
                        Input::Request(request) => self.request(conn, &request, first_byte),
                    }
                }
                Ok(None) => return,
                Err(broken) => {
                    self.unreadable(first, broken.to_string());
                    return self.close(conn);
                }
            }
        }
    }

    /// Reports bytes that cannot be read; `first`: the first byte of the message.
    fn unreadable(&mut self, first: Option<u8>, why: String) {
        // A server that had the address before may have spoken the other protocol.
        let other_protocol = if self.set.memcached { b'*' } else { 0x80 };
        if first == Some(other_protocol) {
            let at_box = self.set.number;
            self.recorder
                .tell(self.port.unix(), Event::OtherProtocol { at_box });
        } else {
            self.odd(why);
        }
    }

    /// A node sent what no client asks for.
    fn odd(&self, bytes: String) {
        self.recorder.tell(
            self.port.unix(),
            Event::Syntax {
                at_box: self.set.number,
                bytes,
            },
        );
    }

    fn request(&mut self, conn: usize, r: &memcached::Request, first_byte: Micros) {
        let key = std::str::from_utf8(&r.key).unwrap_or_default();
        let plain = r.fault.is_none() && r.cas == 0 && r.extras.iter().all(|b| *b == 0);
        let (write, idem) = match Opcode::from_code(r.opcode).filter(|_| plain) {
            Some(Opcode::Get) => (false, None),
            Some(Opcode::Noop) => {
                let mut out = Vec::new();
                memcached::write_status(&mut out, r.opcode, r.opaque, Status::Ok);
                return self.port.send(conn, out.into());
            }
            Some(Opcode::Set) => {
                let end = r.value.iter().position(|b| *b == b':');
                match end.and_then(|end| std::str::from_utf8(&r.value[..end]).ok()) {
                    Some(idem) => (true, Some(Id::from(idem)).filter(|idem| &**idem != "-")),
                    None => return self.odd("a value without a key before it".to_string()),
                }
            }
            _ => return self.odd(format!("{r:?}").chars().take(200).collect()),
        };
        let (id, opaque) = (short(r.opaque), Some(r.opaque));
        let asked = Asked {
            id,
            key: key.into(),
            write,
            idem,
            wait: WAIT_MOST,
            opaque,
        };
        self.take(conn, asked, first_byte);
    }

    fn command(&mut self, conn: usize, command: &Command, first_byte: Micros) {
        let words = &command.words;
        let text = |i: usize| {
            words
                .get(i)
                .and_then(|w| std::str::from_utf8(w).ok())
                .unwrap_or_default()
        };
        match text(0) {
            "PING" => return self.port.send(conn, Bytes::from_static(b"+PONG\r\n")),
            "INFO" => return self.port.send(conn, Bytes::from_static(b"-NOPERM\r\n")),
            _ => {}
        }
        let write = text(0) == "C.SET";
        let fields: HashMap<&str, &str> = text(3)
            .split(',')
            .filter_map(|f| f.split_once('='))
            .collect();
        let wait = fields
            .get("d")
            .and_then(|d| d.parse::<f64>().ok())
            .filter(|d| *d >= 0.0);
        let known = (write && words.len() == 5) || (text(0) == "C.GET" && words.len() == 4);
        let (Some(wait), true, true) = (wait, known, fields.contains_key("c")) else {
            self.odd(
                words
                    .iter()
                    .map(|w| String::from_utf8_lossy(w))
                    .collect::<Vec<_>>()
                    .join(" "),
            );
            self.port.send(conn, Bytes::from_static(b"-SYNTAX\r\n"));
            return;
        };
        let asked = Asked {
            id: name(text(2)),
            key: text(1).into(),
            write,
            idem: fields.get("k").map(|k| Id::from(*k)),
            wait: (wait * 1000.0) as Micros,
            opaque: None,
        };
        self.take(conn, asked, first_byte);
    }

    fn take(&mut self, conn: usize, asked: Asked, first_byte: Micros) {
        let write = asked.write;
        self.attempts += 1;
        let (now, unix) = (self.port.now(), self.port.unix());
        let mean = if write {
            self.set.write_work
        } else {
            self.set.read_work
        } as f64;
        let work = (mean / 4.0 + self.rng.spread(mean * 0.75)) as Micros;
        let job = Job {
            conn,
            serial: self.port.line(conn).map_or(0, |l| l.serial),
            attempt: self.attempts,
            id: asked.id,
            key: asked.key,
            write,
            idem: asked.idem,
            work,
            over: now + asked.wait,
            opaque: asked.opaque,
        };
        self.recorder.tell(
            unix,
            Event::Attempt {
                id: job.id.clone(),
                attempt: job.attempt,
                at_box: self.set.number,
                first_byte: self.recorder.since_start(first_byte),
                idem: job.idem.clone(),
                work,
            },
        );
        self.receive(work);
        if self.fallen {
            return;
        }
        let full = self.draining || self.queue.len() >= self.set.room;
        if full || job.over <= now {
            return self.turn_away(&job);
        }
        if let Some(Peer::Node { busy, .. }) = self.peers.get_mut(&conn) {
            *busy = true;
        }
        self.queue.push_back(job);
        self.start();
    }

    fn turn_away(&mut self, job: &Job) {
        self.fate(job, Fate::TurnedAway);
        self.not_served(job, ErrorResponse::Busy);
    }

    fn not_served(&mut self, job: &Job, told: ErrorResponse) {
        let bytes = match (job.opaque, told) {
            (None, ErrorResponse::Busy) => Bytes::from_static(b"-BUSY\r\n"),
            (None, ErrorResponse::Failed) => Bytes::from_static(b"-ERR failed\r\n"),
            (Some(opaque), told) => {
                let failed = [
                    Status::OutOfMemory,
                    Status::InternalError,
                    Status::TemporaryFailure,
                ];
                let status = match told {
                    ErrorResponse::Busy => Status::Busy,
                    ErrorResponse::Failed => failed[self.rng.below(failed.len())],
                };
                let opcode = if job.write { Opcode::Set } else { Opcode::Get };
                let mut out = Vec::new();
                memcached::write_status(&mut out, opcode as u8, opaque, status);
                out.into()
            }
        };
        self.answer(job.conn, job.serial, bytes);
    }

    fn fate(&self, job: &Job, fate: Fate) {
        let (id, attempt) = (job.id.clone(), job.attempt);
        self.recorder
            .tell(self.port.unix(), Event::Fate { id, attempt, fate });
    }

    /// Counts work that came, and falls over when that is too much for a cold box.
    fn receive(&mut self, work: Micros) {
        let now = self.port.now();
        self.received.push_back((now, work));
        self.received_sum += work;
        while let Some((at, old)) = self
            .received
            .front()
            .copied()
            .filter(|(at, _)| now - at > self.set.fall)
        {
            debug_assert!(at <= now);
            self.received_sum -= old;
            self.received.pop_front();
        }
        let cold = self.set.cold && now - self.began < self.set.warm_after;
        let most = self.set.fall_multiple * self.capacity() * self.set.fall as f64;
        if cold && self.set.fall_multiple > 0.0 && self.received_sum as f64 > most {
            self.recorder.tell(
                self.port.unix(),
                Event::Fell {
                    at_box: self.set.number,
                },
            );
            self.stop();
        }
    }

    /// The process ends: all connections break.
    fn stop(&mut self) {
        self.fallen = true;
        for job in std::mem::take(&mut self.queue) {
            self.fate(&job, Fate::Cut);
        }
        if let Some((_, Some(job))) = self.core.take() {
            self.fate(&job, Fate::Cut);
        }
        let mut calls: Vec<(u64, Job)> = std::mem::take(&mut self.calls).into_iter().collect();
        calls.sort_by_key(|(call, _)| *call);
        for (_, job) in &calls {
            self.fate(job, Fate::Cut);
        }
        self.port.close_listeners();
        self.port
            .conns()
            .into_iter()
            .for_each(|conn| self.port.close(conn));
        self.peers.clear();
    }

    /// Gives the core what is next: greetings of connections before attempts.
    fn start(&mut self) {
        let now = self.port.now();
        if self.core.is_some() || now < self.stalled_until {
            return;
        }
        let (work, job) = if self.greetings > 0 {
            self.greetings -= 1;
            (self.set.handshake, None)
        } else {
            loop {
                match self.queue.pop_front() {
                    None => return,
                    Some(job) if job.over <= now => self.turn_away(&job),
                    Some(job) => break (job.work, Some(job)),
                }
            }
        };
        self.core_number += 1;
        let time = work as f64 / self.capacity() * self.slow;
        self.port
            .set(now + time as Micros, Due::Core(self.core_number));
        self.core = Some((self.core_number, job));
    }

    fn core_done(&mut self, number: u64) {
        if self.core.as_ref().is_none_or(|(n, _)| *n != number) {
            return;
        }
        if self.port.now() < self.stalled_until {
            return self.port.set(self.stalled_until, Due::Core(number));
        }
        let job = self.core.take().and_then(|(_, job)| job);
        if let Some(job) = job {
            if job.write {
                self.ask(job, true);
            } else if self.holds(&job.key) {
                self.finish(&job, "hit");
            } else {
                self.ask(job, false);
            }
        }
        self.start();
    }

    // ---- what it keeps ----

    fn holds(&self, key: &Id) -> bool {
        if self.kept.contains_key(key) {
            return true;
        }
        if self.set.cold || self.voided.contains(key) {
            return false;
        }
        let void = self
            .void_parts
            .iter()
            .any(|(part, salt)| hash(key, *salt) % 1000 < *part);
        !void && (hash(key, self.set.seed) % 1000) as f64 <= self.set.kept_before * 1000.0
    }

    fn void(&mut self, key: &str) {
        self.kept.remove(key);
        if self.voided.len() < KEYS_MOST {
            self.voided.insert(key.into());
        }
    }

    // ---- the origin ----

    fn ask(&mut self, job: Job, write: bool) {
        let Some(origin) = self.origin.filter(|_| self.origin_up) else {
            self.fate(&job, Fate::Ran);
            return self.not_served(&job, ErrorResponse::Failed);
        };
        self.call += 1;
        let tag = self.call.to_string();
        let mut out = Vec::new();
        if write {
            let idem = job.idem.as_deref().unwrap_or("-");
            write_header(&mut out, b'*', 5);
            for word in ["O.SET", &tag, &job.key, &job.id, idem] {
                write_bulk(&mut out, word.as_bytes());
            }
        } else {
            *self.fetching.entry(job.key.clone()).or_default() += 1;
            write_header(&mut out, b'*', 3);
            for word in ["O.GET", &tag, &job.key] {
                write_bulk(&mut out, word.as_bytes());
            }
        }
        self.port.send(origin, out.into());
        self.calls.insert(self.call, job);
    }

    fn told(&mut self, parts: &[Element]) {
        let text = |i: usize| match parts.get(i) {
            Some(Element::Bulk(bytes)) => std::str::from_utf8(bytes).ok(),
            _ => None,
        };
        let number = |i: usize| text(i).and_then(|t| t.parse::<u64>().ok());
        match text(0) {
            Some("VOID") => self.void(text(1).unwrap_or_default()),
            Some("VOIDPART") => {
                let (Some(part), Some(salt)) = (number(1), number(2)) else {
                    return;
                };
                self.kept.retain(|key, _| hash(key, salt) % 1000 >= part);
                self.void_parts.push((part, salt));
            }
            Some(tag) => {
                let Some(job) = tag
                    .parse()
                    .ok()
                    .and_then(|tag: u64| self.calls.remove(&tag))
                else {
                    return;
                };
                let Some(version) = number(1) else {
                    self.fetched(&job);
                    self.fate(&job, Fate::Ran);
                    return self.not_served(&job, ErrorResponse::Failed);
                };
                if !job.write {
                    if self.kept.len() < KEYS_MOST {
                        self.kept.insert(job.key.clone(), version);
                        self.voided.remove(&job.key);
                    }
                    let others = self.fetched(&job);
                    return self.finish(&job, if others { "pending" } else { "miss" });
                }
                self.finish(&job, "");
            }
            None => {}
        }
    }

    /// A fetch has ended; whether others of its key are still out.
    fn fetched(&mut self, job: &Job) -> bool {
        let Some(out) = self.fetching.get_mut(&job.key) else {
            return false;
        };
        *out -= 1;
        let others = *out > 0;
        if !others {
            self.fetching.remove(&job.key);
        }
        others
    }

    // ---- answers ----

    fn finish(&mut self, job: &Job, how: &str) {
        self.fate(job, Fate::Ran);
        if self.rng.chance(self.errors) {
            return self.not_served(job, ErrorResponse::Failed);
        }
        let length = if self.rng.chance(0.02) {
            1000 + self.rng.below(20_000)
        } else {
            20 + self.rng.below(200)
        };
        let mut value = format!("{}|{}|", job.id, job.key).into_bytes();
        value.resize(value.len() + length, b'.');
        let mut out = Vec::with_capacity(value.len() + 48);
        if let Some(opaque) = job.opaque {
            put_answer(&mut out, job, opaque, value);
        } else {
            write_header(&mut out, b'*', 3);
            write_bulk(&mut out, &value);
            if how.is_empty() {
                out.extend_from_slice(b"$-1\r\n");
            } else {
                write_bulk(&mut out, how.as_bytes());
            }
            out.extend_from_slice(b"$-1\r\n");
        }
        if self.rng.chance(self.spoil) {
            return self.spoilt(job, out);
        }
        if self.rng.chance(self.surplus) {
            let more: &[u8] = if job.opaque.is_some() && self.rng.chance(0.5) {
                // An answer to no request.
                b"\x81\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x09\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00wrong"
            } else if job.opaque.is_none() && self.rng.chance(0.5) {
                b"*3\r\n$5\r\nwrong\r\n$3\r\nhit\r\n$-1\r\n"
            } else {
                b"\x00\x7f$*"
            };
            out.extend_from_slice(more);
        }
        self.answer(job.conn, job.serial, out.into());
    }

    /// An answer that cannot be read, in one of several ways; the connection is of no further use.
    fn spoilt(&mut self, job: &Job, whole: Vec<u8>) {
        let out: Vec<u8> = match self.rng.below(6) {
            kind if job.opaque.is_some() => self.spoilt_memcached(job, kind, whole),
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            1 => vec![b'x'; 700],
            2 => b"*3\r\n$-7\r\n".to_vec(),
            3 => whole[..whole.len() / 2].to_vec(),
            4 => b"*3\r\n$3\r\nabcdefgh\r\n$3\r\nhit\r\n$-1\r\n".to_vec(),
            _ => {
                let serial = job.serial;
                self.port
                    .set(self.port.now() + 10_000, Due::Trickle(job.conn, serial));
                b"*3\r\n$3000000000\r\n".to_vec()
            }
        };
        if let Some(Peer::Node { useless, .. }) = self.peers.get_mut(&job.conn) {
            *useless = true;
        }
        if self
            .port
            .line(job.conn)
            .is_some_and(|l| l.serial == job.serial)
        {
            self.port.send(job.conn, out.into());
        }
    }

    fn spoilt_memcached(&mut self, job: &Job, kind: usize, mut whole: Vec<u8>) -> Vec<u8> {
        match kind {
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            // Another's opaque, another opcode, a key beyond its body.
            1 => {
                whole[12] ^= 0x80;
                whole
            }
            2 => {
                whole[1] = Opcode::Delete as u8;
                whole
            }
            3 => {
                whole[2..4].copy_from_slice(&[0xff, 0xff]);
                whole
            }
            4 => whole[..whole.len() / 2].to_vec(),
            _ => {
                // A body of 4 GB.
                self.port
                    .set(self.port.now() + 10_000, Due::Trickle(job.conn, job.serial));
                whole[8..12].copy_from_slice(&[0xff; 4]);
                whole
            }
        }
    }

    fn answer(&mut self, conn: usize, serial: u64, bytes: Bytes) {
        if self.port.line(conn).is_none_or(|l| l.serial != serial) {
            return;
        }
        let now = self.port.now();
        if let Some(Peer::Node { busy, active, .. }) = self.peers.get_mut(&conn) {
            (*busy, *active) = (false, now);
        }
        self.port.send(conn, bytes);
        self.read(conn);
    }

    // ---- connections ----

    /// A node's connection has ended: its attempt is not worked on any more.
    fn close(&mut self, conn: usize) {
        let serial = self.port.line(conn).map(|l| l.serial);
        self.peers.remove(&conn);
        self.port.close(conn);
        let Some(serial) = serial else { return };
        let mine = |job: &Job| job.conn == conn && job.serial == serial;
        if let Some(at) = self.queue.iter().position(mine) {
            if let Some(job) = self.queue.remove(at) {
                self.fate(&job, Fate::Cut);
            }
        }
        if self
            .core
            .as_ref()
            .is_some_and(|(_, job)| job.as_ref().is_some_and(mine))
        {
            if let Some((_, Some(job))) = self.core.take() {
                self.fate(&job, Fate::Cut);
            }
            self.start();
        }
    }

    fn opened(&mut self, conn: usize) {
        let nodes = self
            .peers
            .values()
            .filter(|p| matches!(p, Peer::Node { .. }))
            .count();
        if nodes >= self.set.connections {
            // Over its cap it lets go at once.
            return self.port.close(conn);
        }
        let active = self.port.now();
        let reader = if self.set.memcached {
            Reader::Memcached(RequestReader::default())
        } else {
            Reader::Resp(CommandReader::default())
        };
        self.peers.insert(
            conn,
            Peer::Node {
                reader,
                busy: false,
                useless: false,
                active,
            },
        );
        self.greetings += 1;
        self.start();
    }

    fn origin_bytes(&mut self, conn: usize) {
        loop {
            let Some(line) = self.port.line(conn) else {
                return;
            };
            match self.origin_reader.next(&mut line.buf) {
                Ok(Some(DecodeEvent::Complete(Reply::Array(parts)))) => self.told(&parts),
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(_) => return self.origin_lost(),
            }
        }
    }

    fn origin_lost(&mut self) {
        if let Some(conn) = self.origin.take() {
            self.port.close(conn);
        }
        self.origin_up = false;
        let mut calls: Vec<(u64, Job)> = std::mem::take(&mut self.calls).into_iter().collect();
        calls.sort_by_key(|(call, _)| *call);
        for (_, job) in calls {
            self.fetched(&job);
            self.fate(&job, Fate::Ran);
            self.not_served(&job, ErrorResponse::Failed);
        }
        self.port.set(self.port.now() + ORIGIN_AGAIN, Due::Origin);
    }

    fn due(&mut self, due: Due) {
        let now = self.port.now();
        match due {
            Due::Core(number) => self.core_done(number),
            Due::StallOver => self.start(),
            Due::Origin if self.origin.is_none() => match self.port.connect(self.set.origin) {
                Ok(conn) => {
                    self.origin = Some(conn);
                    self.origin_reader = ReplyReader::default();
                    self.peers.insert(conn, Peer::Origin);
                }
                Err(_) => self.port.set(now + ORIGIN_AGAIN, Due::Origin),
            },
            Due::Origin => {}
            Due::Idle => {
                // What is cut off hears of no end either.
                let whole = self.port.cut() == Cut::default();
                let old = |p: &Peer| {
                    whole
                        && matches!(p, Peer::Node { busy: false, useless: false, active, .. } if now - active > self.set.idle)
                };
                let mut idle: Vec<usize> = self
                    .peers
                    .iter()
                    .filter(|(_, p)| old(p))
                    .map(|(conn, _)| *conn)
                    .collect();
                idle.sort_unstable();
                for conn in idle {
                    self.close(conn);
                }
                self.port.set(now + self.set.idle / 4, Due::Idle);
            }
            Due::Trickle(conn, serial) => {
                if self.port.line(conn).is_some_and(|l| l.serial == serial)
                    && self.port.unsent(conn) < 1 << 16
                {
                    self.port.send(conn, Bytes::from_static(&[b'z'; 4096]));
                    self.port.set(now + 10_000, Due::Trickle(conn, serial));
                }
            }
        }
    }
}

impl<N: Sight> Actor for CacheBox<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut came = std::mem::take(&mut self.came);
        self.port.poll(wait, &mut came)?;
        for (conn, what) in &came {
            if self.fallen {
                break;
            }
            let origin = matches!(self.peers.get(conn), Some(Peer::Origin));
            match what {
                Came::Opened(_) => self.opened(*conn),
                Came::Up => self.origin_up |= origin,
                Came::Bytes if origin => self.origin_bytes(*conn),
                Came::Bytes => self.read(*conn),
                Came::Ended | Came::Broke { .. } if origin => {
                    self.peers.remove(conn);
                    self.origin_lost();
                }
                Came::Ended | Came::Broke { .. } => self.close(*conn),
            }
        }
        self.came = came;
        while let Some(due) = self.port.pop_due().filter(|_| !self.fallen) {
            self.due(due);
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let now = self.port.now();
        while let Some(order) = self.command_queue.take() {
            match order {
                ControlCommand::Drain => self.draining = true,
                ControlCommand::Stall(time) => {
                    self.stalled_until = now + time;
                    self.port.set(now + time, Due::StallOver);
                }
                ControlCommand::Slow(times) => self.slow = times,
                ControlCommand::Spoil(part) => self.spoil = part,
                ControlCommand::Surplus(part) => self.surplus = part,
                ControlCommand::Errors(part) => self.errors = part,
                ControlCommand::Cut(cut) => self.port.set_cut(cut),
                ControlCommand::Refuse(true) => self.port.close_listeners(),
                ControlCommand::Refuse(false) => {
                    // Taken meanwhile by another, it stays closed to new ones.
                    let _ = self.port.listen(self.set.at);
                }
            }
        }
        (!self.fallen).then(|| self.port.next_due())
    }
}
