//! Computation of the next assignment document from the current one and from reports.
//!
//! Lost and leaving members are replaced at once. Settled moves, balance and hot keys are handled
//! in routine rounds, whose interval depends on the size of the document, as every node of the
//! region has to fetch each document.

mod balance;
mod chains;
mod draft;
mod hot_keys;
mod input;
mod loads;
mod membership;
mod observations;
mod placement;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelridge_model::{assignment, class, ident, time};

pub use input::{HotKey, MemberRegistration, MemberReport, PlannerInput, SliceLoad};

use draft::Draft;
use observations::Observations;
use placement::Placement;

/// Size of a slice in an encoded document, in bytes.
const SLICE_BYTES: u64 = 16;
/// Bytes per second that the documents of routine rounds may cost each node, of the 11 KB that the
/// control plane may use.
const DOCUMENT_BYTES_PER_SECOND: u64 = 4_000;
/// Minimum interval between routine rounds.
const MIN_ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum interval between routine rounds; hot keys change within minutes.
const MAX_ROUND_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Time from the first report after which the measured loads are reliable enough to move slices.
const LOAD_WARM_UP: time::Duration = time::Duration::from_secs(10);
/// Minimum time between two documents, so that a burst of reports leads to one document.
const MIN_DOCUMENT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// State of one class between calls.
#[derive(Debug, Default)]
struct ClassState {
    loads: loads::ClassLoads,
    limits: balance::MoveLimits,
    cool_slices: hot_keys::CoolSlices,
    /// Members that have reported their loads.
    reported_members: BTreeSet<ident::IncarnationId>,
    first_report: Option<time::Instant>,
}

/// Plans the assignment of one region.
#[derive(Debug, Default)]
pub struct Planner {
    observations: Observations,
    classes: BTreeMap<Arc<str>, ClassState>,
    last_document: Option<time::Instant>,
    next_round: time::Instant,
    move_count: u64,
}

impl Planner {
    /// Creates a planner without observations.
    pub fn new() -> Planner {
        Planner::default()
    }

    /// Returns the number of slices that this planner has moved for balance.
    pub fn move_count(&self) -> u64 {
        self.move_count
    }

    /// Returns the next document, or `None` if the current one needs no change now. Each call also
    /// records the reports; call this every second and when a member or a lease is lost.
    pub fn plan(
        &mut self,
        now: time::Instant,
        input: &PlannerInput,
    ) -> Option<assignment::AssignmentDocument> {
        self.observations.observe(now, input);
        let current = input.current.as_deref();
        if current.is_none() && input.registrations.is_empty() {
            return None;
        }
        if let Some(current) = current {
            self.observe_loads(now, current, input);
        }
        let is_early = |last| now.since(last) < MIN_DOCUMENT_INTERVAL;
        if self.last_document.is_some_and(is_early) {
            return None;
        }
        let is_round = now >= self.next_round;
        let draft = self.draft(now, input, is_round);
        if is_round {
            self.next_round = now + round_interval(&draft.document);
        }
        if current.is_some() && !draft.is_changed {
            return None;
        }
        self.last_document = Some(now);
        Some(draft.document)
    }

    /// Computes the next document with all changes that are due.
    fn draft(&mut self, now: time::Instant, input: &PlannerInput, is_round: bool) -> Draft {
        let mut document = input.current.as_deref().cloned().unwrap_or_default();
        document.epoch = ident::EpochNumber(document.epoch.0 + 1);
        document.change_id = input.change_id;
        let mut draft = Draft::new(document, &self.observations);
        retire_leases(&mut draft, input);
        membership::update_members(now, &mut draft, input, &self.observations);
        membership::update_leases(now, &mut draft, &self.observations);
        let settled = chains::settle(&mut draft, &self.observations);
        draft.is_changed |= is_round && settled > 0;
        add_classes(&mut draft, &input.classes);
        for index in 0..draft.document.classes.len() {
            self.plan_class(now, &mut draft, index, &input.classes, is_round);
        }
        remove_classes(&mut draft, &input.classes);
        let retained = self.retained_members(&draft, input);
        let draft = draft.compact(&retained);
        self.observations.prune(&draft.document, input);
        draft
    }

