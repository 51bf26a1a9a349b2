//! Command-line tool for operators of cornelridge.

use std::env;
use std::io;
use std::process;

fn main() -> process::ExitCode {
    let args = env::args_os().skip(1);
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    process::ExitCode::from(cornelctl::run(args, env::vars_os(), &mut out, &mut err))
}
