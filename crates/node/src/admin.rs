//! Implements the operators' endpoint for this node.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_control::acceptance;
use cornelridge_control::write;
use cornelridge_model::assignment;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::report;
use cornelridge_model::time;
use cornelridge_store::api as store;
use cornelridge_wire::document;

use crate::configuration;
use crate::context;
use crate::context::lock;
use crate::drain;
use crate::dump;
use crate::operators;
use crate::operators::AdminFuture;
use crate::planning;

/// Operations of a running node for the operators' endpoint.
pub(crate) struct ContextAdmin {
    context: Arc<context::NodeContext>,
    drain_limit: time::Duration,
}

impl ContextAdmin {
    pub(crate) fn new(
        context: Arc<context::NodeContext>,
        drain_limit: time::Duration,
    ) -> ContextAdmin {
        ContextAdmin { context, drain_limit }
    }

    fn node_report(&self, member: &assignment::MemberRecord) -> report::NodeReport {
        let context = &self.context;
        let is_own = member.incarnation == context.identity.incarnation;
        let (own_epoch, own_revision) = context.documents.versions();
        let versions = match is_own {
            true => Some((own_epoch, own_revision)),
            false => context
                .documents
                .peer_versions(member.incarnation)
                .map(|versions| (versions.epoch, versions.revision)),
        };
        let state = match member.state {
            assignment::MemberState::Gone => report::NodeState::Gone,
            _ if planning::is_lost(context, member.incarnation) => report::NodeState::Silent,
            assignment::MemberState::Draining => report::NodeState::Draining,
            assignment::MemberState::Active => report::NodeState::Alive,
        };
        report::NodeReport {
            node: Arc::clone(&member.name),
            zone: Arc::clone(&member.zone),
            incarnation: member.incarnation,
            state,
            revision: versions.map(|(_, revision)| revision),
            epoch: versions.map(|(epoch, _)| epoch),
            lagging: versions.is_some_and(|(_, revision)| revision < own_revision),
            upstream: self.upstream_report(member, is_own),
        }
    }

    fn upstream_report(
        &self,
        member: &assignment::MemberRecord,
        is_own: bool,
    ) -> Option<report::UpstreamReport> {
        if member.class.is_empty() {
            return None;
        }
        let own = self.context.any_upstream().filter(|_| is_own);
        let now = self.context.clock.now();
        let upstream_queue = self.context.upstream_queue();
        let queue = upstream_queue.admission();
        let if_own = |value: u32| if is_own { value } else { 0 };
        Some(report::UpstreamReport {
            class: Arc::clone(&member.class),
            address: own.as_ref().map(|link| link.announcement.address.to_string()),
            in_flight: if_own(queue.running() as u32),
            queued: if_own(queue.queued() as u32),
            limit: if_own(queue.limit(now)),
            accepting: member.state == assignment::MemberState::Active
                && (!is_own || own.is_some() && !self.context.is_draining()),
            checks_fences: member.checks_fences,
        })
    }

    fn class_owners(&self, document: &assignment::AssignmentDocument) -> Vec<report::ClassOwners> {
        let classes = document.classes.iter();
        classes.map(|slices| class_owners(document, slices)).collect()
    }

    /// Writes a document by compare-and-swap; if the response is lost, reads the document back and
    /// compares the change id.
    async fn write_document(
        &self,
        key: &str,
        base: store::StoreRevision,
        change_id: u64,
        value: Bytes,
        read_change_id: fn(&[u8]) -> Option<u64>,
    ) -> write::WriteResult {
        let context = &self.context;
        let mut pending = write::PendingWrite::new(change_id, base.0);
        let mut step = pending.start(context.clock.now());
        loop {
            step = match step {
                write::WriteStep::Done(result) => return result,
                write::WriteStep::Put { if_match, at } => {
                    context.sleep_until(at).await;
                    let expected = store::StoreRevision(if_match);
                    context.meter.count_store_call();
                    let put = context.store.put(key, expected, value.clone()).await;
                    let outcome = match put {
                        Ok(revision) => write::PutOutcome::Written(revision.0),
                        Err(store::StoreError::Conflict { .. }) => write::PutOutcome::Mismatch,
                        Err(_) => write::PutOutcome::Unknown,
                    };
                    pending.on_put(context.clock.now(), outcome)
                }
                write::WriteStep::Read { at } => {
                    context.sleep_until(at).await;
                    context.meter.count_store_call();
                    let outcome = match context.store.get(key).await {
                        Ok(Some(found)) => write::ReadOutcome::Found {
                            revision: found.revision.0,
                            change_id: read_change_id(&found.value),
                        },
                        Ok(None) => write::ReadOutcome::Absent,
                        Err(_) => write::ReadOutcome::Failed,
                    };
                    pending.on_read(context.clock.now(), outcome)
                }
            };
        }
    }

