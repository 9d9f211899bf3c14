//! Loading and validation of settings files.

use std::path::Path;

use base::Problem;

use crate::{Settings, SettingsError};

/// Minimum length of a peer key in bytes.
const MIN_KEY_BYTES: usize = 16;

impl Settings {
    /// Reads and validates the settings in `file`.
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
        Settings::parse(&text)
            .map_err(|problems| SettingsError::Invalid { file: file.to_owned(), problems })
    }

    /// Parses and validates settings from YAML text.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let yaml = serde_norway::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(yaml).map_err(|err| {
            vec![Problem::from_parser(err.path().to_string(), &err.into_inner().to_string())]
        })?;
        let problems = settings.validate();
        if problems.is_empty() { Ok(settings) } else { Err(problems) }
    }

    fn validate(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut require = |ok: bool, key: &str, what: &str| {
            if !ok {
                found.push(Problem::new(key, what));
            }
        };
        require(
            self.peer_key.as_bytes().len() >= MIN_KEY_BYTES,
            "peer_key",
            "is shorter than 16 bytes; use a long random text, the same on all VMs",
        );
        require(
            !self.platform.config.is_empty(),
            "platform.config",
            "is empty; list at least one address of the configuration service",
        );
        require(self.control != self.data, "data", "equals control; give each its own port");
        require(
            self.entry.is_some() != self.agent.is_some(),
            "entry",
            "write exactly one of the sections entry and agent",
        );
        if let Some(entry) = &self.entry {
            require(entry.connections > 0, "entry.connections", "is 0; allow at least 1");
            require(entry.body.0 > 0, "entry.body", "is 0; allow at least 1KiB");
        }
        if let Some(agent) = &self.agent {
            require(agent.link.0 > 0, "agent.link", "is 0; write the link's rate, as in 200MB/s");
            require(agent.memory.0 > 0, "agent.memory", "is 0; write a size, as in 128MiB");
        }
        found
    }
}

#[cfg(test)]
mod tests;
