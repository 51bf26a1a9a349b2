//! State of members and leases that the planner keeps between calls.

use std::collections::{BTreeMap, BTreeSet};

use cornelridge_model::{assignment, ident, time};

use super::input::{MemberReport, PlannerInput};

/// Time for which liveness must report a member as lost before the member is replaced, unless its
/// lease has expired. A single failed round of probes moves no slices.
const LOST_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Time for which a member without an upstream keeps its slices, unless it released its lease.
const UPSTREAM_GRACE_PERIOD: time::Duration = time::Duration::from_secs(10);
/// Time for which the holder must report a guard as silent before the guard is replaced.
const GUARD_GRACE_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Age of the newest report up to which a member without a registration is considered present.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(30);
/// Time after the expiry of a lease from which a report shows that the member is still alive. An
/// earlier report may have been sent before the member was lost.
const REVIVAL_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// State of members and leases from all inputs so far.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    confirmed_epochs: BTreeMap<ident::IncarnationId, ident::EpochNumber>,
    reported_at: BTreeMap<ident::IncarnationId, time::Instant>,
    draining: BTreeSet<ident::IncarnationId>,
    upstream_missing_since: BTreeMap<ident::IncarnationId, time::Instant>,
    lost_since: BTreeMap<ident::IncarnationId, time::Instant>,
    silent_guards: BTreeMap<(ident::IncarnationId, ident::IncarnationId), time::Instant>,
    expired_at: BTreeMap<ident::LeaseId, time::Instant>,
    /// Members whose report is newer than in the previous call.
    newly_reported: BTreeSet<ident::IncarnationId>,
}

impl Observations {
    pub(crate) fn observe(&mut self, now: time::Instant, input: &PlannerInput) {
        self.newly_reported.clear();
        input.reports.iter().for_each(|report| self.observe_report(now, report));
        self.lost_since.retain(|member, _| input.lost.contains(member));
        for member in &input.lost {
            self.lost_since.entry(*member).or_insert(now);
        }
        for lease in input.expired.iter().chain(&input.retired) {
            self.expired_at.entry(*lease).or_insert(now);
        }
    }

    fn observe_report(&mut self, now: time::Instant, report: &MemberReport) {
        let member = report.incarnation;
        let arrived = time::Instant(now.0.saturating_sub(report.age.0));
        let confirmed = self.confirmed_epochs.entry(member).or_default();
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

    /// Removes members and leases that are neither in the document nor registered.
    pub(crate) fn prune(
        &mut self,
        document: &assignment::AssignmentDocument,
        input: &PlannerInput,
    ) {
        let documented = document.members.iter().map(|member| member.incarnation);
        let registered = input.registrations.iter().map(|member| member.incarnation);
        let known = documented.chain(registered).collect::<BTreeSet<_>>();
        self.confirmed_epochs.retain(|member, _| known.contains(member));
        self.reported_at.retain(|member, _| known.contains(member));
        self.draining.retain(|member| known.contains(member));
        self.upstream_missing_since.retain(|member, _| known.contains(member));
        self.silent_guards.retain(|(holder, _), _| known.contains(holder));
        self.expired_at.retain(|lease, _| known.contains(&lease.incarnation));
    }

    /// Returns whether the member has ended its work for all slices that were taken from it up to
    /// `epoch`.
    pub(crate) fn has_confirmed(
        &self,
        member: ident::IncarnationId,
        epoch: ident::EpochNumber,
    ) -> bool {
        self.confirmed_epochs.get(&member).is_some_and(|confirmed| *confirmed >= epoch)
    }

    pub(crate) fn is_expired(&self, lease: ident::LeaseId) -> bool {
        self.expired_at.contains_key(&lease)
    }

    /// Returns the highest generation of the member's expired leases, or 0.
    pub(crate) fn highest_expired(&self, member: ident::IncarnationId) -> u32 {
        let leases = self.expired_at.keys().filter(|lease| lease.incarnation == member);
        leases.map(|lease| lease.generation).max().unwrap_or(0)
    }

    /// Returns whether the holder has reported since the lease expired; true if it hasn't expired.
    pub(crate) fn has_reported_since_expiry(&self, lease: ident::LeaseId) -> bool {
        let Some(expired) = self.expired_at.get(&lease) else { return true };
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

    /// Returns whether the member has reported recently, as registrations of hosts that are gone
    /// stay in the store. Before the first report of any member, all are considered to be
    /// reporting.
    pub(crate) fn is_reporting(&self, now: time::Instant, member: ident::IncarnationId) -> bool {
        self.reported_at.is_empty() || self.has_recent_report(now, member)
    }

    /// Returns whether liveness reports the member as lost, for any time. Such a member gets no new
    /// slices or guarded leases.
    pub(crate) fn is_reported_lost(&self, member: ident::IncarnationId) -> bool {
        self.lost_since.contains_key(&member)
    }

    pub(crate) fn is_lost(&self, now: time::Instant, member: ident::IncarnationId) -> bool {
        self.lost_since.get(&member).is_some_and(|since| now.since(*since) >= LOST_GRACE_PERIOD)
    }

    /// Returns whether the upstream of the member has been missing for longer than a restart takes.
    pub(crate) fn is_upstream_lost(
        &self,
        now: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let since = self.upstream_missing_since.get(&member);
        since.is_some_and(|since| now.since(*since) >= UPSTREAM_GRACE_PERIOD)
    }

    /// Returns whether the upstream of the member was missing in its newest report.
    pub(crate) fn is_upstream_missing(&self, member: ident::IncarnationId) -> bool {
        self.upstream_missing_since.contains_key(&member)
    }

    /// Returns whether the holder has reported the guard as silent for long enough to replace it.
    pub(crate) fn is_guard_lost(
        &self,
        now: time::Instant,
        holder: ident::IncarnationId,
        guard: ident::IncarnationId,
    ) -> bool {
        let since = self.silent_guards.get(&(holder, guard));
        since.is_some_and(|since| now.since(*since) >= GUARD_GRACE_PERIOD)
    }

    /// Returns whether the holder reports the guard as silent, for any time.
    pub(crate) fn is_guard_silent(
        &self,
        holder: ident::IncarnationId,
        guard: ident::IncarnationId,
    ) -> bool {
        self.silent_guards.contains_key(&(holder, guard))
    }
}
