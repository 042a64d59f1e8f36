//! Orders of operators to evacuate and to restore availability zones.

use dandelion_control::tables::ZonesCommand;
use dandelion_control::tables::ZonesReply;
use dandelion_control::tables::ZonesTable;
use dandelion_control::tables::zones::Order;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Response;

use crate::core::Handle;
use crate::gateway::answer;
use crate::gateway::control;

/// Delay after which a sender repeats an order that may be a late copy: a repetition confirms it.
const REPEAT_DELAY: Millis = Millis::from_secs(1);

/// Records an order and acknowledges it once it is committed. The leases of the daemons enforce it
/// from then on.
pub async fn order(core: &Handle, zone: &str, evacuate: bool) -> Response {
    let zone = match zone.parse::<ZoneId>() {
        Ok(zone) => zone,
        Err(error) => {
            event!(Event::ZoneOrderRefused, evacuate = evacuate, reason = error);
            return answer::status(400);
        }
    };
    let order = Order::Anonymous;
    let command = if evacuate {
        let zone = zone.clone();
        ZonesCommand::Evacuate { zone, order }
    } else {
        let zone = zone.clone();
        ZonesCommand::Restore { zone, order }
    };
    let reply = match core.propose_own::<ZonesTable>(&command).await {
        Ok(applied) => applied.reply,
        Err(error) => return control::unacknowledged(&error),
    };
    let reason = match reply {
        ZonesReply::Changed | ZonesReply::Unchanged => return answer::status(200),
        ZonesReply::Unconfirmed => "may_be_a_late_copy",
        ZonesReply::Full => "too_many_zones",
    };
    event!(
        Event::ZoneOrderRefused,
        zone = zone,
        evacuate = evacuate,
        reason = reason
    );
    answer::not_run(REPEAT_DELAY)
}
