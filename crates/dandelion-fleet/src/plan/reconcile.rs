//! Reconciles accepted orders with the upstreams that have announced themselves.

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

/// Time that a started upstream may take to announce itself before it is stopped again.
pub const ANNOUNCE_TIMEOUT_MS: u64 = 10 * 60 * 1000;

/// Result of a reconciliation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reconciled {
    /// Changes of the orders table to propose.
    pub commands: Vec<OrderCommand>,
    /// Upstreams that were started but never announced themselves; stops have to be ordered,
    /// since they are paid for.
    pub silent: Vec<UpstreamId>,
    /// Announced upstreams that no order started; they are adopted.
    pub orphans: BTreeSet<UpstreamId>,
}

/// Returns the name under which the upstream of a start order announces itself.
pub fn upstream_name(order: RequestId) -> Result<UpstreamId, NameError> {
    format!("up-{:032x}", order.0).parse()
}

/// Compares the `open` orders with the `announced` upstreams at `now`.
///
/// `known` has the upstreams of finished orders and those that were adopted before.
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
