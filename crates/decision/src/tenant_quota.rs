//! Tenant quotas: whether a tenant exceeds its quota at this node. No clock: time is an argument.
//!
//! Guarantees: a tenant is within its quota as long as it sends no more than this node's even share (its
//! quota divided by the number of nodes), or as long as its fraction of the requests at this node is no
//! more than its quota's fraction of the sum of all quotas. The second rule guards against a node that
//! receives many times as many requests as the others: by the even share most of them would be over quota.
//!
//! Not guaranteed: if all tenants exceed their quotas in the same proportion, or there is only one tenant,
//! none is over its quota here. Load that the servers can't bear is rejected by other decisions.

use crate::api::{Micros, Settings};

/// Maximum saved tokens of a tenant: this many, plus the even share of this many seconds.
const MAX_SAVED_TOKENS: f64 = 2.0;

/// One tenant's token bucket at this node.
struct TokenBucket {
    /// Tokens per second: the even share, i.e. the quota divided by the number of nodes.
    rate_per_s: f64,
    /// Tokens per arrival of any tenant: the fraction of this quota in the sum of all quotas.
    tokens_per_arrival: f64,
    tokens: f64,
    /// When the bucket was last refilled.
    refilled: Micros,
    /// Arrivals at this node up to the last refill.
    arrivals: u64,
}

/// Token buckets of all tenants at this node, by tenant.
pub(crate) struct TenantQuotas(Vec<TokenBucket>);

impl TenantQuotas {
    /// Full buckets for the tenants in the settings.
    pub(crate) fn new(settings: &Settings, now: Micros) -> TenantQuotas {
        let all: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let bucket = |quota_per_s: f64| TokenBucket {
            rate_per_s: quota_per_s / settings.nodes as f64,
            tokens_per_arrival: quota_per_s / all.max(f64::MIN_POSITIVE),
            tokens: MAX_SAVED_TOKENS,
            refilled: now,
            arrivals: 0,
        };
        let tenants = settings.tenants.iter();
        TenantQuotas(tenants.map(|t| bucket(t.quota_per_s)).collect())
    }

    /// Takes a token from the tenant's bucket; returns true if there is none. `arrivals`: number of
    /// requests of all tenants that have arrived at this node so far.
    pub(crate) fn is_exceeded(
        &mut self,
        now: Micros,
        tenant: Option<usize>,
        arrivals: u64,
    ) -> bool {
        let Some(bucket) = tenant.and_then(|t| self.0.get_mut(t)) else {
            return false;
        };
        let by_time = bucket.rate_per_s * (now - bucket.refilled) as f64 / 1e6;
        let by_arrivals =
            bucket.tokens_per_arrival * arrivals.saturating_sub(bucket.arrivals) as f64;
        let max_tokens = MAX_SAVED_TOKENS + MAX_SAVED_TOKENS * bucket.rate_per_s;
        bucket.tokens = (bucket.tokens + by_time.max(by_arrivals)).min(max_tokens);
        bucket.refilled = now;
        bucket.arrivals = arrivals;
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }
}
