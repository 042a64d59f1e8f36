//! A connection that a peer has dialled: runs its calls and requests and answers its heartbeats.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use futures::FutureExt;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::pin_mut;
use futures::select_biased;

use crate::lock::lock;
use crate::mesh::credit::Credit;
use crate::mesh::error::MeshError;
use crate::mesh::handler::MeshHandler;
use crate::mesh::node::Shared;
use crate::mesh::parts::PartSender;
use crate::mesh::parts::Target;
use crate::mesh::transport::Connection;
use crate::mesh::transport::FrameReader;
use crate::mesh::transport::FrameWriter;

/// Most messages queued for the peer.
const QUEUE_LIMIT: usize = 256;
/// Most messages written between two flushes.
const BATCH: usize = 64;

/// A call or request that runs for the peer.
#[derive(Debug)]
struct Running {
    abort: AbortHandle,
    credit: Arc<Credit>,
}

type RunningMap = Arc<Mutex<HashMap<u64, Running>>>;

/// An accepted connection and the work that runs for its peer.
pub struct Session<H> {
    shared: Arc<Shared<H>>,
    from: DaemonId,
    queue: Sender<MeshMessage>,
    calls: RunningMap,
    streams: RunningMap,
}

impl<H> Session<H>
where
    H: MeshHandler,
{
    /// Serves the peer until the connection ends, then aborts all work that runs for it.
    pub async fn run(shared: Arc<Shared<H>>, connection: Connection) -> MeshError {
        let (queue, queued) = async_channel::bounded(QUEUE_LIMIT);
        let session = Self {
            from: connection.peer.daemon,
            queue,
            calls: RunningMap::default(),
            streams: RunningMap::default(),
            shared,
        };
        let writer = FrameWriter {
            sink: connection.sink,
            counters: Arc::clone(&session.shared.counters),
        };
        let reader = FrameReader {
            source: connection.source,
            counters: Arc::clone(&session.shared.counters),
        };
        let write = session.write(writer, queued).fuse();
        let read = session.read(reader).fuse();
        pin_mut!(write, read);
        select_biased! {
            error = read => error,
            error = write => error,
        }
    }

    async fn read(&self, mut reader: FrameReader) -> MeshError {
        loop {
            let message = match self.next_message(&mut reader).await {
                Ok(message) => message,
                Err(error) => return error,
            };
            if self.shared.faults.is_isolated(&self.from) {
                continue;
            }
            if let Err(error) = self.dispatch(message) {
                return error;
            }
        }
    }

    /// Waits for the next message. A peer that awaits an answer sends heartbeats, so its silence is
    /// a failure; one that doesn't closes its connection when it is idle.
    async fn next_message(&self, reader: &mut FrameReader) -> Result<MeshMessage, MeshError> {
        let timing = &self.shared.config.timing;
        let mut silence = Duration::ZERO;
        loop {
            match timeout(timing.dead, reader.next()).await {
                Ok(outcome) => return outcome,
                Err(_late) if self.has_running() => return Err(MeshError::Timeout),
                Err(_late) if silence >= timing.idle => return Err(MeshError::Timeout),
                Err(_late) => silence += timing.dead,
            }
        }
    }

    fn has_running(&self) -> bool {
        [&self.calls, &self.streams]
            .iter()
            .any(|map| !lock(map).is_empty())
    }

    fn dispatch(&self, message: MeshMessage) -> Result<(), MeshError> {
        match message {
            MeshMessage::Raft(_)
            | MeshMessage::StoreRaft(_)
            | MeshMessage::Feed(_)
            | MeshMessage::Lived(_)
            | MeshMessage::JobsLeader(_)
            | MeshMessage::Digest(_) => {
                self.shared.handler.on_message(&self.from, message);
            }
            MeshMessage::Call { call, body } => self.start_call(call, body),
            MeshMessage::Serve { stream, request } => self.start_serve(stream, request),
            MeshMessage::Cancel { stream } => {
                if let Some(running) = lock(&self.streams).remove(&stream) {
                    running.abort.abort();
                }
            }
            MeshMessage::Credit { stream, bytes } => {
                if let Some(running) = lock(&self.streams).get(&stream) {
                    running.credit.grant(bytes);
                }
            }
            MeshMessage::Ping(number) => {
                // With a full queue, the queued messages show the peer that this daemon is alive.
                let _full = self.queue.try_send(MeshMessage::Pong(number));
            }
            _ => return Err(MeshError::Protocol("not a request".to_owned())),
        }
        Ok(())
    }

    fn start_call(&self, call: u64, body: CallBody) {
        let shared = Arc::clone(&self.shared);
        let from = self.from.clone();
        let queue = self.queue.clone();
        start(&self.calls, call, async move |_credit| {
            let body = shared.handler.on_call(&from, body).await;
            // A closed queue means that the connection has ended.
            let _gone = queue.send(MeshMessage::Reply { call, body }).await;
        });
    }

    fn start_serve(&self, stream: u64, request: ServeRequest) {
        let shared = Arc::clone(&self.shared);
        let from = self.from.clone();
        let queue = self.queue.clone();
        start(&self.streams, stream, async move |credit| {
            let mut parts = PartSender::new(Target::Link {
                queue,
                stream,
                credit,
            });
            shared.handler.on_serve(&from, request, &mut parts).await;
            parts.ensure_end().await;
        });
    }

    async fn write(&self, mut writer: FrameWriter, queued: Receiver<MeshMessage>) -> MeshError {
        while let Ok(first) = queued.recv().await {
            if let Err(error) = self.write_batch(&mut writer, &queued, first).await {
                return error;
            }
        }
        MeshError::Closed
    }

    async fn write_batch(
        &self,
        writer: &mut FrameWriter,
        queued: &Receiver<MeshMessage>,
        first: MeshMessage,
    ) -> Result<(), MeshError> {
        self.feed(writer, &first).await?;
        for _ in 1..BATCH {
            let Ok(message) = queued.try_recv() else {
                break;
            };
            self.feed(writer, &message).await?;
        }
        writer.flush().await
    }

    async fn feed(&self, writer: &mut FrameWriter, message: &MeshMessage) -> Result<(), MeshError> {
        if self.shared.faults.is_isolated(&self.from) {
            return Ok(());
        }
        match writer.feed(message).await {
            Err(MeshError::TooLarge(size)) => writer.feed(&too_large_answer(message, size)).await,
            other => other,
        }
    }
}

