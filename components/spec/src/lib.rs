//! Exhaustively explored specifications of the core protocol.
//!
//! The state of a specification consists of the real decision code, cloned at each transition, with a
//! fake network, fake endpoints and a fake platform. `explore` visits every state that can be reached
//! within the limits of the specification's settings and reports a shortest trace to one that violates
//! an invariant. A `Fault` disables one check by passing altered inputs to the decision code.

pub mod attempt;
mod key;
pub mod orders;
pub mod revision;
mod search;
pub mod turns;

pub use search::{Report, Specification, Transition, explore};
