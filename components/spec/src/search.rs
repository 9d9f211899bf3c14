//! Breadth-first search through all states of a specification.

use std::{
    cell::Cell,
    fmt::{self, Debug},
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use pathfinding::prelude::bfs;

use crate::key::Key;

/// Maximum number of states of one search.
const MAX_STATES: usize = 400_000;

/// A transition to another state.
#[derive(Debug, Clone)]
pub struct Transition<W> {
    /// Description for traces.
    pub label: String,
    /// The state after the transition.
    pub state: W,
}

/// A specification: transitions between states, and invariants.
pub struct Specification<W> {
    /// Name in reports.
    pub name: &'static str,
    /// All transitions from a state.
    pub transitions: fn(&W) -> Vec<Transition<W>>,
    /// The invariant that a state violates, if any.
    pub violation: fn(&W) -> Option<&'static str>,
    /// The current time of a state.
    pub now: fn(&W) -> Instant,
    /// The longest time that the decision code looks back.
    pub horizon: Duration,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Name of the specification.
    pub name: &'static str,
    /// Number of visited states.
    pub states: usize,
    /// Largest distance of a visited state from the start, in transitions.
    pub depth: usize,
    /// The violated invariant and a shortest trace to a state that violates it.
    pub violation: Option<(&'static str, Vec<String>)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { name, states, depth, violation } = self;
        write!(f, "spec={name} states={states} depth={depth}")?;
        let Some((invariant, trace)) = violation else { return write!(f, " broken=none") };
        write!(f, " broken={invariant:?} steps={}", trace.len())?;
        for (i, label) in trace.iter().enumerate() {
            write!(f, "\n  {:>2}. {label}", i + 1)?;
        }
        Ok(())
    }
}

/// A state in the search; nodes are equal if their keys are.
#[derive(Clone)]
struct Node<W> {
    key: Key,
    depth: usize,
    label: String,
    state: W,
}

impl<W> PartialEq for Node<W> {
    fn eq(&self, other: &Node<W>) -> bool {
        self.key == other.key
    }
}

impl<W> Eq for Node<W> {}

impl<W> Hash for Node<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

/// Visits all states that can be reached from `start`, nearest first, until one violates an invariant.
///
/// # Panics
///
/// If there are more than `MAX_STATES` states, as an incomplete search proves nothing.
pub fn explore<W: Clone + Debug>(specification: &Specification<W>, start: W) -> Report {
    let node = |label: String, depth: usize, state: W| Node {
        key: Key::of(&state, (specification.now)(&state), specification.horizon),
        depth,
        label,
        state,
    };
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let successors = |from: &Node<W>| {
        states.set(states.get() + 1);
        assert!(
            states.get() <= MAX_STATES,
            "{}: too many states; lower the limits in its settings",
            specification.name
        );
        depth.set(depth.get().max(from.depth));
        let next = from.depth + 1;
        let transitions = (specification.transitions)(&from.state).into_iter();
        transitions
            .map(|transition| node(transition.label, next, transition.state))
            .collect::<Vec<_>>()
    };
    let first = node("start".to_owned(), 0, start);
    let path = bfs(&first, successors, |node| (specification.violation)(&node.state).is_some());
    let violation = path.and_then(|path| {
        let invariant = (specification.violation)(&path.last()?.state)?;
        Some((invariant, path.into_iter().skip(1).map(|node| node.label).collect()))
    });
    Report { name: specification.name, states: states.get(), depth: depth.get(), violation }
}
