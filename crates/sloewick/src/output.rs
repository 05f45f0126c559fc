//! Lines on standard output. When its reader is gone, the program exits silently, as a filter in a pipe does.

use std::io::Write;
use std::process::ExitCode;

use crate::exit_code;

/// Prints a line.
pub(crate) fn print_line(text: impl AsRef<str>) {
    let mut stdout = std::io::stdout().lock();
    let written = stdout
        .write_all(text.as_ref().as_bytes())
        .and_then(|()| stdout.write_all(b"\n"));
    if written.and_then(|()| stdout.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Prints why the input cannot be used, on standard error; the exit code that says so.
pub(crate) fn reject_input(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(exit_code::UNUSABLE_INPUT)
}
