//! The table of the route plan in force.

use std::sync::Arc;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::MAX_COMMAND_BYTES;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::plan::RoutePlan;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// Longest encoded [`ReplacePlan`], in bytes. The image of all distributed tables, which is one message,
/// contains the plan and its document; the other quarter is for the other tables.
pub const MAX_PLAN_BYTES: usize = MAX_COMMAND_BYTES / 4 * 3;

/// The plan with the highest version so far, and the document that it was decoded from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PlanTable {
    plan: Arc<RoutePlan>,
    document: ByteBuf,
}

/// Puts a plan in force if its version is higher than the present one; otherwise changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacePlan {
    /// Decoded plan; its `version` decides.
    pub plan: RoutePlan,
    /// Document that it was decoded from, returned to readers unchanged.
    pub document: ByteBuf,
}

impl PlanTable {
    /// Returns the plan in force; `None` before the first one.
    pub fn plan(&self) -> Option<&Arc<RoutePlan>> {
        (!self.document.is_empty()).then_some(&self.plan)
    }

    /// Returns the document of the plan in force; empty before the first one.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
}

impl Table for PlanTable {
    const NAME: &'static str = "plan";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = ReplacePlan;
    type Reply = u64;

    fn apply(&mut self, _: &ApplyContext<'_>, command: ReplacePlan) -> Result<u64, Rejection> {
        let newer = command.plan.version > self.plan.version || self.document.is_empty();
        if newer {
            self.plan = Arc::new(command.plan);
            self.document = command.document;
        }
        Ok(self.plan.version)
    }
}

#[distributed_slice(TABLES)]
static PLAN: TableEntry = TableEntry::of::<PlanTable>();
