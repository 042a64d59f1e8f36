//! Sends recorded orders on the control leader, each until it is answered.

use std::collections::BTreeMap;

use dandelion_kernel::Machine;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

use crate::orders::table::OrderCommand;
use crate::orders::table::OrderOutcome;

/// How long one sending may take; the lease margin of the issuer must exceed it.
pub const SEND_TIMEOUT: Millis = Millis(800);

/// First delay before an unanswered order is sent again; doubles up to [`MAX_RESEND`].
pub const MIN_RESEND: Millis = Millis(250);

/// Longest delay between two sendings of an order.
pub const MAX_RESEND: Millis = Millis::from_secs(10);

/// How long a recorded answer may stay unapplied before it is proposed again.
pub const PROPOSAL_TIMEOUT: Millis = Millis::from_secs(3);

/// A recorded order that awaits the platform's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTask {
    /// Identity.
    pub id: RequestId,
    /// What to ask for.
    pub body: OrderBody,
    /// For a stop: whether the drain is acknowledged everywhere and nothing is in flight.
    pub ready: bool,
}

/// Input of the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerEvent {
    /// Time passed; carries the planned orders of the replicated table.
    Tick {
        /// Term under which this daemon is in charge, if it is.
        charge: Option<Term>,
        /// Orders in stage `Planned`.
        planned: Vec<OrderTask>,
    },
    /// A sending ended.
    Answered {
        /// Order.
        id: RequestId,
        /// Term under which it was sent.
        term: Term,
        /// Answer, or none if it was lost.
        outcome: Option<OrderOutcome>,
    },
}

/// Output of the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Send the order; the lease must be checked with margin directly before the write.
    Send(Order),
    /// Record the platform's answer.
    Propose(OrderCommand),
}

#[derive(Debug, Default)]
struct Sending {
    failures: u32,
    until: Millis,
    answer: Option<OrderOutcome>,
}

/// Issues orders while in charge, and forgets all of its sendings when the term changes.
#[derive(Debug, Default)]
pub struct OrderIssuer {
    term: Option<Term>,
    sendings: BTreeMap<RequestId, Sending>,
}

impl OrderIssuer {
    /// Opens an issuer that is not in charge yet.
    pub fn open() -> Self {
        Self::default()
    }

    fn enter(&mut self, charge: Option<Term>) {
        if self.term != charge {
            self.term = charge;
            self.sendings.clear();
        }
    }

    fn tick(&mut self, now: Millis, planned: &[OrderTask], actions: &mut Vec<IssuerAction>) {
        let Some(term) = self.term else { return };
        let open = |id: &RequestId| planned.iter().any(|t| t.id == *id);
        self.sendings.retain(|id, _| open(id));
        for task in planned.iter().filter(|t| t.ready) {
            self.attend(now, term, task, actions);
        }
    }

    fn attend(
        &mut self,
        now: Millis,
        term: Term,
        task: &OrderTask,
        actions: &mut Vec<IssuerAction>,
    ) {
        let sending = self.sendings.entry(task.id).or_default();
        if now < sending.until {
            return;
        }
        if let Some(outcome) = &sending.answer {
            sending.until = now + PROPOSAL_TIMEOUT;
            let outcome = outcome.clone();
            let id = task.id;
            actions.push(IssuerAction::Propose(OrderCommand::Answer { id, outcome }));
            return;
        }
        sending.until = now + SEND_TIMEOUT + SEND_TIMEOUT;
        actions.push(IssuerAction::Send(Order {
            id: task.id,
            term,
            body: task.body.clone(),
        }));
    }

    fn answered(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: Option<OrderOutcome>,
        actions: &mut Vec<IssuerAction>,
    ) {
        let Some(sending) = self.sendings.get_mut(&id) else {
            return;
        };
        let Some(outcome) = outcome else {
            sending.failures += 1;
            sending.until = now + resend_delay(sending.failures);
            return;
        };
        sending.answer = Some(outcome.clone());
        sending.until = now + PROPOSAL_TIMEOUT;
        actions.push(IssuerAction::Propose(OrderCommand::Answer { id, outcome }));
    }
}

fn resend_delay(failures: u32) -> Millis {
    let factor = 1_u64 << failures.saturating_sub(1).min(6);
    Millis(MIN_RESEND.0 * factor).min(MAX_RESEND)
}

impl Machine for OrderIssuer {
    type Event = IssuerEvent;
    type Action = IssuerAction;

    fn handle(&mut self, now: Millis, event: IssuerEvent, actions: &mut Vec<IssuerAction>) {
        match event {
            IssuerEvent::Tick { charge, planned } => {
                self.enter(charge);
                self.tick(now, &planned, actions);
            }
            IssuerEvent::Answered { id, term, outcome } => {
                if self.term == Some(term) {
                    self.answered(now, id, outcome, actions);
                }
            }
        }
    }
}