    async fn write_class_change(
        &self,
        change: operators::ClassChange,
    ) -> Result<ident::RevisionNumber, operators::ChangeError> {
        let context = &self.context;
        let kind = configuration::DocumentKind::Classes;
        let key = kind.store_key(&context.identity.region);
        context.meter.count_store_call();
        let stored = context.store.get(&key).await.map_err(|error| unavailable(&error))?;
        let base = stored.as_ref().map_or(store::StoreRevision(0), |value| value.revision);
        let current =
            match &stored {
                Some(value) => serde_json::from_slice::<class::ClassDocument>(&value.value)
                    .map_err(|error| operators::ChangeError::StoreUnavailable {
                        reason: format!("the stored configuration can't be read: {error}"),
                    })?,
                None => class::ClassDocument::default(),
            };
        let next = {
            let mut history = lock(&context.history);
            history.record(&current);
            operators::apply_change(&current, &history, &change, context.random_u64())?
        };
        let bytes = Bytes::from(serde_json::to_vec(&next).unwrap_or_default());
        let read_change_id = |value: &[u8]| {
            let document = serde_json::from_slice::<class::ClassDocument>(value).ok();
            document.map(|document| document.change_id)
        };
        match self.write_document(&key, base, next.change_id, bytes.clone(), read_change_id).await {
            write::WriteResult::Committed(_) => {
                configuration::offer(context, kind, bytes, acceptance::DocumentSource::Store);
                Ok(next.revision)
            }
            // The retry finds the new revision and returns a conflict with the differences.
            write::WriteResult::Conflict(_) => Box::pin(self.write_class_change(change)).await,
            write::WriteResult::Uncertain(_) | write::WriteResult::Unavailable => {
                let reason = "the answer was lost and the store can't be read back".to_owned();
                Err(operators::ChangeError::OutcomeUnknown { reason })
            }
        }
    }

    async fn write_retirement(
        &self,
        node: &str,
        confirmed: bool,
    ) -> Result<report::RetireReport, operators::RetireError> {
        let context = &self.context;
        let name = || Arc::from(node);
        if !confirmed {
            return Err(operators::RetireError::NotConfirmed { node: name() });
        }
        let kind = configuration::DocumentKind::Assignment;
        let key = kind.store_key(&context.identity.region);
        let failed = |error: store::StoreError| operators::RetireError::StoreUnavailable {
            reason: error.to_string(),
        };
        context.meter.count_store_call();
        let stored = context.store.get(&key).await.map_err(failed)?;
        let decoded = stored.and_then(|value| {
            let document = document::decode_assignment(&value.value).ok()?;
            Some((value.revision, document))
        });
        let Some((base, mut next)) = decoded else {
            return Err(operators::RetireError::UnknownNode { node: name() });
        };
        let member = next.members.iter().position(|member| &*member.name == node);
        let Some(member) = member.map(|index| assignment::MemberKey(index as u16)) else {
            return Err(operators::RetireError::UnknownNode { node: name() });
        };
        let incarnation = next.member(member).incarnation;
        if incarnation == context.identity.incarnation || !planning::is_lost(context, incarnation) {
            return Err(operators::RetireError::StillAlive { node: name() });
        }
        let own_leases = next.leases.iter_mut().filter(|lease| lease.holder == member);
        let leases = own_leases.map(|lease| {
            lease.retired = true;
            ident::LeaseId { incarnation, generation: lease.generation }
        });
        let leases = leases.collect();
        next.epoch.0 += 1;
        next.change_id = context.random_u64();
        let bytes = Bytes::from(document::encode_assignment(&next).unwrap_or_default());
        let read_change_id =
            |value: &[u8]| document::decode_assignment(value).ok().map(|doc| doc.change_id);
        match self.write_document(&key, base, next.change_id, bytes.clone(), read_change_id).await {
            write::WriteResult::Committed(_) => {
                configuration::offer(context, kind, bytes, acceptance::DocumentSource::Store);
                Ok(report::RetireReport { node: name(), leases, epoch: next.epoch })
            }
            write::WriteResult::Conflict(_) => {
                Box::pin(self.write_retirement(node, confirmed)).await
            }
            write::WriteResult::Uncertain(_) | write::WriteResult::Unavailable => {
                let reason = "the answer was lost and the store can't be read back".to_owned();
                Err(operators::RetireError::OutcomeUnknown { reason })
            }
        }
    }
}

fn unavailable(error: &store::StoreError) -> operators::ChangeError {
    operators::ChangeError::StoreUnavailable { reason: error.to_string() }
}

fn name_of(
    document: &assignment::AssignmentDocument,
    incarnation: ident::IncarnationId,
) -> Option<Arc<str>> {
    let key = document.member_key(incarnation)?;
    Some(Arc::clone(&document.member(key).name))
}

fn class_owners(
    document: &assignment::AssignmentDocument,
    slices: &assignment::ClassSlices,
) -> report::ClassOwners {
    let mut owners: Vec<report::OwnerCount> = Vec::new();
    for slice in &slices.slices {
        let Some(lease) = slice.chain.first() else { continue };
        let node = &document.holder(*lease).name;
        match owners.iter_mut().find(|owner| owner.node == *node) {
            Some(owner) => owner.slices += 1,
            None => owners.push(report::OwnerCount { node: Arc::clone(node), slices: 1 }),
        }
    }
    owners.sort_by(|a, b| a.node.cmp(&b.node));
    report::ClassOwners {
        class: Arc::clone(&slices.class),
        slices: slices.slices.len() as u32,
        unsettled: slices.slices.iter().filter(|slice| !slice.previous.is_empty()).count() as u32,
        owners,
    }
}

