//! Reports which result bodies are missing on the disk of this daemon, and since when.

use dandelion_batch::holders::MissingBody;
use dandelion_net::clock;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;

/// Time from which a shortage is reported. A body that was just listed may still be on its way to one
/// of its disks.
const REPORT_AFTER: Millis = Millis(400);

/// Bodies that this daemon should have and has not.
#[derive(Debug, Clone, Copy, Default)]
pub struct Missing {
    /// Bodies known to be missing; further ones may be.
    pub bodies: usize,
    /// When the first one was found missing; none if none is.
    pub since: Option<Millis>,
}

/// The time from the first missing body to the last one that was fetched.
#[derive(Debug, Default)]
pub(super) struct Shortage {
    since: Option<Millis>,
    fetched: usize,
    is_reported: bool,
}

impl Shortage {
    /// Takes over the result of a search: the missing bodies to be fetched now and the number of those
    /// that no store returned lately.
    pub(super) fn update(&mut self, core: &Handle, missing: &[MissingBody], unavailable: usize) {
        let now = clock::boot_now();
        let bodies = missing.len() + unavailable;
        if bodies == 0 {
            if self.is_reported {
                let since = self.since.unwrap_or(now);
                event!(
                    Event::BodiesComplete,
                    fetched = self.fetched,
                    short_ms = now.since(since).0
                );
            }
            *self = Self::default();
        } else {
            let since = *self.since.get_or_insert(now);
            if !self.is_reported && now.since(since) >= REPORT_AFTER {
                self.is_reported = true;
                event!(
                    Event::BodiesShort,
                    bodies = bodies,
                    unavailable = unavailable,
                    job = missing.first().map_or("", |body| body.key.job.as_str())
                );
            }
        }
        core.stores.texts.set_missing(Missing {
            bodies,
            since: self.since,
        });
    }

    /// Counts bodies that were fetched and stored.
    pub(super) fn add_fetched(&mut self, bodies: usize) {
        self.fetched += bodies;
    }
}
