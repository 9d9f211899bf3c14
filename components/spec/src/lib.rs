//! Small specifications of the core protocol, explored exhaustively.
//!
//! A specification is a state: the real decision cores, cloned from transition to transition, between a fake
//! network, fake endpoints and a fake platform. `explore` visits every state that can be reached
//! within the budgets of the specification and reports a shortest trace to one that breaks an
//! invariant. A `Fault` of a specification bypasses one check by feeding the cores altered inputs.

pub mod attempt;
mod key;
pub mod orders;
pub mod revision;
mod search;
pub mod turns;

pub use search::{Report, Specification, Transition, explore};
