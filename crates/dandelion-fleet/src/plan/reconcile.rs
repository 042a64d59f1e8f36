//! Compares accepted orders with what announced itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::NameError;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::WallMillis;

use crate::orders::table::OrderCommand;
use crate::orders::table::OrderRecord;
use crate::orders::table::OrderStage;

/// How long a started upstream may take to announce itself before it is stopped again.
pub const ANNOUNCE_TIMEOUT_MS: u64 = 10 * 60 * 1000;

/// What reconciliation found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reconciled {
    /// Changes to propose.
    pub commands: Vec<OrderCommand>,
    /// Upstreams that were paid for but never announced themselves; they are to be stopped.
    pub silent: Vec<UpstreamId>,
    /// Announced upstreams that no order started; they are adopted.
    pub orphans: BTreeSet<UpstreamId>,
}

/// Returns the name that the upstream of a start order has to announce itself under.
pub fn upstream_name(order: RequestId) -> Result<UpstreamId, NameError> {
    format!("up-{:032x}", order.0).parse()
}

/// Compares `open` orders with the `announced` upstreams at `now`.
///
/// `known` holds the upstreams of finished orders and those adopted before.
pub fn reconcile(
    now: WallMillis,
    open: &[&OrderRecord],
    announced: &BTreeSet<UpstreamId>,
    known: &BTreeSet<UpstreamId>,
) -> Reconciled {
    let mut found = Reconciled::default();
    let mut expected: BTreeMap<&UpstreamId, RequestId> = BTreeMap::new();
    for record in open {
        let OrderStage::Accepted { upstream } = &record.stage else {
            continue;
        };
        expected.insert(upstream, record.id);
        match &record.body {
            OrderBody::Start { .. } => check_start(now, record, upstream, announced, &mut found),
            OrderBody::Stop { .. } => check_stop(record, upstream, announced, &mut found),
        }
    }
    let is_orphan = |u: &&UpstreamId| !expected.contains_key(u) && !known.contains(*u);
    found.orphans = announced.iter().filter(is_orphan).cloned().collect();
    found
}

fn check_start(
    now: WallMillis,
    record: &OrderRecord,
    upstream: &UpstreamId,
    announced: &BTreeSet<UpstreamId>,
    found: &mut Reconciled,
) {
    if announced.contains(upstream) {
        found.commands.push(OrderCommand::Finish { id: record.id });
        return;
    }
    let waited = now.0.saturating_sub(record.moved_at.0);
    if waited > ANNOUNCE_TIMEOUT_MS {
        let reason = format!("{upstream} never announced itself");
        found.commands.push(OrderCommand::Abandon {
            id: record.id,
            reason,
        });
        found.silent.push(upstream.clone());
    }
}

fn check_stop(
    record: &OrderRecord,
    upstream: &UpstreamId,
    announced: &BTreeSet<UpstreamId>,
    found: &mut Reconciled,
) {
    if !announced.contains(upstream) {
        found.commands.push(OrderCommand::Finish { id: record.id });
    }
}
