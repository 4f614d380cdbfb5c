//! The command line of crowbay, a storage gateway.

#![forbid(unsafe_code)]

mod arguments;
mod command;
mod control_plane;
mod day;
mod fuzz;
mod hostile;
mod load;
mod log;
mod operate;
mod platform;
mod serve;
mod setup;
mod show;

use std::process::ExitCode;

use clap::Parser;
use command::{Cli, Command};
use steering::Change;

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
    panics::install_hook();
    let done = match Cli::parse().command {
        Command::Check { file } => show::check(&file),
        Command::Gateway(args) => serve::gateway(&args),
        Command::Platform => platform::run(),
        Command::Node(args) => serve::node(&args),
        Command::Relay { file, with_parent } => serve::relay(&file, with_parent),
        Command::Fuzz(args) => fuzz::fuzz(&args),
        Command::Hostile(args) => hostile::hostile(&args),
        Command::Demo(args) => day::demo(&args),
        Command::Badday(args) => day::badday_of(&args),
        Command::Soak(args) => day::soak(&args),
        Command::Load(args) => load::load(&args),
        Command::Judge { dir } => day::judge(&dir),
        Command::ReplayDay(args) => day::replay(&args),
        Command::Appliance(args) => serve::appliance(&args),
        Command::Console(args) => operate::console(&args),
        Command::Status(at) => show::status(&at),
        Command::Nodes(at) => operate::nodes(&at),
        Command::Volumes(at) => operate::volumes(&at),
        Command::Requests { at, most } => show::requests(&at, most),
        Command::Why { request, at } => operate::why(&request, &at),
        Command::Drain(args) => operate::named(Change::Drain, &args),
        Command::Undrain(args) => operate::named(Change::Undrain, &args),
        Command::Hold(args) => operate::named(Change::Hold, &args),
        Command::Release(args) => operate::named(Change::Release, &args),
        Command::Pause(at) => operate::intent(Change::Pause, &at, true),
        Command::Resume(at) => operate::intent(Change::Resume, &at, true),
        Command::Note { text, at } => operate::intent(Change::Note(text), &at, true),
        Command::Log { at, most } => operate::log(&at, most),
        Command::Revive(at) => operate::revive(&at),
        Command::Recovery(args) => show::recovery(&args.verb),
        Command::Control(args) => control_plane::run(&args.verb),
        Command::Stop(at) => show::stop(&at),
        Command::Init(args) => setup::init(&args),
        Command::Doctor { config, state } => setup::doctor(&config, &state),
        Command::Completions { shell } => setup::completions(shell),
        Command::Man { dir } => setup::man(&dir),
        Command::Bench(args) => day::bench(&args),
    };
    let code = done.and_then(|code| printed().map(|()| code)).unwrap_or_else(|failure| {
        output::errln!("crowbay: {}", failure.what);
        ExitCode::from(failure.code)
    });
    output::finish();
    code
}

/// Fails if the command's result could not be printed, unless its reader has closed the pipe.
fn printed() -> Result<(), Failure> {
    output::command_output_result()
        .map_err(|error| Failure { code: 1, what: format!("standard output: {error}") })
}
