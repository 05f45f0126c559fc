//! Whether a tenant asks for more than its share at this node. No clock: time is an argument.
//!
//! Guarantees: a tenant is never beyond its share while it asks for no more than an even part of its quota, nor while
//! its part of what comes to this node is no more than its quota is of all quotas. The second guards against a node that
//! sees many times what the others do: an even part of the quotas would call most of what it gets beyond its share.
//!
//! Not guaranteed: where all tenants ask for more than their quotas in the same measure, or there is one alone, none is
//! beyond its share here; what servers can't bear is refused by other decisions.

use crate::api::{Micros, Settings};

/// Tokens that are saved up at most, and in seconds of the even part's rate besides.
const SAVED: f64 = 2.0;

/// One tenant's quota at this node.
struct Quota {
    /// Tokens a second: an even part of the quota for each node.
    rate: f64,
    /// Tokens for each arrival of any tenant: its quota among all quotas.
    part: f64,
    tokens: f64,
    filled: Micros,
    /// Arrivals at this node by then.
    arrivals: u64,
}

/// The quotas of all tenants at this node.
pub struct Quotas(Vec<Quota>);

impl Quotas {
    pub fn new(set: &Settings, now: Micros) -> Quotas {
        let all: f64 = set.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota = |per_s: f64| Quota {
            rate: per_s / set.nodes as f64,
            part: per_s / all.max(f64::MIN_POSITIVE),
            tokens: SAVED,
            filled: now,
            arrivals: 0,
        };
        Quotas(set.tenants.iter().map(|t| quota(t.quota_per_s)).collect())
    }

    /// Takes a token of the tenant's; true when there is none. `arrivals`: at this node so far, of all tenants.
    pub fn over(&mut self, now: Micros, tenant: Option<usize>, arrivals: u64) -> bool {
        let Some(quota) = tenant.and_then(|t| self.0.get_mut(t)) else {
            return false;
        };
        let by_time = quota.rate * (now - quota.filled) as f64 / 1e6;
        let by_part = quota.part * arrivals.saturating_sub(quota.arrivals) as f64;
        quota.tokens = (quota.tokens + by_time.max(by_part)).min(SAVED + SAVED * quota.rate);
        (quota.filled, quota.arrivals) = (now, arrivals);
        if quota.tokens < 1.0 {
            return true;
        }
        quota.tokens -= 1.0;
        false
    }
}
