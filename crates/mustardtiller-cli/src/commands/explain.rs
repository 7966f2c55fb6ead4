//! The `explain` subcommand: joins the log lines of several daemons about one request.

use std::fs;
use std::process::ExitCode;

use serde_json::Value;

use super::EXIT_FAULTS;
use super::EXIT_IO;

/// Fields that are printed separately or not at all.
const NOT_LISTED: &[&str] = &["time", "level", "event", "text", "id", "offers"];

/// One log line about the request.
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

/// Print the log lines about a request and its nested calls, sorted by time.
pub fn explain(id: &str, files: &[String]) -> ExitCode {
    let mut lines = Vec::new();
    for file in files {
        match fs::read_to_string(file) {
            Ok(text) => lines.extend(text.lines().filter_map(|line| parse_line(id, file, line))),
            Err(e) => {
                eprintln!("mustardtiller: {file}: {e}");
                return ExitCode::from(EXIT_IO);
            }
        }
    }
    if lines.is_empty() {
        eprintln!(
            "mustardtiller: no log line mentions request `{id}`; it was answered in time, or its lines were dropped from the log"
        );
        return ExitCode::from(EXIT_FAULTS);
    }
    lines.sort_by(|a, b| a.text("time").cmp(b.text("time")));
    for line in &lines {
        print_line(line);
    }
    ExitCode::SUCCESS
}

/// Parse a line if it is about the request or a call nested in it.
///
/// The id of a nested call is the id of the request, a dot and a suffix.
fn parse_line(id: &str, file: &str, line: &str) -> Option<Line> {
    let object = &line[line.find("{\"time\"")?..];
    let fields: Value = serde_json::from_str(object).ok()?;
    let line_id = fields["id"].as_str()?;
    let suffix = line_id.strip_prefix(id)?;
    (suffix.is_empty() || suffix.starts_with('.')).then(|| Line {
        file: file.to_owned(),
        fields,
    })
}

fn print_line(line: &Line) {
    let (time, event) = (line.text("time"), line.text("event"));
    println!("{time} {event} {} ({})", line.text("text"), line.file);
    println!(
        "    id={}{}",
        line.text("id"),
        format_fields(&line.fields, NOT_LISTED)
    );
    for offer in line.fields["offers"].as_array().into_iter().flatten() {
        println!("    offer:{}", format_fields(offer, &[]));
    }
}

/// Format the fields of an object as ` key=value`, without those in `skipped`.
fn format_fields(object: &Value, skipped: &[&str]) -> String {
    let fields = object.as_object().into_iter().flatten();
    fields
        .filter(|(key, _)| !skipped.contains(&key.as_str()))
        .map(|(key, value)| match value.as_str() {
            Some(text) => format!(" {key}={text}"),
            None => format!(" {key}={value}"),
        })
        .collect()
}
