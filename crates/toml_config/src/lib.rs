//! Reads hand-written TOML and reports all problems at once, each with its line, its field, the reason and the allowed
//! values. The package performs no I/O.
//!
//! [`read`] parses a text and passes a [`Reader`] with the top-level [`Section`] to a closure, which fetches the
//! values field by field. The reader collects the problems; the result of the closure is returned only if there are
//! none.

use std::ops::RangeInclusive;

use thiserror::Error;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum Damerau-Levenshtein distance between an unknown field and the allowed field that is suggested instead.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// An error in the text.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("line {line}: {field}: {why}")]
pub struct Problem {
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Path of the field, for example `route[1].class`.
    pub field: String,
    /// What is wrong with the field, usually followed by the allowed values.
    pub why: String,
}

/// A table of the text, with its position and path.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    /// Byte offset of the table in the text.
    offset: usize,
    /// Name of the field that holds the table; empty for the top level.
    path: &'a str,
    /// Index of the table in its list, counted from 0; `None` if it is not in a list.
    index: Option<usize>,
    table: &'a DeTable<'a>,
}

/// Reads values and collects problems.
pub struct Reader<'t> {
    text: &'t str,
    problems: Vec<Problem>,
}

/// Parses a text and converts it with `convert`. Returns the converted value only if there are no problems.
///
/// # Errors
/// All problems, in the order of their lines.
pub fn read<T>(
    text: &str,
    convert: impl FnOnce(&mut Reader<'_>, Section<'_>) -> Option<T>,
) -> Result<T, Vec<Problem>> {
    let mut reader = Reader {
        text,
        problems: Vec::new(),
    };
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(e) => {
            let offset = e.span().map_or(0, |span| span.start);
            let why = format!("is not TOML: {}", e.message());
            reader.add_problem(offset, "(file)".to_string(), why);
            return Err(reader.problems);
        }
    };
    let top = Section {
        offset: 0,
        path: "",
        index: None,
        table: table.get_ref(),
    };
    let converted = convert(&mut reader, top);
    let mut problems = reader.problems;
    problems.sort_by_key(|problem| problem.line);
    match converted {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(problems),
    }
}

/// Formats a value for messages.
pub fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.as_str().to_string(),
        DeValue::Float(number) => number.as_str().to_string(),
        DeValue::Boolean(boolean) => boolean.to_string(),
        DeValue::Datetime(_) => "a date".to_string(),
        DeValue::Array(_) => "a list".to_string(),
        DeValue::Table(_) => "a table".to_string(),
    }
}

