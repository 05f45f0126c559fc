//! Opcodes: the operations of requests, the responses that they suppress, and the allowed lengths of extras, key and
//! value.

use super::Status;

/// The operation of a request ("Command Opcodes"; `Verbosity` to `GatQ` and the SASL opcodes are additions of memcached).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Opcode {
    /// Reads a value.
    Get = 0x00,
    /// Stores a value.
    Set = 0x01,
    /// Stores a value if the key does not exist.
    Add = 0x02,
    /// Stores a value if the key exists.
    Replace = 0x03,
    /// Removes a key.
    Delete = 0x04,
    /// Adds to a numeric value.
    Increment = 0x05,
    /// Subtracts from a numeric value.
    Decrement = 0x06,
    /// Closes the connection.
    Quit = 0x07,
    /// Removes all keys, immediately or at a given time.
    Flush = 0x08,
    /// `Get`, without a response to a miss.
    GetQ = 0x09,
    /// Does nothing; its response follows those of all requests before it.
    Noop = 0x0a,
    /// Requests the version of the server.
    Version = 0x0b,
    /// `Get`, with the key in the response.
    GetK = 0x0c,
    /// `GetK`, without a response to a miss.
    GetKQ = 0x0d,
    /// Appends bytes to a value.
    Append = 0x0e,
    /// Prepends bytes to a value.
    Prepend = 0x0f,
    /// Requests statistics.
    Stat = 0x10,
    /// `Set`, without a response to a success.
    SetQ = 0x11,
    /// `Add`, without a response to a success.
    AddQ = 0x12,
    /// `Replace`, without a response to a success.
    ReplaceQ = 0x13,
    /// `Delete`, without a response to a success.
    DeleteQ = 0x14,
    /// `Increment`, without a response to a success.
    IncrementQ = 0x15,
    /// `Decrement`, without a response to a success.
    DecrementQ = 0x16,
    /// `Quit`, without a response to a success.
    QuitQ = 0x17,
    /// `Flush`, without a response to a success.
    FlushQ = 0x18,
    /// `Append`, without a response to a success.
    AppendQ = 0x19,
    /// `Prepend`, without a response to a success.
    PrependQ = 0x1a,
    /// Sets the server's log level.
    Verbosity = 0x1b,
    /// Sets a key's expiration time.
    Touch = 0x1c,
    /// Reads a value and sets its expiration time.
    Gat = 0x1d,
    /// `Gat`, without a response to a miss.
    GatQ = 0x1e,
    /// Lists the authentication mechanisms.
    SaslList = 0x20,
    /// Starts an authentication.
    SaslAuth = 0x21,
    /// Continues an authentication.
    SaslStep = 0x22,
}

impl Opcode {
    /// All opcodes, in the order of their codes.
    pub const ALL: [Opcode; 34] = [
        Opcode::Get,
        Opcode::Set,
        Opcode::Add,
        Opcode::Replace,
        Opcode::Delete,
        Opcode::Increment,
        Opcode::Decrement,
        Opcode::Quit,
        Opcode::Flush,
        Opcode::GetQ,
        Opcode::Noop,
        Opcode::Version,
        Opcode::GetK,
        Opcode::GetKQ,
        Opcode::Append,
        Opcode::Prepend,
        Opcode::Stat,
        Opcode::SetQ,
        Opcode::AddQ,
        Opcode::ReplaceQ,
        Opcode::DeleteQ,
        Opcode::IncrementQ,
        Opcode::DecrementQ,
        Opcode::QuitQ,
        Opcode::FlushQ,
        Opcode::AppendQ,
        Opcode::PrependQ,
        Opcode::Verbosity,
        Opcode::Touch,
        Opcode::Gat,
        Opcode::GatQ,
        Opcode::SaslList,
        Opcode::SaslAuth,
        Opcode::SaslStep,
    ];

