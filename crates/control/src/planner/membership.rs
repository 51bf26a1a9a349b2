//! Members and their leases: the role of each member, and the guards of each lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelridge_model::{assignment, class, ident, time};

use super::draft::{Draft, MemberRole};
use super::input::{MemberRegistration, PlannerInput};
use super::mix_hash;
use super::observations::Observations;

/// Number of guards of a lease.
const GUARDS_PER_LEASE: usize = 3;
/// Maximum number of new lease generations per call that only improve the number or the zones of
/// the guards. Replacements of lost guards aren't limited.
const MAX_IMPROVEMENTS: usize = 16;

/// Adds registered members and sets the role of each member.
pub(crate) fn update_members(
    now: time::Instant,
    draft: &mut Draft,
    input: &PlannerInput,
    observations: &Observations,
) {
    let registered = register_members(draft, input);
    let sliced = sliced_classes(&input.classes);
    let has_left = |draft: &Draft, member: assignment::MemberKey| {
        let incarnation = draft.incarnation(member);
        let is_replaced = registered.names.contains_key(&draft.document.member(member).name)
            && !registered.incarnations.contains(&incarnation);
        let is_absent = !registered.incarnations.contains(&incarnation)
            && !observations.has_recent_report(now, incarnation);
        is_replaced || is_absent
    };
    let is_lost = |draft: &Draft, member| observations.is_lost(now, draft.incarnation(member));
    let lost = draft.member_keys().filter(|member| is_lost(draft, *member)).count();
    // A planner that can't reach most members is probably isolated and must not replace them.
    let trusts_liveness = lost * 2 <= draft.document.members.len();
    for member in draft.member_keys() {
        let incarnation = draft.incarnation(member);
        let newest = draft.newest_leases[usize::from(member.0)];
        let is_expired = newest.is_some_and(|newest| {
            let has_reported_since_expiry =
                observations.has_reported_since_expiry(draft.document.lease_id(newest));
            draft.is_ended(newest)
                && (!has_reported_since_expiry || observations.is_upstream_missing(incarnation))
        });
        let is_gone = has_left(draft, member) || (trusts_liveness && is_lost(draft, member));
        let serves = sliced.contains(&draft.document.member(member).class)
            && !observations.is_upstream_lost(now, incarnation)
            && (newest.is_some() || observations.is_reporting(now, incarnation));
        let role = if is_gone || (is_expired && observations.is_reported_lost(incarnation)) {
            MemberRole::Lost
        } else if observations.is_draining(incarnation) {
            MemberRole::Leaving
        } else if serves && !is_expired {
            MemberRole::Serving
        } else {
            MemberRole::Idle
        };
        set_role(draft, member, role);
    }
}

fn set_role(draft: &mut Draft, member: assignment::MemberKey, role: MemberRole) {
    draft.roles[usize::from(member.0)] = role;
    let state = match role {
        MemberRole::Serving | MemberRole::Idle => assignment::MemberState::Active,
        MemberRole::Leaving => assignment::MemberState::Draining,
        MemberRole::Lost => assignment::MemberState::Gone,
    };
    let record = &mut draft.document.members[usize::from(member.0)];
    if record.state != state {
        record.state = state;
        draft.is_changed = true;
    }
}

struct RegisteredNodes {
    names: BTreeMap<Arc<str>, ident::IncarnationId>,
    incarnations: BTreeSet<ident::IncarnationId>,
}

fn register_members(draft: &mut Draft, input: &PlannerInput) -> RegisteredNodes {
    let names = input.registrations.iter().map(|r| (Arc::clone(&r.name), r.incarnation));
    let names = names.collect();
    let incarnations = input.registrations.iter().map(|r| r.incarnation).collect();
    let documented = draft.document.members.iter().enumerate();
    let keys = documented.map(|(index, member)| (member.incarnation, index));
    let keys = keys.collect::<BTreeMap<_, _>>();
    let mut registrations = input.registrations.iter().collect::<Vec<_>>();
    registrations.sort_by_key(|registration| registration.incarnation);
    registrations.dedup_by_key(|registration| registration.incarnation);
    for registration in registrations {
        match keys.get(&registration.incarnation) {
            Some(index) => update_record(draft, *index, registration),
            None if draft.document.members.len() < assignment::MAX_MEMBERS => {
                draft.push_member(member_record(registration));
            }
            None => {}
        }
    }
    RegisteredNodes { names, incarnations }
}

