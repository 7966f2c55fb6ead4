//! INI text parsed into sections and keys with their line numbers.

use ini_core::Item;
use ini_core::Parser;

use crate::Fault;

/// Largest text that is parsed, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// An INI text and its name.
#[derive(Clone, Debug)]
pub struct Source {
    /// The file name shown in faults.
    pub file: String,
    /// The text.
    pub text: String,
}

impl Source {
    /// Name a text for use in faults.
    #[must_use]
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }
}

/// One key and its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, with surrounding blanks trimmed.
    pub value: String,
    /// The line number, from 1.
    pub line: u32,
}

/// One section, headed `[kind name]` or `[kind]`.
#[derive(Clone, Debug)]
pub struct Section {
    /// The name of the file.
    pub file: String,
    /// The line number of the heading, from 1.
    pub line: u32,
    /// The first word of the heading.
    pub kind: String,
    /// The second word of the heading; may be empty.
    pub name: String,
    /// The keys in file order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Return the heading, such as `upstream katalog-1`.
    #[must_use]
    pub fn heading(&self) -> String {
        format!("{} {}", self.kind, self.name).trim_end().to_owned()
    }

    /// Create a fault at `line` of this section.
    #[must_use]
    pub fn fault(&self, line: u32, problem: impl Into<String>, advice: impl Into<String>) -> Fault {
        Fault {
            file: self.file.clone(),
            line,
            object: self.heading(),
            problem: problem.into(),
            advice: advice.into(),
        }
    }

    /// Return the line number of `key`, or of the heading if the key is absent.
    #[must_use]
    pub fn line_of(&self, key: &str) -> u32 {
        self.entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or(self.line, |entry| entry.line)
    }
}

/// A parsed INI text.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// The sections in file order.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parse a text, and add a fault for each malformed line to `faults`.
    #[must_use]
    pub fn read(source: &Source, faults: &mut Vec<Fault>) -> Self {
        let mut document = Self::default();
        if source.text.len() > MAX_TEXT_BYTES {
            let problem = format!("the file has {} bytes", source.text.len());
            let advice = format!("split it into files of at most {MAX_TEXT_BYTES} bytes");
            faults.push(file_fault(&source.file, 1, &problem, &advice));
            return document;
        }
        let text = without_hash_comments(&source.text);
        let mut line = 0;
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            if !matches!(item, Item::SectionEnd) {
                line = parser.line();
            }
            document.add_item(item, line, source, faults);
        }
        document
    }

    fn add_item(&mut self, item: Item<'_>, line: u32, source: &Source, faults: &mut Vec<Fault>) {
        match item {
            Item::Section(heading) => self.open_section(heading, line, source, faults),
            Item::Property(key, value) => self.add_entry(key, value, line, source, faults),
            Item::Error(text) => {
                let problem = format!("`{text}` is not a section heading");
                faults.push(file_fault(
                    &source.file,
                    line,
                    &problem,
                    "write `[kind name]`",
                ));
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }

    fn open_section(&mut self, heading: &str, line: u32, source: &Source, faults: &mut Vec<Fault>) {
        let mut words = heading.split_whitespace();
        let kind = words.next().unwrap_or_default().to_owned();
        let name = words.next().unwrap_or_default().to_owned();
        let section = Section {
            file: source.file.clone(),
            line,
            kind,
            name,
            entries: Vec::new(),
        };
        if words.next().is_some() {
            let problem = format!("`[{heading}]` has more than two words");
            faults.push(section.fault(line, problem, "write `[kind name]`"));
        }
        self.sections.push(section);
    }

    fn add_entry(
        &mut self,
        key: &str,
        value: Option<&str>,
        line: u32,
        source: &Source,
        faults: &mut Vec<Fault>,
    ) {
        let Some(section) = self.sections.last_mut() else {
            let problem = format!("`{key}` is set before the first section");
            faults.push(file_fault(
                &source.file,
                line,
                &problem,
                "move it below a section heading",
            ));
            return;
        };
        let Some(value) = value else {
            let problem = format!("`{key}` has no value");
            faults.push(section.fault(line, problem, "write `key = value`"));
            return;
        };
        if section.entries.iter().any(|entry| entry.key == key) {
            let problem = format!("`{key}` is set twice");
            faults.push(section.fault(line, problem, "keep one of them"));
            return;
        }
        let (key, value) = (key.to_owned(), value.to_owned());
        section.entries.push(Entry { key, value, line });
    }
}

fn file_fault(file: &str, line: u32, problem: &str, advice: &str) -> Fault {
    Fault {
        file: file.to_owned(),
        line,
        object: String::new(),
        problem: problem.to_owned(),
        advice: advice.to_owned(),
    }
}

/// Replace lines that start with `#` by blank ones, so that line numbers stay.
///
/// Operators expect these lines to be comments; the INI parser only knows `;`.
fn without_hash_comments(text: &str) -> String {
    text.lines()
        .map(|line| {
            if line.trim_start().starts_with('#') {
                ""
            } else {
                line
            }
        })
        .collect::<Vec<_>>()
        .join("\n")
}
