//! The endpoint list as one process of a node knows it, and how the lists of several processes are merged.
//!
//! Several processes of a node may run at the same time, and one may start while discovery cannot be asked. Each process keeps a
//! replica of the whole list, servers that drain or were removed included, and publishes it to the others. The module performs no
//! I/O; times are given by the caller, on the monotonic clock that all processes of the machine share.
//!
//! Which list holds:
//! - Revisions are compared only within one [`RevisionSequence`]; the higher one is newer.
//! - Between two sequences, the list that discovery sent later is newer. A list from the configuration was sent by nobody, and is
//!   older than any that discovery has sent.
//! - Whichever list is newer, a server that was announced as draining or removed, after discovery's last answer to the process with
//!   the newer list stays so, since it is safe to send a server nothing. The next answer of discovery decides.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sloewick_decision::api::{Micros, ServerId, ServerState};

use super::endpoints::{EndpointList, ListedEndpoint};

/// Most removed servers that are remembered; the longest removed ones are forgotten first.
const MAX_REMOVED: usize = 1024;

/// Revisions that can be compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RevisionSequence {
    /// The discovery service that assigns the revisions.
    pub(crate) service: SocketAddr,
    /// When a process of the node first got a list of this sequence; 0 for the sequence of the list in the configuration.
    pub(crate) began: Micros,
}

/// How a list that discovery has sent relates to the list before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListRelation {
    /// Its revision follows in the same sequence.
    Next,
    /// It begins a new sequence: discovery has moved, or numbers its revisions anew.
    NewSequence {
        /// The service that has sent the list.
        service: SocketAddr,
    },
    /// It is older than the known list; only these entries are applied, and the revision stays.
    OlderEntries,
}

/// Which lists of other processes take the place of this one if they are newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeScope {
    /// All, also one from a configuration: this process has not begun to ask discovery.
    AnySequence,
    /// Those that discovery has sent in the sequence of this list.
    SameSequence,
}

/// A server in the replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ReplicaEntry {
    /// The entry as discovery sent it, with the start of the server on the machine's monotonic clock.
    listed: ListedEndpoint,
    /// When discovery announced the state; 0 if the configuration has it.
    state_received_at: Micros,
}

/// The endpoint list of a process. See the module documentation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListReplica {
    sequence: RevisionSequence,
    revision: i64,
    /// When discovery last answered a process whose list this is; None if the list is that of a configuration.
    received_at: Option<Micros>,
    servers: BTreeMap<ServerId, ReplicaEntry>,
}

/// What a merge has changed.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Merged {
    /// The entries that have changed; empty if none has.
    pub(crate) changes: Vec<ListedEndpoint>,
    /// Whether the other list was newer, so that its revision holds now.
    pub(crate) is_newer: bool,
    /// Whether a draining or removed server was kept against the newer list. Discovery has to be asked for the full list, since no
    /// change that follows may name the server.
    pub(crate) is_unconfirmed: bool,
}

impl ListReplica {
    /// The list in the configuration of a process that asks the discovery service at this address.
    pub(crate) fn from_configuration(list: &EndpointList, service: SocketAddr) -> ListReplica {
        let mut replica = ListReplica {
            sequence: RevisionSequence { service, began: 0 },
            revision: list.rev,
            received_at: None,
            servers: BTreeMap::new(),
        };
        replica.update(&list.targets, 0);
        replica
    }