impl<H> Drop for Session<H> {
    fn drop(&mut self) {
        for map in [&self.calls, &self.streams] {
            for (_, running) in lock(map).drain() {
                running.abort.abort();
            }
        }
    }
}

/// Makes the refusal that replaces an answer that is too large.
fn too_large_answer(message: &MeshMessage, size: usize) -> MeshMessage {
    let text = format!("the answer of {size} bytes is too large for the mesh");
    let refusal = Refusal::not_run(RefusalCode::LimitExceeded, &text, "ask for less at a time");
    let refusal = refusal.with_ran(Ran::Ran);
    match message {
        MeshMessage::Reply { call, .. } => MeshMessage::Reply {
            call: *call,
            body: ReplyBody::Refused(refusal),
        },
        MeshMessage::Part { stream, .. } => MeshMessage::Part {
            stream: *stream,
            part: ServePart::Failed(refusal),
        },
        _ => MeshMessage::Pong(0),
    }
}

/// Runs `work` until it ends or its entry in `map` is aborted.
fn start<F, W>(map: &RunningMap, number: u64, work: F)
where
    F: FnOnce(Arc<Credit>) -> W,
    W: Future<Output = ()> + Send + 'static,
{
    let (abort, registration) = AbortHandle::new_pair();
    let credit = Arc::new(Credit::new());
    let work = work(Arc::clone(&credit));
    lock(map).insert(number, Running { abort, credit });
    let map = Arc::clone(map);
    task::spawn(async move {
        // The entry of an aborted task has already been removed.
        let _aborted = Abortable::new(work, registration).await;
        lock(&map).remove(&number);
    });
}
