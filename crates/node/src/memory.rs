//! The account of the memory that peers make the node hold: one for all of its parts.
//!
//! Memory is charged before it is held and released when it is freed. A connection may hold a fraction of what is still free, so
//! that many connections that hold much leave room for those that hold little (dynamic thresholds; Choudhury and Hahne, "Dynamic
//! queue length thresholds for shared-memory packet switches"). Whoever may not hold more is not read from until others have
//! released memory.
//!
//! Guarantees: what is charged stays within the capacity, but for a few small reads; while the resident size approaches the limit of
//! the process, no more is charged than what is left to small amounts. Performs no I/O.

use sloewick_codec::resp2::ReserveMemory;

use crate::transport::MAX_READ;

/// Percentage of the limit that the account and the rest of the process may use together. The remainder is for fragments and
/// growth of the allocator.
const CAPACITY_PERCENT: usize = 72;
/// Percentage of the limit that the resident size may reach by what is charged.
const MAX_RESIDENT_PERCENT: usize = 82;
/// One part in this many of the limit is available for values of writes and for collected values.
const VALUE_DIVISOR: usize = 8;
/// A connection may hold one part in this many of the memory that is free.
const SHARE_DIVISOR: usize = 8;
/// One part in this many of the capacity is left to small amounts of connections that hold next to nothing.
const SMALL_RESERVE_DIVISOR: usize = 4;
/// Most bytes that count as a small amount.
const MAX_SMALL: usize = 16 << 10;
/// Least bytes that are read at once.
pub(crate) const MIN_READ: usize = 4 << 10;
/// Resident size of a process before it serves, in bytes, where the system does not tell it.
const DEFAULT_BASELINE: usize = 5 << 20;
/// Bytes that have to be released before those who wait for memory are tried again.
const MIN_RESUME: usize = 16 << 10;
/// Memory that is unused but resident, in bytes, from which the allocator is asked to return it to the system.
const MIN_TRIM: usize = 1 << 20;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryUse {
    /// Connections of clients: their state, input that is not parsed, responses that are not written.
    Clients,
    /// Requests in flight, without long values.
    Requests,
    /// Long values of writes, and values that are collected before they are written.
    Values,
    /// Connections to cache servers, and their responses in progress.
    Upstream,
    /// The response of discovery that is being received.
    Discovery,
    /// The requests and responses of admin clients.
    Admin,
}

impl MemoryUse {
    /// All uses with the names that the metrics give them.
    pub(crate) const NAMED: [(MemoryUse, &'static str); 6] = [
        (MemoryUse::Clients, "clients"),
        (MemoryUse::Requests, "requests"),
        (MemoryUse::Values, "values"),
        (MemoryUse::Upstream, "upstream"),
        (MemoryUse::Discovery, "discovery"),
        (MemoryUse::Admin, "admin"),
    ];
}

/// The resident size of the process at some time, and what was charged then.
#[derive(Clone, Copy, Debug)]
struct ResidentSample {
    resident: usize,
    charged: usize,
}

/// The memory that peers make the node hold. See the module documentation.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// Limit of the process in bytes.
    limit: usize,
    /// Resident size of the process before it serves.
    baseline: usize,
    /// Most bytes that may be charged.
    capacity: usize,
    used: [usize; MemoryUse::NAMED.len()],
    charged: usize,
    last_sample: Option<ResidentSample>,
    /// The sample after the allocator was last asked to return memory.
    last_trim: ResidentSample,
    /// What was free when those who wait for memory were last tried again, or the least that has been free since.
    free_at_resume: usize,
    /// A connection that holds next to nothing has had to wait since the last call of [`Self::take_refused`].
    has_refused: bool,
}

impl MemoryAccount {
    /// The account of a process with this limit. `baseline`: its resident size before it serves; None if it is not known.
    pub(crate) fn new(limit: usize, baseline: Option<usize>) -> MemoryAccount {
        let baseline = baseline.unwrap_or(DEFAULT_BASELINE);
        MemoryAccount {
            limit,
            baseline,
            capacity: (limit / 100 * CAPACITY_PERCENT).saturating_sub(baseline),
            used: [0; MemoryUse::NAMED.len()],
            charged: 0,
            last_sample: None,
            last_trim: ResidentSample {
                resident: baseline,
                charged: 0,
            },
            free_at_resume: 0,
            has_refused: false,
        }
    }

    /// Charges bytes that are held from now on.
    pub(crate) fn charge(&mut self, what: MemoryUse, bytes: usize) {
        self.used[what as usize] += bytes;
        self.charged += bytes;
    }

    /// Releases bytes that are no longer held.
    pub(crate) fn release(&mut self, what: MemoryUse, bytes: usize) {
        debug_assert!(self.used[what as usize] >= bytes);
        self.used[what as usize] -= bytes;
        self.charged -= bytes;
    }