    /// The opcode with this code; `None` if it is unknown.
    pub fn from_code(code: u8) -> Option<Opcode> {
        // A lookup table, so that the time does not depend on the opcode.
        const TABLE: [Option<Opcode>; 64] = {
            let mut table = [None; 64];
            let mut i = 0;
            while i < Opcode::ALL.len() {
                table[Opcode::ALL[i] as usize] = Some(Opcode::ALL[i]);
                i += 1;
            }
            table
        };
        TABLE.get(usize::from(code)).copied().flatten()
    }

    /// The opcode of the same operation that is always answered; the opcode itself if it is not quiet.
    #[must_use]
    pub fn without_quiet(self) -> Opcode {
        match self {
            Opcode::GetQ => Opcode::Get,
            Opcode::GetKQ => Opcode::GetK,
            Opcode::SetQ => Opcode::Set,
            Opcode::AddQ => Opcode::Add,
            Opcode::ReplaceQ => Opcode::Replace,
            Opcode::DeleteQ => Opcode::Delete,
            Opcode::IncrementQ => Opcode::Increment,
            Opcode::DecrementQ => Opcode::Decrement,
            Opcode::QuitQ => Opcode::Quit,
            Opcode::FlushQ => Opcode::Flush,
            Opcode::AppendQ => Opcode::Append,
            Opcode::PrependQ => Opcode::Prepend,
            Opcode::GatQ => Opcode::Gat,
            other => other,
        }
    }

    /// Whether this is one of the quiet opcodes (`GetQ`, `SetQ`, ...), which suppress some responses.
    pub fn is_quiet(self) -> bool {
        self.without_quiet() != self
    }

    /// Whether no response is sent to a request with this opcode and status: quiet reads suppress the response to a miss,
    /// other quiet opcodes the response to a success.
    pub fn suppresses_response(self, status: Status) -> bool {
        match self {
            Opcode::GetQ | Opcode::GetKQ | Opcode::GatQ => status == Status::KeyNotFound,
            _ => self.is_quiet() && status == Status::Ok,
        }
    }

    /// Whether the protocol allows these lengths of extras, key and value, in bytes, for a request with this opcode.
    pub(super) fn allows_lengths(self, extras: usize, key: usize, value: usize) -> bool {
        use LengthRule::{Any, Exactly, NonZero, Zero};
        let (extras_rule, key_rule) = match self.without_quiet() {
            Opcode::Get | Opcode::GetK | Opcode::Delete => (Zero, NonZero),
            Opcode::Set | Opcode::Add | Opcode::Replace => (Exactly(8), NonZero),
            Opcode::Increment | Opcode::Decrement => (Exactly(20), NonZero),
            Opcode::Quit | Opcode::Noop | Opcode::Version | Opcode::SaslList => (Zero, Zero),
            Opcode::Append | Opcode::Prepend | Opcode::SaslAuth | Opcode::SaslStep => {
                (Zero, NonZero)
            }
            Opcode::Stat => (Zero, Any),
            Opcode::Touch | Opcode::Gat => (Exactly(4), NonZero),
            Opcode::Verbosity => (Exactly(4), Zero),
            // The extras of Flush may hold an expiration time.
            _ => (Any, Zero),
        };
        extras_rule.allows(extras) && key_rule.allows(key) && (value == 0 || self.may_have_value())
    }

    fn may_have_value(self) -> bool {
        matches!(
            self.without_quiet(),
            Opcode::Set
                | Opcode::Add
                | Opcode::Replace
                | Opcode::Append
                | Opcode::Prepend
                | Opcode::SaslAuth
                | Opcode::SaslStep
        )
    }
}

/// The allowed lengths of the extras or the key of a request, in bytes.
#[derive(Clone, Copy)]
enum LengthRule {
    Zero,
    NonZero,
    Exactly(usize),
    Any,
}

impl LengthRule {
    fn allows(self, len: usize) -> bool {
        match self {
            LengthRule::Zero => len == 0,
            LengthRule::NonZero => len > 0,
            LengthRule::Exactly(required) => len == required,
            LengthRule::Any => true,
        }
    }
}
