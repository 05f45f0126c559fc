//! The memcached side of the node: requests of clients that speak the binary protocol, the ledger of their keyed
//! writes, and what boxes that speak it are sent.

use std::sync::Arc;

use bytes::Bytes;
use sloewick_codec::memcached::{self, write_request, Opcode, Status, HEADER, MAX_KEY};
use sloewick_codec::resp2::MAX_ARGUMENT;
use sloewick_decision::api::{Micros, Request, Status as Ended};
use sloewick_memcached::config::File;
use sloewick_memcached::idempotency_ledger::{Key, Ledger, Verdict};
use sloewick_memcached::routing::{self, Operation};

use super::{DecisionEngine, Node, Open, Taken};
use crate::client::Slot;
use crate::front::{Asked, Final};
use crate::transport::Transport;
use crate::upstream::Written;

/// What the node holds for it.
pub(super) struct Memcached {
    pub(super) file: File,
    ledger: Ledger,
    /// Begins the ids that this start of the node gives.
    run: u64,
    /// Counts what boxes are sent.
    sent: u16,
}

/// A write that the ledger keeps.
pub(super) struct Keyed {
    key: Key,
    /// An earlier request of the key may have run.
    before: bool,
    /// Attempts of this one that may have run, or are out.
    may_have_run: usize,
    served: bool,
}

impl Memcached {
    pub(super) fn new(file: File, run: u64) -> Memcached {
        let ledger = Ledger::new(file.ledger);
        Memcached {
            file,
            ledger,
            run,
            sent: 0,
        }
    }

    /// Whether boxes of a model speak the binary protocol.
    pub(super) fn speaks(&self, model: Option<&str>) -> bool {
        model.is_some_and(|model| self.file.models.iter().any(|m| m == model))
    }
}

/// A request that is answered without being taken.
enum Refused {
    Status(Status, &'static str),
    End(Final),
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Takes up what a memcached client sent.
    pub(super) fn memcached(&mut self, client: usize, request: memcached::Request, now: Micros) {
        let reserved = request.reserved;
        let Some(opcode) = Opcode::from_code(request.opcode) else {
            let mut out = Vec::new();
            memcached::write_status(
                &mut out,
                request.opcode,
                request.opaque,
                Status::UnknownCommand,
            );
            return self.say(client, vec![out.into()], reserved);
        };
        let opaque = request.opaque;
        let asked = Asked::Memcached { opcode, opaque };
        let chunks = match (request.fault, opcode.without_quiet()) {
            (Some(Status::OutOfMemory), _) => {
                // Shed before anything is known of it: nothing has run, so trying again is harmless.
                asked.answer(&request.key, Final::Busy(0))
            }
            (Some(status), _) => asked.status(status, None),
            (None, Opcode::Get | Opcode::GetK | Opcode::Set) => {
                let key = request.key.clone();
                match self.route(client, opcode, request, now) {
                    Ok(()) => return,
                    Err(Refused::Status(status, why)) => asked.status(status, Some(why)),
                    Err(Refused::End(end)) => asked.answer(&key, end),
                }
            }
            (None, Opcode::Noop) => asked.status(Status::Ok, None),
            (None, Opcode::Version) => asked.status(Status::Ok, Some(env!("CARGO_PKG_VERSION"))),
            (None, Opcode::Stat) => self.stat(opcode, opaque, &request.key),
            (None, Opcode::Quit) => {
                self.say(client, asked.status(Status::Ok, None), reserved);
                if let Some(c) = self.clients.get_mut(client) {
                    c.close_after_answers();
                }
                return;
            }
            _ => asked.status(Status::UnknownCommand, None),
        };
        self.say(client, chunks, reserved);
    }

    /// Answers a request that was not taken, in its turn.
    fn say(&mut self, client: usize, chunks: Vec<Bytes>, reserved: usize) {
        self.budget.release(reserved);
        if let Some(c) = self.clients.get_mut(client) {
            c.push(Slot::ReadyEvent(chunks));
            self.mark(client);
        }
    }

    /// A few statistics; none under any name but the general one.
    fn stat(&self, opcode: Opcode, opaque: u32, name: &Bytes) -> Vec<Bytes> {
        let mut out = Vec::new();
        let mut put = |key: &'static str, value: String| {
            let (extras, key, value) = (
                Bytes::new(),
                Bytes::from_static(key.as_bytes()),
                value.into(),
            );
            let (opcode, status) = (opcode as u8, Status::Ok as u16);
            memcached::write_response(
                &mut out,
                &memcached::Response {
                    opcode,
                    status,
                    opaque,
                    cas: 0,
                    extras,
                    key,
                    value,
                },
            );
        };
        if name.is_empty() {
            put("version", env!("CARGO_PKG_VERSION").to_string());
            put("curr_connections", self.clients.len().to_string());
            put("open_requests", self.open.len().to_string());
            put(
                "ledger_keys",
                self.memcached
                    .as_ref()
                    .map_or(0, |m| m.ledger.len())
                    .to_string(),
            );
        }
        // An empty one ends the list.
        put("", String::new());
        vec![out.into()]
    }