    /// Replaces a charge by another one.
    pub(crate) fn recharge(&mut self, what: MemoryUse, charged: &mut usize, memory_used: usize) {
        let before = std::mem::replace(charged, memory_used);
        if memory_used >= before {
            self.charge(what, memory_used - before);
        } else {
            self.release(what, before - memory_used);
        }
    }

    /// Bytes that may still be charged.
    pub(crate) fn free(&self) -> usize {
        let by_account = self.capacity.saturating_sub(self.charged);
        let by_resident = self.last_sample.map_or(usize::MAX, |sample| {
            let growth = self.charged.saturating_sub(sample.charged);
            let max_resident = self.limit / 100 * MAX_RESIDENT_PERCENT;
            let below_limit = max_resident.saturating_sub(sample.resident + growth);
            // Whatever else the process holds, it goes on serving small amounts.
            below_limit.max(self.small_reserve().saturating_sub(self.charged))
        });
        by_account.min(by_resident)
    }

    /// How many bytes one connection may hold.
    pub(crate) fn share(&self) -> usize {
        self.free().saturating_sub(self.small_reserve()) / SHARE_DIVISOR
    }

    /// Bytes that are left to small amounts.
    fn small_reserve(&self) -> usize {
        self.capacity / SMALL_RESERVE_DIVISOR
    }

    /// Whether a connection that holds `held` bytes may hold `more`.
    pub(crate) fn may_hold(&self, memory_used: usize, more: usize) -> bool {
        let is_small = memory_used + more <= MAX_SMALL;
        let reserve = if is_small { 0 } else { self.small_reserve() };
        let holds_little = memory_used <= MIN_READ;
        more + reserve <= self.free() && (memory_used + more <= self.share() || holds_little)
    }

    /// How many bytes may be read for a connection that holds `held` bytes; 0 if it has to wait.
    pub(crate) fn read_allowance(&self, memory_used: usize) -> usize {
        let allowance = self.share().saturating_sub(memory_used).min(MAX_READ);
        if allowance >= MIN_READ {
            allowance
        } else if self.may_hold(memory_used, MIN_READ) {
            MIN_READ
        } else {
            0
        }
    }

    /// Whether so many bytes are much for one connection.
    pub(crate) fn is_heavy(&self, memory_used: usize) -> bool {
        memory_used > MAX_SMALL.max(self.share())
    }

    /// Records that a connection that holds `held` bytes has to wait for memory.
    pub(crate) fn record_refusal(&mut self, memory_used: usize) {
        self.has_refused |= memory_used <= MIN_READ;
    }

    /// Whether a connection that holds next to nothing has had to wait since the last call.
    pub(crate) fn take_refused(&mut self) -> bool {
        std::mem::take(&mut self.has_refused)
    }

    /// Whether so much has been released since this was last true that those who wait for memory should be tried again.
    pub(crate) fn should_resume(&mut self) -> bool {
        let free = self.free();
        let has_released = free >= self.free_at_resume + MIN_RESUME;
        if has_released || free < self.free_at_resume {
            self.free_at_resume = free;
        }
        has_released
    }

    /// Whether so little is free that whoever holds most has to give it back.
    pub(crate) fn is_short(&self) -> bool {
        self.free() < 2 * self.small_reserve()
    }

    /// Records the resident size of the process. Returns whether the allocator should return unused memory to the system.
    pub(crate) fn observe_resident(&mut self, resident: usize) -> bool {
        let charged = self.charged;
        self.last_sample = Some(ResidentSample { resident, charged });
        let unused = resident.saturating_sub(self.baseline + charged);
        let trimmed = self.last_trim;
        let has_changed =
            resident >= trimmed.resident + MIN_TRIM || charged + MIN_TRIM <= trimmed.charged;
        unused >= MIN_TRIM && has_changed
    }

    /// Records the resident size after the allocator has returned unused memory.
    pub(crate) fn record_trim(&mut self, resident: usize) {
        let charged = self.charged;
        self.last_trim = ResidentSample { resident, charged };
        self.last_sample = Some(self.last_trim);
    }

    /// Bytes charged for one use.
    pub(crate) fn used(&self, what: MemoryUse) -> usize {
        self.used[what as usize]
    }

    /// The limit of the process in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }
}

/// Reserves long values of requests.
impl ReserveMemory for MemoryAccount {
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let is_within_values = self.used(MemoryUse::Values) + bytes <= self.limit / VALUE_DIVISOR;
        let fits = is_within_values && bytes <= self.free();
        if fits {
            self.charge(MemoryUse::Values, bytes);
        }
        fits
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
