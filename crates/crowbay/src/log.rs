//! Structured logs on standard error.

use settings::{Log, LogFormat, LogLevel};
use tracing::Level;

/// Starts the logs. A second start in one process changes nothing.
pub fn start(log: &Log) {
    let level = match log.level {
        LogLevel::Error => Level::ERROR,
        LogLevel::Warn => Level::WARN,
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
        LogLevel::Trace => Level::TRACE,
    };
    let builder =
        tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    // The only failure is that logs were started before.
    let _ = match log.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
