//! The settings file, which may change with a signal or without.

use std::{path::PathBuf, time::Duration};

use catalog::ProcessSettings;
use slog::{Logger, info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::timeout,
};

/// Time between looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// A settings file, and what was last read of it.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    process: ProcessSettings,
}

impl SettingsFile {
    /// A file from which `process` was read.
    pub fn new(path: PathBuf, process: ProcessSettings) -> SettingsFile {
        SettingsFile { path, text: String::new(), process }
    }

    /// Hands every change to `changed`, for as long as the process runs. Settings that cannot be read
    /// leave those before in force.
    pub async fn watch(mut self, log: Logger, mut changed: impl FnMut(ProcessSettings)) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            warn!(log, "SIGHUP cannot be received");
            return;
        };
        loop {
            let asked = timeout(LOOK_EVERY, hangup.recv()).await.is_ok();
            if let Some(process) = self.look(asked, &log) {
                changed(process);
            }
        }
    }

    /// Reads the file; gives the settings if they changed.
    fn look(&mut self, asked: bool, log: &Logger) -> Option<ProcessSettings> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(err) => {
                warn!(log, "settings cannot be read"; "error" => %err);
                return None;
            }
        };
        if text == self.text && !asked {
            return None;
        }
        let decoded = platform::decode_settings(&text);
        self.text = text;
        match decoded {
            Ok(process) if process == self.process => None,
            Ok(process) => {
                info!(log, "reload"; "outcome" => "changed");
                self.process = process.clone();
                Some(process)
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