/// The value of an integer or a finite float; `None` for anything else.
pub fn finite_number(value: &DeValue<'_>) -> Option<f64> {
    let text = match value {
        DeValue::Integer(number) => number.as_str(),
        DeValue::Float(number) => number.as_str(),
        _ => return None,
    };
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

impl<'a> Section<'a> {
    fn find_field(&self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table
            .iter()
            .find(|(key, _)| key.get_ref() == name)
            .map(|(_, value)| value)
    }

    /// Whether the table has a field of this name.
    pub fn has_field(&self, name: &str) -> bool {
        self.find_field(name).is_some()
    }

    /// Path of the field `name` of this table.
    fn field_path(&self, name: &str) -> String {
        match self.index {
            Some(index) => format!("{}[{index}].{name}", self.path),
            None if self.path.is_empty() => name.to_string(),
            None => format!("{}.{name}", self.path),
        }
    }
}

impl Reader<'_> {
    fn add_problem(&mut self, offset: usize, field: String, why: String) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        self.problems.push(Problem { line, field, why });
    }

    /// Reports a problem of a field, at the line of the field or, if it is absent, at the line of its table.
    pub fn report(&mut self, section: Section<'_>, name: &str, why: impl Into<String>) {
        let offset = section
            .find_field(name)
            .map_or(section.offset, |value| value.span().start);
        self.add_problem(offset, section.field_path(name), why.into());
    }

    /// Reports every field of the section that is not in `fields`, and suggests the most similar one that is.
    pub fn reject_unknown_fields(&mut self, section: Section<'_>, fields: &[&str]) {
        for (key, _) in section.table {
            let name: &str = key.get_ref();
            if fields.contains(&name) {
                continue;
            }
            let most_similar = fields
                .iter()
                .map(|field| (strsim::damerau_levenshtein(field, name), field))
                .min();
            let suggestion = most_similar
                .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
                .map_or(String::new(), |(_, field)| format!("; {field}?"));
            let allowed = fields.join(", ");
            let why = format!("is no known field{suggestion}; allowed: {allowed}");
            self.add_problem(key.span().start, section.field_path(name), why);
        }
    }

    /// Converts the value of a field with `convert`, or returns `default` if the field is absent. Reports a problem and
    /// returns `None` if the value cannot be converted, or if the field is absent and there is no default.
    fn read_field<'a, T>(
        &mut self,
        section: Section<'a>,
        name: &str,
        allowed: &str,
        default: Option<T>,
        convert: impl FnOnce(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = section.find_field(name) else {
            if default.is_none() {
                let why = format!("is missing; allowed: {allowed}");
                self.add_problem(section.offset, section.field_path(name), why);
            }
            return default;
        };
        let converted = convert(value.get_ref());
        if converted.is_none() {
            let displayed_value = display_value(value.get_ref());
            let why = format!("is {displayed_value}; allowed: {allowed}");
            self.add_problem(value.span().start, section.field_path(name), why);
        }
        converted
    }

    /// Reads a required, non-empty text. `allowed` describes the allowed texts in messages.
    pub fn text<'a>(&mut self, section: Section<'a>, name: &str, allowed: &str) -> Option<&'a str> {
        self.read_field(section, name, allowed, None, |value| {
            value.as_str().filter(|text| !text.is_empty())
        })
    }

    /// Reads a text and parses it with `parse`, or returns `default` if the field is absent. Without a default the field
    /// is required. `allowed` describes the texts that `parse` accepts.
    pub fn parsed_text<T>(
        &mut self,
        section: Section<'_>,
        name: &str,
        allowed: &str,
        default: Option<T>,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.read_field(section, name, allowed, default, |value| {
            value.as_str().and_then(parse)
        })
    }

    /// Reads an integer within bounds, or returns `default` if the field is absent. Without a default the field is
    /// required.
    pub fn integer(
        &mut self,
        section: Section<'_>,
        name: &str,
        bounds: RangeInclusive<u32>,
        default: Option<u32>,
    ) -> Option<u32> {
        let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        self.read_field(section, name, &allowed, default, |value| {
            let representable = 0.0..=f64::from(u32::MAX);
            finite_number(value)
                .filter(|number| number.fract() == 0.0 && representable.contains(number))
                .map(|number| number as u32)
                .filter(|number| bounds.contains(number))
        })
    }

    /// Reads a list of tables; empty if the field is absent. Items that are not tables are reported and skipped.
    pub fn list<'a>(&mut self, section: Section<'a>, name: &'a str) -> Vec<Section<'a>> {
        let allowed = "a list of tables, each written as [[...]]";
        let items = self.read_field(section, name, allowed, Some(&[][..]), |value| {
            value.as_array().map(|items| &items[..])
        });
        let mut tables = Vec::new();
        for (index, item) in items.unwrap_or_default().iter().enumerate() {
            let offset = item.span().start;
            let Some(table) = item.get_ref().as_table() else {
                let displayed_value = display_value(item.get_ref());
                let why = format!("holds {displayed_value}; allowed: tables");
                self.add_problem(offset, section.field_path(name), why);
                continue;
            };
            tables.push(Section {
                offset,
                path: name,
                index: Some(index),
                table,
            });
        }
        tables
    }

    /// Reads a table; `None` if the field is absent or not a table. A value of another type is reported.
    pub fn section<'a>(&mut self, section: Section<'a>, name: &'a str) -> Option<Section<'a>> {
        let value = section.find_field(name)?;
        let offset = value.span().start;
        let Some(table) = value.get_ref().as_table() else {
            let displayed_value = display_value(value.get_ref());
            let why = format!("is {displayed_value}; allowed: a table");
            self.add_problem(offset, section.field_path(name), why);
            return None;
        };
        Some(Section {
            offset,
            path: name,
            index: None,
            table,
        })
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
