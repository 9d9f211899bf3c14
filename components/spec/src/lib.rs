//! Small specifications of the core protocol, explored exhaustively.
//!
//! A specification is a world: the real decision cores, cloned from step to step, between a fake
//! network, fake endpoints and a fake platform. `explore` visits every world that can be reached
//! within the budgets of the specification and reports a shortest trace to one that breaks an
//! invariant. A `Fault` of a specification bypasses one check by feeding the cores altered inputs.

pub mod attempt;
mod key;
pub mod orders;
pub mod revision;
mod search;
pub mod turns;

pub use search::{Report, Rules, Step, explore};
