//! Prints results as lines of key=value pairs and writes them to a JSON file.

use std::path::Path;

use anyhow::Context;
use serde_json::{Map, Value};

/// Result lines of a run.
#[derive(Default)]
pub struct Report {
    lines: Vec<Map<String, Value>>,
}

impl Report {
    /// Prints a line that begins with `kind`, and stores it for the JSON file.
    pub fn line(&mut self, kind: &str, pairs: &[(&str, Value)]) {
        let mut text = kind.to_owned();
        let mut line = Map::from_iter([("line".to_owned(), Value::from(kind))]);
        for (key, value) in pairs {
            text.push_str(&format!(" {key}={}", format_value(value)));
            line.insert((*key).to_owned(), value.clone());
        }
        println!("{text}");
        self.lines.push(line);
    }

    /// Writes all lines as a JSON array.
    pub fn write_json(&self, file: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(&self.lines)?;
        std::fs::write(file, text).with_context(|| format!("{}: cannot be written", file.display()))
    }
}

/// Formats a value: texts without quotes, floating-point numbers with three decimals.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
