//! Whether a tenant sends more than its quota at this node. No clock: time is an argument.
//!
//! Guarantees: a tenant is never over its quota while it sends no more than an even part of its quota (one
//! part for each node), nor while its fraction of the requests at this node is no more than its quota's
//! fraction of all quotas. The second rule guards against a node that receives many times what the others do:
//! by an even part of the quotas most of its requests would be over them.
//!
//! Not guaranteed: where all tenants exceed their quotas in the same proportion, or there is one alone, none
//! is over its quota here; what servers can't bear is rejected by other decisions.

use crate::api::{Micros, Settings};

/// Tokens that are saved up at most, and in seconds of the even part's rate besides.
const MAX_SAVED_TOKENS: f64 = 2.0;

/// One tenant's token bucket at this node.
struct TokenBucket {
    /// Tokens a second: an even part of the quota for each node.
    rate_per_s: f64,
    /// Tokens for each arrival of any tenant: its quota's fraction of all quotas.
    tokens_per_arrival: f64,
    tokens: f64,
    refilled: Micros,
    /// Arrivals at this node by then.
    arrivals: u64,
}

/// The quotas of all tenants at this node.
pub(crate) struct TenantQuotas(Vec<TokenBucket>);

impl TenantQuotas {
    /// The quotas of the settings, with full buckets.
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

    /// Takes a token of the tenant's; true if there is none. `arrivals`: at this node so far, of all tenants.
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
