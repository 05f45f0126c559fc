//! Exit codes of the program other than 0 (success).

/// A rule was broken, or a fleet did not start.
pub(crate) const RULE_BROKEN: u8 = 1;
/// Invalid options, files or settings.
pub(crate) const UNUSABLE_INPUT: u8 = 2;
/// An interrupt ended the runs and no rule was broken. Shells report this code for a program ended by Ctrl-C.
pub(crate) const INTERRUPTED: u8 = 130;
