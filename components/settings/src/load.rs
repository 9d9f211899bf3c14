//! Reads and checks a settings file.

use std::path::Path;

use base::Problem;

use crate::{Settings, SettingsError};

/// Shortest accepted peer key, in bytes.
const MIN_KEY_BYTES: usize = 16;

impl Settings {
    /// Reads and checks the settings in `file`.
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
        Settings::parse(&text)
            .map_err(|problems| SettingsError::Invalid { file: file.to_owned(), problems })
    }

    /// Parses and checks settings from YAML text.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let yaml = serde_norway::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(yaml).map_err(|err| {
            vec![Problem::new(err.path().to_string(), err.into_inner().to_string())]
        })?;
        let problems = settings.problems();
        if problems.is_empty() { Ok(settings) } else { Err(problems) }
    }

    fn problems(&self) -> Vec<Problem> {
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
mod tests {
    use super::*;

    const GOOD: &str = "
vm: entry-1
zone: suva-a
region: suva
control: 127.0.0.1:7000
data: 127.0.0.1:7001
peer_key: 0123456789abcdef0123
platform:
  config: ['127.0.0.1:7100']
  vms: ['127.0.0.1:7100']
  store: 127.0.0.1:7200
  origin: 127.0.0.1:7300
entry:
  callers: 127.0.0.1:8080
";

    #[test]
    fn good_settings_load() {
        let settings = Settings::parse(GOOD).unwrap();
        assert_eq!(settings.vm.as_str(), "entry-1");
        assert!(settings.entry.is_some());
    }

    #[test]
    fn problems_name_the_key() {
        let cases = [
            ("callers: 127.0.0.1:8080", "callers: localhost:8080", "entry.callers"),
            ("zone: suva-a", "zone: 'suva a'", "zone"),
            ("peer_key: 0123456789abcdef0123", "peer_key: short", "peer_key"),
            ("config: ['127.0.0.1:7100']", "config: []", "platform.config"),
            ("data: 127.0.0.1:7001", "data: 127.0.0.1:7000", "data"),
            ("region: suva", "region: suva\ncolour: red", "colour"),
        ];
        for (from, to, key) in cases {
            let problems = Settings::parse(&GOOD.replace(from, to)).unwrap_err();
            assert_eq!(problems[0].key, key, "{problems:?}");
        }
    }
}
