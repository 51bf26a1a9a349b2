//! Registers this node in the store, and runs the planner while this node holds its lease.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_control::acceptance;
use cornelridge_control::liveness;
use cornelridge_control::planner;
use cornelridge_model::assignment;
use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_store::api as store;
use cornelridge_wire::document;
use cornelridge_wire::generated;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};

use crate::configuration;
use crate::context;
use crate::peers;

/// Interval between the planner's rounds, which bounds the time to notice a leaving node.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Planner rounds between two renewals of its lease.
const ROUNDS_PER_RENEWAL: u64 = 12;
/// Planner rounds between two attempts to acquire the lease by a relay that doesn't hold it.
const ROUNDS_PER_ACQUISITION: u64 = 4;
/// Lifetime of the planner's lease.
const LEASE_TTL: std::time::Duration = std::time::Duration::from_secs(10);
/// Planner rounds between two collections of member reports.
const ROUNDS_PER_COLLECTION: u64 = 2;
/// Time limit for fetching the report of a member.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Delay before a failed registration is retried.
const REGISTRATION_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Registration of a node in the store, under `nodes/REGION/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeRegistration {
    /// Identifies the run of the process.
    pub(crate) incarnation: ident::IncarnationId,
    /// Address for QUIC between nodes.
    pub(crate) address: std::net::SocketAddr,
    /// Availability zone.
    pub(crate) zone: Arc<str>,
    /// Class of the upstream; empty without one.
    pub(crate) class: Arc<str>,
    /// Whether the upstream checks fence tokens.
    pub(crate) checks_fences: bool,
    /// Whether the node is leaving or has left.
    pub(crate) leaving: bool,
}

/// Requests that the registration is written again if it has changed.
pub(crate) fn request_registration(context: &context::NodeContext) {
    let _ = context.registration_requests.0.try_send(());
}

/// Writes the registration to the store whenever it has changed.
pub(crate) async fn maintain_registration(context: Arc<context::NodeContext>) {
    let key = registration_key(&context, &context.identity.name);
    let mut written = None;
    while context.registration_requests.1.recv().await.is_ok() {
        loop {
            let desired = own_registration(&context);
            if written.as_ref() == Some(&desired) {
                break;
            }
            match write_registration(&context, &key, &desired).await {
                Ok(()) => written = Some(desired),
                Err(error) => {
                    log::warn!("failed to register the node in the store: {error}");
                    context.sleep(REGISTRATION_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn registration_key(context: &context::NodeContext, name: &str) -> String {
    format!("nodes/{}/{name}", context.identity.region)
}

fn own_registration(context: &context::NodeContext) -> NodeRegistration {
    let link = context.any_upstream();
    let announcement = link.as_ref().map(|link| &link.announcement);
    NodeRegistration {
        incarnation: context.identity.incarnation,
        address: context.advertised_address,
        zone: Arc::clone(&context.identity.zone),
        class: announcement.map_or_else(|| Arc::from(""), |known| Arc::clone(&known.class)),
        checks_fences: announcement.is_some_and(|known| known.checks_fences),
        leaving: context.is_draining(),
    }
}

async fn write_registration(
    context: &context::NodeContext,
    key: &str,
    desired: &NodeRegistration,
) -> Result<(), store::StoreError> {
    context.meter.count_store_call();
    let current = context.store.get(key).await?;
    let revision = current.map_or(store::StoreRevision(0), |value| value.revision);
    let value = serde_json::to_vec(desired).unwrap_or_default();
    context.meter.count_store_call();
    context.store.put(key, revision, Bytes::from(value)).await?;
    Ok(())
}

/// Registrations by key; each is read again only when its revision has changed.
#[derive(Debug, Default)]
struct RegistrationCache {
    entries: HashMap<Arc<str>, (store::StoreRevision, Option<NodeRegistration>)>,
}

impl RegistrationCache {
    async fn refresh(&mut self, context: &context::NodeContext) -> Result<(), store::StoreError> {
        let prefix = registration_key(context, "");
        context.meter.count_store_call();
        let listed = context.store.list(&prefix).await?;
        self.entries.retain(|key, _| listed.iter().any(|entry| entry.key == *key));
        for entry in listed {
            let known = self.entries.get(&entry.key).map(|(revision, _)| *revision);
            if known == Some(entry.revision) {
                continue;
            }
            context.meter.count_store_call();
            let Some(value) = context.store.get(&entry.key).await? else { continue };
            let decoded = serde_json::from_slice(&value.value);
            if let Err(error) = &decoded {
                log::warn!("invalid registration {} ignored: {error}", entry.key);
            }
            self.entries.insert(entry.key, (value.revision, decoded.ok()));
        }
        Ok(())
    }

    /// Returns the registered nodes except those that have left, sorted by name.
    fn members(&self, context: &context::NodeContext) -> Vec<planner::MemberRegistration> {
        let document = context.assignment();
        let has_left = |entry: &NodeRegistration| {
            let is_member = document.member_key(entry.incarnation).is_some();
            entry.leaving && (!is_member || is_lost(context, entry.incarnation))
        };
        let entries = self.entries.iter();
        let entries = entries.filter_map(|(key, (_, entry))| Some((key, entry.as_ref()?)));
        let entries = entries.filter(|(_, entry)| !has_left(entry));
        let mut members: Vec<_> = entries
            .map(|(key, entry)| planner::MemberRegistration {
                name: key.rsplit('/').next().unwrap_or_default().into(),
                incarnation: entry.incarnation,
                address: entry.address,
                zone: Arc::clone(&entry.zone),
                class: Arc::clone(&entry.class),
                checks_fences: entry.checks_fences,
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }
}

/// Runs the planner of the region while this node holds the planner's lease.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    let mut role = PlannerRole::default();
    for round in 0_u64.. {
        context.sleep(ROUND_INTERVAL).await;
        if !configuration::is_relay(&context) || context.is_leaving() {
            role.release_lease(&context).await;
            continue;
        }
        if let Err(error) = role.run_round(&context, round).await {
            log::warn!("planner round failed: {error}");
        }
    }
}

#[derive(Debug, Default)]
struct PlannerRole {
    planner: planner::Planner,
    cache: RegistrationCache,
    reports: HashMap<ident::IncarnationId, (time::Instant, planner::MemberReport)>,
    expired: Vec<ident::LeaseId>,
    lease_until: Option<time::Instant>,
}

impl PlannerRole {
    async fn run_round(
        &mut self,
        context: &Arc<context::NodeContext>,
        round: u64,
    ) -> Result<(), store::StoreError> {
        if round.is_multiple_of(ROUNDS_PER_RENEWAL)
            || self.lease_until.is_none() && round.is_multiple_of(ROUNDS_PER_ACQUISITION)
        {
            self.renew_lease(context).await?;
        }
        if self.lease_until.is_none_or(|until| context.clock.now() >= until) {
            return Ok(());
        }
        self.cache.refresh(context).await?;
        if round.is_multiple_of(ROUNDS_PER_COLLECTION) {
            self.collect_reports(context).await;
        }
        self.plan(context).await
    }

    async fn renew_lease(
        &mut self,
        context: &context::NodeContext,
    ) -> Result<(), store::StoreError> {
        let requested_at = context.clock.now();
        let key = lease_key(context);
        let holder = context.identity.incarnation.to_string();
        context.meter.count_store_call();
        let response = context.store.acquire_lease(&key, &holder, LEASE_TTL).await?;
        let is_held = response == store::LeaseOutcome::Held;
        let (planner, remaining) = match &response {
            store::LeaseOutcome::Held => (Some(context.identity.incarnation), LEASE_TTL),
            store::LeaseOutcome::HeldByOther { holder, remaining } => {
                let holder = u64::from_str_radix(holder, 16);
                (holder.ok().map(ident::IncarnationId), *remaining)
            }
        };
        let until = requested_at + time::Duration(remaining.as_micros() as u64);
        context.set_planner(planner.map(|planner| (planner, until)));
        if is_held && self.lease_until.is_none() {
            log::info!("this node is now the planner of region {}", context.identity.region);
        }
        let ttl = time::Duration(LEASE_TTL.as_micros() as u64);
        self.lease_until = is_held.then_some(requested_at + ttl);
        Ok(())
    }

    async fn release_lease(&mut self, context: &context::NodeContext) {
        if self.lease_until.take().is_none() {
            return;
        }
        context.set_planner(None);
        let holder = context.identity.incarnation.to_string();
        context.meter.count_store_call();
        if let Err(error) = context.store.release_lease(&lease_key(context), &holder).await {
            log::debug!("failed to release the planner's lease, which will expire: {error}");
        }
    }

    /// Fetches the reports of all members.
    async fn collect_reports(&mut self, context: &Arc<context::NodeContext>) {
        let document = context.assignment();
        let members: Vec<_> = document.members.iter().map(|member| member.incarnation).collect();
        let tasks: Vec<_> = members
            .iter()
            .map(|member| {
                let (node, member) = (Arc::clone(context), *member);
                smol::spawn(async move { fetch_report(&node, member).await })
            })
            .collect();
        self.expired.clear();
        for task in tasks {
            if let Some((report, expired)) = task.await {
                let received = context.clock.now();
                self.reports.insert(report.incarnation, (received, report));
                self.expired.extend(expired);
            }
        }
        self.expired.sort_unstable();
        self.expired.dedup();
        self.reports.retain(|member, _| members.contains(member));
    }

    fn aged_reports(&self, now: time::Instant) -> Vec<planner::MemberReport> {
        let reports = self.reports.values();
        let aged = reports.map(|(received, report)| planner::MemberReport {
            age: now.since(*received),
            ..report.clone()
        });
        aged.collect()
    }

    async fn plan(&mut self, context: &Arc<context::NodeContext>) -> Result<(), store::StoreError> {
        let key = configuration::DocumentKind::Assignment.store_key(&context.identity.region);
        let current = context.assignment();
        let input = planner::PlannerInput {
            current: (current.epoch.0 > 0).then(|| Arc::clone(&current)),
            change_id: context.random_u64(),
            registrations: self.cache.members(context),
            reports: self.aged_reports(context.clock.now()),
            lost: context.liveness().lost(),
            expired: self.expired.clone(),
            retired: Vec::new(),
            classes: (*context.classes()).clone(),
        };
        let Some(next) = self.planner.plan(context.clock.now(), &input) else { return Ok(()) };
        context.meter.count_store_call();
        let stored = context.store.get(&key).await?;
        let revision = stored.as_ref().map_or(store::StoreRevision(0), |value| value.revision);
        let stored_epoch = match &stored {
            Some(value) => document::decode_assignment(&value.value).ok().map(|doc| doc.epoch),
            None => Some(ident::EpochNumber(0)),
        };
        if stored_epoch != Some(current.epoch) {
            // Another planner has written an assignment, which the watch would deliver as well.
            if let Some(value) = stored {
                let source = acceptance::DocumentSource::Store;
                let kind = configuration::DocumentKind::Assignment;
                configuration::offer(context, kind, value.value, source);
            }
            return Ok(());
        }
        self.write_assignment(context, &key, revision, &next).await
    }

    async fn write_assignment(
        &mut self,
        context: &Arc<context::NodeContext>,
        key: &str,
        revision: store::StoreRevision,
        next: &assignment::AssignmentDocument,
    ) -> Result<(), store::StoreError> {
        let bytes = match document::encode_assignment(next) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                log::error!("failed to encode the planned assignment: {error}");
                return Ok(());
            }
        };
        context.meter.count_store_call();
        // If the response is lost, the next round reads the document back.
        context.store.put(key, revision, bytes.clone()).await?;
        log::info!("assignment epoch {} written", next.epoch);
        let kind = configuration::DocumentKind::Assignment;
        configuration::offer(context, kind, bytes, acceptance::DocumentSource::Store);
        Ok(())
    }
}

fn lease_key(context: &context::NodeContext) -> String {
    format!("planner/{}", context.identity.region)
}

async fn fetch_report(
    context: &Arc<context::NodeContext>,
    member: ident::IncarnationId,
) -> Option<(planner::MemberReport, Vec<ident::LeaseId>)> {
    if member == context.identity.incarnation {
        return Some(report_from_wire(member, crate::report::status(context)));
    }
    let address = context.address_of(member)?;
    let exchange = async {
        let kind = Some(generated::stream_head::Kind::StatusFetch(generated::StatusFetch {}));
        let head = generated::StreamHead { kind };
        let (mut writer, mut reader) =
            context.endpoint.open_stream_queued(address, &head).await.ok()?;
        writer.finish().await.ok()?;
        reader.receive_document::<generated::StatusAnswer>().await.ok()?
    };
    let timeout = async {
        context.sleep(REPORT_TIMEOUT).await;
        None
    };
    exchange.or(timeout).await.map(|answer| report_from_wire(member, answer))
}

fn report_from_wire(
    member: ident::IncarnationId,
    answer: generated::StatusAnswer,
) -> (planner::MemberReport, Vec<ident::LeaseId>) {
    let loads = answer.loads.into_iter().map(|load| planner::SliceLoad {
        class: load.class.into(),
        start: key::KeyHash(load.start),
        rate: load.rate,
    });
    let hot_keys = answer.hot_keys.into_iter().map(|hot| planner::HotKey {
        class: hot.class.into(),
        hash: key::KeyHash(hot.hash),
        rate: hot.rate,
    });
    let silent = answer.silent_guards.into_iter().map(ident::IncarnationId);
    let expired = answer.expired.into_iter();
    let expired = expired.filter_map(|lease| peers::lease_from_wire(Some(lease))).collect();
    let report = planner::MemberReport {
        incarnation: member,
        age: time::Duration::ZERO,
        epoch: ident::EpochNumber(answer.versions.map_or(0, |versions| versions.epoch)),
        confirmed_epoch: ident::EpochNumber(answer.confirmed_epoch),
        has_upstream: answer.has_upstream,
        draining: answer.draining,
        silent_guards: silent.collect(),
        loads: loads.collect(),
        hot_keys: hot_keys.collect(),
    };
    (report, expired)
}

/// Returns whether a member other than this node is considered lost.
pub(crate) fn is_lost(context: &context::NodeContext, member: ident::IncarnationId) -> bool {
    member != context.identity.incarnation
        && context.liveness().state(member) == liveness::PeerState::Lost
}