    pub(crate) fn sequence(&self) -> RevisionSequence {
        self.sequence
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    /// When discovery last answered a process whose list this is; None if it never did.
    pub(crate) fn received_at(&self) -> Option<Micros> {
        self.received_at
    }

    /// Number of servers that are neither draining nor removed.
    pub(crate) fn live_count(&self) -> usize {
        let entries = self.servers.values();
        entries.filter(|entry| entry.is_live()).count()
    }

    /// Whether the values are ones that [`ListReplica::receive`] can have stored.
    pub(crate) fn is_valid(&self) -> bool {
        self.servers.iter().all(|(server, entry)| {
            *server == entry.listed.entry.server && entry.listed.entry.weight.is_finite()
        })
    }

    /// Records an answer of discovery. Returns whether it has changed the list or its revision.
    pub(crate) fn receive(
        &mut self,
        list: &EndpointList,
        relation: ListRelation,
        now: Micros,
    ) -> bool {
        let mut changed = self.update(&list.targets, now);
        if relation == ListRelation::OlderEntries {
            return changed;
        }
        if list.all {
            changed |= self.remove_unlisted(&list.targets, now);
        }
        if let ListRelation::NewSequence { service } = relation {
            let began = now;
            self.sequence = RevisionSequence { service, began };
            changed = true;
        }
        changed |= self.revision != list.rev;
        self.revision = list.rev;
        self.received_at = Some(now);
        changed
    }

    /// Records when a server started, on the machine's monotonic clock; None: long ago.
    pub(crate) fn set_start(&mut self, server: &ServerId, started: Option<Micros>) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.listed.entry.started = started;
        }
    }

    /// Merges the list that another process has published.
    pub(crate) fn merge(&mut self, other: &ListReplica, scope: MergeScope) -> Merged {
        let is_newer = match scope {
            MergeScope::AnySequence => self.is_older_than(other),
            MergeScope::SameSequence => {
                let is_same_sequence = self.sequence == other.sequence;
                is_same_sequence && self.revision < other.revision && other.received_at.is_some()
            }
        };
        if !is_newer {
            let retained = self.retain_later_drains(other, scope);
            return Merged {
                is_unconfirmed: !retained.is_empty(),
                changes: retained,
                is_newer,
            };
        }
        let before = std::mem::replace(self, other.clone());
        let retained = self.retain_later_drains(&before, scope);
        self.received_at = self
            .received_at
            .map(|received_at| received_at.max(before.received_at.unwrap_or_default()));
        Merged {
            changes: self.changes_since(&before),
            is_newer,
            is_unconfirmed: !retained.is_empty(),
        }
    }

    /// The list of all servers, for a process that starts with it.
    pub(crate) fn to_list(&self) -> EndpointList {
        let entries = self.servers.values();
        EndpointList {
            rev: self.revision,
            all: true,
            targets: entries.map(|entry| entry.listed.clone()).collect(),
        }
    }

    /// Whether this list is older than `other`. Of two with the same revision, the one that discovery sent later is newer.
    fn is_older_than(&self, other: &ListReplica) -> bool {
        if self.sequence == other.sequence {
            (self.revision, self.received_at) < (other.revision, other.received_at)
        } else {
            self.received_at < other.received_at
        }
    }

    /// Takes over the draining and removed servers of an older list that were announced after discovery's last answer to this one.
    /// Returns the entries that have changed.
    fn retain_later_drains(
        &mut self,
        older: &ListReplica,
        scope: MergeScope,
    ) -> Vec<ListedEndpoint> {
        let is_from_newer_configuration = scope == MergeScope::AnySequence
            && older.received_at.is_none()
            && older.sequence.service != self.sequence.service
            && older.revision > self.revision;
        let is_later = |entry: &ReplicaEntry| {
            is_from_newer_configuration
                || entry.state_received_at > self.received_at.unwrap_or_default()
        };
        let later: Vec<(&ServerId, &ReplicaEntry)> = older
            .servers
            .iter()
            .filter(|(server, entry)| {
                let known = self.servers.get(*server);
                !entry.is_live() && is_later(entry) && known.is_some_and(ReplicaEntry::is_live)
            })
            .collect();
        for (server, entry) in &later {
            self.servers.insert((*server).clone(), (*entry).clone());
        }
        later
            .into_iter()
            .map(|(_, entry)| entry.listed.clone())
            .collect()
    }

    /// The entries in which this list differs from the one `before`; servers that it does not contain are removed.
    fn changes_since(&self, before: &ListReplica) -> Vec<ListedEndpoint> {
        let differs = |entry: &&ReplicaEntry| {
            let old = before.servers.get(&entry.listed.entry.server);
            old.is_none_or(|old| old.listed != entry.listed)
        };
        let changed = self.servers.values().filter(differs);
        let is_missing = |entry: &&ReplicaEntry| {
            entry.listed.entry.state != ServerState::Removed
                && !self.servers.contains_key(&entry.listed.entry.server)
        };
        let missing = before.servers.values().filter(is_missing);
        changed
            .map(|entry| entry.listed.clone())
            .chain(missing.map(|entry| removed(&entry.listed)))
            .collect()
    }

    /// Applies entries. Returns whether one has changed.
    fn update(&mut self, targets: &[ListedEndpoint], now: Micros) -> bool {
        let mut has_changed = false;
        for listed in targets {
            let old = self.servers.get(&listed.entry.server);
            let same_state = old.filter(|old| {
                old.state_received_at > 0 && old.listed.entry.state == listed.entry.state
            });
            let mut entry = ReplicaEntry {
                listed: listed.clone(),
                state_received_at: same_state.map_or(now, |old| old.state_received_at),
            };
            let same_process = old.filter(|old| old.listed.boot_ms == listed.boot_ms);
            entry.listed.entry.started = same_process.and_then(|old| old.listed.entry.started);
            if old != Some(&entry) {
                has_changed = true;
                self.servers.insert(listed.entry.server.clone(), entry);
            }
        }
        self.forget_oldest_removed();
        has_changed
    }

    /// Removes the servers that a complete list does not contain. Returns whether there are any.
    fn remove_unlisted(&mut self, targets: &[ListedEndpoint], now: Micros) -> bool {
        let listed: HashSet<&ServerId> =
            targets.iter().map(|target| &target.entry.server).collect();
        let mut has_changed = false;
        for (server, entry) in &mut self.servers {
            if entry.listed.entry.state != ServerState::Removed && !listed.contains(server) {
                entry.listed.entry.state = ServerState::Removed;
                entry.state_received_at = now;
                has_changed = true;
            }
        }
        self.forget_oldest_removed();
        has_changed
    }

    fn forget_oldest_removed(&mut self) {
        let is_removed = |entry: &&ReplicaEntry| entry.listed.entry.state == ServerState::Removed;
        let mut removed: Vec<(Micros, ServerId)> = self
            .servers
            .values()
            .filter(is_removed)
            .map(|entry| (entry.state_received_at, entry.listed.entry.server.clone()))
            .collect();
        let surplus = removed.len().saturating_sub(MAX_REMOVED);
        if surplus > 0 {
            removed.sort_unstable();
        }
        for (_, server) in &removed[..surplus] {
            self.servers.remove(server);
        }
    }
}

impl ReplicaEntry {
    fn is_live(&self) -> bool {
        self.listed.entry.state == ServerState::Live
    }
}

fn removed(listed: &ListedEndpoint) -> ListedEndpoint {
    let mut listed = listed.clone();
    listed.entry.state = ServerState::Removed;
    listed
}

#[cfg(test)]
#[path = "list_replica_tests.rs"]
mod tests;
