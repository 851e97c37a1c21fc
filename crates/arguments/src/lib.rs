//! What the binaries have in common: command lines, one exit code for wrong usage, the event loop.

mod event_loop;
mod output_format;

use std::process::ExitCode;

use bpaf::{Args, OptionParser};

pub use event_loop::run_event_loop;
pub use output_format::OutputFormat;

/// Exit code of a wrong command line. `bpaf` uses 1, which stands for a failure here.
pub const EXIT_USAGE: u8 = 2;

/// Width of help and error messages in columns.
const MESSAGE_WIDTH: usize = 100;

/// Parses the command line of this process.
///
/// # Errors
///
/// The exit code of the process, when the line is wrong or asks only for help or the version; the
/// message is printed.
pub fn parse<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parse_from(parser, Args::current_args()).map_err(ExitCode::from)
}

/// Parses the given arguments.
///
/// # Errors
///
/// The exit code as a number, as for [`parse`].
pub fn parse_from<T>(parser: OptionParser<T>, arguments: Args<'_>) -> Result<T, u8> {
    parser.run_inner(arguments).map_err(|failure| {
        failure.print_message(MESSAGE_WIDTH);
        match failure.exit_code() {
            0 => 0,
            _ => EXIT_USAGE,
        }
    })
}
