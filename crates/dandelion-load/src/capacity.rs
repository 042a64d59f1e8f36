//! Projects what each role spends on control at the design size from measured slopes.

use std::fmt::Write;

use anyhow::Context;
use dandelion_protocol::codec;
use dandelion_protocol::fleet::DemandReport;
use dandelion_protocol::fleet::Inventory;
use dandelion_protocol::fleet::UpstreamReport;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;
use serde_json::Value;

use crate::fit::Line;
use crate::scenarios::slope::RoleLines;
use crate::scenarios::slope::Slopes;

/// Daemons in all regions at the design size.
pub const DAEMONS: usize = 1_300;

/// Engine replicas (upstreams) in all regions at the design size.
pub const REPLICAS: usize = 10_000;

/// Regions; each is one cell with its own control group.
pub const REGIONS: usize = 5;

/// Number of services to which the upstreams of one daemon belong.
const SERVICES: usize = 4;

/// Bound on the bytes that a daemon sends for control per second.
const BYTES_BOUND: f64 = 4_000.0;

/// Bound on the processor time that a daemon uses for control, as a share of one core.
const CPU_BOUND: f64 = 0.028;

/// Bound on the memory that a daemon uses for control, in MiB.
const RSS_BOUND: f64 = 256.0;

/// Line before the computed part of the page.
pub const BEGIN: &str = "<!-- computed by `cargo run --example capacity` -->";

/// Line after the computed part of the page.
pub const END: &str = "<!-- end of the computed part -->";

/// Reads the slopes from the JSON output of the `slope` scenario.
pub fn read_slopes(text: &str) -> anyhow::Result<Slopes> {
    let value: Value =
        serde_json::from_str(text).context("the measured slopes are not valid JSON")?;
    let slopes = value.get("slopes").context("no `slopes` in the file")?;
    Ok(serde_json::from_value(slopes.clone())?)
}

/// Returns the computed part of the page, without the [`BEGIN`] and [`END`] lines.
pub fn render(slopes: &Slopes) -> anyhow::Result<String> {
    let cell = DAEMONS / REGIONS;
    let owned = REPLICAS.div_ceil(DAEMONS);
    let report = report_bytes(owned)? - report_bytes(0)?;
    let mut text = String::new();
    writeln!(
        text,
        "One cell of {cell} daemons and {} replicas; {owned} upstreams owned by each daemon.\n",
        REPLICAS / REGIONS
    )?;
    writeln!(
        text,
        "| role | line | slope a daemon | spread | at {cell} daemons | bound | carried |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |")?;
    let roles = [
        ("plain daemon (entry, owner)", &slopes.plain),
        ("control follower", &slopes.follower),
        ("control leader", &slopes.leader),
    ];
    for (name, lines) in roles {
        write_rows(&mut text, name, lines, cell as f64, report as f64)?;
    }
    writeln!(
        text,
        "\nA report of {owned} owned upstreams adds {report} B to the report of a daemon that owns \
         none; it is in the bytes above. The leader of a cell receives {} KB/s of reports.",
        cell * report / 1000
    )?;
    write_limits(&mut text, &slopes.plain, report as f64)?;
    Ok(text)
}

fn write_rows(
    text: &mut String,
    role: &str,
    lines: &RoleLines,
    cell: f64,
    report: f64,
) -> anyhow::Result<()> {
    let bytes = &lines.control_bytes_per_s;
    let sent = bytes.at(cell) + report;
    writeln!(
        text,
        "| {role} | bytes a second | {:.1} | {:.0} | {sent:.0} | {BYTES_BOUND:.0} | {} |",
        bytes.slope,
        bytes.spread,
        within_bound(sent, BYTES_BOUND)
    )?;
    let cpu = &lines.control_cpu_share;
    let share = cpu.at(cell);
    writeln!(
        text,
        "| {role} | share of a core | {:.6} | {:.4} | {share:.4} | {CPU_BOUND} | {} |",
        cpu.slope,
        cpu.spread,
        within_bound(share, CPU_BOUND)
    )?;
    let rss = &lines.rss_mb;
    let memory = rss.at(cell);
    writeln!(
        text,
        "| {role} | memory, MiB | {:.3} | {:.1} | {memory:.0} | {RSS_BOUND:.0} | {} |",
        rss.slope,
        rss.spread,
        within_bound(memory, RSS_BOUND)
    )?;
    Ok(())
}

fn within_bound(value: f64, bound: f64) -> &'static str {
    if value <= bound { "yes" } else { "no" }
}

/// Writes the cell size at which a plain daemon reaches each bound.
fn write_limits(text: &mut String, plain: &RoleLines, report: f64) -> anyhow::Result<()> {
    let bytes = size_at(&plain.control_bytes_per_s, BYTES_BOUND - report);
    let cpu = size_at(&plain.control_cpu_share, CPU_BOUND);
    let rss = size_at(&plain.rss_mb, RSS_BOUND);
    writeln!(
        text,
        "By these lines a plain daemon meets the bound on bytes at {bytes}, on processor time at \
         {cpu}, on memory at {rss}."
    )?;
    Ok(())
}

fn size_at(line: &Line, bound: f64) -> String {
    let size = (bound - line.base) / line.slope;
    if line.slope <= 0.0 {
        "no size (the line does not rise)".to_owned()
    } else if size < 0.0 {
        "any size".to_owned()
    } else {
        format!("{size:.0} daemons in a cell")
    }
}

/// Returns the encoded size, in bytes, of the report of a daemon that owns this many upstreams.
pub fn report_bytes(upstreams: usize) -> anyhow::Result<usize> {
    let services = if upstreams == 0 { 0 } else { SERVICES };
    let service = |n: usize| -> anyhow::Result<ServiceId> { Ok(format!("service-{n}").parse()?) };
    let mut inventory = Inventory::default();
    for n in 0..upstreams {
        inventory.upstreams.push(UpstreamReport {
            upstream: format!("replica-z17-{n:05}").parse::<UpstreamId>()?,
            boot: Incarnation(1_796_345_164_000),
            service: service(n % SERVICES)?,
            zone: "region-5-zone-18".parse::<ZoneId>()?,
            price: PriceKind::Cheap,
            capacity: 256,
            inflight: 256,
            version: Some(WeightVersion(100_000)),
            leaving: false,
        });
    }
    for n in 0..services {
        inventory.demand.push(DemandReport {
            service: service(n)?,
            interactive: 1_000,
            rollout: 10_000,
        });
    }
    Ok(codec::encode(&inventory)?.len())
}