fn update_record(draft: &mut Draft, index: usize, registration: &MemberRegistration) {
    let mut updated = member_record(registration);
    let current = &mut draft.document.members[index];
    updated.state = current.state;
    if *current != updated {
        *current = updated;
        draft.is_changed = true;
    }
}

fn member_record(registration: &MemberRegistration) -> assignment::MemberRecord {
    assignment::MemberRecord {
        name: Arc::clone(&registration.name),
        incarnation: registration.incarnation,
        address: registration.address,
        zone: Arc::clone(&registration.zone),
        class: Arc::clone(&registration.class),
        state: assignment::MemberState::Active,
        checks_fences: registration.checks_fences,
    }
}

fn sliced_classes(classes: &class::ClassDocument) -> BTreeSet<Arc<str>> {
    let sliced = classes.classes.iter().filter(|class| class.is_sliced());
    sliced.map(|class| Arc::clone(&class.name)).collect()
}

/// Gives each serving member a lease whose guards are present and in as many zones as possible.
pub(crate) fn update_leases(now: time::Instant, draft: &mut Draft, observations: &Observations) {
    let mut selector = GuardSelector::new(now, draft, observations);
    let mut improvements = MAX_IMPROVEMENTS;
    for holder in draft.member_keys() {
        if draft.role(holder) != MemberRole::Serving {
            continue;
        }
        let newest = draft.newest_leases[usize::from(holder.0)];
        let need = newest.map_or(LeaseNeed::Required, |lease| {
            lease_need(now, draft, observations, &selector, lease)
        });
        match need {
            LeaseNeed::Nothing => continue,
            LeaseNeed::Improvement if improvements == 0 => continue,
            LeaseNeed::Improvement => improvements -= 1,
            LeaseNeed::Required => {}
        }
        let guards = selector.select(draft, observations, holder);
        let incarnation = draft.incarnation(holder);
        let documented = newest.map_or(0, |lease| draft.document.lease(lease).generation);
        let generation = documented.max(observations.highest_expired(incarnation)) + 1;
        draft.push_lease(holder, generation, guards);
    }
}

/// Need of a lease for another generation.
enum LeaseNeed {
    Nothing,
    Improvement,
    Required,
}

fn lease_need(
    now: time::Instant,
    draft: &Draft,
    observations: &Observations,
    selector: &GuardSelector,
    lease: assignment::LeaseKey,
) -> LeaseNeed {
    if draft.is_ended(lease) {
        return LeaseNeed::Required;
    }
    let record = draft.document.lease(lease);
    let holder = draft.incarnation(record.holder);
    let is_missing = |guard: &assignment::MemberKey| {
        matches!(draft.role(*guard), MemberRole::Lost | MemberRole::Leaving)
            || observations.is_guard_lost(now, holder, draft.incarnation(*guard))
    };
    if record.guards.iter().any(is_missing) {
        // Without other candidates, a new generation would have the same guards or fewer.
        let chosen = selector.candidates(draft, observations, record.holder);
        let is_better = !chosen.is_empty() && chosen.iter().any(|g| !record.guards.contains(g));
        let present = record.guards.iter().filter(|guard| !is_missing(guard)).count();
        let keeps_majority = present * 2 > record.guards.len();
        let is_useful = is_better || !keeps_majority || chosen.len() > present;
        return if is_useful { LeaseNeed::Required } else { LeaseNeed::Nothing };
    }
    let current = record.guards.iter().map(|guard| &draft.document.member(*guard).zone);
    let held_zones = current.collect::<BTreeSet<_>>().len();
    if held_zones == GUARDS_PER_LEASE {
        return LeaseNeed::Nothing;
    }
    let (wanted, zones) = selector.best_counts(draft, observations, record.holder);
    if record.guards.len() < wanted || (record.guards.len() == wanted && held_zones < zones) {
        return LeaseNeed::Improvement;
    }
    LeaseNeed::Nothing
}

