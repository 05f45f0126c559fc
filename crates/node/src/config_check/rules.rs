//! The rules that [`check`](super::check) applies: the fields of each object in a configuration, and their valid values.

use std::net::SocketAddr;

use serde_json::Value;

/// Largest number that is accepted. As a time in milliseconds it is more than a month.
const MAX_NUMBER: f64 = 3e9;
/// A number from 0 to [`MAX_NUMBER`].
const NON_NEGATIVE: Expected = Expected::Number(0.0, MAX_NUMBER);

/// The valid values of a field.
#[derive(Clone, Copy)]
pub(super) enum Expected {
    /// A string that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// 64 bits in hexadecimal.
    Seed,
    Boolean,
    Object,
    /// A number within these inclusive bounds.
    Number(f64, f64),
    /// A number above 0, up to [`MAX_NUMBER`].
    Positive,
    /// An integer of at least this value.
    Integer(i64),
    /// One of these strings.
    OneOf(&'static [&'static str]),
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
            Expected::Boolean => v.is_boolean(),
            Expected::Object => v.is_object(),
            Expected::Number(min, max) => v.as_f64().is_some_and(|n| (min..=max).contains(&n)),
            Expected::Positive => v.as_f64().is_some_and(|n| n > 0.0 && n <= MAX_NUMBER),
            Expected::Integer(min) => v.as_i64().is_some_and(|n| n >= min),
            Expected::OneOf(words) => v.as_str().is_some_and(|t| words.contains(&t)),
            Expected::Array => v.is_array(),
        }
    }

    /// Describes what is wrong with a value that does not match.
    pub(super) fn mismatch(self) -> String {
        match self {
            Expected::Text => "is not a non-empty string".to_string(),
            Expected::Address => "is no address with a port".to_string(),
            Expected::Seed => "is not 64 bits in hex".to_string(),
            Expected::Boolean => "is neither true nor false".to_string(),
            Expected::Object => "is not an object".to_string(),
            Expected::Number(min, max) => format!("is not a number from {min} to {max}"),
            Expected::Positive => format!("is not a number above 0, up to {MAX_NUMBER}"),
            Expected::Integer(min) => format!("is not a whole number from {min}"),
            Expected::OneOf(words) => format!("is none of {}", words.join(", ")),
            Expected::Array => "is not an array".to_string(),
        }
    }

    /// An example of a value that matches, as JSON.
    pub(super) fn example(self) -> String {
        match self {
            Expected::Text => "\"n3\"".to_string(),
            Expected::Address => "\"10.0.0.4:6379\"".to_string(),
            Expected::Seed => "\"8c1f30d27a5be964\"".to_string(),
            Expected::Boolean => "true".to_string(),
            Expected::Object => "{}".to_string(),
            Expected::Number(_, max) if max <= 1.0 => format!("{}", max / 2.0),
            Expected::Number(min, _) => format!("{}", min.max(1.0)),
            Expected::Positive => "150.0".to_string(),
            Expected::Integer(min) => format!("{}", min.max(1)),
            Expected::OneOf(words) => format!("{:?}", words.first().unwrap_or(&"")),
            Expected::Array => "[]".to_string(),
        }
    }
}

/// A field of an object, and its valid values.
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

/// The root object of the configuration.
pub(super) const ROOT: &[FieldRule] = &[
    required("listen", Expected::Address),
    required("discovery", Expected::Address),
    optional("ops", Expected::Address),
    required("seed", Expected::Seed),
    required("limits", Expected::Object),
    required("known", Expected::Object),
    required("settings", Expected::Object),
];
/// The object `limits`.
pub(super) const LIMITS: &[FieldRule] = &[
    required("memory_mb", Expected::Integer(32)),
    required("sockets", Expected::Integer(64)),
];
/// The object `known`, the last known endpoint list.
pub(super) const ENDPOINT_LIST: &[FieldRule] = &[
    required("rev", Expected::Integer(i64::MIN)),
    required("all", Expected::Boolean),
    required("targets", Expected::Array),
];
/// An object in `known.targets`, a cache server.
pub(super) const ENDPOINT: &[FieldRule] = &[
    required("uid", Expected::Text),
    required("endpoint", Expected::Address),
    required(
        "state",
        Expected::OneOf(&["in_service", "terminating", "terminated"]),
    ),
    optional("capacity_hint", NON_NEGATIVE),
    optional("az", Expected::Text),
    optional("model", Expected::Text),
    optional("boot_ms", Expected::Integer(0)),
];
/// The object `settings`.
pub(super) const SETTINGS: &[FieldRule] = &[
    required("classes", Expected::Array),
    required("discovery", Expected::OneOf(&["ask", "push"])),
    required("replicas_of_me", Expected::Integer(1)),
    required("policy_limits", Expected::Object),
    required("rules", Expected::Object),
    optional("realms", Expected::Array),
    optional("zones", Expected::Array),
    optional("kinds", Expected::Array),
    optional("period", NON_NEGATIVE),
    optional("over_share_worth", NON_NEGATIVE),
];
/// An object in `settings.classes`.
pub(super) const CLASS: &[FieldRule] = &[
    required("name", Expected::Text),
    required("aim", Expected::Positive),
    required("deadline", Expected::Positive),
    required(
        "repeat",
        Expected::OneOf(&["free", "guarded", "single_shot"]),
    ),
    optional("worth", NON_NEGATIVE),
    optional("late_share", Expected::Number(0.0, 1.0)),
    optional("stream", Expected::Boolean),
];
/// Additional fields of a class whose `repeat` is `guarded`.
pub(super) const GUARDED_CLASS: &[FieldRule] = &[
    required("window", Expected::Positive),
    required("dedup_scope", Expected::OneOf(&["all", "zone", "cell"])),
];
/// An object in `settings.realms`, a tenant.
pub(super) const TENANT: &[FieldRule] = &[
    required("name", Expected::Text),
    optional("share", NON_NEGATIVE),
    optional("quota_per_s", NON_NEGATIVE),
];
/// The object `settings.policy_limits`.
pub(super) const POLICY_LIMITS: &[FieldRule] = &[
    required("try_limit", Expected::Integer(1)),
    required("second_copies", Expected::Boolean),
    optional("cancel", Expected::Boolean),
    optional("probes", Expected::Boolean),
    optional("retry_after", Expected::Boolean),
    optional("max_retry_after", NON_NEGATIVE),
    optional("connect_timeout", Expected::Positive),
    optional("conn_idle", Expected::Positive),
    optional("max_open", Expected::Integer(1)),
];
/// The object `settings.rules`.
pub(super) const RULES: &[FieldRule] = &[
    required("stop_sending_within", NON_NEGATIVE),
    required("cold_from", Expected::Number(0.000_001, 1.0)),
    required("cold", NON_NEGATIVE),
    required("fall_multiple", NON_NEGATIVE),
    required("fall", NON_NEGATIVE),
    required("grace_to_answer", NON_NEGATIVE),
];
/// Additional fields of `settings.rules` on nodes that poll discovery.
pub(super) const POLLING_RULES: &[FieldRule] = &[required("ask_within", Expected::Positive)];
