//! Parsing and validation of manifests.

use std::collections::HashSet;

use base::{ArtifactId, Permille, Problem};

use crate::{Manifest, ManifestError, Rollout, ServiceKind, Version, VersionRef};

/// Maximum size in bytes of a value in the configuration service.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

impl Manifest {
    /// Parses and validates a manifest. A single invalid entry rejects the whole document.
    pub fn parse(text: &[u8]) -> Result<Manifest, ManifestError> {
        let error = |problem| ManifestError { problems: vec![problem] };
        if text.len() > MAX_VALUE_BYTES {
            let what = format!("is {} bytes; keep a manifest within 1MB", text.len());
            return Err(error(Problem::new(".", what)));
        }
        let mut manifest = deserialize(text).map_err(error)?;
        let problems = manifest.validate();
        if !problems.is_empty() {
            return Err(ManifestError { problems });
        }
        manifest.sort();
        Ok(manifest)
    }

    /// Returns every problem found in the manifest.
    pub fn validate(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        check_unique_ids(&mut found, "workspaces", self.workspaces.iter().map(|w| w.id.as_str()));
        check_unique_ids(&mut found, "services", self.services.iter().map(|s| s.id.as_str()));
        check_unique_ids(&mut found, "models", self.models.iter().map(|m| m.id.as_str()));
        check_unique_ids(&mut found, "adapters", self.adapters.iter().map(|a| a.id.as_str()));
        check_unique_ids(&mut found, "rollouts", self.rollouts.iter().map(|r| r.id.as_str()));
        self.check_shares(&mut found);
        self.check_versions(&mut found);
        for (i, rollout) in self.rollouts.iter().enumerate() {
            self.check_rollout(&mut found, &format!("rollouts[{i}]"), rollout);
        }
        if self.origin.percent < 100 || self.origin.copies * 100 > self.origin.percent.max(100) {
            let what = "allows less than one copy or fewer than copies; use at least 100";
            found.push(Problem::new("origin.percent", what));
        }
        found
    }

    fn check_shares(&self, found: &mut Vec<Problem>) {
        let sum: u64 = self.workspaces.iter().map(|w| u64::from(w.share.0)).sum();
        if sum > u64::from(Permille::WHOLE.0) {
            let what = format!("shares add up to {}%; lower them to 100%", sum as f64 / 10.0);
            found.push(Problem::new("workspaces", what));
        }
        let mut seen = HashSet::new();
        for (i, workspace) in self.workspaces.iter().enumerate() {
            for (j, key) in workspace.keys.iter().enumerate() {
                if !seen.insert(key) {
                    let what = "is listed twice; give each workspace its own keys";
                    found.push(Problem::new(format!("workspaces[{i}].keys[{j}]"), what));
                }
            }
        }
    }

    fn check_versions(&self, found: &mut Vec<Problem>) {
        for (i, model) in self.models.iter().enumerate() {
            check_artifact(found, &format!("models[{i}]"), &model.versions);
        }
        for (i, adapter) in self.adapters.iter().enumerate() {
            let key = format!("adapters[{i}]");
            check_artifact(found, &key, &adapter.versions);
            if !self.models.iter().any(|m| m.id == adapter.model) {
                let what = format!("model {} does not exist; add it to models", adapter.model);
                found.push(Problem::new(format!("{key}.model"), what));
            }
        }
    }

    fn check_rollout(&self, found: &mut Vec<Problem>, key: &str, rollout: &Rollout) {
        let mut problem = |field: &str, what: String| {
            found.push(Problem::new(format!("{key}.{field}"), what));
        };
        match self.service(&rollout.service).map(|s| s.kind) {
            Some(ServiceKind::Model) => {}
            Some(ServiceKind::Plain) => {
                let what = format!("service {} is plain; name one of kind model", rollout.service);
                problem("service", what);
            }
            None => {
                let what = format!("service {} does not exist; add it", rollout.service);
                problem("service", what);
            }
        }
        if self.workspace(&rollout.workspace).is_none() {
            let what = format!("workspace {} does not exist; add it", rollout.workspace);
            problem("workspace", what);
        }
        if rollout.replicas == 0 {
            problem("replicas", "is 0; remove the rollout or ask for at least 1".into());
        }
        if rollout.floor > rollout.replicas {
            problem("floor", format!("is over replicas; use at most {}", rollout.replicas));
        }
        let models = self.models.iter().map(|m| (&m.id, &m.versions));
        check_ref(found, &format!("{key}.model"), &rollout.model, models);
        if let Some(adapter) = &rollout.adapter {
            let key = format!("{key}.adapter");
            let adapters = self.adapters.iter().map(|a| (&a.id, &a.versions));
            check_ref(found, &key, adapter, adapters);
            let base = self.adapters.iter().find(|a| a.id == adapter.id).map(|a| &a.model);
            if base.is_some_and(|model| *model != rollout.model.id) {
                let what = format!("adapter {} is for another model; name its own", adapter.id);
                found.push(Problem::new(key, what));
            }
        }
    }
}

/// Deserializes JSON with the JSON parser, which is much faster than the YAML parser.
fn deserialize(text: &[u8]) -> Result<Manifest, Problem> {
    if text.first() == Some(&b'{') {
        let mut json = serde_json::Deserializer::from_slice(text);
        return serde_path_to_error::deserialize(&mut json).map_err(parser_problem);
    }
    let yaml = serde_norway::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(yaml).map_err(parser_problem)
}

fn parser_problem<E: std::fmt::Display>(err: serde_path_to_error::Error<E>) -> Problem {
    Problem::from_parser(err.path().to_string(), &err.into_inner().to_string())
}

fn check_unique_ids<'a>(found: &mut Vec<Problem>, list: &str, ids: impl Iterator<Item = &'a str>) {
    let mut seen = HashSet::new();
    for (i, id) in ids.enumerate() {
        if !seen.insert(id) {
            let what = format!("{id} is used twice; give each its own id");
            found.push(Problem::new(format!("{list}[{i}].id"), what));
        }
    }
}

fn check_artifact(found: &mut Vec<Problem>, key: &str, versions: &[Version]) {
    let list = format!("{key}.versions");
    check_unique_ids(found, &list, versions.iter().map(|v| v.id.as_str()));
    for (i, version) in versions.iter().enumerate() {
        if version.size.0 == 0 {
            let what = "is 0; write the bytes of all chunks";
            found.push(Problem::new(format!("{list}[{i}].size"), what));
        }
    }
}

fn check_ref<'a>(
    found: &mut Vec<Problem>,
    key: &str,
    wanted: &VersionRef,
    mut artifacts: impl Iterator<Item = (&'a ArtifactId, &'a Vec<Version>)>,
) {
    let Some((_, versions)) = artifacts.find(|(id, _)| **id == wanted.id) else {
        let what = format!("{} does not exist; add it", wanted.id);
        found.push(Problem::new(format!("{key}.id"), what));
        return;
    };
    if !versions.iter().any(|v| v.id == wanted.version) {
        let what = format!("version {} of {} does not exist; add it", wanted.version, wanted.id);
        found.push(Problem::new(format!("{key}.version"), what));
    }
}