    fn plan_class(
        &mut self,
        now: time::Instant,
        draft: &mut Draft,
        index: usize,
        classes: &class::ClassDocument,
        is_round: bool,
    ) {
        let name = Arc::clone(&draft.document.classes[index].class);
        let Some(config) = classes.class(&name).filter(|class| class.is_sliced()) else { return };
        let mut placement = Placement::new(now, draft, &self.observations, &name);
        if placement.len() == 0 {
            return;
        }
        let epoch = draft.document.epoch;
        let state = self.classes.entry(name).or_default();
        if chains::create_or_split(draft, index, &mut placement) {
            state.loads.layout_epoch = epoch;
        }
        chains::repair(draft, index, &mut placement);
        if !is_round {
            return;
        }
        let targets = balance::BalanceTargets::of(config.prefer);
        let slices = &mut draft.document.classes[index];
        state.limits.budget.refill(now, slices.slices.len(), targets);
        if !state.has_known_loads(now, draft, &mut placement) {
            return;
        }
        let slices = &mut draft.document.classes[index];
        placement.prepare(&slices.slices);
        let (is_changed, moves) = state.run_round(now, slices, &mut placement, targets, epoch);
        draft.is_changed |= is_changed;
        self.move_count += moves as u64;
    }

    fn observe_loads(
        &mut self,
        now: time::Instant,
        current: &assignment::AssignmentDocument,
        input: &PlannerInput,
    ) {
        let has_new_report =
            |report: &&MemberReport| self.observations.has_new_report(report.incarnation);
        let reports = input.reports.iter().filter(has_new_report).collect::<Vec<_>>();
        if reports.is_empty() {
            return;
        }
        for class in &current.classes {
            let state = self.classes.entry(Arc::clone(&class.class)).or_default();
            let layout_epoch = state.loads.layout_epoch;
            let current_reports = reports.iter().filter(|report| report.epoch >= layout_epoch);
            let reporting = current_reports.map(|report| report.incarnation);
            let reporting = reporting.collect::<BTreeSet<_>>();
            state.reported_members.extend(&reporting);
            state.first_report.get_or_insert(now);
            let holders = current.leases.iter().map(|lease| current.member(lease.holder));
            let is_reporting = holders.map(|holder| reporting.contains(&holder.incarnation));
            let is_reporting = is_reporting.collect::<Vec<_>>();
            state.loads.observe(now, class, &reports, |slice| {
                let owner = slice.chain.first();
                owner.is_some_and(|owner| is_reporting[usize::from(owner.0)])
            });
        }
    }

    /// Returns the members whose newest lease stays in the document: those that are registered or
    /// aren't lost.
    fn retained_members(
        &self,
        draft: &Draft,
        input: &PlannerInput,
    ) -> BTreeSet<ident::IncarnationId> {
        let present = draft.member_keys().filter(|m| draft.role(*m) != draft::MemberRole::Lost);
        let present = present.map(|member| draft.incarnation(member));
        let registered = input.registrations.iter().map(|member| member.incarnation);
        present.chain(registered).collect()
    }
}

impl ClassState {
    /// Returns whether enough loads are known to balance them; otherwise a new planner would undo
    /// the moves of an earlier one. Members that haven't reported yet neither lose nor get slices.
    fn has_known_loads(
        &mut self,
        now: time::Instant,
        draft: &Draft,
        placement: &mut Placement,
    ) -> bool {
        let is_documented = |member: &ident::IncarnationId| {
            draft.document.members.iter().any(|record| record.incarnation == *member)
        };
        if self.reported_members.len() > draft.document.members.len() {
            self.reported_members.retain(is_documented);
        }
        let known = placement.restrict_to(|member| self.reported_members.contains(&member));
        let is_warm = self.first_report.is_some_and(|first| now.since(first) >= LOAD_WARM_UP);
        is_warm && known * 4 >= placement.len() * 3
    }

