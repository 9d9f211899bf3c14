//! Start-time fair queueing over workspaces, with a bounded lane for each workspace.
//!
//! The lane whose next request has the lowest start tag is served; its tag then grows by the cost
//! of the request divided by the lane's weight. A lane that was empty starts at the virtual time,
//! so a workspace neither accumulates credit while it is idle nor waits longer than one round. All
//! operations take time logarithmic in the number of lanes and requests.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::WorkspaceId;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies a lane.
    struct LaneKey;
    /// Identifies a request.
    struct ItemKey;
}

/// Virtual time: nanoseconds of endpoint time divided by the weight.
type Tag = u64;
/// Minimum weight, so that no lane starves.
const MIN_WEIGHT: f64 = 1e-4;
/// Number of removed requests that a lane may still list before it is compacted.
const MAX_REMOVED_LISTED: usize = 16;

/// A request to be queued.
#[derive(Debug, Clone)]
pub struct QueueRequest<T> {
    /// The queued item.
    pub item: T,
    /// The request's workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: f64,
    /// Maximum number of waiting requests of the workspace.
    pub max_waiting: usize,
    /// Expected time at an endpoint, charged to the workspace.
    pub cost: Duration,
    /// Latest time at which the request can start and still meet its deadline.
    pub start_by: Instant,
}

/// Why a request cannot be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueFull {
    /// The workspace has too many requests waiting.
    Workspace,
    /// The whole queue is full, and this workspace already uses its share of it.
    Total,
}

/// Queue of one service.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Maximum number of waiting requests; a workspace below its share of the queue may exceed it.
    capacity: usize,
    lanes: SlotMap<LaneKey, Lane>,
    lanes_by_workspace: HashMap<WorkspaceId, LaneKey>,
    items: SlotMap<ItemKey, QueuedItem<T>>,
    /// Lanes with waiting requests, by the start tag of their next request.
    active: BTreeSet<(Tag, LaneKey)>,
    /// Waiting requests by the latest time at which they must start.
    start_by: BTreeSet<(Instant, ItemKey)>,
    virtual_time: Tag,
    /// Sum of the weights of the active lanes.
    active_weight: f64,
}

#[derive(Debug)]
struct Lane {
    weight: f64,
    /// Waiting requests in order of arrival; may still list removed ones.
    order: VecDeque<ItemKey>,
    /// Number of waiting requests.
    len: usize,
    /// Start tag of the next request, at least the virtual time at which the lane became active.
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
    /// Creates an empty queue for about `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue<T> {
        FairQueue {
            capacity,
            lanes: SlotMap::with_key(),
            lanes_by_workspace: HashMap::new(),
            items: SlotMap::with_key(),
            active: BTreeSet::new(),
            start_by: BTreeSet::new(),
            virtual_time: 0,
            active_weight: 0.0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of waiting requests of a workspace.
    pub fn waiting(&self, workspace: &WorkspaceId) -> usize {
        self.lanes_by_workspace.get(workspace).map_or(0, |key| self.lanes[*key].len)
    }

    /// Queues a request behind the others of its workspace.
    pub fn push(&mut self, request: QueueRequest<T>) -> Result<(), QueueFull> {
        let key = self.lane(&request.workspace, request.weight);
        let lane = &self.lanes[key];
        if lane.len >= request.max_waiting {
            return Err(QueueFull::Workspace);
        }
        if self.items.len() >= self.capacity {
            let weights = self.active_weight + if lane.len == 0 { lane.weight } else { 0.0 };
            let share = self.capacity as f64 * lane.weight / weights;
            if lane.len as f64 >= share.min(self.capacity as f64 / 2.0) {
                return Err(QueueFull::Total);
            }
        }
        self.insert(key, request, false);
        Ok(())
    }

    /// Queues a request that was served before, ahead of the others of its workspace and at no
    /// cost.
    pub fn push_retry(&mut self, request: QueueRequest<T>) {
        let key = self.lane(&request.workspace, request.weight);
        self.insert(key, QueueRequest { cost: Duration::ZERO, ..request }, true);
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

    fn insert(&mut self, key: LaneKey, request: QueueRequest<T>, at_front: bool) {
        let QueueRequest { item, cost, start_by, .. } = request;
        let id = self.items.insert(QueuedItem { item, lane: key, cost, start_by });
        self.start_by.insert((start_by, id));
        let lane = &mut self.lanes[key];
        if at_front {
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

    /// Removes and returns the request that is served next.
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

    /// Removes and returns a request that can no longer start in time.
    pub fn pop_overdue(&mut self, now: Instant) -> Option<T> {
        let (start_by, id) = *self.start_by.first()?;
        if now < start_by {
            return None;
        }
        self.remove(id)
    }

    /// Removes and returns any request.
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
        } else if lane.order.len() > 2 * lane.len + MAX_REMOVED_LISTED {
            lane.order.retain(|id| self.items.contains_key(*id));
        }
        Some(item.item)
    }

    /// Takes a lane without requests out of the active lanes.
    fn deactivate(&mut self, key: LaneKey) {
        let lane = &mut self.lanes[key];
        lane.order.clear();
        self.active_weight -= lane.weight;
        if self.active.is_empty() {
            self.active_weight = 0.0;
        }
    }

    /// Corrects the cost that a workspace was charged to the endpoint time that the request
    /// actually took.
    pub fn adjust_charge(&mut self, workspace: &WorkspaceId, charged: Duration, took: Duration) {
        let Some(key) = self.lanes_by_workspace.get(workspace).copied() else { return };
        let lane = &mut self.lanes[key];
        let old_tag = lane.tag;
        let up = virtual_cost(took.saturating_sub(charged), lane.weight);
        let down = virtual_cost(charged.saturating_sub(took), lane.weight);
        lane.tag = old_tag.saturating_add(up).saturating_sub(down);
        if lane.len > 0 {
            self.active.remove(&(old_tag, key));
            self.active.insert((lane.tag, key));
        }
    }

    /// Estimated wait of a new request of a workspace if `rate` requests per second start at this
    /// entry.
    pub fn estimate_wait(&self, workspace: &WorkspaceId, weight: f64, rate: f64) -> Duration {
        let weight = weight.max(MIN_WEIGHT);
        let len = self.waiting(workspace);
        let others =
            self.active_weight - if len > 0 { weight.min(self.active_weight) } else { 0.0 };
        let own_rate = rate * weight / (weight + others.max(0.0));
        let by_share = (len + 1) as f64 / own_rate.max(1e-6);
        let by_rate = (self.len() + 1) as f64 / rate.max(1e-6);
        Duration::from_secs_f64(by_share.min(by_rate).min(3600.0))
    }

    /// Drops lanes of removed workspaces that have no request waiting.
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
