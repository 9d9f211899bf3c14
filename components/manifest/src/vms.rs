//! The VM list of the platform.

use std::net::SocketAddr;

use base::{Problem, Region, Revision, VmId, Zone};
use serde::{Deserialize, Serialize};

use crate::ManifestError;

/// The VMs known to the platform. The list lags behind the real state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// Increases with every change.
    pub revision: Revision,
    /// VMs that are in use or about to be removed, in any order.
    pub vms: Vec<Vm>,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub id: VmId,
    /// Its availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// What runs on it.
    pub role: Role,
    /// Whether it is in use or about to be removed.
    pub state: VmState,
    /// Address of its process for JSON-RPC calls.
    pub control: SocketAddr,
    /// Address of its process for chunks and response streams.
    pub data: SocketAddr,
}

/// What runs on a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside a model engine.
    Model,
    /// An agent beside a plain service.
    Plain(base::ServiceId),
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed: receives no new work.
    Leaving,
}

impl VmList {
    /// Parses a list and sorts it by VM id, so that equal lists serialize to the same text and
    /// digest.
    pub fn parse(text: &[u8]) -> Result<VmList, ManifestError> {
        let invalid = |what: String| ManifestError { problems: vec![Problem::new("vms", what)] };
        let mut list: VmList = serde_json::from_slice(text)
            .map_err(|err| invalid(format!("{err}; publish the VM list as JSON")))?;
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        if let Some(pair) = list.vms.windows(2).find(|pair| pair[0].id == pair[1].id) {
            return Err(invalid(format!("{} is listed twice; list each VM once", pair[0].id)));
        }
        Ok(list)
    }

    /// Returns the VM with the id `id`: by binary search in a sorted list, else by a linear scan.
    pub fn get(&self, id: &VmId) -> Option<&Vm> {
        match self.vms.binary_search_by(|vm| vm.id.cmp(id)) {
            Ok(found) => self.vms.get(found),
            Err(_) => self.vms.iter().find(|vm| vm.id == *id),
        }
    }

    /// Returns the live VMs that run a model engine.
    pub fn live_model_vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.state == VmState::Live && vm.role == Role::Model)
    }

    /// Returns the live VMs that run the plain service `id`.
    pub fn live_plain_vms(&self, id: &base::ServiceId) -> impl Iterator<Item = &Vm> {
        self.vms
            .iter()
            .filter(move |vm| vm.state == VmState::Live && vm.role == Role::Plain(id.clone()))
    }
}
