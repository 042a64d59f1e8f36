//! Operators' procedures on the orders and limits of the fleet.

use dandelion_fleet::orders::FleetLimits;
use dandelion_fleet::orders::OrderRecord;
use dandelion_fleet::orders::OrderStage;
use dandelion_fleet::orders::OrdersTable;
use dandelion_protocol::fleet::OrderBody;
use dandelion_rpc::RpcError;
use dandelion_rpc::generated as rpc;

use crate::core::Handle;
use crate::operator::cell::needs_control;
use crate::operator::lists::price_text;

/// Returns the limits, the open orders and the retained closed ones.
pub fn show(core: &Handle) -> Result<rpc::FleetPlanAnswer, RpcError> {
    let replica = core.control.replica().ok_or_else(needs_control)?;
    let read = replica.read::<OrdersTable, _, _>(|table| rpc::FleetPlanAnswer {
        paused: table.limits().paused,
        bounds: Some(bounds(table.limits())),
        orders: table
            .open_orders()
            .chain(table.closed_orders())
            .map(planned)
            .collect(),
    });
    read.ok_or_else(needs_control)
}

/// Returns the limits in force after applying `change` to them.
pub fn limits<F>(core: &Handle, change: F) -> Result<FleetLimits, RpcError>
where
    F: FnOnce(&mut FleetLimits),
{
    let replica = core.control.replica().ok_or_else(needs_control)?;
    let mut limits = replica
        .read::<OrdersTable, _, _>(|table| table.limits().clone())
        .ok_or_else(needs_control)?;
    change(&mut limits);
    Ok(limits)
}

/// Sets the bounds that the operator names; the others stay.
pub fn set_bounds(limits: &mut FleetLimits, bounds: &rpc::FleetBounds) {
    if let Some(starts) = bounds.starts_minute {
        limits.starts_minute = starts;
    }
}

fn bounds(limits: &FleetLimits) -> rpc::FleetBounds {
    rpc::FleetBounds {
        max_cost: None,
        starts_minute: Some(limits.starts_minute),
    }
}

fn planned(record: &OrderRecord) -> rpc::PlannedOrder {
    let mut order = rpc::PlannedOrder {
        order_id: format!("{:032x}", record.id.0),
        state: stage_text(&record.stage).to_owned(),
        reason: record.reason.clone(),
        ..rpc::PlannedOrder::default()
    };
    match &record.body {
        OrderBody::Start {
            service,
            zone,
            price,
        } => {
            "start".clone_into(&mut order.action);
            order.service = service.to_string();
            order.zone = zone.to_string();
            price_text(*price).clone_into(&mut order.price);
        }
        OrderBody::Stop { upstream } => {
            "stop".clone_into(&mut order.action);
            order.upstream = upstream.to_string();
        }
    }
    order
}

fn stage_text(stage: &OrderStage) -> &'static str {
    match stage {
        OrderStage::Planned => "planned",
        OrderStage::Accepted { .. } => "accepted",
        OrderStage::OutOfStock => "out_of_stock",
        OrderStage::Refused { .. } => "refused",
        OrderStage::Done => "done",
        OrderStage::Abandoned { .. } => "abandoned",
    }
}
