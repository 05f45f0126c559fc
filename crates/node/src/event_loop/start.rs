//! Construction of a node from its configuration.

use std::io;

use sloewick_decision::api::{EndpointListKind, Idempotency, Micros};
use sloewick_decision::{Balancer, Settings};

use super::{Node, SerialNumbers, SWEEP_INTERVAL};
use crate::address_table::AddressTable;
use crate::admin::server::AdminServer;
use crate::admin::Admin;
use crate::config::Config;
use crate::descriptors::{DescriptorShares, PROCESSES_PER_INHERITED_LISTENER};
use crate::discovery::client::{max_response_bytes, DiscoveryClient};
use crate::discovery::list_replica::ListReplica;
use crate::discovery::schedule::PollSchedule;
use crate::discovery::server_starts::ServerStartTimes;
use crate::discovery::Discovery;
use crate::engine::{DecisionEngine, EngineQueue};
use crate::event_trace::Trace;
use crate::executed_ids::ExecutedIds;
use crate::frontend::acceptor::Listener;
use crate::frontend::client_slots::ClientSlots;
use crate::frontend::disconnects::SocketFreshness;
use crate::frontend::memcached::MemcachedFrontend;
use crate::frontend::response::Protocol;
use crate::frontend::Frontends;
use crate::hot_restart::HotRestart;
use crate::io::Io;
use crate::lifecycle::Lifecycle;
use crate::list_exchange::{self, ListExchange};
use crate::memory::MemoryAccount;
use crate::reload::{ConfigSource, Reload};
use crate::request_table::RequestTable;
use crate::timers::{TimerEvent, Timers};
use crate::tokens::{
    admin_client_token, ADMIN_LISTENER, DISCOVERY, MEMCACHED_LISTENER, RESP2_LISTENER,
};
use crate::transport::{Stream, Transport};
use crate::upstream::pool::UpstreamPools;
use crate::upstream::probes::Probes;
use crate::upstream::waiting_attempts::WaitingAttempts;

impl<N: Transport> Node<N> {
    /// Creates a node that listens on its addresses and has applied the endpoint list of its configuration. It serves when
    /// [`Node::run`] or [`Node::run_once`] is called.
    ///
    /// # Errors
    /// The node cannot listen on an address, or its settings contradict each other.
    pub fn new(config: Config, net: N, source: ConfigSource) -> io::Result<Node<N>> {
        Node::with_engine(config, net, source, |balancer| balancer)
    }
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Creates a node whose decision engine is the result of `wrap`, which is called with the balancer.
    ///
    /// # Errors
    /// The same as those of [`Node::new`].
    pub fn with_engine(
        config: Config,
        mut net: N,
        source: ConfigSource,
        wrap: impl FnOnce(Balancer) -> M,
    ) -> io::Result<Node<N, M>> {
        let is_inherited = config.inherited_listener_fd.is_some();
        let listeners = open_client_listeners(&config, &mut net)?;
        let admin_server = open_admin_listener(&config, &mut net)?;
        let processes = processes_per_limit(is_inherited);
        let memory = config.memory_bytes / processes;
        let boot_id = net.boot_id();
        let list_exchange = is_inherited.then(|| list_exchange(&config, &boot_id, memory));
        let discovery = discovery(&config, memory, net.unix_time_at_start());
        let settings = config.settings;
        let classes = settings.classes.len();
        let connect_timeout = settings.connect_timeout;
        let requests = request_table(&settings, memory);
        let balancer =
            Balancer::new(settings, config.seed, 0).map_err(|e| io::Error::other(e.to_string()))?;
        let decision = wrap(balancer);
        let shares =
            DescriptorShares::divide(config.max_descriptors, processes, admin_server.is_some());
        let slots = ClientSlots::divide(shares.clients, processes, &mut net);
        // Request ids must be unique among all processes of all nodes.
        let request_id_prefix = config.seed ^ net.unix_time_at_start() as u64;
        let hot_restart =
            is_inherited.then(|| HotRestart::new(config.listen, &config.names, classes, &boot_id));
        let memcached = config
            .memcached
            .map(|file| MemcachedFrontend::new(file, request_id_prefix));
        let baseline = net.resident_memory();
        let mut node = Node {
            io: Io::new(net),
            memory: MemoryAccount::new(memory, baseline),
            engine: EngineQueue::new(decision, config.names, Trace::new(config.trace)),
            requests,
            frontends: Frontends::new(listeners, slots, memcached),
            upstreams: UpstreamPools::new(
                shares.upstream,
                config.server_idle_timeout,
                connect_timeout,
                config.trace,
            ),
            probes: Probes::new(config.probes_request_load),
            discovery,
            admin: Admin::new(admin_server, classes),
            lifecycle: Lifecycle::new(is_inherited, !config.initial_endpoints.targets.is_empty()),
            hot_restart,
            list_exchange,
            timers: Timers::default(),
            freshness: SocketFreshness::default(),
            serials: SerialNumbers::default(),
            reload: Reload::new(source),
            clients_waiting_for_memory: std::collections::BTreeSet::new(),
            round: 0,
            executed_ids: ExecutedIds::new(memory),
            waiting_values: Vec::new(),
            waiting_attempts: WaitingAttempts::default(),
        };
        let is_restored = node.restore_snapshot();
        let endpoints = node.take_over_endpoint_list(config.initial_endpoints, is_restored);
        node.apply_endpoint_list(endpoints, Some(EndpointListKind::Cached));
        node.publish_endpoint_list();
        node.timers.set(SWEEP_INTERVAL, TimerEvent::Sweep);
        Ok(node)
    }

