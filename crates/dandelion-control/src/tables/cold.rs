//! Which upstreams are cold, by their reports and by the orders about their zones.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

use crate::tables::UpstreamsTable;
use crate::tables::Warmth;
use crate::tables::ZonesTable;

/// Returns the start of each cold incarnation, by upstream: of those whose latest recorded report shows
/// it, and of those without a recorded report since the evacuation of their zone was cancelled, as an
/// upstream that got nothing may have turned cold meanwhile.
pub fn cold_incarnations(
    upstreams: &UpstreamsTable,
    zones: Option<&ZonesTable>,
) -> BTreeMap<UpstreamId, WallMillis> {
    let restored: BTreeMap<&ZoneId, Revision> = zones.map_or_else(BTreeMap::new, |zones| {
        let restored = zones.restored();
        restored.map(|(zone, at)| (zone, at.revision)).collect()
    });
    let is_cold = |(life, warmth): &(&UpstreamIncarnation, Warmth)| {
        let restored = restored.get(&life.zone);
        warmth.cold || restored.is_some_and(|revision| warmth.recorded < *revision)
    };
    let cold = upstreams.warmth().filter(is_cold);
    cold.map(|(life, _)| (life.id.clone(), life.born)).collect()
}
