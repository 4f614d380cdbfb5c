//! Runs schedulers for the simulator, on standard input and output.

#![forbid(unsafe_code)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use benchlink::Adapter;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match Adapter::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            output::errln!("crowbay-benchlink: {e}");
            output::finish();
            ExitCode::FAILURE
        }
    }
}
