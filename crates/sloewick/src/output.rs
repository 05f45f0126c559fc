//! Output of the subcommands. If the reader of standard output has closed it, the program exits silently with code 0,
//! as a filter in a shell pipeline does.

use std::io::Write;
use std::process::ExitCode;

use crate::exit_code;

/// Prints a line to standard output.
pub(crate) fn print_line(text: impl AsRef<str>) {
    let mut stdout = std::io::stdout().lock();
    let written = stdout
        .write_all(text.as_ref().as_bytes())
        .and_then(|()| stdout.write_all(b"\n"));
    if written.and_then(|()| stdout.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Prints the error to standard error and returns the exit code for unusable input.
pub(crate) fn reject_input(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(exit_code::UNUSABLE_INPUT)
}
