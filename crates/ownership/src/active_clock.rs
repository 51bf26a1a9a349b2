//! Clock that advances only while this process runs and receives datagrams from other zones.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, ident, time};

use crate::timing;

/// Minimum number of zones for which a majority of zones must be heard.
const MIN_ZONES: usize = 3;
/// Minimum number of members, in fewer zones, for which another member must be heard.
const MIN_MEMBERS: usize = 3;

/// Measures active time, in which the silence of peers is counted. Time in which this process was
/// paused or isolated doesn't count; otherwise every guard would vouch for every lease after an
/// interruption of the whole fleet.
#[derive(Debug, Default)]
pub(crate) struct ActiveClock {
    now: time::Instant,
    active: time::Instant,
    zone_indices: BTreeMap<ident::IncarnationId, usize>,
    heard_at: Vec<Option<time::Instant>>,
    required: usize,
}

impl ActiveClock {
    /// Updates the zones of the other members from a document.
    pub(crate) fn adopt(
        &mut self,
        own: ident::IncarnationId,
        document: &assignment::AssignmentDocument,
    ) {
        let present = |member: &&assignment::MemberRecord| {
            member.state != assignment::MemberState::Gone || member.incarnation == own
        };
        let members: Vec<_> = document.members.iter().filter(present).collect();
        let mut zone_names: Vec<_> = members.iter().map(|member| &*member.zone).collect();
        zone_names.sort_unstable();
        zone_names.dedup();
        let own_zone = members.iter().find(|member| member.incarnation == own);
        let Some(own_zone) = own_zone.map(|member| &*member.zone) else {
            *self = ActiveClock { now: self.now, active: self.active, ..ActiveClock::default() };
            return;
        };
        let by_zone = zone_names.len() >= MIN_ZONES;
        let others = members.iter().filter(|member| member.incarnation != own);
        self.zone_indices = others
            .filter(|member| !by_zone || *member.zone != *own_zone)
            .map(|member| {
                let zone = zone_names.binary_search(&&*member.zone).unwrap_or(0);
                (member.incarnation, if by_zone { zone } else { 0 })
            })
            .collect();
        self.required = match by_zone {
            true => zone_names.len() / 2,
            false => usize::from(members.len() >= MIN_MEMBERS),
        };
        // Zone indices may have changed, so every other zone counts as heard now.
        self.heard_at = vec![None; zone_names.len()];
        for zone in self.zone_indices.values() {
            self.heard_at[*zone] = Some(self.now);
        }
    }

    /// Advances to `now`. Active time advances by at most `MAX_CLOCK_STEP`, and not during an
    /// isolation.
    pub(crate) fn observe(&mut self, now: time::Instant) {
        let step = now.since(self.now).min(timing::MAX_CLOCK_STEP);
        self.now = self.now.max(now);
        if !self.is_isolated() {
            self.active = self.active + step;
        }
    }

    /// Records a datagram from a member. Returns whether it ended an isolation.
    pub(crate) fn record_datagram(&mut self, from: ident::IncarnationId) -> bool {
        let Some(zone) = self.zone_indices.get(&from) else {
            return false;
        };
        let was_isolated = self.is_isolated();
        if let Some(heard_at) = self.heard_at.get_mut(*zone) {
            *heard_at = Some(self.now);
        }
        was_isolated && !self.is_isolated()
    }

    /// Returns whether fewer zones than required were heard within `ISOLATION_TIMEOUT`.
    pub(crate) fn is_isolated(&self) -> bool {
        let is_recent =
            |heard_at: &time::Instant| self.now.since(*heard_at) <= timing::ISOLATION_TIMEOUT;
        let recent = self.heard_at.iter().flatten().filter(|heard_at| is_recent(heard_at)).count();
        recent < self.required
    }

    /// Returns the active time.
    pub(crate) fn active(&self) -> time::Instant {
        self.active
    }

    /// Returns the latest time observed.
    pub(crate) fn now(&self) -> time::Instant {
        self.now
    }
}
