//! Form of what a command prints.

use std::str::FromStr;

use bpaf::{Parser, long};

/// Form of what a command prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
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
    /// Returns the parser of `--format`; text by default.
    pub fn argument() -> impl Parser<Self> {
        long("format").help("text or json").argument::<Self>("FORMAT").fallback(Self::Text)
    }
}
