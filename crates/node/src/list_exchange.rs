//! Exchanges the endpoint list with the other processes of the node, if several may run at the same time.
//!
//! For the rules, the processes of a node count as one: what discovery has announced to one of them binds the others too. A process
//! therefore publishes its [`ListReplica`] whenever that has changed, takes over what others have published before it serves, and
//! looks for changes with each sweep. A list does not expire: an outage of discovery may last any time.

use std::net::SocketAddr;

use sloewick_decision::api::Micros;
use sloewick_snapshot::{encode, Requirements};

use crate::discovery::list_replica::{ListReplica, MergeScope, Merged};
use crate::hot_restart::{read_payload, RestoreError};
use crate::io::Io;
use crate::transport::Transport;

/// Version of the published payload. It must change whenever [`ListReplica`] or the meaning of any value in it changes.
const VERSION: u16 = 1;
/// Pause before a list that could not be written is written again; it doubles with each further failure, up to the maximum.
const MIN_RETRY_PAUSE: Micros = 50_000;
const MAX_RETRY_PAUSE: Micros = 1_000_000;
/// After this many doublings the pause exceeds its maximum in any case.
const MAX_RETRY_DOUBLINGS: u32 = 5;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The text that identifies the node, and the boot of its machine, whose monotonic clock cannot be compared across boots.
pub(crate) fn owner(listen: SocketAddr, boot_id: &str) -> String {
    format!("endpoints of node {listen} boot {boot_id}")
}

/// What a process has found when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakeOver {
    /// No other process has published a list.
    Nothing,
    /// None of the published lists can be used.
    Unusable,
    /// A list was merged with that of the configuration.
    Merged,
    /// The same, and discovery has to be asked for the full list; see [`Merged::is_unconfirmed`].
    MergedUnconfirmed,
}

/// The replica of this process, and whether the others can read it. See the module documentation.
pub(crate) struct ListExchange {
    owner: String,
    pub(crate) replica: ListReplica,
    /// Longest list that is read or published, in bytes.
    max_bytes: usize,
    is_published: bool,
    /// Writes that have failed since the list last changed.
    failures: u32,
    /// When the next attempt to publish may begin.
    publish_after: Micros,
}

impl ListExchange {
    pub(crate) fn new(owner: String, replica: ListReplica, max_bytes: usize) -> ListExchange {
        ListExchange {
            owner,
            replica,
            max_bytes,
            is_published: false,
            failures: 0,
            publish_after: 0,
        }
    }

    /// Takes over what the processes before this one have published. Logs the list that holds now, and each one that cannot be
    /// used.
    pub(crate) fn take_over<N: Transport>(&mut self, io: &mut Io<N>) -> TakeOver {
        let mut outcome = TakeOver::Nothing;
        for published in io.transport.changed_endpoint_lists(self.max_bytes) {
            match self.read(published, io) {
                Ok(other) => {
                    let merged = self.replica.merge(&other, MergeScope::AnySequence);
                    let was_unconfirmed = outcome == TakeOver::MergedUnconfirmed;
                    outcome = if merged.is_unconfirmed || was_unconfirmed {
                        TakeOver::MergedUnconfirmed
                    } else {
                        TakeOver::Merged
                    };
                }
                Err(error) => {
                    io.log(&format!("handover: endpoint list not taken up: {error}"));
                    if outcome == TakeOver::Nothing {
                        outcome = TakeOver::Unusable;
                    }
                }
            }
        }
        if matches!(outcome, TakeOver::Merged | TakeOver::MergedUnconfirmed) {
            let (revision, servers) = (self.replica.revision(), self.replica.live_count());
            let received_at = self.replica.received_at();
            let age = received_at.map_or("never received".to_string(), |received_at| {
                let ms = (io.transport.monotonic_time() - received_at) / MICROS_PER_MILLISECOND;
                format!("received {ms} ms ago")
            });
            io.log(&format!(
                "handover: endpoint list rev={revision} servers={servers}, {age}"
            ));
        }
        outcome
    }

    /// Merges what the other processes have published since the last call.
    pub(crate) fn merge_published<N: Transport>(&mut self, io: &mut Io<N>) -> Vec<Merged> {
        let published = io.transport.changed_endpoint_lists(self.max_bytes);
        let mut merged = Vec::new();
        for bytes in published {
            // A list that cannot be used changes nothing, and was reported by the process that could not write it.
            let Ok(other) = self.read(bytes, io) else {
                continue;
            };
            let result = self.replica.merge(&other, MergeScope::SameSequence);
            if result != Merged::default() {
                self.changed();
                merged.push(result);
            }
        }
        merged
    }

    /// Records that the replica has changed, so that it has to be published at once.
    pub(crate) fn changed(&mut self) {
        self.is_published = false;
        self.failures = 0;
        self.publish_after = 0;
    }

    /// Publishes the replica, unless the others can read it already.
    pub(crate) fn publish<N: Transport>(&mut self, now: Micros, io: &mut Io<N>) {
        if let Some(reason) = io.transport.take_publication_error() {
            io.log(&format!("handover: not kept: {reason}"));
            self.is_published = false;
            let pause = MIN_RETRY_PAUSE << self.failures.min(MAX_RETRY_DOUBLINGS);
            self.failures = self.failures.saturating_add(1);
            self.publish_after = now + pause.min(MAX_RETRY_PAUSE);
        }
        if self.is_published || now < self.publish_after {
            return;
        }
        let Ok(payload) = postcard::to_stdvec(&self.replica) else {
            return;
        };
        let taken_at = io.transport.monotonic_time();
        let Ok(bytes) = encode(&self.owner, VERSION, taken_at, &payload) else {
            return;
        };
        if bytes.len() > self.max_bytes {
            let (length, limit) = (bytes.len(), self.max_bytes);
            io.log(&format!(
                "handover: not kept: the endpoint list has {length} bytes, {limit} are allowed"
            ));
            self.is_published = true;
            return;
        }
        self.is_published = io.transport.publish_endpoint_list(bytes);
    }

    fn read<N: Transport>(
        &self,
        published: std::io::Result<Vec<u8>>,
        io: &Io<N>,
    ) -> Result<ListReplica, RestoreError> {
        let requirements = Requirements {
            owner: &self.owner,
            version: VERSION,
            max_age: Micros::MAX,
        };
        let now = io.transport.monotonic_time();
        let (replica, _) = read_payload::<ListReplica>(&requirements, now, &published?)?;
        if !replica.is_valid() {
            return Err(RestoreError::Invalid);
        }
        Ok(replica)
    }
}

#[cfg(test)]
#[path = "list_exchange_tests.rs"]
mod tests;
