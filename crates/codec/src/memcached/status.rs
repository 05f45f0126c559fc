//! Response statuses and their texts.

/// How a request ended ("Response Status").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Status {
    /// The request has succeeded.
    Ok = 0x0000,
    /// The key does not exist.
    KeyNotFound = 0x0001,
    /// The key has a version (CAS) other than the request requires.
    KeyExists = 0x0002,
    /// The value is too long.
    ValueTooLarge = 0x0003,
    /// The opcode does not allow the extras, key or value of the request.
    InvalidArguments = 0x0004,
    /// The condition for storing the value is not met.
    NotStored = 0x0005,
    /// The value is not a number.
    NotNumeric = 0x0006,
    /// Another server is responsible for the vbucket.
    VbucketElsewhere = 0x0007,
    /// The authentication has failed.
    AuthError = 0x0008,
    /// The authentication requires another step.
    AuthContinue = 0x0009,
    /// The server does not know the opcode.
    UnknownCommand = 0x0081,
    /// The server has too little memory for the request.
    OutOfMemory = 0x0082,
    /// The server does not support the opcode.
    NotSupported = 0x0083,
    /// The server failed to execute the request.
    InternalError = 0x0084,
    /// The server is overloaded; the request has not run.
    Busy = 0x0085,
    /// The server is temporarily unable to serve the request.
    TemporaryFailure = 0x0086,
}

impl Status {
    /// All statuses, in the order of their codes.
    pub const ALL: [Status; 16] = [
        Status::Ok,
        Status::KeyNotFound,
        Status::KeyExists,
        Status::ValueTooLarge,
        Status::InvalidArguments,
        Status::NotStored,
        Status::NotNumeric,
        Status::VbucketElsewhere,
        Status::AuthError,
        Status::AuthContinue,
        Status::UnknownCommand,
        Status::OutOfMemory,
        Status::NotSupported,
        Status::InternalError,
        Status::Busy,
        Status::TemporaryFailure,
    ];

    /// The status with this code; `None` if it is unknown.
    pub fn from_code(code: u16) -> Option<Status> {
        Status::ALL
            .into_iter()
            .find(|status| *status as u16 == code)
    }

    /// The text that memcached sends as the value of a response with this status.
    pub fn text(self) -> &'static str {
        match self {
            Status::Ok => "",
            Status::KeyNotFound => "Not found",
            Status::KeyExists => "Data exists for key.",
            Status::ValueTooLarge => "Too large.",
            Status::InvalidArguments => "Invalid arguments",
            Status::NotStored => "Not stored.",
            Status::NotNumeric => "Non-numeric server-side value for incr or decr",
            Status::VbucketElsewhere => "I'm not responsible for this vbucket",
            Status::AuthError => "Auth failure.",
            Status::AuthContinue => "Auth continue",
            Status::UnknownCommand => "Unknown command",
            Status::OutOfMemory => "Out of memory",
            Status::NotSupported => "Not supported",
            Status::InternalError => "Internal error",
            Status::Busy => "Busy",
            Status::TemporaryFailure => "Temporary failure",
        }
    }
}
