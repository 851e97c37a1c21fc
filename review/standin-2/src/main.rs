//! Runs one case of the review in the repository's root:
//! `review-standin-2 CASE with-disruption|without-disruption RECORD`.
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.

mod cut_answers;
mod early_answer;
mod http;
mod json;
mod lost_owners;
mod pipeline;
mod record;
mod site;
mod spoiled_answers;
mod stalled_upload;
mod store;

use std::panic;
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Finding {
    Broken,
    Held,
    /// The case did not show what it needs, such as an answer without the disruption.
    Unusable(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, disruption, path] = &arguments[..] else { return ExitCode::from(2) };
    let trouble = match disruption.as_str() {
        "with-disruption" => true,
        "without-disruption" => false,
        _ => return ExitCode::from(2),
    };
    let record = Record::create(path);
    record.say(&format!("case {case}, trouble {trouble}"));
    let run: fn(Record, bool) -> Finding = match case.as_str() {
        "cut-answers" => cut_answers::run,
        "early-answer" => early_answer::run,
        "lost-owners" => lost_owners::run,
        "spoiled-answers" => spoiled_answers::run,
        "stalled-upload" => stalled_upload::run,
        _ => return ExitCode::from(2),
    };
    let recorded = record.clone();
    match panic::catch_unwind(move || run(recorded, trouble)) {
        Ok(Finding::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Finding::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Finding::Unusable(cause)) => {
            record.say(&format!("could not run: {cause}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("could not run: a stand-in failed");
            ExitCode::from(2)
        }
    }
}
