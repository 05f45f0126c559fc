//! The cases of the review: `cases N FOLDER` runs case N and writes its record into FOLDER.

mod case_cell;
mod case_linger;
mod case_paused;
mod case_shutdown;
mod case_upgrade;
mod common;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = std::path::PathBuf::from(&arguments[2]);
    let record = common::Record::new(&folder);
    let case = match arguments[1].as_str() {
        "cell" => case_cell::run,
        "linger" => case_linger::run,
        "paused" => case_paused::run,
        "shutdown" => case_shutdown::run,
        "upgrade" => case_upgrade::run,
        _ => std::process::exit(common::COULD_NOT_RUN),
    };
    // A stand-in that panics must not count as a broken rule.
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record)));
    let code = outcome.unwrap_or(common::COULD_NOT_RUN);
    record.note(match code {
        common::HELD => "RESULT: the rule held",
        common::BROKEN => "RESULT: the rule was broken",
        _ => "RESULT: the case could not run",
    });
    std::process::exit(code);
}
