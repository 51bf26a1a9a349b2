//! Command-line tool for operators of cornelridge; [`run`] is the entry point.
//!
//! ```
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let code = cornelctl::run(["--version".into()], [], &mut out, &mut err);
//! assert_eq!(code, 0);
//! assert!(String::from_utf8_lossy(&out).starts_with("cornelctl "));
//! ```

use std::ffi::OsString;
use std::io::Write;

mod check;
mod client;
mod command;
mod execute;
mod failure;
mod table;

/// The command succeeded.
pub const EXIT_OK: u8 = 0;
/// The command failed and changed nothing.
pub const EXIT_FAILURE: u8 = 1;
/// The command line or the environment is invalid; no change was requested.
pub const EXIT_USAGE: u8 = 2;
/// Another change came first; nothing changed.
pub const EXIT_CONFLICT: u8 = 3;
/// Whether the change is in force is unknown.
pub const EXIT_UNKNOWN: u8 = 4;
/// The checked configuration has warnings, but no errors.
pub const EXIT_WARNINGS: u8 = 5;
/// The checked configuration has errors.
pub const EXIT_ERRORS: u8 = 6;

/// Runs the command with `args`, without the program's name, and returns the exit code.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    environment: impl IntoIterator<Item = (OsString, OsString)>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let request = match command::parse(args, environment) {
        Ok(command::ParsedArgs::Run(request)) => request,
        Ok(command::ParsedArgs::Check(request)) => return check(&request, out, err),
        Ok(command::ParsedArgs::Print(text)) => return print(out, &text),
        Err(failure) => return failure.report(command::OutputFormat::Table, err),
    };
    match smol::block_on(execute::execute(&request)) {
        Ok(text) => print(out, &text),
        Err(failure) => failure.report(request.output, err),
    }
}

fn check(request: &command::CheckRequest, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    match smol::block_on(check::check(request)) {
        Ok(output) => match print(out, &output.text) {
            EXIT_OK => output.code,
            code => code,
        },
        Err(failure) => failure.report(request.output, err),
    }
}

fn print(out: &mut dyn Write, text: &str) -> u8 {
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => EXIT_OK,
        Err(_) => EXIT_FAILURE,
    }
}
