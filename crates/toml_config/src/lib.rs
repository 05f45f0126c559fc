//! Reads TOML that people write. It does not stop at the first mistake: each is told with its line, its field, what
//! is wrong and what is allowed.

use std::fmt;
use std::ops::RangeInclusive;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A mistake.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Counted from 1.
    pub line: usize,
    /// Its path, like `route[1].class`.
    pub field: String,
    pub why: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.why)
    }
}

/// A table of the text.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    at: usize,
    path: &'a str,
    number: Option<usize>,
    table: &'a DeTable<'a>,
}

/// Reads values and collects mistakes.
pub struct Reader<'t> {
    text: &'t str,
    problems: Vec<Problem>,
}

/// Reads a text by `take`; its value counts only if nothing was wrong.
///
/// # Errors
/// All mistakes, in the order of their lines.
pub fn read<T>(
    text: &str,
    take: impl FnOnce(&mut Reader, Section) -> Option<T>,
) -> Result<T, Vec<Problem>> {
    let mut reader = Reader {
        text,
        problems: Vec::new(),
    };
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(e) => {
            let at = e.span().map_or(0, |span| span.start);
            reader.say(
                at,
                "(file)".to_string(),
                format!("is not TOML: {}", e.message()),
            );
            return Err(reader.problems);
        }
    };
    let top = Section {
        at: 0,
        path: "",
        number: None,
        table: table.get_ref(),
    };
    let made = take(&mut reader, top);
    let mut problems = reader.problems;
    problems.sort_by_key(|p| p.line);
    match made {
        Some(made) if problems.is_empty() => Ok(made),
        _ => Err(problems),
    }
}

/// A value as a message shows it.
pub fn shown(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(n) => n.as_str().to_string(),
        DeValue::Float(n) => n.as_str().to_string(),
        DeValue::Boolean(b) => b.to_string(),
        DeValue::Datetime(_) => "a date".to_string(),
        DeValue::Array(_) => "a list".to_string(),
        DeValue::Table(_) => "a table".to_string(),
    }
}

/// A number, whole or not.
pub fn number(value: &DeValue) -> Option<f64> {
    let text = match value {
        DeValue::Integer(n) => n.as_str(),
        DeValue::Float(n) => n.as_str(),
        _ => return None,
    };
    text.parse().ok().filter(|n: &f64| n.is_finite())
}

impl<'a> Section<'a> {
    fn find(&self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table
            .iter()
            .find(|(key, _)| key.get_ref() == name)
            .map(|(_, value)| value)
    }

    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_some()
    }

    fn path(&self, name: &str) -> String {
        match self.number {
            Some(n) => format!("{}[{n}].{name}", self.path),
            None if self.path.is_empty() => name.to_string(),
            None => format!("{}.{name}", self.path),
        }
    }
}

impl Reader<'_> {
    fn say(&mut self, at: usize, field: String, why: String) {
        let line = self.text[..at.min(self.text.len())].matches('\n').count() + 1;
        self.problems.push(Problem { line, field, why });
    }

    /// Tells of a mistake in a field that is there, or in its table.
    pub fn wrong(&mut self, section: Section, name: &str, why: impl Into<String>) {
        let at = section
            .find(name)
            .map_or(section.at, |value| value.span().start);
        self.say(at, section.path(name), why.into());
    }

    /// Tells of every field that is none of these.
    pub fn only(&mut self, section: Section, fields: &[&str]) {
        for (key, _) in section.table.iter() {
            let name: &str = key.get_ref();
            if fields.contains(&name) {
                continue;
            }
            let near = fields
                .iter()
                .map(|f| (strsim::damerau_levenshtein(f, name), f))
                .min();
            let near = near
                .filter(|(far, _)| *far <= 3)
                .map_or(String::new(), |(_, f)| format!("; {f}?"));
            let why = format!("is no known field{near}; allowed: {}", fields.join(", "));
            self.say(key.span().start, section.path(name), why);
        }
    }

    /// What `take` makes of a field's value; none, and a mistake unless the field is absent and `usual` is there.
    fn take<'a, T>(
        &mut self,
        section: Section<'a>,
        name: &str,
        allowed: &str,
        usual: Option<T>,
        take: impl FnOnce(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = section.find(name) else {
            if usual.is_none() {
                self.say(
                    section.at,
                    section.path(name),
                    format!("is missing; allowed: {allowed}"),
                );
            }
            return usual;
        };
        let taken = take(value.get_ref());
        if taken.is_none() {
            let why = format!("is {}; allowed: {allowed}", shown(value.get_ref()));
            self.say(value.span().start, section.path(name), why);
        }
        taken
    }

    /// A text that has to be there.
    pub fn text<'a>(&mut self, section: Section<'a>, name: &str, allowed: &str) -> Option<&'a str> {
        self.take(section, name, allowed, None, |v| {
            v.as_str().filter(|text| !text.is_empty())
        })
    }

    /// What a text means, or `usual` where it is absent.
    pub fn meaning<T>(
        &mut self,
        section: Section,
        name: &str,
        allowed: &str,
        usual: Option<T>,
        mean: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.take(section, name, allowed, usual, |v| v.as_str().and_then(mean))
    }

    /// A whole number within bounds, or `usual` where it is absent.
    pub fn whole(
        &mut self,
        section: Section,
        name: &str,
        bounds: RangeInclusive<u32>,
        usual: Option<u32>,
    ) -> Option<u32> {
        let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        self.take(section, name, &allowed, usual, |v| {
            let n = number(v)
                .filter(|n| n.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(n))?;
            Some(n as u32).filter(|n| bounds.contains(n))
        })
    }

    /// The tables of a list, none where it is absent.
    pub fn list<'a>(&mut self, section: Section<'a>, name: &'a str) -> Vec<Section<'a>> {
        let items = self.take(section, name, "tables, as by [[...]]", Some(&[][..]), |v| {
            v.as_array().map(|items| &items[..])
        });
        let mut tables = Vec::new();
        for (n, item) in items.unwrap_or_default().iter().enumerate() {
            let at = item.span().start;
            match item.get_ref().as_table() {
                Some(table) => tables.push(Section {
                    at,
                    path: name,
                    number: Some(n),
                    table,
                }),
                None => self.say(
                    at,
                    section.path(name),
                    format!("holds {}; allowed: tables", shown(item.get_ref())),
                ),
            }
        }
        tables
    }

    /// A table, none where it is absent.
    pub fn section<'a>(&mut self, section: Section<'a>, name: &'a str) -> Option<Section<'a>> {
        let value = section.find(name)?;
        let at = value.span().start;
        let table = value.get_ref().as_table();
        if table.is_none() {
            self.say(
                at,
                section.path(name),
                format!("is {}; allowed: a table", shown(value.get_ref())),
            );
        }
        table.map(|table| Section {
            at,
            path: name,
            number: None,
            table,
        })
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
