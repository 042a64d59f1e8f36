//! Emptying of store daemons that operators take away.

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

/// Begins to empty the store daemon of a VM.
pub async fn start(core: &Handle, vm: &str) -> Response {
    let view = core.control.view();
    let Some(store) = store_on(&view, vm) else {
        return answer::status(404);
    };
    let begun = view.retiring.contains(&store.id);
    let left = view.stores().filter(|m| m.id != store.id).count();
    let wanted = core.settings.gateway.voters();
    if !begun && left < wanted {
        event!(Event::RetireRefused, vm = vm, left = left, wanted = wanted);
        return answer::status(409);
    }
    let command = StoresCommand::Retire(store.id.clone());
    match core.propose_own::<StoresTable>(&command).await {
        Ok(_) => {
            event!(Event::RetireBegun, vm = vm, daemon = store.id, left = left);
            answer::json(200, retire::encode_state(false))
        }
        Err(error) => control::unanswered(&error),
    }
}

/// Tells whether the store daemon of a VM is emptied.
pub async fn read(core: &Handle, vm: &str) -> Response {
    let view = core.control.view();
    let store = store_on(&view, vm).filter(|m| view.retiring.contains(&m.id));
    let Some(store) = store else {
        return answer::status(404);
    };
    let call = BatchCall::Emptied(store.id.clone());
    match jobs::ask(core, call, Millis::ZERO).await {
        Outcome::Replied(BatchReply::Done) => {
            event!(Event::RetireDone, vm = vm, daemon = store.id);
            answer::json(200, retire::encode_state(true))
        }
        Outcome::Replied(_) | Outcome::NotTaken | Outcome::Unsure => {
            answer::json(200, retire::encode_state(false))
        }
    }
}
