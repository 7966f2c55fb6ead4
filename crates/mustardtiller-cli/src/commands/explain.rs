//! The subcommand that joins the log lines of several daemons about one request.

use std::fs;
use std::process::ExitCode;

use serde_json::Value;

use super::EXIT_FAULTS;
use super::EXIT_FILES;

/// Fields that every line has, which the account shows apart or not at all.
const COMMON: &[&str] = &["time", "level", "event", "text", "id", "offers"];

/// One line about the request.
#[derive(Debug)]
struct Line {
    file: String,
    fields: Value,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.fields[key].as_str().unwrap_or_default()
    }
}

/// Print what daemons logged of a request and of the calls made for it, in order of time.
pub fn explain(id: &str, files: &[String]) -> ExitCode {
    let mut lines = Vec::new();
    for file in files {
        match fs::read_to_string(file) {
            Ok(text) => lines.extend(text.lines().filter_map(|line| about(id, file, line))),
            Err(e) => {
                eprintln!("mustardtiller: {file}: {e}");
                return ExitCode::from(EXIT_FILES);
            }
        }
    }
    if lines.is_empty() {
        eprintln!("mustardtiller: no line tells of `{id}`; it was answered in time, or left out");
        return ExitCode::from(EXIT_FAULTS);
    }
    lines.sort_by(|a, b| a.text("time").cmp(b.text("time")));
    for line in &lines {
        print_line(line);
    }
    ExitCode::SUCCESS
}

/// Read a line if it tells of the request or of a call made for it.
///
/// The identity of such a call begins with that of the request.
fn about(id: &str, file: &str, line: &str) -> Option<Line> {
    let object = &line[line.find("{\"time\"")?..];
    let fields: Value = serde_json::from_str(object).ok()?;
    let told = fields["id"].as_str()?;
    let rest = told.strip_prefix(id)?;
    (rest.is_empty() || rest.starts_with('.')).then(|| Line {
        file: file.to_owned(),
        fields,
    })
}

fn print_line(line: &Line) {
    let (time, event) = (line.text("time"), line.text("event"));
    println!("{time} {event} {} ({})", line.text("text"), line.file);
    println!("    id={}{}", line.text("id"), words(&line.fields, COMMON));
    for offer in line.fields["offers"].as_array().into_iter().flatten() {
        println!("    offer:{}", words(offer, &[]));
    }
}

/// Write the fields of an object as ` key=value` words.
fn words(object: &Value, left_out: &[&str]) -> String {
    let fields = object.as_object().into_iter().flatten();
    fields
        .filter(|(key, _)| !left_out.contains(&key.as_str()))
        .map(|(key, value)| match value.as_str() {
            Some(text) => format!(" {key}={text}"),
            None => format!(" {key}={value}"),
        })
        .collect()
}
