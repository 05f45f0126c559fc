//! Default settings of the tests and benches. A test overrides single fields: `Settings { nodes: 6,
//! ..settings() }`.

use sloewick_decision::api::{
    CacheMode, Class, DeduplicationScope, Idempotency, Settings, WeightMeaning,
};

/// An idempotent class with a latency objective of 150 ms and a deadline of 400 ms.
pub(crate) fn class() -> Class {
    Class {
        latency_objective: 150_000,
        objective_per_work: 0.0,
        deadline: 400_000,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 10_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        stream: false,
    }
}

/// Settings of a site with two nodes that poll the endpoint list, with read-through caches and without
/// tenants.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        tenants: Vec::new(),
        nodes: 2,
        node_number: None,
        zone: Some(0),
        poll_endpoint_list: true,
        poll_within: 10_000_000,
        mode: CacheMode::ReadThrough,
        origin_kind: None,
        origin_overload_multiple: 0.0,
        weights: WeightMeaning::None,
        weight_by_work: false,
        over_quota_weight: 0.05,
        tick: 1_000,
        max_attempts: 5,
        max_in_flight: 1000,
        cancel: true,
        probes: false,
        hedging: true,
        max_retry_after: 1_000_000,
        connect_timeout: 75_000,
        drain_grace: 2_000_000,
        cold_capacity: 0.13,
        warm_up_time: 24_000_000,
        overload_multiple: 2.5,
        overload_window: 2_000_000,
        final_response_grace: 8_000,
        price_cross_zone: 0.0,
        price_origin: 0.0,
    }
}
