//! A fair queue over workspaces: start-time fair queueing with bounded lanes.
//!
//! Each workspace has a lane. The lane whose next request has the lowest start tag is served; its
//! tag then grows by the cost of the request over the lane's weight. A lane that was empty starts at
//! the virtual time, so it neither saves up claims nor waits longer than one round. All operations
//! take time logarithmic in the number of lanes and requests.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::WorkspaceId;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a lane.
    struct LaneKey;
    /// Names a request.
    struct ItemKey;
}

/// Virtual time: nanoseconds of endpoint time over weight.
type Tag = u64;
/// Lowest weight, so that no lane stands still.
const MIN_WEIGHT: f64 = 1e-4;
/// Removed requests that a lane may still list.
const MAX_STALE: usize = 16;

/// A request for the queue.
#[derive(Debug, Clone)]
pub struct QueueRequest<T> {
    /// What waits.
    pub item: T,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: f64,
    /// Most requests of the workspace that wait.
    pub max_waiting: usize,
    /// Endpoint time that it is expected to take.
    pub cost: Duration,
    /// When it must start to meet its deadline.
    pub start_by: Instant,
}

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueFull {
    /// The workspace has too many requests waiting.
    Workspace,
    /// All workspaces together have, and this one has its part.
    Total,
}

/// Queue of one service.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Most requests that wait; a workspace below its part may exceed it.
    capacity: usize,
    lanes: SlotMap<LaneKey, Lane>,
    lanes_by_workspace: HashMap<WorkspaceId, LaneKey>,
    items: SlotMap<ItemKey, QueuedItem<T>>,
    /// Lanes with requests, by the start tag of their next one.
    active: BTreeSet<(Tag, LaneKey)>,
    /// Requests by the time at which they must start.
    start_by: BTreeSet<(Instant, ItemKey)>,
    virtual_time: Tag,
    /// Sum of the weights of the active lanes.
    active_weight: f64,
}

#[derive(Debug)]
struct Lane {
    weight: f64,
    /// Waiting requests, first in first out; may list removed ones.
    order: VecDeque<ItemKey>,
    /// Requests that wait.
    len: usize,
    /// Start tag of the next request, at least the virtual time when the lane became active.
    tag: Tag,
}

#[derive(Debug)]
struct QueuedItem<T> {
    item: T,
    lane: LaneKey,
    cost: Duration,
    start_by: Instant,
}

