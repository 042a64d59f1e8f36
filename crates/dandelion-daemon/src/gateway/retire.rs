//! Retirement of store daemons whose VMs an operator removes.

use dandelion_control::tables::StoresCommand;
use dandelion_control::tables::StoresTable;
use dandelion_platform::retire;
use dandelion_protocol::batch::BatchCall;
use dandelion_protocol::batch::BatchReply;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Response;

use crate::control::View;
use crate::core::Handle;
use crate::gateway::answer;
use crate::gateway::control;
use crate::gateway::jobs;
use crate::gateway::jobs::Outcome;

fn store_on<'a>(view: &'a View, vm: &str) -> Option<&'a Member> {
    let stores = view.members.iter().filter(|m| m.role == Role::Store);
    stores.into_iter().find(|m| m.host == vm)
}

/// Starts to retire the store daemon of a VM.
pub async fn start(core: &Handle, vm: &str) -> Response {
    let view = core.control.view();
    let Some(store) = store_on(&view, vm) else {
        return answer::status(404);
    };
    let is_retiring = view.retiring.contains(&store.id);
    let remaining = view.stores().filter(|m| m.id != store.id).count();
    let required = core.settings.gateway.voters();
    if !is_retiring && remaining < required {
        event!(
            Event::RetireRefused,
            vm = vm,
            left = remaining,
            wanted = required
        );
        return answer::status(409);
    }
    let command = StoresCommand::Retire(store.id.clone());
    match core.propose_own::<StoresTable>(&command).await {
        Ok(_) => {
            event!(
                Event::RetireBegun,
                vm = vm,
                daemon = store.id,
                left = remaining
            );
            answer::json(200, retire::encode_state(false))
        }
        Err(error) => control::unacknowledged(&error),
    }
}

/// Answers whether the store daemon of a VM is retired: it has no replica, and other daemons have
/// all result bodies.
pub async fn read(core: &Handle, vm: &str) -> Response {
    let view = core.control.view();
    let store = store_on(&view, vm).filter(|m| view.retiring.contains(&m.id));
    let Some(store) = store else {
        return answer::status(404);
    };
    let call = BatchCall::Emptied(store.id.clone());
    match jobs::call_leader(core, call, Millis::ZERO).await {
        Outcome::Replied(BatchReply::Done) => {
            event!(Event::RetireDone, vm = vm, daemon = store.id);
            answer::json(200, retire::encode_state(true))
        }
        Outcome::Replied(_) | Outcome::NotAccepted | Outcome::Unsure => {
            answer::json(200, retire::encode_state(false))
        }
    }
}
