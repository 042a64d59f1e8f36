//! The feed client, the current view and, on a control daemon, the replica.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use dandelion_control::FeedClient;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_control::feed::Feeder;
use dandelion_control::tables::ConfigTable;
use dandelion_net::clock;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::control::replica::ReplicaHandle;
use crate::control::view::View;
use crate::settings::Peer;

/// Feed events that can be queued.
const FEED_CAPACITY: usize = 1024;

/// This daemon's copy of the distributed tables, its lease and, on a control daemon, its replica.
#[derive(Debug)]
pub struct Control {
    feed: Mutex<FeedClient>,
    view: ArcSwap<View>,
    replica: Option<ReplicaHandle>,
    events: Sender<FeedEvent>,
    queue: Receiver<FeedEvent>,
}

/// Views before and after a change.
#[derive(Debug)]
pub(super) struct ViewChange {
    pub previous: Arc<View>,
    pub view: Arc<View>,
}

impl Control {
    /// Wraps the feed client and, on a control daemon, the replica.
    pub fn open(feed: FeedClient, replica: Option<ReplicaHandle>) -> Self {
        let (events, queue) = async_channel::bounded(FEED_CAPACITY);
        Self {
            feed: Mutex::new(feed),
            view: ArcSwap::default(),
            replica,
            events,
            queue,
        }
    }

    /// Returns the view of the newest revision that the feed has delivered.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns whether this daemon's lease is valid, so that requests with a key may be served.
    ///
    /// Call this before [`Control::view`]: the view is then at least as new as the lease.
    pub fn is_leased(&self) -> bool {
        self.feed().lease_valid(clock::boot_now())
    }

    /// Returns the time until this daemon's lease ends; zero without one.
    pub fn lease_left(&self) -> Millis {
        self.feed().lease_end().since(clock::boot_now())
    }

    /// Returns the control leader, if this daemon's replica or its feed knows one.
    pub fn leader(&self) -> Option<DaemonId> {
        let own = self.replica.as_ref().and_then(ReplicaHandle::leader);
        own.or_else(|| self.feed().leader_hint().cloned())
    }

    /// Returns the replica of the control group; none unless this is a control daemon.
    pub fn replica(&self) -> Option<&ReplicaHandle> {
        self.replica.as_ref()
    }

    /// Runs `read` on this daemon's copy of the configuration table.
    pub fn read_config<R, F>(&self, read: F) -> Option<R>
    where
        F: FnOnce(&ConfigTable) -> R,
    {
        self.feed().tables().table::<ConfigTable>().map(read)
    }

    /// Makes the control daemons among the members the feeders, in addition to those that the
    /// settings name. Does nothing while no member is a control daemon.
    pub(super) fn update_feeders(&self, view: &View, named: &[Peer]) {
        let members = view.members.iter().filter(|m| m.role == Role::Control);
        let mut feeders: Vec<Feeder> = members
            .map(|m| Feeder {
                daemon: m.id.clone(),
                zone: m.zone.clone(),
            })
            .collect();
        if feeders.is_empty() {
            return;
        }
        let mut feed = self.feed();
        for peer in named {
            if !feeders.iter().any(|f| f.daemon == peer.id) {
                feeders.push(Feeder {
                    daemon: peer.id.clone(),
                    zone: feed.zone().clone(),
                });
            }
        }
        feed.set_feeders(feeders);
    }

    /// Queues an event of the feed. An event that finds the queue full is dropped, like a message
    /// lost on the network.
    pub fn push_feed(&self, event: FeedEvent) {
        let _lost = self.events.try_send(event);
    }

    /// Returns the queue of feed events.
    pub(super) fn feed_queue(&self) -> Receiver<FeedEvent> {
        self.queue.clone()
    }

    fn feed(&self) -> MutexGuard<'_, FeedClient> {
        self.feed.lock().expect("no holder of this lock panics")
    }

    /// Handles an event of the feed. A lease and the tables received with it take effect under one
    /// lock: a reader that finds the lease valid and then loads the view gets one that the lease
    /// covers. Returns the change of the view, if any.
    pub(super) fn step(
        &self,
        event: FeedEvent,
        actions: &mut Vec<FeedAction>,
    ) -> Option<ViewChange> {
        let mut feed = self.feed();
        feed.handle(clock::boot_now(), event, actions);
        let is_applied = |action: &FeedAction| matches!(action, FeedAction::Applied { .. });
        if !actions.iter().any(is_applied) {
            return None;
        }
        let previous = self.view.load_full();
        let view = Arc::new(View::read(feed.tables(), &previous));
        self.view.store(Arc::clone(&view));
        Some(ViewChange { previous, view })
    }

    /// Returns the revision that this daemon has applied; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.view.load().revision
    }
}
