//! Carries endpoint lists between this process and the other processes of the node.

use sloewick_decision::api::{Endpoint, EndpointListKind, Micros};

use super::Node;
use crate::discovery::endpoints::{EndpointList, ListedEndpoint};
use crate::discovery::list_replica::{ListRelation, Merged};
use crate::engine::DecisionEngine;
use crate::list_exchange::TakeOver;
use crate::transport::Transport;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Returns the endpoint list with which this process starts: that in its configuration, or what the processes before it have
    /// got since. `has_checkpoint`: whether a process before this one has left a checkpoint.
    pub(super) fn take_over_endpoint_list(
        &mut self,
        configured: EndpointList,
        has_checkpoint: bool,
    ) -> EndpointList {
        let Some(exchange) = &mut self.list_exchange else {
            return configured;
        };
        let outcome = exchange.take_over(&mut self.io);
        match outcome {
            TakeOver::Merged | TakeOver::MergedUnconfirmed => {}
            TakeOver::Unusable => return configured,
            TakeOver::Nothing => {
                if has_checkpoint {
                    let reason = "the process before has left none";
                    self.io
                        .log(&format!("handover: endpoint list not taken up: {reason}"));
                }
                return configured;
            }
        }
        let replica = &exchange.replica;
        let (sequence, revision) = (replica.sequence(), replica.revision());
        let (received_at, list) = (replica.received_at(), replica.to_list());
        self.discovery.client.start_from(sequence, revision);
        if outcome == TakeOver::MergedUnconfirmed {
            self.discovery.client.confirm_list();
        }
        if received_at.is_some() || !list.targets.is_empty() {
            self.lifecycle.endpoint_list_taken_over();
        }
        self.restore_start_times(&list.targets);
        if let Some(received_at) = received_at {
            let last_list = received_at - self.clock_offset();
            self.discovery.start_times.restore_last_list(last_list);
        }
        list
    }

    /// Records a list that discovery has sent to this process.
    pub(super) fn record_received_list(&mut self, list: &EndpointList, relation: ListRelation) {
        let now = self.io.transport.monotonic_time();
        if let Some(exchange) = &mut self.list_exchange {
            if exchange.replica.receive(list, relation, now) {
                exchange.changed();
            }
        }
    }

    /// Records when the servers of a list started, for the other processes.
    pub(super) fn record_starts(&mut self, endpoints: &[Endpoint]) {
        let offset = self.clock_offset();
        if let Some(exchange) = &mut self.list_exchange {
            for endpoint in endpoints {
                let started = endpoint.started.map(|started| started + offset);
                exchange.replica.set_start(&endpoint.server, started);
            }
        }
    }

    /// Publishes the endpoint list to the other processes, if it has changed.
    pub(super) fn publish_endpoint_list(&mut self) {
        let now = self.io.now();
        if let Some(exchange) = &mut self.list_exchange {
            exchange.publish(now, &mut self.io);
        }
    }

    /// Applies what the other processes have published, and publishes the list of this one.
    pub(super) fn exchange_endpoint_lists(&mut self) {
        let Some(exchange) = &mut self.list_exchange else {
            return;
        };
        for merged in exchange.merge_published(&mut self.io) {
            self.apply_merged_list(merged);
        }
        self.publish_endpoint_list();
    }

    fn apply_merged_list(&mut self, merged: Merged) {
        let Some(exchange) = &self.list_exchange else {
            return;
        };
        let (sequence, revision) = (exchange.replica.sequence(), exchange.replica.revision());
        if merged.is_newer {
            self.discovery.client.continue_from(sequence, revision);
        }
        if merged.is_unconfirmed {
            self.discovery.client.confirm_list();
        }
        let servers = merged.changes.len();
        self.io.log(&format!(
            "handover: endpoint list of another process: rev={revision} changes={servers}"
        ));
        self.restore_start_times(&merged.changes);
        let list = EndpointList {
            rev: revision,
            all: false,
            targets: merged.changes,
        };
        self.apply_endpoint_list(list, Some(EndpointListKind::Delta));
    }

    /// Takes over the start times of servers that another process has recorded.
    fn restore_start_times(&mut self, listed: &[ListedEndpoint]) {
        let (now, offset) = (self.io.now(), self.clock_offset());
        for listed in listed.iter().filter(|listed| listed.boot_ms > 0) {
            if let Some(started) = listed.entry.started {
                let started = (started - offset).min(now);
                self.discovery.start_times.restore(listed, started);
            }
        }
    }

    /// The machine's monotonic clock minus that of this process.
    fn clock_offset(&self) -> Micros {
        self.io.transport.monotonic_time() - self.io.now()
    }
}
