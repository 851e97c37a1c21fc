//! Command-line parsing, the exit code of usage errors and the event loop, shared by the binaries.

mod event_loop;
mod output_format;

use std::process::ExitCode;

use bpaf::{Args, OptionParser};

pub use event_loop::run_event_loop;
pub use output_format::OutputFormat;

/// Exit code of usage errors. `bpaf` uses 1, which the binaries use for all other failures.
pub const EXIT_USAGE: u8 = 2;

/// Line width of help and error messages.
const MESSAGE_COLUMNS: usize = 100;

/// Parses the command line of this process.
///
/// # Errors
///
/// Returns the exit code of the process if the command line is invalid, or asks for help or the
/// version; the message has been printed.
pub fn parse<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parse_from(parser, Args::current_args()).map_err(ExitCode::from)
}

/// Parses the given arguments.
///
/// # Errors
///
/// Returns the exit code as a number, in the cases of [`parse`].
pub fn parse_from<T>(parser: OptionParser<T>, arguments: Args<'_>) -> Result<T, u8> {
    parser.run_inner(arguments).map_err(|failure| {
        failure.print_message(MESSAGE_COLUMNS);
        match failure.exit_code() {
            0 => 0,
            _ => EXIT_USAGE,
        }
    })
}