    /// Gives a request what its route says and takes it.
    fn route(
        &mut self,
        client: usize,
        opcode: Opcode,
        request: memcached::Request,
        now: Micros,
    ) -> Result<(), Refused> {
        let unix = self.net.unix_time_at_start() + now;
        let full = self.turns_away(client, now);
        let Some(m) = &mut self.memcached else {
            return Err(Refused::End(Final::Failed));
        };
        let write = opcode.without_quiet() == Opcode::Set;
        let operation = if write {
            Operation::Set
        } else {
            Operation::Get
        };
        let bad = |why| Err(Refused::Status(Status::InvalidArguments, why));
        let Ok(key) = std::str::from_utf8(&request.key).map(Arc::<str>::from) else {
            return bad("the key is not text");
        };
        let Some(route) = m.file.routes.find(operation, &request.key) else {
            return Err(Refused::Status(
                Status::NotSupported,
                "no route is set for this key and operation",
            ));
        };
        if write {
            // Only a value is kept: what is lost without a word would come back as something else.
            if request.cas != 0 {
                return Err(Refused::Status(
                    Status::NotSupported,
                    "CAS is not kept here; allowed: 0",
                ));
            }
            if request.extras.iter().any(|b| *b != 0) {
                let why = "flags and expiration are not kept here; allowed: 0";
                return Err(Refused::Status(Status::NotSupported, why));
            }
        }
        let idem = match write
            .then(|| route.key(&request.key, &request.value))
            .transpose()
        {
            Ok(idem) => idem.flatten(),
            Err(why) => return bad(why),
        };
        if full {
            return Err(Refused::End(Final::Busy(0)));
        }
        let mut keyed = None;
        if let Some(idem) = &idem {
            let limits = m.file.ledger;
            let age = routing::stamp(idem).filter(|_| route.key_from == routing::KeyFrom::Stamp);
            let age = age.map_or(0, |made| unix - made);
            if age < -m.file.skew {
                return bad("the idempotency key's time lies in the future");
            }
            let old = age + m.file.skew >= limits.window - limits.margin;
            keyed = Some(Keyed {
                key: idem.clone(),
                before: match m.ledger.ask(now, idem, old) {
                    Verdict::New => false,
                    Verdict::Idempotency { .. } => true,
                    Verdict::Served(receipt) => return Err(Refused::End(Final::Value(receipt))),
                    Verdict::Unknown => return Err(Refused::End(Final::Failed)),
                    Verdict::InHand | Verdict::Full => return Err(Refused::End(Final::Busy(0))),
                },
                may_have_run: 0,
                served: false,
            });
        }
        self.serial += 1;
        let opaque = request.opaque;
        let id = format!("m{:x}.{:x}-{opaque:08x}", m.run, self.serial);
        let mut fields = route.fields.clone() + ",d=0";
        if let Some(idem) = &idem {
            fields += &format!(",k={idem}");
        }
        let decide = Request {
            id: id.into(),
            class: route.class,
            tenant: route.tenant,
            key: Some(key),
            budget: route.deadline,
            work: None,
            size: None,
            retry: keyed.as_ref().is_some_and(|k| k.before),
            write,
        };
        let taken = Taken {
            asked: Asked::Memcached { opcode, opaque },
            keyed,
            key: request.key,
            fields: fields.into(),
            value: write.then_some(request.value),
            reserved: request.reserved,
        };
        self.take(client, decide, taken, now);
        Ok(())
    }

    /// The number of what is sent to a box now.
    pub(super) fn count_sent(&mut self) -> u16 {
        self.memcached.as_mut().map_or(0, |m| {
            m.sent = m.sent.wrapping_add(1);
            m.sent
        })
    }

    // ---- the ledger ----

