//! Regions in which requests may be served.

use std::{collections::BTreeSet, sync::Arc};

use base::Region;

/// The regions in which the requests of a route or a workspace may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes(Option<Arc<BTreeSet<Region>>>);

impl Homes {
    /// All regions, those included that are not known yet.
    pub const ANYWHERE: Homes = Homes(None);

    /// Only these regions; none at all if there are none.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Homes {
        Homes(Some(Arc::new(regions.into_iter().collect())))
    }

    /// The regions that are in both. May be empty.
    pub fn intersection(&self, other: &Homes) -> Homes {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(a), Some(b)) => Homes::only(a.intersection(b).cloned()),
        }
    }

    /// Whether a request may be served in a region. One that is not known is allowed only if all are.
    pub fn allow(&self, region: Option<&Region>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(regions), Some(region)) => regions.contains(region),
        }
    }

    /// Whether requests are bound to some regions.
    pub fn is_bound(&self) -> bool {
        self.0.is_some()
    }

    /// The regions to which requests are bound; none if they are bound to none or to nothing at all.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flat_map(|regions| regions.iter())
    }
}
