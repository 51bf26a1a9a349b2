//! Output of commands as tables, sentences and JSON.

use cornelridge_model::class;
use cornelridge_model::report;
use serde::Serialize;

/// Formats a value as indented JSON.
pub(crate) fn json(value: &impl Serialize) -> String {
    // Reports have only string keys, so serialising can't fail.
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

/// Formats the list of classes.
pub(crate) fn classes(document: &class::ClassDocument) -> String {
    let mut rows = vec![to_row(&[
        "CLASS",
        "DIVISION",
        "IDEMPOTENT",
        "TARGET",
        "DEADLINE",
        "YIELD-RANK",
        "BULK",
        "PREFER",
    ])];
    rows.extend(document.classes.iter().map(|class| {
        vec![
            class.name.to_string(),
            serialised_name(&class.division),
            class.idempotent.to_string(),
            format!("{} ms p{}", class.target_ms, class.target_percentile),
            format!("{} ms", class.deadline_ms),
            class.yield_rank.to_string(),
            class.bulk.to_string(),
            serialised_name(&class.prefer),
        ]
    }));
    format!("revision {}\n\n{}", document.revision, align(&rows))
}

/// Formats a class with the revision of the configuration.
pub(crate) fn class(class_report: &report::ClassReport) -> String {
    let class = &class_report.class;
    let rows = [
        ("name", class.name.to_string()),
        ("division", serialised_name(&class.division)),
        ("idempotent", class.idempotent.to_string()),
        ("target_ms", class.target_ms.to_string()),
        ("target_percentile", class.target_percentile.to_string()),
        ("deadline_ms", class.deadline_ms.to_string()),
        ("yield_rank", class.yield_rank.to_string()),
        ("bulk", class.bulk.to_string()),
        ("record_window_s", class.record_window_s.to_string()),
        ("prefer", serialised_name(&class.prefer)),
        ("revision", class_report.revision.to_string()),
    ];
    align(&rows.map(|(name, value)| vec![name.to_owned(), value]))
}

/// Formats an accepted change.
pub(crate) fn change(name: &str, change: report::ChangeReport) -> String {
    let revision = change.revision;
    format!(
        "class {}: accepted as revision {revision}; cornelctl status shows where it is in force\n",
        escape_control(name)
    )
}

/// Formats nodes, revisions in force, upstreams and owners.
pub(crate) fn status(status: &report::StatusReport) -> String {
    let mut text = align(&[
        vec!["node".to_owned(), format!("{} ({}, {})", status.node, status.region, status.zone)],
        vec!["revision".to_owned(), revisions(status)],
        vec!["epoch".to_owned(), status.epoch.to_string()],
        vec!["planner".to_owned(), or_dash(status.planner.as_ref())],
        vec!["store".to_owned(), if status.store_seen { "seen" } else { "not seen" }.to_owned()],
        vec!["draining".to_owned(), status.draining.to_string()],
    ]);
    let mut rows = vec![to_row(&["NODE", "ZONE", "STATE", "REVISION", "EPOCH", "UPSTREAM"])];
    rows.extend(status.nodes.iter().map(|node| {
        vec![
            node.node.to_string(),
            node.zone.to_string(),
            node.state.to_string(),
            or_dash(node.revision.as_ref()) + if node.lagging { " (lagging)" } else { "" },
            or_dash(node.epoch.as_ref()),
            node.upstream.as_ref().map_or_else(|| "-".to_owned(), upstream),
        ]
    }));
    text += &format!("\n{}", align(&rows));
    if !status.classes.is_empty() {
        let mut rows = vec![to_row(&["CLASS", "SLICES", "UNSETTLED", "OWNERS"])];
        rows.extend(status.classes.iter().map(class_owners));
        text += &format!("\n{}", align(&rows));
    }
    let is_lagging = |node: &&report::NodeReport| node.lagging;
    let lagging: Vec<_> = status.nodes.iter().filter(is_lagging).map(|node| &*node.node).collect();
    if !lagging.is_empty() {
        text += &format!("\nlagging: {}\n", escape_control(&lagging.join(", ")));
    }
    text
}

/// Formats the owner and the chain of a key.
pub(crate) fn owner(owner: &report::OwnerReport) -> String {
    let mut text = align(&[
        vec!["class".to_owned(), owner.class.to_string()],
        vec!["key".to_owned(), owner.key.clone()],
        vec!["hash".to_owned(), owner.hash.clone()],
        vec!["slice".to_owned(), format!("from {}", owner.slice)],
        vec!["epoch".to_owned(), format!("{} (chain since {})", owner.epoch, owner.since)],
        vec!["owner".to_owned(), or_dash(owner.owner.as_ref())],
        vec!["settled".to_owned(), owner.settled.to_string()],
    ]);
    let mut rows = vec![to_row(&["CHAIN", "ZONE", "LEASE", "EXPIRED"])];
    rows.extend(owner.chain.iter().map(|member| {
        vec![
            member.node.to_string(),
            member.zone.to_string(),
            member.lease.to_string(),
            member.expired.to_string(),
        ]
    }));
    text += &format!("\n{}", align(&rows));
    text
}

/// Formats a drain that has started.
pub(crate) fn drain(drain: &report::DrainReport) -> String {
    format!(
        "node {}: drain begun; {} requests in flight and {} slices to hand over, at most {} s\n",
        escape_control(&drain.node),
        drain.in_flight,
        drain.slices,
        drain.limit_s
    )
}

/// Formats a retired node with its leases.
pub(crate) fn retired(retired: &report::RetireReport) -> String {
    let leases: Vec<_> = retired.leases.iter().map(ToString::to_string).collect();
    format!(
        "node {}: leases {} count as expired from epoch {} on\n",
        escape_control(&retired.node),
        leases.join(", "),
        retired.epoch
    )
}

/// Formats an error with its remedy; for a conflict, with the differences and how to retry.
pub(crate) fn error(report: &report::ErrorReport) -> String {
    let mut text =
        format!("{} ({})\n", escape_control(&report.message), escape_control(&report.error));
    let Some(conflict) = &report.conflict else {
        return text + &escape_control(&report.remedy);
    };
    text += &format!("Revision {}; {}:\n", conflict.current, conflict.compared);
    for difference in &conflict.differences {
        text += &format!("  {} {}\n", escape_control(&difference.class), difference.kind);
        for field in &difference.fields {
            let (before, current) = (escape_control(&field.before), escape_control(&field.current));
            text += &format!("    {}: {before} -> {current}\n", escape_control(&field.field));
        }
    }
    let current = conflict.current;
    text + &format!("To retry, check the differences and use --expected-revision {current}.")
}

fn revisions(status: &report::StatusReport) -> String {
    match status.lowest_revision {
        Some(lowest) => format!("{}; lowest in force {lowest}", status.revision),
        None => format!("{}; lowest in force is not known", status.revision),
    }
}

fn upstream(upstream: &report::UpstreamReport) -> String {
    let accepting = if upstream.accepting { "" } else { ", takes no new work" };
    let fences = if upstream.checks_fences { "" } else { ", does not check fences" };
    format!(
        "{}: {} of {} in flight, {} queued{accepting}{fences}",
        upstream.class, upstream.in_flight, upstream.limit, upstream.queued
    )
}

fn class_owners(class: &report::ClassOwners) -> Vec<String> {
    let owners = class.owners.iter().map(|owner| format!("{} {}", owner.node, owner.slices));
    let owners: Vec<_> = owners.collect();
    vec![
        class.class.to_string(),
        class.slices.to_string(),
        class.unsettled.to_string(),
        owners.join(", "),
    ]
}

pub(crate) fn to_row(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

pub(crate) fn or_dash(value: Option<&impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Returns the name of an enum value as in JSON.
fn serialised_name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Escapes control characters, which could change what the terminal shows.
fn escape_control(text: &str) -> String {
    let escape = |c: char| if c.is_control() { c.escape_default().to_string() } else { c.into() };
    text.chars().map(escape).collect()
}

/// Formats rows as a table: the cells of a column have equal width, two spaces apart.
pub(crate) fn align(rows: &[Vec<String>]) -> String {
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| row.iter().map(|cell| escape_control(cell)).collect()).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}