    /// Runs a routine round of a class: hot keys, then balance. Returns whether the slices have
    /// changed, and the number of moves.
    fn run_round(
        &mut self,
        now: time::Instant,
        slices: &mut assignment::ClassSlices,
        placement: &mut Placement,
        targets: balance::BalanceTargets,
        epoch: ident::EpochNumber,
    ) -> (bool, usize) {
        let mean = balance::mean_load(slices, &self.loads, placement);
        let cool_slices = &mut self.cool_slices;
        let budget = &mut self.limits.budget;
        let merged =
            hot_keys::merge_cooled(now, slices, &mut self.loads, cool_slices, mean, budget, epoch);
        let is_split = hot_keys::split(now, slices, &mut self.loads, mean);
        if merged.is_merged || is_split {
            self.loads.layout_epoch = epoch;
        }
        let limits = &mut self.limits;
        let moves = balance::balance(now, slices, &self.loads, placement, targets, limits, epoch);
        let is_changed = is_split || merged.is_merged || merged.is_changed || moves > 0;
        (is_changed, moves + merged.moves)
    }
}

/// Marks the leases that an operator declared dead as retired.
fn retire_leases(draft: &mut Draft, input: &PlannerInput) {
    for index in 0..draft.document.leases.len() {
        let id = draft.document.lease_id(assignment::LeaseKey(index as u16));
        let lease = &mut draft.document.leases[index];
        if !lease.retired && input.retired.contains(&id) {
            lease.retired = true;
            draft.is_changed = true;
        }
    }
}

/// Adds an entry for each sliced class that is served by a member.
fn add_classes(draft: &mut Draft, classes: &class::ClassDocument) {
    let served_classes =
        draft.member_keys().filter(|member| draft.role(*member) == draft::MemberRole::Serving);
    let served_classes = served_classes.map(|member| &draft.document.member(member).class);
    let served_classes = served_classes.cloned().collect::<BTreeSet<_>>();
    let is_sliced = |name: &Arc<str>| classes.class(name).is_some_and(|class| class.is_sliced());
    for name in served_classes.into_iter().filter(is_sliced) {
        let documented = &mut draft.document.classes;
        if let Err(at) = documented.binary_search_by(|class| class.class.cmp(&name)) {
            documented.insert(
                at,
                assignment::ClassSlices {
                    class: name,
                    created: draft.document.epoch,
                    slices: Vec::new(),
                },
            );
        }
    }
}

/// Removes deleted classes once none of their owners can still be serving. If a class were created
/// again before, its slices could have a new and an old owner at the same time.
fn remove_classes(draft: &mut Draft, classes: &class::ClassDocument) {
    let ended = &draft.ended;
    let is_ended = |lease: &assignment::LeaseKey| ended[usize::from(lease.0)];
    let before = draft.document.classes.len();
    draft.document.classes.retain(|class| {
        let is_sliced = classes.class(&class.class).is_some_and(class::ClassConfig::is_sliced);
        let mut chains = class.slices.iter().flat_map(|s| s.chain.iter().chain(&s.previous));
        !class.slices.is_empty() && (is_sliced || !chains.all(is_ended))
    });
    draft.is_changed |= draft.document.classes.len() != before;
}

/// Returns the interval of routine rounds at which documents stay within their bytes per second.
fn round_interval(document: &assignment::AssignmentDocument) -> time::Duration {
    let slices = document.classes.iter().map(|class| class.slices.len() as u64).sum::<u64>();
    let micros = slices * SLICE_BYTES * 1_000_000 / DOCUMENT_BYTES_PER_SECOND;
    time::Duration(micros.clamp(MIN_ROUND_INTERVAL.0, MAX_ROUND_INTERVAL.0))
}

/// Returns a hash of two numbers, which is the same on every node.
fn mix_hash(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
