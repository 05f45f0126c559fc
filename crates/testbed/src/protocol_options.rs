//! Which protocol the emulated clients speak, and the key prefixes that select a request's class.

/// Key prefix of each class, in the order of the site's classes, for clients whose requests are classified by key.
pub const KEY_PREFIXES: [&str; 3] = ["logger", "alarm", "ack"];

/// What clients speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Clients {
    /// RESP2, and what a request is stands in its fields.
    #[default]
    Resp,
    /// RESP2, and what a request is follows from its key, as for the binary protocol.
    RespByKey,
    /// The memcached binary protocol.
    Memcached,
    /// The two before, in turn.
    Both,
}
