//! Exit codes of the program, beside 0 for success.

/// A rule was broken, or a fleet did not start.
pub(crate) const RULE_BROKEN: u8 = 1;
/// Options, files or settings that cannot be used.
pub(crate) const UNUSABLE_INPUT: u8 = 2;
/// An interrupt ended the runs and no rule was broken: the code of a shell's Ctrl-C.
pub(crate) const INTERRUPTED: u8 = 130;
