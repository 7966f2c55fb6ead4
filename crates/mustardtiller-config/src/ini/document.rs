//! Sections and keys with their lines.

use ini_core::Item;
use ini_core::Parser;

use crate::Fault;

/// Longest text that is read, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// A named text.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name shown in faults.
    pub file: String,
    /// The text.
    pub text: String,
}

impl Source {
    /// Name a text.
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
    /// The value, trimmed.
    pub value: String,
    /// The line, from 1.
    pub line: u32,
}

/// One section: `[kind name]` or `[kind]`.
#[derive(Clone, Debug)]
pub struct Section {
    /// The file.
    pub file: String,
    /// The line of the heading, from 1.
    pub line: u32,
    /// The first word of the heading.
    pub kind: String,
    /// The rest of the heading; may be empty.
    pub name: String,
    /// The keys in the order of the file.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Return the heading, such as `upstream katalog-1`.
    #[must_use]
    pub fn heading(&self) -> String {
        format!("{} {}", self.kind, self.name).trim_end().to_owned()
    }

    /// Return a fault at `line` of this section.
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

    /// Return the line of `key`, or of the heading if the key is absent.
    #[must_use]
    pub fn line_of(&self, key: &str) -> u32 {
        self.entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or(self.line, |entry| entry.line)
    }
}

/// A text read into sections.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// The sections in the order of the file.
    pub sections: Vec<Section>,
}

impl Document {
    /// Read a text, adding what is malformed to `faults`.
    #[must_use]
    pub fn read(source: &Source, faults: &mut Vec<Fault>) -> Self {
        let mut document = Self::default();
        if source.text.len() > MAX_TEXT_BYTES {
            let problem = format!("the file has {} bytes", source.text.len());
            let advice = format!("split it into files of at most {MAX_TEXT_BYTES} bytes");
            faults.push(bare_fault(&source.file, 1, &problem, &advice));
            return document;
        }
        let text = without_hash_comments(&source.text);
        let mut line = 0;
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            if !matches!(item, Item::SectionEnd) {
                line = parser.line();
            }
            document.take(item, line, source, faults);
        }
        document
    }

    fn take(&mut self, item: Item<'_>, line: u32, source: &Source, faults: &mut Vec<Fault>) {
        match item {
            Item::Section(heading) => self.open_section(heading, line, source, faults),
            Item::Property(key, value) => self.add_entry(key, value, line, source, faults),
            Item::Error(text) => {
                let problem = format!("`{text}` is no heading");
                faults.push(bare_fault(
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
            let problem = format!("`{key}` stands before the first section");
            faults.push(bare_fault(
                &source.file,
                line,
                &problem,
                "put it under a heading",
            ));
            return;
        };
        let Some(value) = value else {
            let problem = format!("`{key}` has no value");
            faults.push(section.fault(line, problem, "write `key = value`"));
            return;
        };
        if section.entries.iter().any(|entry| entry.key == key) {
            let problem = format!("`{key}` is given twice");
            faults.push(section.fault(line, problem, "keep one of them"));
            return;
        }
        let (key, value) = (key.to_owned(), value.to_owned());
        section.entries.push(Entry { key, value, line });
    }
}

fn bare_fault(file: &str, line: u32, problem: &str, advice: &str) -> Fault {
    Fault {
        file: file.to_owned(),
        line,
        object: String::new(),
        problem: problem.to_owned(),
        advice: advice.to_owned(),
    }
}

/// Blank out lines that start with `#`, which operators expect to be comments.
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
