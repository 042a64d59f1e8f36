//! A stand-in engine: streams tokens, swaps versions in mid-stream, restarts.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_rollout::attribution::SegmentReport;
use rand::Rng;
use rand::rngs::StdRng;

use crate::bench::checks::token_of;
use crate::bench::faults::Faults;
use crate::bench::simulation::chance;

/// Tokens between two reports.
pub const CHUNK: u32 = 32;

/// A request under way in an engine.
#[derive(Debug, Clone)]
pub struct Stream {
    pub at: u32,
    pub length: u32,
    pub made: u32,
    pub since: WeightVersion,
    pub boot: Incarnation,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    pub name: UpstreamId,
    pub boot: Incarnation,
    pub version: WeightVersion,
    /// Version that it was last ordered to load.
    pub ordered: WeightVersion,
    /// Milliseconds for one token.
    pub pace: f64,
    pub slots: usize,
    pub streams: BTreeMap<u64, Stream>,
    pub made: u64,
}

impl Engine {
    /// Generates the next stretch of a stream and reports it.
    pub fn step(&mut self, id: u64, faults: &Faults, lie: bool, rng: &mut StdRng) -> SegmentReport {
        let stream = self.streams.get_mut(&id).expect("stream is running");
        let start = stream.at;
        let end = (start + CHUNK).min(stream.length);
        let (first, last) = (stream.since, self.version);
        let swap = if first == last {
            end
        } else {
            rng.random_range(start..=end)
        };
        let text = (start..end).map(|token| token_of(if token < swap { first } else { last }));
        let known = first != last && !chance(rng, faults.boundary_lost);
        let said = if lie { self.ordered } else { last };
        let report = SegmentReport {
            boot: stream.boot,
            start,
            end,
            first: Some(if lie { said } else { first }),
            last: Some(said),
            swap_at: (known && !lie).then_some(swap),
            text: text.collect(),
        };
        stream.at = end;
        stream.made += end - start;
        stream.since = last;
        self.made += u64::from(end - start);
        report
    }
}
