//! Log events, each written as one line of key=value pairs.

use std::fmt::{Display, Write};

use log::Level;

/// A log event under construction.
///
/// ```
/// use wagtailmoor_telemetry::Event;
/// let event = Event::new("request").field("status", 200).field("path", "/a b");
/// assert_eq!(event.line(), r#"event=request status=200 path="/a b""#);
/// ```
#[derive(Clone, Debug)]
#[must_use = "an event is written by one of its level methods"]
pub struct Event {
    line: String,
}

impl Event {
    /// Creates an event; `name` is written as it is and must not need quotes.
    pub fn new(name: &str) -> Self {
        Self { line: format!("event={name}") }
    }

    /// Adds a field. Values with spaces, quotes, control characters or `=` are quoted.
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        let text = value.to_string();
        let needs_no_quotes = !text.is_empty()
            && text.chars().all(|c| !c.is_whitespace() && !c.is_control() && !"\"=\\".contains(c));
        let written = match needs_no_quotes {
            true => write!(self.line, " {key}={text}"),
            false => write!(self.line, " {key}={text:?}"),
        };
        written.expect("writing to a string cannot fail");
        self
    }

    /// Adds a field if `value` is `Some`.
    pub fn optional(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(key, value),
            None => self,
        }
    }

    /// Returns the line as it will be written, without time stamp and level.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Writes the event at level info.
    pub fn info(self) {
        log::log!(target: "wagtailmoor", Level::Info, "{}", self.line);
    }

    /// Writes the event at level warn.
    pub fn warn(self) {
        log::log!(target: "wagtailmoor", Level::Warn, "{}", self.line);
    }

    /// Writes the event at level error.
    pub fn error(self) {
        log::log!(target: "wagtailmoor", Level::Error, "{}", self.line);
    }

    /// Writes the event at level debug.
    pub fn debug(self) {
        log::log!(target: "wagtailmoor", Level::Debug, "{}", self.line);
    }
}
