//! Structured logs on standard error. A log that cannot be written costs lines, never the service.

use settings::{Log, LogFormat, LogLevel};
use tracing_subscriber::EnvFilter;

/// Starts the logs. A second start in one process changes nothing.
pub fn start(log: &Log) {
    let level = match log.level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    // The runtime tells of every descriptor; that is of use to nobody who runs a gateway.
    let filter = EnvFilter::new(format!("{level},may=warn"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(|| output::LogWriter)
        .log_internal_errors(false)
        .with_target(false);
    // The only failure is that logs were started before.
    let _ = match log.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