impl operators::NodeAdmin for ContextAdmin {
    fn status(&self) -> report::StatusReport {
        let context = &self.context;
        let document = context.assignment();
        let (epoch, revision) = context.documents.versions();
        let mut nodes: Vec<_> =
            document.members.iter().map(|member| self.node_report(member)).collect();
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let present = nodes.iter().filter(|node| node.state != report::NodeState::Gone);
        let revisions: Option<Vec<_>> = present.map(|node| node.revision).collect();
        report::StatusReport {
            node: Arc::clone(&context.identity.name),
            region: Arc::clone(&context.identity.region),
            zone: Arc::clone(&context.identity.zone),
            incarnation: context.identity.incarnation,
            revision,
            lowest_revision: revisions.and_then(|revisions| revisions.into_iter().min()),
            epoch,
            store_seen: context.acceptors().has_seen_store(),
            planner: context.planner().and_then(|planner| name_of(&document, planner)),
            draining: context.is_draining(),
            nodes,
            classes: self.class_owners(&document),
        }
    }

    fn dump(&self) -> serde_json::Value {
        dump::dump(&self.context)
    }

    fn is_live(&self) -> bool {
        !self.context.executor.stop().is_cancelled()
    }

    fn readiness(&self) -> Result<(), operators::NotReady> {
        readiness(&self.context)
    }

    fn classes(&self) -> class::ClassDocument {
        (*self.context.classes()).clone()
    }

    fn change_class(
        &self,
        change: operators::ClassChange,
    ) -> AdminFuture<'_, Result<ident::RevisionNumber, operators::ChangeError>> {
        Box::pin(self.write_class_change(change))
    }

    fn drain(&self) -> AdminFuture<'_, report::DrainReport> {
        Box::pin(async {
            drain::start(&self.context);
            self.context.drain_requested.cancel();
            report::DrainReport {
                node: Arc::clone(&self.context.identity.name),
                in_flight: self.context.requests.current() as u32,
                slices: drain::owned_slices(&self.context) as u32,
                limit_s: self.drain_limit.as_millis() / 1_000,
            }
        })
    }

    fn owner(&self, class: &str, key: &[u8]) -> Result<report::OwnerReport, operators::NotReady> {
        owner(&self.context, class, key)
    }

    fn retire(
        &self,
        node: &str,
        confirmed: bool,
    ) -> AdminFuture<'_, Result<report::RetireReport, operators::RetireError>> {
        let node: Arc<str> = Arc::from(node);
        Box::pin(async move { self.write_retirement(&node, confirmed).await })
    }
}

fn not_ready(reason: &str, remedy: &str) -> operators::NotReady {
    operators::NotReady { reason: reason.to_owned(), remedy: remedy.to_owned() }
}

/// Checks whether the node accepts requests: it isn't leaving, it has both documents, and it holds
/// a lease if any of its leases hasn't ended.
fn readiness(context: &context::NodeContext) -> Result<(), operators::NotReady> {
    if context.is_leaving() {
        return Err(not_ready("the node is leaving", "send requests to another node"));
    }
    let (epoch, revision) = context.documents.versions();
    if revision.0 == 0 {
        return Err(not_ready("no class configuration", "check the store, or create a class"));
    }
    if epoch.0 == 0 {
        return Err(not_ready("no assignment", "check the store and that a planner runs"));
    }
    let state = context.ownership().state();
    if state.leases.iter().any(|lease| !lease.ended) && !state.leases.iter().any(|l| l.held) {
        return Err(not_ready("the lease isn't held", "check the links to the guards"));
    }
    Ok(())
}

fn owner(
    context: &context::NodeContext,
    class: &str,
    key: &[u8],
) -> Result<report::OwnerReport, operators::NotReady> {
    let document = context.assignment();
    let hash = key::KeyHash::of(class, key);
    let Some(slice_key) = document.locate(class, hash) else {
        return Err(not_ready("the class has no slices yet", "try again in a second"));
    };
    let slice = document.slice(slice_key);
    let route = context.ownership().route(slice_key);
    let chain = slice.chain.iter().map(|lease| {
        let holder = document.holder(*lease);
        report::ChainReport {
            node: Arc::clone(&holder.name),
            zone: Arc::clone(&holder.zone),
            lease: document.lease_id(*lease),
            expired: !route.contains(&holder.incarnation),
        }
    });
    Ok(report::OwnerReport {
        class: Arc::from(class),
        key: String::from_utf8_lossy(key).into_owned(),
        hash: format!("{:016x}", hash.0),
        slice: format!("{:016x}", slice.start.0),
        epoch: document.epoch,
        owner: route.first().and_then(|holder| name_of(&document, *holder)),
        settled: slice.previous.is_empty(),
        since: slice.since,
        chain: chain.collect(),
    })
}
