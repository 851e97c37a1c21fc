//! Output format of commands.

use std::str::FromStr;

use bpaf::{Parser, long};

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON document.
    Json,
}

impl FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

impl OutputFormat {
    /// Returns the parser of `--format`; the default is `text`.
    pub fn argument() -> impl Parser<Self> {
        long("format").help("text or json").argument::<Self>("FORMAT").fallback(Self::Text)
    }
}