/// Selects guards among the present members by the number of leases that they guard.
struct GuardSelector {
    guarded_counts: Vec<usize>,
    present: Vec<assignment::MemberKey>,
}

impl GuardSelector {
    fn new(now: time::Instant, draft: &Draft, observations: &Observations) -> GuardSelector {
        let mut guarded_counts = vec![0; draft.document.members.len()];
        for lease in draft.newest_leases.iter().flatten() {
            for guard in &draft.document.lease(*lease).guards {
                guarded_counts[usize::from(guard.0)] += 1;
            }
        }
        let is_present = |member: &assignment::MemberKey| {
            let newest = draft.newest_leases[usize::from(member.0)];
            matches!(draft.role(*member), MemberRole::Serving | MemberRole::Idle)
                && !observations.is_reported_lost(draft.incarnation(*member))
                && observations.is_reporting(now, draft.incarnation(*member))
                && newest.is_none_or(|lease| {
                    !draft.is_ended(lease)
                        || observations.has_reported_since_expiry(draft.document.lease_id(lease))
                })
        };
        GuardSelector { guarded_counts, present: draft.member_keys().filter(is_present).collect() }
    }

    /// Returns the members that can guard a lease of the holder. With no or two other members, the
    /// holder guards itself to make the number odd: of two guards, both would be needed.
    fn candidates(
        &self,
        draft: &Draft,
        observations: &Observations,
        holder: assignment::MemberKey,
    ) -> Vec<assignment::MemberKey> {
        let incarnation = draft.incarnation(holder);
        let is_usable = |guard: &assignment::MemberKey| {
            *guard != holder
                && !observations.is_guard_silent(incarnation, draft.incarnation(*guard))
        };
        let mut usable = self.present.iter().copied().filter(is_usable).collect::<Vec<_>>();
        if usable.len() == 2 || usable.is_empty() {
            usable.push(holder);
        }
        usable
    }

    /// Returns the number of guards, and of their zones, that a lease of the holder could have.
    fn best_counts(
        &self,
        draft: &Draft,
        observations: &Observations,
        holder: assignment::MemberKey,
    ) -> (usize, usize) {
        let candidates = self.candidates(draft, observations, holder);
        let wanted = candidates.len().min(GUARDS_PER_LEASE);
        let zones = candidates.iter().map(|guard| &draft.document.member(*guard).zone);
        (wanted, zones.collect::<BTreeSet<_>>().len().min(wanted))
    }

    /// Selects the candidates that guard the fewest leases, one per zone as far as possible.
    fn select(
        &mut self,
        draft: &Draft,
        observations: &Observations,
        holder: assignment::MemberKey,
    ) -> Vec<assignment::MemberKey> {
        let own = draft.incarnation(holder).0;
        let mut candidates = self.candidates(draft, observations, holder);
        candidates.sort_by_key(|guard| {
            let order = mix_hash(own, draft.incarnation(*guard).0);
            (self.guarded_counts[usize::from(guard.0)], order)
        });
        let mut zones = BTreeSet::new();
        let is_first_of_zone = |guard: &assignment::MemberKey| {
            zones.insert(Arc::clone(&draft.document.member(*guard).zone))
        };
        let (first, rest) = candidates.into_iter().partition::<Vec<_>, _>(is_first_of_zone);
        let guards = first.into_iter().chain(rest).take(GUARDS_PER_LEASE).collect::<Vec<_>>();
        guards.iter().for_each(|guard| self.guarded_counts[usize::from(guard.0)] += 1);
        guards
    }
}
