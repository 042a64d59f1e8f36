//! Calls of a job's scoring service.

use dandelion_net::http::BodyBuffer;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::action::ScoreCall;
use serde::Deserialize;
use serde::Serialize;

use crate::core::Handle;
use crate::core::new_request_id;
use crate::serve;

/// Path of calls on the scoring service.
const SCORE_PATH: &str = "/score";

/// Longest time that one call may take.
const SCORE_TIMEOUT: Millis = Millis::from_secs(30);

/// Longest answer of a scoring service, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

#[derive(Debug, Serialize)]
struct ScoreBody<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Debug, Deserialize)]
struct ScoreAnswer {
    score: f64,
}

/// Calls the scoring service and reports the result to the job's driver.
pub async fn run(core: Handle, job: JobId, call: ScoreCall) {
    let result = score(&core, &job, &call).await;
    if let Some(driver) = core.rollouts.driver(&job) {
        let attempt = call.attempt;
        driver.handle(&core, Event::Scored { attempt, result });
    }
}

async fn score(core: &Handle, job: &JobId, call: &ScoreCall) -> Result<f64, Ran> {
    let config = core.rollouts.driver(job).and_then(|d| d.job());
    let config = config.ok_or(Ran::NotRun)?;
    let scorer = config.scorer.as_ref().ok_or(Ran::NotRun)?;
    let request = request(scorer, &config.team, call);
    let mut stream = serve::open(core, &request).map_err(|refusal| refusal.ran)?;
    let mut body = BodyBuffer::new(MAX_ANSWER_BYTES);
    loop {
        match stream.next().await {
            Ok(ServePart::Head { status: 200, .. }) => (),
            Ok(ServePart::Head { .. }) => return Err(Ran::Ran),
            Ok(ServePart::Chunk(bytes)) => body.push(&bytes).map_err(|_endless| Ran::Ran)?,
            Ok(ServePart::End { .. }) => break,
            Ok(ServePart::Failed(refusal)) => return Err(refusal.ran),
            Ok(ServePart::Detoured(_)) | Err(_) => return Err(Ran::Unknown),
        }
    }
    let answer: Result<ScoreAnswer, _> = serde_json::from_slice(&body.take());
    answer.map(|a| a.score).map_err(|_unreadable| Ran::Ran)
}

fn request(scorer: &ServiceId, team: &TeamId, call: &ScoreCall) -> ServeRequest {
    let body = ScoreBody {
        prompt: &call.prompt,
        text: &call.text,
    };
    ServeRequest {
        id: new_request_id(),
        team: Some(team.clone()),
        service: scorer.clone(),
        class: Class::Rollout,
        method: "POST".to_owned(),
        path: SCORE_PATH.to_owned(),
        headers: vec![Header {
            name: "idempotency-key".to_owned(),
            value: format!("{:016x}", call.attempt.0),
        }],
        body: serde_json::to_vec(&body).unwrap_or_default(),
        timeout: SCORE_TIMEOUT,
        idempotent: false,
        software: SoftwareVersion::default(),
        detour: None,
    }
}
