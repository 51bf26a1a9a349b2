//! Dumps the state of a node as JSON, without secrets and request contents.

use cornelridge_model::time;
use serde_json::{Value, json};

use crate::context;

/// Returns the current state of the node.
pub(crate) fn dump(context: &context::NodeContext) -> Value {
    let (epoch, revision) = context.documents.versions();
    json!({
        "node": context.identity.name,
        "region": context.identity.region,
        "zone": context.identity.zone,
        "incarnation": context.identity.incarnation.to_string(),
        "epoch": epoch.0,
        "revision": revision.0,
        "store_seen": context.acceptors().has_seen_store(),
        "draining": context.is_draining(),
        "requests_in_flight": context.requests.current(),
        "caller_connections": context.caller_connections.current(),
        "peer_connections": context.endpoint.connection_count(),
        "ownership": ownership(context),
        "members": members(context),
        "upstream": upstream(context),
        "records": records(context),
        "retry_budgets": retry_budgets(context),
        "ejected_workers": ejected(context),
        "quarantine": quarantine(context),
    })
}

fn millis(duration: time::Duration) -> u64 {
    duration.as_millis()
}

fn ownership(context: &context::NodeContext) -> Value {
    let now = context.clock.now();
    let state = context.ownership().state();
    let leases: Vec<_> = state
        .leases
        .iter()
        .map(|lease| {
            let guards: Vec<_> = lease
                .guards
                .iter()
                .map(|guard| {
                    json!({
                        "guard": guard.guard.to_string(),
                        "acknowledgement_age_ms": guard.acknowledgement_age.map(millis),
                        "refused": guard.refused,
                    })
                })
                .collect();
            json!({
                "lease": lease.lease.to_string(),
                "held": lease.held,
                "ended": lease.ended,
                "valid_for_ms": lease.valid_until.map(|until| millis(until.since(now))),
                "guards": guards,
            })
        })
        .collect();
    let guarded: Vec<_> = state
        .guarded_leases
        .iter()
        .map(|lease| {
            json!({
                "lease": lease.lease.to_string(),
                "silence_ms": millis(lease.silence),
                "vouched": lease.vouched,
            })
        })
        .collect();
    let unsettled: Vec<_> = state
        .unsettled
        .iter()
        .map(|slice| {
            let waiting: Vec<_> = slice.waiting_for.iter().map(ToString::to_string).collect();
            json!({
                "class": slice.class,
                "start": format!("{:016x}", slice.start.0),
                "since": slice.since.0,
                "waiting_for": waiting,
            })
        })
        .collect();
    let expired: Vec<_> = state.expired.iter().map(|entry| entry.lease.to_string()).collect();
    json!({
        "confirmed_epoch": state.confirmed.0,
        "leases": leases,
        "guard_duties": guarded,
        "expired_leases": expired,
        "unsettled_slices": unsettled,
        "slices_served": state.serving,
        "work_in_flight": state.in_flight,
        "work_ending": state.work_ending,
        "isolated": state.isolated,
    })
}

fn members(context: &context::NodeContext) -> Value {
    let document = context.assignment();
    let liveness = context.liveness();
    let members: Vec<_> = document
        .members
        .iter()
        .map(|member| {
            json!({
                "node": member.name,
                "incarnation": member.incarnation.to_string(),
                "zone": member.zone,
                "class": member.class,
                "address": member.address.to_string(),
                "state": format!("{:?}", member.state),
                "liveness": format!("{:?}", liveness.state(member.incarnation)),
            })
        })
        .collect();
    Value::from(members)
}

fn upstream(context: &context::NodeContext) -> Value {
    let now = context.clock.now();
    let Some(link) = context.any_upstream() else { return Value::Null };
    let upstream_queue = context.upstream_queue();
    let queue = upstream_queue.admission();
    json!({
        "class": link.announcement.class,
        "address": link.announcement.address.to_string(),
        "slots": link.announcement.slots,
        "connections": link.announcement.connections,
        "checks_fences": link.announcement.checks_fences,
        "leaving": link.announcement.leaving,
        "running": queue.running(),
        "queued": queue.queued(),
        "limit": queue.limit(now),
    })
}

fn records(context: &context::NodeContext) -> Value {
    let table = context.records();
    json!({ "count": table.len(), "answer_bytes": table.response_bytes() })
}

fn retry_budgets(context: &context::NodeContext) -> Value {
    let budgets = context.policies.budgets();
    budgets.into_iter().map(|(class, tokens)| json!({ "class": class, "tokens": tokens })).collect()
}

fn ejected(context: &context::NodeContext) -> Value {
    let ejected = context.workers.ejected();
    ejected.into_iter().map(|(class, count)| json!({ "class": class, "count": count })).collect()
}

fn quarantine(context: &context::NodeContext) -> Value {
    let notices = context.suspects().notices(context.clock.now());
    notices.into_iter().map(|notice| Value::from(format!("{notice:?}"))).collect()
}
