//! Records changes of the quarantine in the replicated table.

use std::convert::Infallible;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::TrySendError;
use async_std::task;
use dandelion_control::tables::QuarantineCommand;
use dandelion_control::tables::QuarantineTable;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::quarantine::Admission;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::CommandError;
use crate::core::Handle;
use crate::gateway::quarantine::Quarantine;

/// Delay before a change that was not acknowledged is proposed again.
const RECORD_RETRY: Duration = Duration::from_millis(200);

/// Changes that are recorded at the same time: few enough that looking for a new control leader
/// costs little, whatever waits.
pub const RECORDERS: usize = 8;

/// A change of the quarantine that is to be recorded.
#[derive(Debug)]
pub(super) struct Change {
    command: QuarantineCommand,
    /// Dropped once the change is recorded.
    recorded: Sender<Infallible>,
}

impl Quarantine {
    /// Queues a change to be recorded. The returned channel is closed once it is.
    pub(super) fn propose(&self, command: QuarantineCommand) -> Receiver<Infallible> {
        let (recorded, done) = async_channel::bounded(1);
        if let Err(TrySendError::Full(change) | TrySendError::Closed(change)) =
            self.changes.try_send(Change { command, recorded })
        {
            log::warn!(
                "too many changes of the quarantine wait; dropped {:?}",
                change.command
            );
            if let QuarantineCommand::Ended { content, .. } = change.command {
                self.local().recent.remove(&Fingerprint(content));
            }
        }
        done
    }

    /// Records queued changes one after the other until the process ends.
    pub async fn run_recorder(core: Handle) {
        let quarantine = &core.gateway.quarantine;
        while let Ok(change) = quarantine.queue.recv().await {
            quarantine.record(&core, &change.command).await;
            drop(change.recorded);
        }
    }

    async fn record(&self, core: &Handle, command: &QuarantineCommand) {
        loop {
            match core.propose_own::<QuarantineTable>(command).await {
                Ok(applied) => return self.recorded(command, applied.revision, applied.reply),
                Err(CommandError::Unanswered(_)) => task::sleep(RECORD_RETRY).await,
                Err(error) => {
                    log::warn!("the quarantine did not accept {command:?}: {error}");
                    return;
                }
            }
        }
    }

    fn recorded(&self, command: &QuarantineCommand, revision: Revision, admission: Admission) {
        let (content, change) = match command {
            QuarantineCommand::Ended { content, .. } => (*content, "upstream_ended"),
            QuarantineCommand::Begin { content, .. } => (*content, "begin"),
            QuarantineCommand::Release { content, .. } => (*content, "released"),
            QuarantineCommand::Pass { content } => (*content, "passed"),
        };
        event!(
            Event::ContentJudged,
            fingerprint = format!("{content:016x}"),
            change = change,
            admission = format!("{admission:?}"),
            revision = revision
        );
        let mut local = self.local();
        let content = Fingerprint(content);
        match command {
            QuarantineCommand::Ended { .. } => {
                if let Some(known) = local.recent.get_mut(&content) {
                    *known = Some(revision);
                }
            }
            QuarantineCommand::Pass { .. } => {
                local.recent.remove(&content);
            }
            QuarantineCommand::Begin { .. } | QuarantineCommand::Release { .. } => (),
        }
    }
}
