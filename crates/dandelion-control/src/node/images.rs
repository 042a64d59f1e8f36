//! Images of the distributed tables that a feeder sends.
//!
//! Load condition: after a restart of the feeder or of many daemons, all of them ask for an image
//! within one period. An image of 3,000 upstreams is about 0.6 MB, and each one in flight is held in
//! the queue of its link and, while it is written, encoded for the connection.

use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;

/// Most bytes of images in flight; a single larger one is still sent. Each is held up to twice, queued
/// and encoded for its connection, so that they take an eighth of a control daemon's 256 MB.
pub const MAX_IMAGE_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug)]
struct Flight {
    daemon: DaemonId,
    revision: Revision,
    bytes: usize,
    until: Millis,
}

/// The newest encoded image, and the images in flight.
#[derive(Debug, Default)]
pub struct Images {
    newest: Option<(Revision, SharedBytes)>,
    flights: Vec<Flight>,
}

impl Images {
    /// Returns an image of `tables` for a daemon and counts it as in flight until the daemon
    /// acknowledges it, at most until `until`. Returns none if too many bytes are in flight. The
    /// image is encoded once for all daemons that ask at the same revision.
    pub fn take(
        &mut self,
        daemon: &DaemonId,
        tables: &TableSet,
        until: Millis,
    ) -> Option<SharedBytes> {
        let in_flight: usize = self.flights.iter().map(|f| f.bytes).sum();
        let revision = tables.revision();
        // An image of a later revision is about as long, so none is encoded only to be held back.
        let expected = self.newest.as_ref().map_or(0, |(_, image)| image.len());
        if !fits(in_flight, expected) {
            return None;
        }
        let image = match &self.newest {
            Some((at, image)) if *at == revision => image.clone(),
            _ => {
                let image = tables.distributed_image().ok()?;
                let image = SharedBytes::from(codec::encode(&image).ok()?);
                self.newest = Some((revision, image.clone()));
                image
            }
        };
        if !fits(in_flight, image.len()) {
            return None;
        }
        self.flights.push(Flight {
            daemon: daemon.clone(),
            revision,
            bytes: image.len(),
            until,
        });
        Some(image)
    }

    /// Records that a daemon has applied a revision: its images up to there have arrived.
    pub fn acknowledge(&mut self, daemon: &DaemonId, applied: Revision) {
        self.flights
            .retain(|f| f.daemon != *daemon || f.revision > applied);
    }

    /// Stops counting images whose daemons did not acknowledge them in time, and drops the encoded
    /// image once none is in flight.
    pub fn expire(&mut self, now: Millis) {
        self.flights.retain(|f| now < f.until);
        if self.flights.is_empty() {
            self.newest = None;
        }
    }
}

fn fits(in_flight: usize, image: usize) -> bool {
    in_flight == 0 || in_flight + image <= MAX_IMAGE_BYTES
}
