//! The command line of crowbay, a storage gateway.

#![forbid(unsafe_code)]

mod command;
mod day;
mod log;
mod serve;
mod show;

use std::process::ExitCode;

use clap::Parser;
use command::{Cli, Command};

/// The file, field or argument was wrong.
pub(crate) const USAGE: u8 = 2;

/// How a command ended, for the shell.
pub(crate) type Ended = Result<ExitCode, Failure>;

/// What went wrong, and the exit code that says so.
pub(crate) struct Failure {
    pub(crate) code: u8,
    pub(crate) what: String,
}

impl<E: std::error::Error> From<E> for Failure {
    fn from(e: E) -> Self {
        Failure { code: 1, what: e.to_string() }
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check { file } => show::check(&file),
        Command::Gateway(args) => serve::gateway(&args),
        Command::Node(args) => serve::node(&args),
        Command::Demo(args) => day::demo(&args),
        Command::Badday { file, out } => day::badday(&file, &out),
        Command::Judge { dir } => day::judge(&dir),
        Command::ReplayDay(args) => day::replay(&args),
        Command::Status(args) => show::status(&args),
        Command::Requests { at, most } => show::requests(&at, most),
        Command::Stop(args) => show::stop(&args),
        Command::Bench(args) => day::bench(&args),
    };
    match done {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("crowbay: {}", failure.what);
            ExitCode::from(failure.code)
        }
    }
}
