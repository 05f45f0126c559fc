//! What each field of the configuration must be: the rules that [`check`](super::check) applies.

use std::net::SocketAddr;

use serde_json::Value;

/// Longest time in milliseconds, or largest number, that is accepted: over a month.
const MAX_NUMBER: f64 = 3e9;
/// Any number that is not negative.
const ANY_NUMBER: Expected = Expected::Number(0.0, MAX_NUMBER);

/// What the value of a field must be.
#[derive(Clone, Copy)]
pub(super) enum Expected {
    Text,
    Address,
    Seed,
    Flag,
    Object,
    /// A number within these bounds.
    Number(f64, f64),
    /// A number above zero.
    Positive,
    /// An integer of at least this.
    Whole(i64),
    /// One of these words.
    Word(&'static [&'static str]),
    Array,
}

impl Expected {
    pub(super) fn matches(self, v: &Value) -> bool {
        match self {
            Expected::Text => v.as_str().is_some_and(|t| !t.is_empty()),
            Expected::Address => v.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok()),
            Expected::Seed => v
                .as_str()
                .is_some_and(|t| u64::from_str_radix(t, 16).is_ok()),
            Expected::Flag => v.is_boolean(),
            Expected::Object => v.is_object(),
            Expected::Number(min, max) => v.as_f64().is_some_and(|n| (min..=max).contains(&n)),
            Expected::Positive => v.as_f64().is_some_and(|n| n > 0.0 && n <= MAX_NUMBER),
            Expected::Whole(min) => v.as_i64().is_some_and(|n| n >= min),
            Expected::Word(words) => v.as_str().is_some_and(|t| words.contains(&t)),
            Expected::Array => v.is_array(),
        }
    }

    /// What is wrong with a value that does not match.
    pub(super) fn problem(self) -> String {
        match self {
            Expected::Text => "is not a text".to_string(),
            Expected::Address => "is no address with a port".to_string(),
            Expected::Seed => "is not 64 bits in hex".to_string(),
            Expected::Flag => "is neither true nor false".to_string(),
            Expected::Object => "is not an object".to_string(),
            Expected::Number(min, max) => format!("is not a number from {min} to {max}"),
            Expected::Positive => format!("is not a number above 0, up to {MAX_NUMBER}"),
            Expected::Whole(min) => format!("is not a whole number from {min}"),
            Expected::Word(words) => format!("is none of {}", words.join(", ")),
            Expected::Array => "is not an array".to_string(),
        }
    }

    /// A value that matches.
    pub(super) fn example(self) -> String {
        match self {
            Expected::Text => "\"n3\"".to_string(),
            Expected::Address => "\"10.0.0.4:6379\"".to_string(),
            Expected::Seed => "\"8c1f30d27a5be964\"".to_string(),
            Expected::Flag => "true".to_string(),
            Expected::Object => "{}".to_string(),
            Expected::Number(_, max) if max <= 1.0 => format!("{}", max / 2.0),
            Expected::Number(min, _) => format!("{}", min.max(1.0)),
            Expected::Positive => "150.0".to_string(),
            Expected::Whole(min) => format!("{}", min.max(1)),
            Expected::Word(words) => format!("{:?}", words.first().unwrap_or(&"")),
            Expected::Array => "[]".to_string(),
        }
    }
}

/// A field of an object.
pub(super) struct FieldRule {
    pub(super) name: &'static str,
    pub(super) expected: Expected,
    pub(super) is_optional: bool,
}

const fn required(name: &'static str, expected: Expected) -> FieldRule {
    FieldRule {
        name,
        expected,
        is_optional: false,
    }
}

const fn optional(name: &'static str, expected: Expected) -> FieldRule {
    FieldRule {
        name,
        expected,
        is_optional: true,
    }
}

pub(super) const TOP: &[FieldRule] = &[
    required("listen", Expected::Address),
    required("discovery", Expected::Address),
    optional("ops", Expected::Address),
    required("seed", Expected::Seed),
    required("limits", Expected::Object),
    required("known", Expected::Object),
    required("settings", Expected::Object),
];
pub(super) const LIMITS: &[FieldRule] = &[
    required("memory_mb", Expected::Whole(32)),
    required("sockets", Expected::Whole(64)),
];
pub(super) const KNOWN: &[FieldRule] = &[
    required("rev", Expected::Whole(i64::MIN)),
    required("all", Expected::Flag),
    required("targets", Expected::Array),
];
pub(super) const TARGET: &[FieldRule] = &[
    required("uid", Expected::Text),
    required("endpoint", Expected::Address),
    required(
        "state",
        Expected::Word(&["in_service", "terminating", "terminated"]),
    ),
    optional("capacity_hint", ANY_NUMBER),
    optional("az", Expected::Text),
    optional("model", Expected::Text),
    optional("boot_ms", Expected::Whole(0)),
];
pub(super) const SETTINGS: &[FieldRule] = &[
    required("classes", Expected::Array),
    required("discovery", Expected::Word(&["ask", "push"])),
    required("replicas_of_me", Expected::Whole(1)),
    required("policy_limits", Expected::Object),
    required("rules", Expected::Object),
    optional("realms", Expected::Array),
    optional("zones", Expected::Array),
    optional("kinds", Expected::Array),
    optional("period", ANY_NUMBER),
    optional("over_share_worth", ANY_NUMBER),
];
pub(super) const CLASS: &[FieldRule] = &[
    required("name", Expected::Text),
    required("aim", Expected::Positive),
    required("deadline", Expected::Positive),
    required(
        "repeat",
        Expected::Word(&["free", "guarded", "single_shot"]),
    ),
    optional("worth", ANY_NUMBER),
    optional("late_share", Expected::Number(0.0, 1.0)),
    optional("stream", Expected::Flag),
];
pub(super) const GUARDED: &[FieldRule] = &[
    required("window", Expected::Positive),
    required("dedup_scope", Expected::Word(&["all", "zone", "cell"])),
];
pub(super) const REALM: &[FieldRule] = &[
    required("name", Expected::Text),
    optional("share", ANY_NUMBER),
    optional("quota_per_s", ANY_NUMBER),
];
pub(super) const POLICY: &[FieldRule] = &[
    required("try_limit", Expected::Whole(1)),
    required("second_copies", Expected::Flag),
    optional("cancel", Expected::Flag),
    optional("probes", Expected::Flag),
    optional("retry_after", Expected::Flag),
    optional("max_retry_after", ANY_NUMBER),
    optional("connect_timeout", Expected::Positive),
    optional("conn_idle", Expected::Positive),
    optional("max_open", Expected::Whole(1)),
];
pub(super) const RULES: &[FieldRule] = &[
    required("stop_sending_within", ANY_NUMBER),
    required("cold_from", Expected::Number(0.000_001, 1.0)),
    required("cold", ANY_NUMBER),
    required("fall_multiple", ANY_NUMBER),
    required("fall", ANY_NUMBER),
    required("grace_to_answer", ANY_NUMBER),
];
/// Rules of nodes that poll discovery.
pub(super) const POLLING_RULES: &[FieldRule] = &[required("ask_within", Expected::Positive)];
