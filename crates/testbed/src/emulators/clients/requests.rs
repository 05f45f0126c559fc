//! Draws and encodes requests: their keys, ids, values and nodes.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode};
use sloewick_codec::resp2::{write_bulk, write_header};
use sloewick_decision::api::Micros;

use super::{ClientPool, PendingRequest, Timer, GIVE_UP_MARGIN, SHORT_ID_REUSE_DELAY};
use crate::checker::observations::{memcached_request_id, opaque_of, Id};
use crate::port::SendTimes;
use crate::protocol_options::{Clients, KEY_PREFIXES};

impl<N: SendTimes> ClientPool<N> {
    pub(super) fn draw_key(&mut self) -> usize {
        if self.rng.chance(self.hot_keys.1) {
            return self.rng.below(self.hot_keys.0.max(1));
        }
        let at = self.rng.unit_interval() * self.cumulative_weights.last().copied().unwrap_or(0.0);
        self.cumulative_weights
            .partition_point(|sum| *sum < at)
            .min(self.settings.keys.saturating_sub(1))
    }

    pub(super) fn start_request(&mut self) {
        // Counted from the scheduled time of this request, so that a busy machine does not lower the rate.
        self.next_arrival += (self
            .rng
            .exponential(1e6 / (self.settings.rate * self.rate_factor).max(0.001)))
            as Micros;
        if self.next_arrival < self.settings.until {
            self.port.set_timer(self.next_arrival, Timer::Arrival);
        }
        let mut at = self.rng.unit_interval();
        let class = self.settings.classes.iter().position(|class| {
            at -= class.share;
            at < 0.0
        });
        let mut at = self.rng.unit_interval();
        let tenant = self.settings.tenants.iter().position(|(_, share)| {
            at -= share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let key = self.draw_key();
        let idempotency_key = self.settings.classes[class]
            .keyed
            .then(|| Id::from(format!("{:016x}", self.rng.next_u64())));
        let budget = self.settings.classes[class].deadline as f64 * self.rng.between(0.7, 1.0);
        let tenant = if self.is_classified_by_key() {
            key % self.settings.tenants.len()
        } else {
            tenant.unwrap_or(0)
        };
        self.send_request(None, class, tenant, key, idempotency_key, budget as Micros);
    }

    /// Whether a request's key alone determines its class and tenant.
    pub(super) fn is_classified_by_key(&self) -> bool {
        self.settings.protocols != Clients::Resp
    }

    /// Sends a first request, or a retry of `first`: its id, when it started, and whether it used the memcached binary
    /// protocol (a retry uses the protocol of the first request).
    pub(super) fn send_request(
        &mut self,
        first: Option<(Id, Micros, bool)>,
        class: usize,
        tenant: usize,
        key: usize,
        idempotency_key: Option<Id>,
        budget: Micros,
    ) {
        // No node is up: the load balancer has nowhere to send this.
        let Some(node) = self.next_node() else { return };
        let now = self.port.now();
        self.last_number += 1;
        let memcached = match self.settings.protocols {
            Clients::Resp | Clients::RespByKey => false,
            Clients::Memcached => true,
            Clients::Both => first
                .as_ref()
                .map_or(self.last_number.is_multiple_of(2), |(.., memcached)| {
                    *memcached
                }),
        };
        let id = self.new_id(now, memcached);
        let number = self.last_number;
        // If the key selects the class, the request has no field for the remaining time: its budget starts anew.
        let budget = if self.is_classified_by_key() {
            self.settings.classes[class].deadline
        } else {
            budget
        };
        let value = self.draw_value(class, idempotency_key.as_ref());
        let key_name = if self.is_classified_by_key() {
            format!("{}/{tenant}/{key:05}", KEY_PREFIXES[class])
        } else {
            format!("logger/{key:05}")
        };
        let out = if memcached {
            self.memcached_request(class, number, key_name, value)
        } else {
            let mut fields = self.resp_fields(class, tenant, idempotency_key.as_ref(), budget);
            if first.is_some() && !self.is_classified_by_key() {
                fields += ",r=1";
            }
            self.resp_request(class, &[&key_name, &id, &fields], &value)
        };
        let is_first = first.is_none();
        let (first, first_at, _) = first.unwrap_or((id.clone(), now, memcached));
        self.requests.insert(
            number,
            PendingRequest {
                id,
                first,
                is_first,
                node,
                memcached,
                class,
                tenant,
                key,
                idempotency_key,
                budget,
                first_at,
                conn: None,
                written_at: None,
                resent: false,
                crossed_close: None,
                bytes: out.into(),
            },
        );
        self.set_timers(number, budget);
        self.dispatch(number);
    }

    /// Sets when the client of a request stops waiting, and for some clients when they disconnect early.
    pub(super) fn set_timers(&mut self, number: u64, budget: Micros) {
        let now = self.port.now();
        self.port
            .set_timer(now + budget + GIVE_UP_MARGIN, Timer::GiveUp(number));
        if self.rng.chance(self.settings.impatient) {
            let early = self.rng.unit_interval() * budget as f64 * 0.5;
            self.port
                .set_timer(now + early as Micros, Timer::Disconnect(number));
        }
    }

    /// The fields of a RESP2 request.
    pub(super) fn resp_fields(
        &self,
        class: usize,
        tenant: usize,
        idempotency_key: Option<&Id>,
        budget: Micros,
    ) -> String {
        let mut fields = format!(
            "c={},t={},d={}",
            self.settings.classes[class].name,
            self.settings.tenants[tenant].0,
            (budget + 999) / 1000
        );
        if let Some(idempotency_key) = idempotency_key {
            fields.push_str(",k=");
            fields.push_str(idempotency_key);
        }
        fields
    }

    /// The next node that is up, round robin.
    pub(super) fn next_node(&mut self) -> Option<usize> {
        let nodes = self.is_up.len();
        let node = (1..=nodes)
            .map(|i| (self.last_node + i) % nodes)
            .find(|n| self.is_up[*n])?;
        self.last_node = node;
        Some(node)
    }

    /// Returns an id for a new request. If some cache server sees only the short id, that was not used recently.
    pub(super) fn new_id(&mut self, now: Micros, memcached: bool) -> Id {
        let mut word = self.rng.next_u64();
        let mut id = Id::from(format!("{word:016x}"));
        if self.settings.short_names {
            while self
                .short_id_times
                .front()
                .is_some_and(|(at, _)| now - at > SHORT_ID_REUSE_DELAY)
            {
                self.short_id_times
                    .pop_front()
                    .map(|(_, short)| self.recent_short_ids.remove(&short));
            }
            loop {
                if memcached {
                    id = memcached_request_id(self.last_number as u32);
                }
                let short = opaque_of(&id) as u16;
                // The second condition holds if all short ids are in use; no run sends enough requests for that.
                if self.recent_short_ids.insert(short)
                    || self.recent_short_ids.len() > usize::from(u16::MAX)
                {
                    self.short_id_times.push_back((now, short));
                    break;
                }
                // Derived from the same draw: an additional draw would change all later draws of this seed's run.
                word = word.wrapping_add(1);
                id = Id::from(format!("{word:016x}"));
                self.last_number += 1;
            }
        }
        id
    }

    /// Returns the value of a write. If only the value distinguishes writes (their idempotency key is derived from it),
    /// a write and its retry have the same value.
    pub(super) fn draw_value(&mut self, class: usize, idempotency_key: Option<&Id>) -> Vec<u8> {
        let distinct = idempotency_key
            .cloned()
            .filter(|_| self.is_classified_by_key())
            .unwrap_or_default();
        let long = if distinct.is_empty() {
            self.settings.classes[class].write && self.rng.chance(0.05)
        } else {
            distinct.starts_with('0')
        };
        let length = if long { 6_000 } else { 24 };
        let mut value = distinct.as_bytes().to_vec();
        value.resize(length, b'w');
        value
    }

    pub(super) fn memcached_request(
        &self,
        class: usize,
        number: u64,
        key: String,
        value: Vec<u8>,
    ) -> Vec<u8> {
        let write = self.settings.classes[class].write;
        let (opcode, extras, value) = if write {
            let flags_and_expiry = Bytes::from_static(&[0; 8]);
            (Opcode::Set, flags_and_expiry, Bytes::from(value))
        } else {
            (Opcode::Get, Bytes::new(), Bytes::new())
        };
        let request = memcached::Request {
            opcode: opcode as u8,
            opaque: number as u32,
            extras,
            key: Bytes::from(key),
            value,
            ..memcached::Request::default()
        };
        let mut out = Vec::with_capacity(160);
        memcached::write_request(&mut out, &request);
        out
    }

    /// Encodes a request; `words` are its key, id and fields.
    pub(super) fn resp_request(&self, class: usize, words: &[&str; 3], value: &[u8]) -> Vec<u8> {
        let write = self.settings.classes[class].write;
        let mut out = Vec::with_capacity(160);
        write_header(&mut out, b'*', if write { 5 } else { 4 });
        write_bulk(&mut out, if write { b"C.SET" } else { b"C.GET" });
        for word in words {
            write_bulk(&mut out, word.as_bytes());
        }
        if write {
            write_bulk(&mut out, value);
        }
        out
    }
}
