//! Handle to the feed and the replica.

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

use crate::control::replica::ReplicaHandle;
use crate::control::view::View;
use crate::settings::Peer;

/// Feed messages that may wait to be handled.
const FEED_QUEUE: usize = 1024;

/// This daemon's copy of the spread tables, its lease and, on a control daemon, its replica.
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
pub(super) struct Renewed {
    pub former: Arc<View>,
    pub view: Arc<View>,
}

impl Control {
    /// Wraps the feed client and, on a control daemon, the replica.
    pub fn open(feed: FeedClient, replica: Option<ReplicaHandle>) -> Self {
        let (events, queue) = async_channel::bounded(FEED_QUEUE);
        Self {
            feed: Mutex::new(feed),
            view: ArcSwap::default(),
            replica,
            events,
            queue,
        }
    }

    /// Returns the spread tables at the revision held now.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns whether keyed routes may be served now. Ask this before loading the view.
    pub fn is_leased(&self) -> bool {
        self.feed().lease_valid(clock::boot_now())
    }

    /// Returns the control leader, as far as it is known.
    pub fn leader(&self) -> Option<DaemonId> {
        let own = self.replica.as_ref().and_then(ReplicaHandle::leader);
        own.or_else(|| self.feed().leader_hint().cloned())
    }

    /// Returns the replica of a control daemon.
    pub fn replica(&self) -> Option<&ReplicaHandle> {
        self.replica.as_ref()
    }

    /// Runs `read` on the spread configuration table.
    pub fn read_config<R, F>(&self, read: F) -> Option<R>
    where
        F: FnOnce(&ConfigTable) -> R,
    {
        self.feed().tables().table::<ConfigTable>().map(read)
    }

    /// Makes the control daemons among the members feeders, beside those that the settings name.
    pub(super) fn meet_feeders(&self, view: &View, named: &[Peer]) {
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

    /// Queues an event of the feed; one that finds the queue full is lost, as on a network.
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

    /// Handles an event of the feed. A lease and the tables that came with it take effect as one:
    /// whoever finds the lease in force and then loads the view gets one that the lease covers.
    pub(super) fn step(&self, event: FeedEvent, actions: &mut Vec<FeedAction>) -> Option<Renewed> {
        let mut feed = self.feed();
        feed.handle(clock::boot_now(), event, actions);
        let is_applied = |action: &FeedAction| matches!(action, FeedAction::Applied { .. });
        if !actions.iter().any(is_applied) {
            return None;
        }
        let former = self.view.load_full();
        let view = Arc::new(View::read(feed.tables(), &former));
        self.view.store(Arc::clone(&view));
        Some(Renewed { former, view })
    }

    /// Returns the revision that this daemon has applied.
    pub fn revision(&self) -> Revision {
        self.view.load().revision
    }
}
