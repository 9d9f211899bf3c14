//! Reloads the settings file when it changes or on SIGHUP.

use std::{path::PathBuf, time::Duration};

use catalog::ProcessSettings;
use slog::{Logger, info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::timeout,
};

/// Time between checks of the file for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A settings file and the content last read from it.
pub struct SettingsFile {
    path: PathBuf,
    last_text: String,
    last_settings: ProcessSettings,
}

impl SettingsFile {
    /// Creates a watcher of the file at `path`, from which `process` was read.
    pub fn new(path: PathBuf, process: ProcessSettings) -> SettingsFile {
        SettingsFile { path, last_text: String::new(), last_settings: process }
    }

    /// Calls `on_change` with every changed version, for as long as the process runs. If the new
    /// settings are invalid or cannot be read, the previous ones stay in force.
    pub async fn watch(mut self, log: Logger, mut on_change: impl FnMut(ProcessSettings)) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            warn!(log, "cannot install the SIGHUP handler");
            return;
        };
        loop {
            let requested = timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
            if let Some(settings) = self.reload(requested, &log) {
                on_change(settings);
            }
        }
    }

    /// Reads the file; returns the settings if they have changed.
    fn reload(&mut self, requested: bool, log: &Logger) -> Option<ProcessSettings> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(err) => {
                warn!(log, "cannot read the settings file"; "error" => %err);
                return None;
            }
        };
        if text == self.last_text && !requested {
            return None;
        }
        let decoded = platform::decode_settings(&text);
        self.last_text = text;
        match decoded {
            Ok(settings) if settings == self.last_settings => None,
            Ok(settings) => {
                info!(log, "reload"; "outcome" => "changed");
                self.last_settings = settings.clone();
                Some(settings)
            }
            Err(err) => {
                warn!(log, "reload"; "outcome" => "kept the old settings", "error" => %err);
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
