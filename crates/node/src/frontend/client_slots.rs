//! The number of clients that may hold a slot: some slots are the process's own, the others are shared with further processes of the
//! node and taken when they are needed.

use crate::transport::Transport;

/// One in so many slots is each process's own if the others are shared, so that a new process serves clients at once although
/// the one before it has many.
const OWN_SLOTS_DIVISOR: usize = 8;

/// The slots that this process may give to clients.
pub(crate) struct ClientSlots {
    own: usize,
    /// Shared slots that this process holds.
    shared: usize,
}

impl ClientSlots {
    /// Divides `slots` among so many processes. If they cannot share any, each has an equal part.
    pub(crate) fn divide<N: Transport>(
        slots: usize,
        processes: usize,
        transport: &mut N,
    ) -> ClientSlots {
        let own = (slots / OWN_SLOTS_DIVISOR).max(1);
        let is_shared = processes > 1 && transport.share_slots(slots - processes * own);
        ClientSlots {
            own: if is_shared { own } else { slots / processes },
            shared: 0,
        }
    }

    /// Number of clients that may hold a slot now.
    pub(crate) fn limit(&self) -> usize {
        self.own + self.shared
    }

    /// Takes one of the shared slots. Returns false if none is free.
    pub(crate) fn extend<N: Transport>(&mut self, transport: &mut N) -> bool {
        let is_acquired = transport.acquire_shared_slot();
        self.shared += usize::from(is_acquired);
        is_acquired
    }

    /// Returns the shared slots that this number of connections does not need.
    pub(crate) fn release_unused<N: Transport>(&mut self, connections: usize, transport: &mut N) {
        while self.shared > 0 && self.limit() > connections {
            transport.release_shared_slot();
            self.shared -= 1;
        }
    }
}
