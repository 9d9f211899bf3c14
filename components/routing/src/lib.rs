//! Chooses an endpoint for each attempt.

mod router;

pub use router::{Candidate, Choice, Known, Router, RouterSettings};
