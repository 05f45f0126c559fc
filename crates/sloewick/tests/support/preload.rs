//! Libraries for `LD_PRELOAD` that change the results of a process's system calls.

use std::path::PathBuf;
use std::process::Command;

/// Compiles `support/NAME.c` to a library for `LD_PRELOAD` and returns its path.
pub(crate) fn preload_library(name: &str) -> PathBuf {
    // Tests run in parallel threads of one process: each thread writes a file of its own.
    let thread = format!("{:?}", std::thread::current().id());
    let thread: String = thread.chars().filter(char::is_ascii_digit).collect();
    let file = format!("{name}-{}-{thread}.so", std::process::id());
    let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
    let source = format!("{}/tests/support/{name}.c", env!("CARGO_MANIFEST_DIR"));
    let built = Command::new("cc")
        .args(["-shared", "-fPIC", "-O2", "-o"])
        .arg(&library)
        .args([source.as_str(), "-ldl"])
        .status();
    assert!(built.unwrap().success());
    library
}

/// Makes the first `times` calls of this kind fail with `errno` in the process.
pub(crate) fn let_calls_fail(command: &mut Command, call: &str, errno: i32, times: usize) {
    command
        .env("LD_PRELOAD", preload_library("failing_calls"))
        .env("FAILING_CALLS", format!("{call}={errno},"))
        .env("FAILING_TIMES", times.to_string());
}

/// Makes this percentage of the calls of this kind fail with `errno` in the process, chosen at random.
pub(crate) fn let_calls_fail_at_random(
    command: &mut Command,
    call: &str,
    errno: i32,
    percent: u32,
) {
    command
        .env("LD_PRELOAD", preload_library("failing_calls"))
        .env("FAILING_CALLS", format!("{call}={errno},"))
        .env("FAILING_PERCENT", percent.to_string());
}