    /// Restores the checkpoint of the process before this one. Returns false if there is none.
    fn restore_snapshot(&mut self) -> bool {
        let hot_restart = self.hot_restart.as_ref();
        hot_restart
            .is_some_and(|hot_restart| hot_restart.restore(&mut self.io, &mut self.engine.engine))
    }
}

/// Creates the client of discovery and the empty tables of what it tells. `memory`: that of the process in bytes.
fn discovery<S: Stream>(
    config: &Config,
    memory: usize,
    unix_time_at_start: Micros,
) -> Discovery<S> {
    let mut client = discovery_client(config);
    client.limit_memory(memory);
    Discovery {
        client,
        charged: 0,
        addresses: AddressTable::default(),
        start_times: ServerStartTimes::new(unix_time_at_start),
    }
}

/// Creates the client of discovery. If the settings do not require polling, discovery is an agent beside the node, to which
/// the lists are pushed.
fn discovery_client<S: Stream>(config: &Config) -> DiscoveryClient<S> {
    let polls = config.settings.poll_endpoint_list;
    let schedule = PollSchedule::new(polls, config.settings.drain_grace, config.phase);
    let revision = config.initial_endpoints.rev;
    DiscoveryClient::new(config.discovery, DISCOVERY, revision, schedule)
}

/// The exchange of endpoint lists with the other processes, which begins with the list in the configuration. `memory`: that of
/// the process in bytes.
fn list_exchange(config: &Config, boot_id: &str, memory: usize) -> ListExchange {
    ListExchange::new(
        list_exchange::owner(config.listen, boot_id),
        ListReplica::from_configuration(&config.initial_endpoints, config.discovery),
        max_response_bytes(memory),
    )
}

fn request_table(settings: &Settings, memory: usize) -> RequestTable {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let longest_deadline = deadlines.max().unwrap_or(0);
    let idempotencies = settings.classes.iter().map(|class| class.idempotency);
    let idempotent_classes = idempotencies.map(|kind| kind == Idempotency::Idempotent);
    RequestTable::new(
        memory,
        settings.max_in_flight,
        longest_deadline,
        idempotent_classes.collect(),
    )
}

/// Number of processes that share the limits of the configuration: more than one if the listener is inherited.
fn processes_per_limit(is_inherited: bool) -> usize {
    if is_inherited {
        PROCESSES_PER_INHERITED_LISTENER
    } else {
        1
    }
}

fn open_client_listeners<N: Transport>(
    config: &Config,
    net: &mut N,
) -> io::Result<Vec<Listener<N::Listener>>> {
    let socket = match config.inherited_listener_fd {
        Some(fd) => net
            .listen_inherited(fd, RESP2_LISTENER)
            .map_err(|e| io::Error::new(e.kind(), format!("inherited descriptor {fd}: {e}")))?,
        None => net.listen(config.listen, RESP2_LISTENER)?,
    };
    let mut listeners = vec![Listener {
        socket,
        token: RESP2_LISTENER,
        inherited: config.inherited_listener_fd.is_some(),
        protocol: Protocol::Resp2,
        has_pending_connections: true,
    }];
    if let Some(at) = config.memcached.as_ref().and_then(|file| file.listen) {
        let socket = net
            .listen(at, MEMCACHED_LISTENER)
            .map_err(|e| io::Error::new(e.kind(), format!("memcached {at}: {e}")))?;
        listeners.push(Listener {
            socket,
            token: MEMCACHED_LISTENER,
            inherited: false,
            protocol: Protocol::Memcached,
            has_pending_connections: true,
        });
    }
    Ok(listeners)
}

fn open_admin_listener<N: Transport>(
    config: &Config,
    net: &mut N,
) -> io::Result<Option<AdminServer<N>>> {
    let Some(at) = config.admin_address else {
        return Ok(None);
    };
    let listener = net
        .listen(at, ADMIN_LISTENER)
        .map_err(|e| io::Error::new(e.kind(), format!("ops {at}: {e}")))?;
    Ok(Some(AdminServer::new(listener, admin_client_token)))
}
