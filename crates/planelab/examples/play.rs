//! Plays days: `play PROGRAM OUT SIZE DAY,DAY... [ORDINARY_S [ALL_DOWN_S [SPREAD_S]]]`. Prints the report.

use std::process::ExitCode;
use std::time::Duration;

use planelab::{Day, DayError, DayOptions, play};

fn options() -> Result<DayOptions, DayError> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [program, out, size, days, spans @ ..] = words.as_slice() else {
        let usage = "play PROGRAM OUT SIZE DAY,DAY... [ORDINARY_S [ALL_DOWN_S [SPREAD_S]]]";
        return Err(DayError::Option(usage.to_owned()));
    };
    let mut options = DayOptions::new(program.into(), out.into(), size.parse()?);
    options.days =
        days.split(',').filter(|word| !word.is_empty()).map(str::parse).collect::<Result<Vec<Day>, _>>()?;
    let seconds = |at: usize, usual: Duration| match spans.get(at) {
        Some(word) => {
            word.parse().map(Duration::from_secs).map_err(|e| DayError::Option(format!("{word}: {e}")))
        }
        None => Ok(usual),
    };
    options.ordinary = seconds(0, options.ordinary)?;
    options.all_down = seconds(1, options.all_down)?;
    options.spread = seconds(2, options.spread)?;
    Ok(options)
}

fn main() -> ExitCode {
    match options().and_then(|options| play(&options)) {
        Ok(report) => {
            println!("{}", report.text());
            if report.verdict.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
