//! Which protocol the emulated clients speak, and the key prefixes that select a request's class.

/// Key prefix of each class, in the order of the site's classes, for clients whose requests are classified by key.
pub const KEY_PREFIXES: [&str; 3] = ["logger", "alarm", "ack"];

/// Protocols of the emulated clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Clients {
    /// RESP2; fields of the request name its class and tenant.
    #[default]
    Resp,
    /// RESP2; class and tenant follow from the key, as for the memcached binary protocol.
    RespByKey,
    /// The memcached binary protocol.
    Memcached,
    /// `RespByKey` and `Memcached`, alternating between requests.
    Both,
}
