//! Generation attempts on engines.

use dandelion_net::Signal;
use dandelion_net::mesh::ServeStream;
use dandelion_protocol::config::Job;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_rollout::coordinator::AttemptId;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::Failure;
use dandelion_rollout::coordinator::action::Generate;
use futures::FutureExt;
use futures::select_biased;
use serde::Serialize;

use crate::core::Handle;
use crate::core::new_request_id;
use crate::rollouts::tokens::TokenReader;
use crate::serve;

/// Path of generation requests on an engine.
const GENERATE_PATH: &str = "/generate";

/// Longest time that one attempt may wait in queues and run.
const ATTEMPT_TIMEOUT: Millis = Millis::from_secs(600);

/// Body of a generation request.
#[derive(Debug, Serialize)]
struct GenerateBody<'a> {
    prompt: &'a str,
    /// Maximum length of the complete answer, the first `resume_from` tokens included.
    max_tokens: u32,
    resume_from: u32,
    resume_text: &'a str,
    sample: u32,
}

/// Runs an attempt and reports its progress and end to the job's driver.
pub async fn run(core: Handle, job: JobId, generation: Generate, cancelled: Signal) {
    let attempt = generation.attempt;
    let event = match run_attempt(&core, &job, &generation, cancelled).await {
        Ok(()) => Event::Done { attempt },
        Err(failure) => Event::Failed { attempt, failure },
    };
    if let Some(driver) = core.rollouts.driver(&job) {
        driver.end_attempt(attempt);
        driver.handle(&core, event);
    }
}

async fn run_attempt(
    core: &Handle,
    job: &JobId,
    generation: &Generate,
    cancelled: Signal,
) -> Result<(), Failure> {
    let not_run = Failure {
        ran: Ran::NotRun,
        tokens: Some(0),
    };
    let config = core.rollouts.driver(job).and_then(|d| d.job());
    let config = config.ok_or(not_run)?;
    let request = request(&config, generation);
    let opened = serve::open(core, &request);
    let stream = opened.map_err(|refusal| Failure {
        ran: refusal.ran,
        tokens: (refusal.ran == Ran::NotRun).then_some(0),
    })?;
    let mut answer_reader = AnswerReader {
        core,
        job,
        attempt: generation.attempt,
        reader: TokenReader::default(),
        upstream: None,
    };
    let read = answer_reader.run(stream).fuse();
    let cancelled = cancelled.raised().fuse();
    let stopped = {
        futures::pin_mut!(read, cancelled);
        select_biased! {
            () = cancelled => Some(Stop::Cancelled),
            result = read => result.err().map(Stop::Failed),
        }
    };
    match stopped {
        None => Ok(()),
        Some(stop) => Err(Failure {
            ran: stop.ran(),
            tokens: answer_reader.tokens(stop),
        }),
    }
}

/// Reason why an attempt stopped before its end.
#[derive(Debug, Clone, Copy)]
enum Stop {
    Cancelled,
    Failed(Ran),
}

impl Stop {
    fn ran(self) -> Ran {
        match self {
            Self::Cancelled => Ran::Ran,
            Self::Failed(ran) => ran,
        }
    }
}

/// Reads an engine's answer and reports its tokens to the job's driver.
struct AnswerReader<'a> {
    core: &'a Handle,
    job: &'a JobId,
    attempt: AttemptId,
    reader: TokenReader,
    upstream: Option<UpstreamId>,
}

impl AnswerReader<'_> {
    async fn run(&mut self, mut stream: ServeStream) -> Result<(), Ran> {
        loop {
            match stream.next().await {
                Ok(ServePart::Head {
                    upstream, status, ..
                }) => {
                    self.upstream = upstream.parse().ok();
                    if status != 200 {
                        return Err(Ran::Unknown);
                    }
                }
                Ok(ServePart::Chunk(bytes)) => {
                    self.report(&bytes);
                    if self.reader.is_broken() {
                        return Err(Ran::Ran);
                    }
                }
                Ok(ServePart::End { .. }) if self.reader.is_done() => return Ok(()),
                Ok(ServePart::End { .. }) => return Err(Ran::Ran),
                Ok(ServePart::Failed(refusal)) => return Err(refusal.ran),
                Ok(ServePart::Detoured(_)) | Err(_) => return Err(Ran::Unknown),
            }
        }
    }

    fn report(&mut self, bytes: &[u8]) {
        let reports = self.reader.read(bytes);
        let Some(upstream) = &self.upstream else {
            return;
        };
        let Some(driver) = self.core.rollouts.driver(self.job) else {
            return;
        };
        for report in reports {
            let event = Event::Progress {
                attempt: self.attempt,
                upstream: upstream.clone(),
                report,
            };
            driver.handle(self.core, event);
        }
    }

    /// Returns the tokens of a stopped attempt; none if more may have been generated than were
    /// read.
    fn tokens(&self, stop: Stop) -> Option<u32> {
        match stop {
            Stop::Failed(Ran::NotRun) => Some(0),
            Stop::Failed(Ran::Unknown) => None,
            Stop::Cancelled | Stop::Failed(Ran::Ran) => Some(self.reader.tokens()),
        }
    }
}

fn request(job: &Job, generation: &Generate) -> ServeRequest {
    let resume = &generation.resume;
    let body = GenerateBody {
        prompt: &generation.prompt,
        max_tokens: resume.tokens() + generation.max_tokens,
        resume_from: resume.tokens(),
        resume_text: &resume.text,
        sample: generation.sample.index,
    };
    ServeRequest {
        id: new_request_id(),
        team: Some(job.team.clone()),
        service: job.service.clone(),
        class: Class::Rollout,
        method: "POST".to_owned(),
        path: GENERATE_PATH.to_owned(),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: serde_json::to_vec(&body).unwrap_or_default(),
        timeout: ATTEMPT_TIMEOUT,
        idempotent: true,
        software: resume.software.clone(),
        detour: None,
    }
}
