//! Sends recorded orders from the control leader and repeats each until it is answered.

use std::collections::BTreeMap;

use dandelion_kernel::Machine;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

use crate::orders::table::OrderCommand;
use crate::orders::table::OrderOutcome;

/// Time that one request to the platform may take; the issuer's lease margin must exceed it.
pub const SEND_TIMEOUT: Millis = Millis(800);

/// Delay before the first resend of an unanswered order; doubles up to [`MAX_RESEND`].
pub const MIN_RESEND: Millis = Millis(250);

/// Longest delay between two resends of an order.
pub const MAX_RESEND: Millis = Millis::from_secs(10);

/// Time after which the platform's answer is proposed again if the table has not applied it.
pub const PROPOSAL_TIMEOUT: Millis = Millis::from_secs(3);

/// A recorded order that awaits the platform's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTask {
    /// Identity of the order, kept over resends.
    pub id: RequestId,
    /// Start or stop to request.
    pub body: OrderBody,
    /// Whether it may be sent: always for a start; for a stop once every daemon has acknowledged
    /// the drain and nothing is in flight, or if the upstream is gone.
    pub ready: bool,
}

/// Input of the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerEvent {
    /// Time passed; carries the planned orders of the replicated table.
    Tick {
        /// Leadership term while this daemon holds the leader's lease, or none.
        term: Option<Term>,
        /// All orders in stage `Planned`; the issuer drops its state of any other.
        planned: Vec<OrderTask>,
    },
    /// A request to the platform ended.
    Answered {
        /// Order that was sent.
        id: RequestId,
        /// Term under which it was sent.
        term: Term,
        /// The platform's answer, or none if none was received.
        outcome: Option<OrderOutcome>,
    },
}

/// Output of the issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerAction {
    /// Send the order; the lease must be checked with its margin directly before the write.
    Send(Order),
    /// Propose a change of the orders table that records the platform's answer.
    Propose(OrderCommand),
}

/// Progress of one order.
#[derive(Debug, Default)]
struct OrderProgress {
    failures: u32,
    /// When the order is next sent or its answer next proposed.
    due: Millis,
    /// The platform's answer while the table has not recorded it.
    answer: Option<OrderOutcome>,
}

/// Issues orders while this daemon is the leader; a change of the term discards the progress of
/// all orders.
#[derive(Debug, Default)]
pub struct OrderIssuer {
    term: Option<Term>,
    orders: BTreeMap<RequestId, OrderProgress>,
}

impl OrderIssuer {
    /// Creates an issuer that sends nothing until a tick brings a term.
    pub fn open() -> Self {
        Self::default()
    }

    fn set_term(&mut self, term: Option<Term>) {
        if self.term != term {
            self.term = term;
            self.orders.clear();
        }
    }

    fn tick(&mut self, now: Millis, planned: &[OrderTask], actions: &mut Vec<IssuerAction>) {
        let Some(term) = self.term else { return };
        let open = |id: &RequestId| planned.iter().any(|t| t.id == *id);
        self.orders.retain(|id, _| open(id));
        for task in planned.iter().filter(|t| t.ready) {
            self.advance(now, term, task, actions);
        }
    }

    /// Sends an order, or proposes its answer, if that is due.
    fn advance(
        &mut self,
        now: Millis,
        term: Term,
        task: &OrderTask,
        actions: &mut Vec<IssuerAction>,
    ) {
        let progress = self.orders.entry(task.id).or_default();
        if now < progress.due {
            return;
        }
        if let Some(outcome) = &progress.answer {
            progress.due = now + PROPOSAL_TIMEOUT;
            let outcome = outcome.clone();
            let id = task.id;
            actions.push(IssuerAction::Propose(OrderCommand::Answer { id, outcome }));
            return;
        }
        progress.due = now + SEND_TIMEOUT + SEND_TIMEOUT;
        actions.push(IssuerAction::Send(Order {
            id: task.id,
            term,
            body: task.body.clone(),
        }));
    }

    fn handle_answer(
        &mut self,
        now: Millis,
        id: RequestId,
        outcome: Option<OrderOutcome>,
        actions: &mut Vec<IssuerAction>,
    ) {
        let Some(progress) = self.orders.get_mut(&id) else {
            return;
        };
        let Some(outcome) = outcome else {
            progress.failures += 1;
            progress.due = now + resend_delay(progress.failures);
            return;
        };
        progress.answer = Some(outcome.clone());
        progress.due = now + PROPOSAL_TIMEOUT;
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
            IssuerEvent::Tick { term, planned } => {
                self.set_term(term);
                self.tick(now, &planned, actions);
            }
            IssuerEvent::Answered { id, term, outcome } => {
                if self.term == Some(term) {
                    self.handle_answer(now, id, outcome, actions);
                }
            }
        }
    }
}