    /// Counts an attempt of a keyed write as one that may run; false: boxes may have forgotten an earlier one.
    pub(super) fn may_leave(&mut self, request: usize, attempt: usize, now: Micros) -> bool {
        let open = &mut self.open[request];
        let (Some(keyed), Some(m)) = (&mut open.keyed, &mut self.memcached) else {
            return true;
        };
        let may = m.ledger.send(now, &keyed.key);
        open.attempts[attempt].counted = may;
        keyed.may_have_run += usize::from(may);
        may
    }

    /// An attempt that was counted has ended.
    pub(super) fn settle(&mut self, request: usize, status: Ended) {
        let (Some(keyed), Some(m)) = (&mut self.open[request].keyed, &mut self.memcached) else {
            return;
        };
        if status.never_ran() {
            keyed.may_have_run -= 1;
            m.ledger
                .never_ran(&keyed.key, keyed.before || keyed.may_have_run > 0);
        }
        // Known even where the client has had its answer: a repeat is told so.
        keyed.served |= status == Ended::Ok;
    }

    /// A keyed write has ended, with nothing of it out.
    pub(super) fn written(&mut self, keyed: Keyed) {
        let now = self.net.now();
        let Some(m) = &mut self.memcached else { return };
        m.ledger
            .ended(now, &keyed.key, keyed.served.then(Bytes::new));
    }
}

// ---- boxes ----

/// The opaque of what a box is sent. Its upper half counts what this node sends, so that an answer to something earlier
/// is told apart whatever a client makes of its own opaques (some are always 0). Its lower half is that of the client's
/// own, or of what is made of the request's id, so that the request can be found in a box's log.
fn opaque(open: &Open, sent: u16) -> u32 {
    let lower = match open.asked {
        Asked::Memcached { opaque, .. } => opaque,
        Asked::Resp => fnv(open.id.as_bytes()),
    };
    u32::from(sent) << 16 | (lower & 0xffff)
}

/// FNV-1a of 32 bits.
pub fn fnv(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// Whether a box that speaks the binary protocol can be sent this: its key is short enough, and an idempotency key that
/// stands before the value does not end early or look like none, which would let a repeat take effect.
pub(super) fn fits(open: &Open) -> bool {
    let idem = idempotency_key(open);
    open.key.len() <= MAX_KEY
        && idem.is_none_or(|idem| !idem.is_empty() && idem != b"-" && !idem.contains(&b':'))
}

fn idempotency_key(open: &Open) -> Option<&[u8]> {
    open.fields
        .split(|b| *b == b',')
        .find_map(|field| field.strip_prefix(b"k="))
}

/// The request as a box that speaks the binary protocol gets it. A write's value goes behind its idempotency key (a
/// hyphen where it has none) and a colon: the protocol has no field for it, and the box must have it to drop repeats.
pub(super) fn forwarded(open: &Open, sent: u16) -> Written {
    let opaque = opaque(open, sent);
    let Some(value) = &open.value else {
        let opcode = Opcode::Get as u8;
        let mut out = Vec::with_capacity(HEADER + open.key.len());
        let key = open.key.clone();
        write_request(
            &mut out,
            &memcached::Request {
                opcode,
                opaque,
                key,
                ..memcached::Request::default()
            },
        );
        return Written {
            chunks: vec![out.into()],
            tag: (opcode, opaque),
        };
    };
    let idem = idempotency_key(open).unwrap_or(b"-");
    let opcode = Opcode::Set as u8;
    let request = memcached::Request {
        opcode,
        opaque,
        extras: Bytes::from_static(&[0; 8]),
        key: open.key.clone(),
        ..memcached::Request::default()
    };
    let mut out = Vec::with_capacity(HEADER + 8 + open.key.len() + idem.len() + 1);
    let more = idem.len() + 1 + value.len();
    memcached::write_request_header(&mut out, &request, more);
    out.extend_from_slice(idem);
    out.push(b':');
    let mut chunks = vec![Bytes::from(out)];
    if value.len() <= MAX_ARGUMENT {
        let mut whole = Vec::from(std::mem::take(&mut chunks[0]));
        whole.extend_from_slice(value);
        chunks[0] = whole.into();
    } else {
        chunks.push(value.clone());
    }
    Written {
        chunks,
        tag: (opcode, opaque),
    }
}

/// A sign of life.
pub(super) fn probe(serial: u64) -> Written {
    let (opcode, opaque) = (Opcode::Noop as u8, serial as u32);
    let mut out = Vec::new();
    write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque,
            ..memcached::Request::default()
        },
    );
    Written {
        chunks: vec![out.into()],
        tag: (opcode, opaque),
    }
}
