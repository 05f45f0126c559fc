//! Carries endpoint lists from discovery to the upstream pools and the decision engine.

use std::collections::HashSet;

use sloewick_decision::api::{EndpointListKind, Event, ServerId, ServerState};

use super::Node;
use crate::discovery::client::DiscoveryEvent;
use crate::discovery::endpoints::{EndpointList, ListedEndpoint};
use crate::engine::DecisionEngine;
use crate::frontend::response::Protocol;
use crate::transport::Transport;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn handle_discovery(&mut self, event: Option<DiscoveryEvent>) {
        match event {
            Some(DiscoveryEvent::Requested(request)) => {
                self.io.log(&format!("discovery_request: {request}"));
            }
            Some(DiscoveryEvent::List { list, relation }) => {
                self.log_endpoint_list(&list);
                self.record_received_list(&list, relation);
                self.apply_endpoint_list(list, None);
                self.publish_endpoint_list();
            }
            Some(DiscoveryEvent::Failed(failure)) => {
                self.io.log(&format!("discovery_failed: {failure}"));
                self.engine.push(Event::EndpointListFailed);
            }
            None => {}
        }
    }

    /// Logs an endpoint list that has entries. Lists without entries, with which a watch ends when nothing has changed, would
    /// fill the log.
    fn log_endpoint_list(&mut self, list: &EndpointList) {
        if !list.targets.is_empty() {
            let (rev, all, servers) = (list.rev, list.all, list.targets.len());
            let line = format!("discovery_list: rev={rev} all={all} servers={servers}");
            self.io.log(&line);
        }
    }

    /// Applies an endpoint list to the address table, the upstream pools and the decision engine. `kind`: `None` for a list
    /// that discovery has just sent.
    pub(super) fn apply_endpoint_list(
        &mut self,
        mut list: EndpointList,
        kind: Option<EndpointListKind>,
    ) {
        let now = self.io.now();
        if kind.is_none() {
            self.lifecycle.endpoint_list_received();
        }
        self.discovery.addresses.apply(&mut list);
        let kind = kind.unwrap_or(if list.all {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        });
        if kind != EndpointListKind::Delta {
            self.remove_unlisted_servers(&list);
        }
        let mut entries = Vec::with_capacity(list.targets.len());
        for listed in &list.targets {
            self.update_pool(listed);
            let mut entry = self.engine.names.endpoint(&listed.entry);
            entry.started = self.discovery.start_times.start_of(listed, now);
            entries.push(entry);
        }
        self.discovery.start_times.list_applied(&list, kind, now);
        self.record_starts(&entries);
        self.engine.push(Event::EndpointList(kind, entries.into()));
    }

    fn remove_unlisted_servers(&mut self, list: &EndpointList) {
        let targets = list.targets.iter();
        let listed: HashSet<&ServerId> = targets.map(|target| &target.entry.server).collect();
        let unlisted: Vec<ServerId> = self
            .upstreams
            .servers()
            .filter(|server| !listed.contains(server))
            .cloned()
            .collect();
        for server in &unlisted {
            self.upstreams.remove_server(server);
        }
    }

    fn update_pool(&mut self, listed: &ListedEndpoint) {
        let server = &listed.entry.server;
        if listed.entry.state == ServerState::Removed {
            return self.upstreams.remove_server(server);
        }
        let memcached = self.frontends.memcached.as_ref();
        let model = listed.entry.kind.as_deref();
        let protocol = if memcached.is_some_and(|memcached| memcached.is_memcached_model(model)) {
            Protocol::Memcached
        } else {
            Protocol::Resp2
        };
        self.upstreams.add_server(server, listed.address, protocol);
    }
}
