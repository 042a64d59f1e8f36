//! The list of scenarios.

use anyhow::Context;
use serde_json::Value;

use crate::scenarios::billing;
use crate::scenarios::bodies;
use crate::scenarios::cold;
use crate::scenarios::copies;
use crate::scenarios::drain;
use crate::scenarios::evacuation;
use crate::scenarios::issuer;
use crate::scenarios::leaving;
use crate::scenarios::limits;
use crate::scenarios::long_jobs;
use crate::scenarios::losses;
use crate::scenarios::once;
use crate::scenarios::overhead;
use crate::scenarios::path;
use crate::scenarios::poison;
use crate::scenarios::quarantine;
use crate::scenarios::races;
use crate::scenarios::rollout;
use crate::scenarios::score;
use crate::scenarios::silent;
use crate::scenarios::slope;
use crate::scenarios::software;
use crate::scenarios::spoiled;
use crate::scenarios::spot;
use crate::scenarios::spread;
use crate::scenarios::statuses;
use crate::scenarios::stopping;
use crate::scenarios::stranded;
use crate::scenarios::takeover;
use crate::scenarios::withdraw;

/// A scenario that can be run from the command line.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for `--list`; it begins with `processes` (daemon processes on loopback)
    /// or `model` (simulation).
    pub about: &'static str,
    /// Runs the scenario with a seed and returns its figures.
    pub run: fn(u64) -> anyhow::Result<Value>,
}

/// All scenarios, in the order of `--list`.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "once",
        about: "processes: claimed requests resent concurrently through all daemons, daemons killed and paused, engines crashing",
        run: once::run,
    },
    Scenario {
        name: "overhead",
        about: "processes: latency that a daemon and a mesh hop add to a call, and work per core second",
        run: overhead::run,
    },
    Scenario {
        name: "drain",
        about: "processes: upstreams leave by announcement and by order, daemons stop under streams",
        run: drain::run,
    },
    Scenario {
        name: "silent",
        about: "processes: connections to an engine stall in mid-stream and while idle",
        run: silent::run,
    },
    Scenario {
        name: "poison",
        about: "processes: a prompt that crashes engines, sent repeatedly through all daemons",
        run: poison::run,
    },
    Scenario {
        name: "quarantine",
        about: "processes: contents that end upstreams, sent through all entries of a route plan; entries and leaders killed and paused",
        run: quarantine::run,
    },
    Scenario {
        name: "losses",
        about: "processes: a control daemon and a store are lost for good and replaced, then others lose their disks",
        run: losses::run,
    },
    Scenario {
        name: "copies",
        about: "processes: stores are replaced or lose their disks in series; results of ended jobs are read afterwards",
        run: copies::run,
    },
    Scenario {
        name: "long_jobs",
        about: "processes: batch jobs about as long as a message between daemons, small ones after each of them",
        run: long_jobs::run,
    },
    Scenario {
        name: "bodies",
        about: "processes: long bodies, alone, several at once and retried; memory of the entries that forward them",
        run: bodies::run,
    },
    Scenario {
        name: "leaving",
        about: "processes: upstreams leave by report and by their answers, fall silent and are reported late",
        run: leaving::run,
    },
    Scenario {
        name: "evacuation",
        about: "processes: a zone is evacuated and restored; the control leader killed, an entry suspended, orders late",
        run: evacuation::run,
    },
    Scenario {
        name: "stopping",
        about: "processes: an entry is stopped while callers go on sending on connections that they keep",
        run: stopping::run,
    },
    Scenario {
        name: "software",
        about: "processes: engines of two software versions break off streams and batch items, come back with the other version, daemons killed",
        run: software::run,
    },
    Scenario {
        name: "score",
        about: "processes: items are scored by a service that fails, hangs, fills and lies; stores killed and paused, callers beside",
        run: score::run,
    },
    Scenario {
        name: "stranded",
        about: "processes: most entries, those of a zone, then all lose their links to all upstreams, silently or with refusals",
        run: stranded::run,
    },
    Scenario {
        name: "spoiled",
        about: "processes: upstreams answer streams, and requests that take them up, with errors and without their seal",
        run: spoiled::run,
    },
    Scenario {
        name: "statuses",
        about: "processes: upstreams answer with statuses that HTTP doesn't define, directly and through another daemon",
        run: statuses::run,
    },
    Scenario {
        name: "limits",
        about: "processes: upstreams name limits on what they take from all entries; entries and control daemons killed, paused, joining",
        run: limits::run,
    },
    Scenario {
        name: "cold",
        about: "processes: engines and plain upstreams start during traffic and turn cold again; control leaders killed, entries paused",
        run: cold::run,
    },
    Scenario {
        name: "path",
        about: "processes: a caller, an operator, a trainer and the usage report through daemons",
        run: path::run,
    },
    Scenario {
        name: "rollout",
        about: "processes: trainers, versions published in mid-stream, an engine killed, resends",
        run: rollout::run,
    },
    Scenario {
        name: "charge",
        about: "processes: leader killed and suspended while usage windows close, plain daemons killed",
        run: billing::run,
    },
    Scenario {
        name: "issuer",
        about: "processes: orders with and without fencing, leaders suspended and killed",
        run: issuer::run,
    },
    Scenario {
        name: "spot",
        about: "model: zones lose their cheap upstreams, stock runs out, answers are lost",
        run: spot::run,
    },
    Scenario {
        name: "takeover",
        about: "processes: the control leader is killed, then suspended, under operators' changes",
        run: takeover::run,
    },
    Scenario {
        name: "races",
        about: "processes: operators race under one revision and resend, the leader is killed",
        run: races::run,
    },
    Scenario {
        name: "withdraw",
        about: "processes: a key is withdrawn under open streams; daemons are cut off from control",
        run: withdraw::run,
    },
    Scenario {
        name: "spread",
        about: "processes: time until a change is in force at every daemon, at three cell sizes",
        run: spread::run,
    },
    Scenario {
        name: "slope",
        about: "processes: what idle daemons spend on control at four cell sizes, with fitted slopes",
        run: slope::run,
    },
];

/// Finds a scenario by name.
pub fn find(name: &str) -> anyhow::Result<&'static Scenario> {
    SCENARIOS
        .iter()
        .find(|s| s.name == name)
        .with_context(|| format!("no scenario `{name}`; name one that --list shows"))
}
