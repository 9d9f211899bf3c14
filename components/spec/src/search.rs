//! Breadth-first search through all worlds of a specification.

use std::{
    cell::Cell,
    fmt::{self, Debug},
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use pathfinding::prelude::bfs;

use crate::key::Key;

/// Most worlds of one search.
const MAX_STATES: usize = 400_000;

/// A step to another world.
#[derive(Debug, Clone)]
pub struct Step<W> {
    /// What happens, for traces.
    pub label: String,
    /// The world after it.
    pub world: W,
}

/// A specification.
pub struct Rules<W> {
    /// Its name.
    pub name: &'static str,
    /// All steps from a world.
    pub steps: fn(&W) -> Vec<Step<W>>,
    /// The invariant that a world breaks, if any.
    pub broken: fn(&W) -> Option<&'static str>,
    /// The time in a world.
    pub now: fn(&W) -> Instant,
    /// The longest time that any core looks back.
    pub horizon: Duration,
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The specification.
    pub name: &'static str,
    /// Worlds that were visited.
    pub states: usize,
    /// Steps to the furthest of them.
    pub depth: usize,
    /// A shortest trace to a world that breaks an invariant, and the invariant.
    pub broken: Option<(&'static str, Vec<String>)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { name, states, depth, broken } = self;
        write!(f, "spec={name} states={states} depth={depth}")?;
        let Some((invariant, trace)) = broken else { return write!(f, " broken=none") };
        write!(f, " broken={invariant:?} steps={}", trace.len())?;
        for (i, label) in trace.iter().enumerate() {
            write!(f, "\n  {:>2}. {label}", i + 1)?;
        }
        Ok(())
    }
}

/// A world in the search; equal to all that have the same key.
#[derive(Clone)]
struct Node<W> {
    key: Key,
    depth: usize,
    label: String,
    world: W,
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

/// Visits all worlds that can be reached from `start`, nearest first, until one breaks an invariant.
///
/// # Panics
///
/// If there are more than `MAX_STATES`, as a search that is cut short proves nothing.
pub fn explore<W: Clone + Debug>(rules: &Rules<W>, start: W) -> Report {
    let node = |label: String, depth: usize, world: W| Node {
        key: Key::of(&world, (rules.now)(&world), rules.horizon),
        depth,
        label,
        world,
    };
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let successors = |from: &Node<W>| {
        states.set(states.get() + 1);
        assert!(states.get() <= MAX_STATES, "{}: too many worlds; lower its budgets", rules.name);
        depth.set(depth.get().max(from.depth));
        let next = from.depth + 1;
        let steps = (rules.steps)(&from.world).into_iter();
        steps.map(|step| node(step.label, next, step.world)).collect::<Vec<_>>()
    };
    let first = node("start".to_owned(), 0, start);
    let path = bfs(&first, successors, |node| (rules.broken)(&node.world).is_some());
    let broken = path.and_then(|path| {
        let invariant = (rules.broken)(&path.last()?.world)?;
        Some((invariant, path.into_iter().skip(1).map(|node| node.label).collect()))
    });
    Report { name: rules.name, states: states.get(), depth: depth.get(), broken }
}
