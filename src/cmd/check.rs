//! `carawaypaddle check`.

use std::path::Path;

use anyhow::{Context, bail};
use manifest::Manifest;
use settings::Settings;

/// Checks a settings file and prints one line if it is valid.
pub fn settings(file: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(file)?;
    let role = if settings.entry.is_some() { "entry" } else { "agent" };
    println!("{}: good settings of {role} {}", file.display(), settings.vm);
    Ok(())
}

/// Checks a manifest and prints one line if it is valid.
pub fn manifest(file: &Path) -> anyhow::Result<()> {
    let manifest = load_manifest(file)?;
    let (revision, rollouts) = (manifest.revision, manifest.rollouts.len());
    println!("{}: good manifest, revision {revision}, {rollouts} rollouts", file.display());
    Ok(())
}

/// Reads a manifest; the error lists every problem on a line of its own.
pub fn load_manifest(file: &Path) -> anyhow::Result<Manifest> {
    let name = file.display();
    let text = std::fs::read(file)
        .with_context(|| format!("{name}: cannot be read; check the path and its permissions"))?;
    match Manifest::parse(&text) {
        Ok(manifest) => Ok(manifest),
        Err(err) => {
            let lines = err.problems.iter().map(|problem| format!("{name}: {problem}"));
            bail!("{}", lines.collect::<Vec<_>>().join("\n"))
        }
    }
}