impl<T> FairQueue<T> {
    /// An empty queue for about `bound` requests.
    pub fn new(bound: usize) -> FairQueue<T> {
        FairQueue {
            capacity: bound,
            lanes: SlotMap::with_key(),
            lanes_by_workspace: HashMap::new(),
            items: SlotMap::with_key(),
            active: BTreeSet::new(),
            start_by: BTreeSet::new(),
            virtual_time: 0,
            active_weight: 0.0,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Requests of a workspace that wait.
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.lanes_by_workspace.get(workspace).map_or(0, |key| self.lanes[*key].len)
    }

    /// Lets a request wait behind the others of its workspace.
    pub fn push(&mut self, entrant: QueueRequest<T>) -> Result<(), QueueFull> {
        let key = self.lane(&entrant.workspace, entrant.weight);
        let lane = &self.lanes[key];
        if lane.len >= entrant.max_waiting {
            return Err(QueueFull::Workspace);
        }
        if self.items.len() >= self.capacity {
            let weights = self.active_weight + if lane.len == 0 { lane.weight } else { 0.0 };
            let part = self.capacity as f64 * lane.weight / weights;
            if lane.len as f64 >= part.min(self.capacity as f64 / 2.0) {
                return Err(QueueFull::Total);
            }
        }
        self.insert(key, entrant, false);
        Ok(())
    }

    /// Puts a request that was served before ahead of the others of its workspace, at no cost.
    pub fn push_retry(&mut self, entrant: QueueRequest<T>) {
        let key = self.lane(&entrant.workspace, entrant.weight);
        self.insert(key, QueueRequest { cost: Duration::ZERO, ..entrant }, true);
    }

    fn lane(&mut self, workspace: &WorkspaceId, weight: f64) -> LaneKey {
        let weight = weight.max(MIN_WEIGHT);
        let Some(key) = self.lanes_by_workspace.get(workspace).copied() else {
            let lane = Lane { weight, order: VecDeque::new(), len: 0, tag: self.virtual_time };
            let key = self.lanes.insert(lane);
            self.lanes_by_workspace.insert(workspace.clone(), key);
            return key;
        };
        let lane = &mut self.lanes[key];
        if lane.len > 0 {
            self.active_weight += weight - lane.weight;
        }
        lane.weight = weight;
        key
    }

    fn insert(&mut self, key: LaneKey, entrant: QueueRequest<T>, first: bool) {
        let QueueRequest { item, cost, start_by, .. } = entrant;
        let id = self.items.insert(QueuedItem { item, lane: key, cost, start_by });
        self.start_by.insert((start_by, id));
        let lane = &mut self.lanes[key];
        if first {
            lane.order.push_front(id);
        } else {
            lane.order.push_back(id);
        }
        lane.len += 1;
        if lane.len == 1 {
            lane.tag = lane.tag.max(self.virtual_time);
            self.active.insert((lane.tag, key));
            self.active_weight += lane.weight;
        }
    }

    /// The request that is served next.
    pub fn peek(&mut self) -> Option<&T> {
        let (_, key) = *self.active.first()?;
        let lane = &mut self.lanes[key];
        while lane.order.front().is_some_and(|id| !self.items.contains_key(*id)) {
            lane.order.pop_front();
        }
        let id = lane.order.front()?;
        Some(&self.items[*id].item)
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<T> {
        self.peek()?;
        let (tag, key) = self.active.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let lane = &mut self.lanes[key];
        let id = lane.order.pop_front()?;
        let item = self.items.remove(id)?;
        self.start_by.remove(&(item.start_by, id));
        lane.tag = tag.saturating_add(virtual_cost(item.cost, lane.weight));
        lane.len -= 1;
        if lane.len > 0 {
            self.active.insert((lane.tag, key));
        } else {
            self.deactivate(key);
        }
        Some(item.item)
    }

    /// Takes a request that can no longer start in time.
    pub fn pop_overdue(&mut self, now: Instant) -> Option<T> {
        let (start_by, id) = *self.start_by.first()?;
        if now < start_by {
            return None;
        }
        self.remove(id)
    }

    /// Takes any request.
    pub fn pop_any(&mut self) -> Option<T> {
        let (_, id) = *self.start_by.first()?;
        self.remove(id)
    }

    fn remove(&mut self, id: ItemKey) -> Option<T> {
        let item = self.items.remove(id)?;
        self.start_by.remove(&(item.start_by, id));
        let lane = &mut self.lanes[item.lane];
        lane.len -= 1;
        if lane.len == 0 {
            self.active.remove(&(lane.tag, item.lane));
            self.deactivate(item.lane);
        } else if lane.order.len() > 2 * lane.len + MAX_STALE {
            lane.order.retain(|id| self.items.contains_key(*id));
        }
        Some(item.item)
    }

    /// A lane has no request left.
    fn deactivate(&mut self, key: LaneKey) {
        let lane = &mut self.lanes[key];
        lane.order.clear();
        self.active_weight -= lane.weight;
        if self.active.is_empty() {
            self.active_weight = 0.0;
        }
    }

    /// Corrects what a workspace was charged by the endpoint time that a request really took.
    pub fn adjust_charge(&mut self, workspace: &WorkspaceId, charged: Duration, took: Duration) {
        let Some(key) = self.lanes_by_workspace.get(workspace).copied() else { return };
        let lane = &mut self.lanes[key];
        let old = lane.tag;
        let up = virtual_cost(took.saturating_sub(charged), lane.weight);
        let down = virtual_cost(charged.saturating_sub(took), lane.weight);
        lane.tag = old.saturating_add(up).saturating_sub(down);
        if lane.len > 0 {
            self.active.remove(&(old, key));
            self.active.insert((lane.tag, key));
        }
    }

    /// How long a new request of a workspace would wait if `rate` requests a second start here.
    pub fn estimate_wait(&self, workspace: &WorkspaceId, weight: f64, rate: f64) -> Duration {
        let weight = weight.max(MIN_WEIGHT);
        let len = self.waiting(workspace);
        let others =
            self.active_weight - if len > 0 { weight.min(self.active_weight) } else { 0.0 };
        let own = rate * weight / (weight + others.max(0.0));
        let fair = (len + 1) as f64 / own.max(1e-6);
        let all = (self.len() + 1) as f64 / rate.max(1e-6);
        Duration::from_secs_f64(fair.min(all).min(3600.0))
    }

    /// Drops lanes of workspaces that are gone and have no request waiting.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        let lanes = &mut self.lanes;
        self.lanes_by_workspace.retain(|workspace, key| {
            let kept = keep(workspace) || lanes[*key].len > 0;
            if !kept {
                lanes.remove(*key);
            }
            kept
        });
    }
}

fn virtual_cost(cost: Duration, weight: f64) -> Tag {
    (cost.as_nanos() as f64 / weight) as Tag
}
