//! What the planner remembers between calls about members and leases.

use std::collections::{BTreeMap, BTreeSet};

use cornelridge_model::{assignment, ident, time};

use super::input::{MemberReport, PlannerInput};

/// A member is replaced only when liveness has held it lost for this long, unless its lease has
/// expired: one failed round of probes moves nothing.
const LOST_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// A member without an upstream keeps its slices for this long, unless it released its lease.
const UPSTREAM_GRACE_PERIOD: time::Duration = time::Duration::from_secs(10);
/// A guard is replaced when the holder has found it silent for this long.
const GUARD_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// A member whose registration has disappeared counts as present while its reports are this new.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(30);
/// A report shows that a member outlived the expiry of its lease only if it arrived this much
/// later; an earlier one may have been on its way when the member was lost.
const REVIVAL_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Facts about members and leases, gathered from all inputs so far.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    confirmed: BTreeMap<ident::IncarnationId, ident::EpochNumber>,
    reported_at: BTreeMap<ident::IncarnationId, time::Instant>,
    draining: BTreeSet<ident::IncarnationId>,
    upstream_missing_since: BTreeMap<ident::IncarnationId, time::Instant>,
    lost: BTreeMap<ident::IncarnationId, time::Instant>,
    silent_guards: BTreeMap<(ident::IncarnationId, ident::IncarnationId), time::Instant>,
    expired: BTreeMap<ident::LeaseId, time::Instant>,
    /// Members whose report is newer than in the call before.
    newly_reported: BTreeSet<ident::IncarnationId>,
}

impl Observations {
    pub(crate) fn observe(&mut self, now: time::Instant, input: &PlannerInput) {
        self.newly_reported.clear();
        input.reports.iter().for_each(|report| self.observe_report(now, report));
        self.lost.retain(|member, _| input.lost.contains(member));
        for member in &input.lost {
            self.lost.entry(*member).or_insert(now);
        }
        for lease in input.expired.iter().chain(&input.retired) {
            self.expired.entry(*lease).or_insert(now);
        }
    }

    fn observe_report(&mut self, now: time::Instant, report: &MemberReport) {
        let member = report.incarnation;
        let arrived = time::Instant(now.0.saturating_sub(report.age.0));
        let confirmed = self.confirmed.entry(member).or_default();
        *confirmed = report.confirmed_epoch.max(*confirmed);
        if self.reported_at.get(&member).is_some_and(|last| *last >= arrived) {
            return;
        }
        self.reported_at.insert(member, arrived);
        self.newly_reported.insert(member);
        if report.draining {
            self.draining.insert(member);
        } else {
            self.draining.remove(&member);
        }
        if report.has_upstream {
            self.upstream_missing_since.remove(&member);
        } else {
            self.upstream_missing_since.entry(member).or_insert(arrived);
        }
        let is_silent = |guard: &ident::IncarnationId| report.silent_guards.contains(guard);
        self.silent_guards.retain(|(holder, guard), _| *holder != member || is_silent(guard));
        for guard in &report.silent_guards {
            self.silent_guards.entry((member, *guard)).or_insert(arrived);
        }
    }

    /// Drops what is known about members and leases that no document or input names any more.
    pub(crate) fn prune(
        &mut self,
        document: &assignment::AssignmentDocument,
        input: &PlannerInput,
    ) {
        let documented = document.members.iter().map(|member| member.incarnation);
        let registered = input.registrations.iter().map(|member| member.incarnation);
        let known = documented.chain(registered).collect::<BTreeSet<_>>();
        self.confirmed.retain(|member, _| known.contains(member));
        self.reported_at.retain(|member, _| known.contains(member));
        self.draining.retain(|member| known.contains(member));
        self.upstream_missing_since.retain(|member, _| known.contains(member));
        self.silent_guards.retain(|(holder, _), _| known.contains(holder));
        self.expired.retain(|lease, _| known.contains(&lease.incarnation));
    }

    /// Whether the member has ended its work for every slice that it lost up to `epoch`.
    pub(crate) fn has_confirmed(
        &self,
        member: ident::IncarnationId,
        epoch: ident::EpochNumber,
    ) -> bool {
        self.confirmed.get(&member).is_some_and(|confirmed| *confirmed >= epoch)
    }

    pub(crate) fn is_expired(&self, lease: ident::LeaseId) -> bool {
        self.expired.contains_key(&lease)
    }

    /// Highest generation of the member among the expired leases.
    pub(crate) fn highest_expired(&self, member: ident::IncarnationId) -> u32 {
        let leases = self.expired.keys().filter(|lease| lease.incarnation == member);
        leases.map(|lease| lease.generation).max().unwrap_or(0)
    }

    /// Whether the member has reported since this lease of it expired.
    pub(crate) fn has_reported_since_expiry(&self, lease: ident::LeaseId) -> bool {
        let Some(expired) = self.expired.get(&lease) else { return true };
        let reported = self.reported_at.get(&lease.incarnation);
        reported.is_some_and(|at| *at > *expired + REVIVAL_DELAY)
    }

    pub(crate) fn is_draining(&self, member: ident::IncarnationId) -> bool {
        self.draining.contains(&member)
    }

    pub(crate) fn has_new_report(&self, member: ident::IncarnationId) -> bool {
        self.newly_reported.contains(&member)
    }

    pub(crate) fn has_recent_report(
        &self,
        now: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        self.reported_at.get(&member).is_some_and(|at| now.since(*at) <= MAX_REPORT_AGE)
    }

    /// Whether the member reports; all count as reporting while no report has arrived at all, as
    /// before the first document. Registrations of hosts that are gone stay in the store.
    pub(crate) fn is_reporting(&self, now: time::Instant, member: ident::IncarnationId) -> bool {
        self.reported_at.is_empty() || self.has_recent_report(now, member)
    }

    /// Whether liveness holds the member lost, however briefly; it then gets no new duty.
    pub(crate) fn is_reported_lost(&self, member: ident::IncarnationId) -> bool {
        self.lost.contains_key(&member)
    }

    pub(crate) fn is_lost(&self, now: time::Instant, member: ident::IncarnationId) -> bool {
        self.lost.get(&member).is_some_and(|since| now.since(*since) >= LOST_GRACE_PERIOD)
    }

    /// Whether the upstream of the member has been missing for longer than a restart takes.
    pub(crate) fn is_upstream_lost(
        &self,
        now: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let since = self.upstream_missing_since.get(&member);
        since.is_some_and(|since| now.since(*since) >= UPSTREAM_GRACE_PERIOD)
    }

    /// Whether the upstream of the member was missing in its newest report.
    pub(crate) fn is_upstream_missing(&self, member: ident::IncarnationId) -> bool {
        self.upstream_missing_since.contains_key(&member)
    }

    /// Whether the holder has found this guard silent for long enough to replace it.
    pub(crate) fn is_guard_lost(
        &self,
        now: time::Instant,
        holder: ident::IncarnationId,
        guard: ident::IncarnationId,
    ) -> bool {
        let since = self.silent_guards.get(&(holder, guard));
        since.is_some_and(|since| now.since(*since) >= GUARD_GRACE_PERIOD)
    }

    /// Whether the holder has found this guard silent at all.
    pub(crate) fn is_guard_silent(
        &self,
        holder: ident::IncarnationId,
        guard: ident::IncarnationId,
    ) -> bool {
        self.silent_guards.contains_key(&(holder, guard))
    }
}
