//! Exit codes of command lines.

use bpaf::{Args, OptionParser, Parser, long};
use rstest::rstest;
use wagtailmoor_arguments::{EXIT_USAGE, parse_from};

fn parser() -> OptionParser<u32> {
    long("count").argument::<u32>("N").to_options().version("1")
}

// Fails if a script cannot distinguish a usage error from another failure, or from a request for
// help or the version.
#[rstest]
#[case::valid(&["--count", "3"], Ok(3))]
#[case::unknown_option(&["--size", "3"], Err(EXIT_USAGE))]
#[case::invalid_number(&["--count", "many"], Err(EXIT_USAGE))]
#[case::missing_option(&[], Err(EXIT_USAGE))]
#[case::help(&["--help"], Err(0))]
#[case::version(&["--version"], Err(0))]
fn distinguishes_usage_errors_from_help(
    #[case] arguments: &[&str],
    #[case] expected: Result<u32, u8>,
) {
    assert_eq!(parse_from(parser(), Args::from(arguments)), expected);
}
