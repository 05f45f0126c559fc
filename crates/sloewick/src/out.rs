//! Lines on standard output. A reader that has gone ends the program, quietly, as it does any filter.

use std::io::Write;

/// Prints a line.
pub fn line(text: impl AsRef<str>) {
    let mut out = std::io::stdout().lock();
    let written = out
        .write_all(text.as_ref().as_bytes())
        .and_then(|()| out.write_all(b"\n"));
    if written.and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}
