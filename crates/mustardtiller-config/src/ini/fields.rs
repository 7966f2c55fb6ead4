//! Typed access to the keys of a section.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::Fault;
use crate::Section;

/// Smallest Jaro-Winkler similarity at which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Longest name of an object, in bytes; fault texts state it.
const MAX_NAME_BYTES: usize = 64;

/// Typed reader of one section's keys that collects their faults.
#[derive(Debug)]
pub struct Fields<'a> {
    section: &'a Section,
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Start reading `section`, with faults added to `faults`.
    pub const fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> Self {
        Self {
            section,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Read an optional text.
    pub fn text_opt(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        let entry = self.section.entries.iter().find(|entry| entry.key == key)?;
        Some(entry.value.as_str())
    }

    /// Read a required text; if the key is absent, the fault states `advice`.
    pub fn text(&mut self, key: &'static str, advice: &str) -> Option<&'a str> {
        let text = self.text_opt(key);
        if text.is_none() {
            self.add(self.section.line, format!("`{key}` is missing"), advice);
        }
        text
    }

    /// Read the required name of another object; `what` is that object's kind.
    pub fn name(&mut self, key: &'static str, what: &str) -> Option<String> {
        let text = self.text(key, &format!("give the name of its {what}"))?;
        if is_name(text) {
            return Some(text.to_owned());
        }
        let problem = format!("`{text}` is not a valid name");
        self.add_at(key, problem, "use 1 to 64 letters, digits, `-`, `_` or `.`");
        None
    }

    /// Read a list of words separated by blanks or commas.
    ///
    /// The list is empty if the key is absent.
    pub fn list(&mut self, key: &'static str) -> Vec<String> {
        self.text_opt(key)
            .unwrap_or_default()
            .split([' ', ',', '\t'])
            .filter(|word| !word.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// Read a required number in `range`.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let advice = format!("give a number from {} to {}", range.start(), range.end());
        let text = self.text(key, &advice)?;
        match text.parse() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                self.add_at(key, format!("`{key} = {text}` is out of range"), &advice);
                None
            }
        }
    }

    /// Read a number in `range`, or return `default` if the key is absent.
    pub fn number_or(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        if self.text_opt(key).is_none() {
            return default;
        }
        // `number` adds the key again.
        self.known_keys.pop();
        self.number(key, range).unwrap_or(default)
    }

    /// Read `yes` or `no`, or return `default` if the key is absent.
    pub fn flag_or(&mut self, key: &'static str, default: bool) -> bool {
        self.choice_or(key, default, &[("yes", true), ("no", false)])
    }

    /// Read a word of `choices`, or return `default` if the key is absent.
    pub fn choice_or<T: Copy>(
        &mut self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let Some(text) = self.text_opt(key) else {
            return default;
        };
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == text) {
            return *choice;
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let advice = format!("write one of: {}", words.join(", "));
        self.add_at(key, format!("`{text}` is not a known value"), &advice);
        default
    }

    /// Read a required IP address and port.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let advice = "give an IP address and a port, such as 127.0.0.1:8080";
        let text = self.text(key, advice)?;
        self.parse_address(key, text)
    }

    /// Read an optional IP address and port.
    pub fn address_opt(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.text_opt(key)?;
        self.parse_address(key, text)
    }

    /// Add a fault at the line of `key`, or of the heading if the key is absent.
    pub fn add_at(&mut self, key: &str, problem: impl Into<String>, advice: &str) {
        let line = self.section.line_of(key);
        self.add(line, problem, advice);
    }

    /// Add a fault for each key that was never read, with a suggestion.
    pub fn finish(self) {
        for entry in &self.section.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            let problem = format!("`{}` is not a key of this object", entry.key);
            let advice = suggestion(&entry.key, &self.known_keys);
            self.faults
                .push(self.section.fault(entry.line, problem, advice));
        }
    }

    fn parse_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let advice = "give an IP address and a port, such as 127.0.0.1:8080";
        let address: Option<SocketAddr> = text.parse().ok();
        if address.is_none() {
            self.add_at(key, format!("`{text}` is not an address"), advice);
        }
        address
    }

    fn add(&mut self, line: u32, problem: impl Into<String>, advice: &str) {
        self.faults.push(self.section.fault(line, problem, advice));
    }
}

/// Suggest the most similar word of `known`, or all of them if none is similar.
pub fn suggestion(word: &str, known: &[&str]) -> String {
    let closest = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), *candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((similarity, candidate)) if similarity >= MIN_SIMILARITY => {
            format!("did you mean `{candidate}`?")
        }
        _ => format!("the known ones are: {}", known.join(", ")),
    }
}

/// Report whether `text` is a valid name of an object.
pub fn is_name(text: &str) -> bool {
    let valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    let valid_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    valid_length && text.chars().all(valid_char)
}
