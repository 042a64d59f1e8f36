//! Workload: requests drawn from seeded distributions.

use dandelion_protocol::usage::Class;
use dandelion_route::ticket::Work;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Prompt lengths, in tokens.
const PROMPT: std::ops::Range<u64> = 200..600;

/// Answer lengths, in tokens.
const OUTPUT: std::ops::Range<u64> = 16..112;

/// Greatest answer length that a caller requests, and so the prediction.
const MAX_OUTPUT: u64 = 128;

/// Timeout of a caller, in milliseconds.
pub const TIMEOUT_MS: u64 = 8_000;

/// A simulated request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Position in the order of arrival.
    pub id: u64,
    /// Arrival time, in milliseconds.
    pub at: u64,
    /// Team number.
    pub team: usize,
    /// Interactive or rollout.
    pub class: Class,
    /// Actual work.
    pub work: Work,
    /// When the caller gives up, in milliseconds.
    pub deadline: u64,
    /// Number of the prompt's prefix.
    pub prefix: u64,
}

impl Request {
    /// Returns the work as predicted at admission.
    pub fn predicted(&self) -> Work {
        Work {
            prompt: self.work.prompt,
            output: MAX_OUTPUT,
        }
    }
}

/// Arrivals of one team and class.
pub struct Source<F>
where
    F: Fn(u64) -> f64,
{
    /// Team number.
    pub team: usize,
    /// Class of all its requests.
    pub class: Class,
    /// Requests per second, as a function of the time in milliseconds.
    pub rate: F,
}

/// Draws the arrivals of all sources up to `until` milliseconds, ordered by time.
pub fn draw<F>(seed: u64, until: u64, prefixes: u64, sources: &[Source<F>]) -> Vec<Request>
where
    F: Fn(u64) -> f64,
{
    let mut requests = Vec::new();
    for (n, source) in sources.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed * 1000 + n as u64);
        for at in 0..until {
            let mut expected = (source.rate)(at) / 1000.0;
            while expected > 0.0 {
                if rng.random::<f64>() < expected.min(1.0) {
                    requests.push(draw_request(
                        &mut rng,
                        at,
                        source.team,
                        source.class,
                        prefixes,
                    ));
                }
                expected -= 1.0;
            }
        }
    }
    requests.sort_by_key(|request| request.at);
    for (id, request) in requests.iter_mut().enumerate() {
        request.id = id as u64;
    }
    requests
}

fn draw_request(rng: &mut SmallRng, at: u64, team: usize, class: Class, prefixes: u64) -> Request {
    // The square makes prefixes with low numbers more frequent, like popular prompts.
    let skew = rng.random::<f64>().powi(2);
    Request {
        id: 0,
        at,
        team,
        class,
        work: Work {
            prompt: rng.random_range(PROMPT),
            output: rng.random_range(OUTPUT),
        },
        deadline: at + TIMEOUT_MS,
        prefix: (skew * prefixes as f64) as u64,
    }
}

/// Returns the mean time of a request at an upstream, in milliseconds.
pub fn mean_service_ms() -> f64 {
    let prompt = (PROMPT.start + PROMPT.end - 1) as f64 / 2.0;
    let output = (OUTPUT.start + OUTPUT.end - 1) as f64 / 2.0;
    prompt * super::engine::PREFILL_MS + output * super::engine::TOKEN_MS
}
