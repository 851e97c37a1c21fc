//! Initialisation of the logger.

use std::env;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Target};
use log::LevelFilter;

use crate::line_writer::LineWriter;

const LEVEL_VARIABLE: &str = "WAGTAILMOOR_LOG";

/// Writes log events to standard error as `time_unix_ms=... level=... event=...`.
///
/// The environment variable `WAGTAILMOOR_LOG` sets the level; the default is `info`. Messages of
/// libraries are not logged, because they are not `key=value` pairs.
pub fn init_logging() {
    init(Target::Stderr);
}

/// Writes the lines of [`init_logging`] to standard output without blocking.
///
/// Lines above the rate limit, and lines that standard output does not accept at once, are dropped
/// and counted by [`dropped_lines`](crate::dropped_lines).
pub fn init_stdout_logging() {
    init(Target::Pipe(Box::new(LineWriter::new())));
}

fn init(target: Target) {
    let level = env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let initialized = Builder::new()
        .filter_level(LevelFilter::Off)
        .filter_module("wagtailmoor", level.unwrap_or(LevelFilter::Info))
        .target(target)
        .format(|out, record| {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(out, "time_unix_ms={} level={level} {}", unix_time.as_millis(), record.args())
        })
        .try_init();
    // The first logger stays in use if a process calls this twice, as tests do.
    drop(initialized);
}
