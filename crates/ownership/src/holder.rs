//! The holder's side of a lease.

use std::collections::VecDeque;

use cornelridge_model::{ident, time};

use crate::timing;

/// State of one guard as known to the holder.
#[derive(Clone, Debug)]
pub struct GuardContact {
    /// The guard.
    pub guard: ident::IncarnationId,
    /// Time at which the latest acknowledged renewal was sent.
    pub acknowledged: Option<time::Instant>,
    /// Whether the guard refuses renewals for good.
    pub refused: bool,
    last_sent: Option<time::Instant>,
}

/// Holds one lease as long as a majority of its guards has acknowledged a renewal that was sent
/// less than `LEASE_TTL` ago.
#[derive(Debug)]
pub struct LeaseHolder {
    lease: ident::LeaseId,
    guards: Vec<GuardContact>,
    created: time::Instant,
    sequence: u64,
    renewals: VecDeque<(u64, time::Instant)>,
    valid_until: Option<time::Instant>,
    is_ended: bool,
}

impl LeaseHolder {
    /// Creates a lease that isn't held yet.
    pub fn new(
        now: time::Instant,
        lease: ident::LeaseId,
        guards: impl IntoIterator<Item = ident::IncarnationId>,
    ) -> LeaseHolder {
        let contact =
            |guard| GuardContact { guard, acknowledged: None, refused: false, last_sent: None };
        LeaseHolder {
            lease,
            guards: guards.into_iter().map(contact).collect(),
            created: now,
            sequence: 0,
            renewals: VecDeque::new(),
            valid_until: None,
            is_ended: false,
        }
    }

    /// Returns the lease.
    pub fn lease(&self) -> ident::LeaseId {
        self.lease
    }

    /// Returns the guards.
    pub fn guards(&self) -> &[GuardContact] {
        &self.guards
    }

    /// Returns the end of the lease if no further renewal is acknowledged.
    pub fn valid_until(&self) -> Option<time::Instant> {
        self.valid_until
    }

    /// Returns whether the lease is held.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        !self.is_ended && self.valid_until.is_some_and(|valid_until| now < valid_until)
    }

    /// Returns whether the lease can never be held again.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Gives the lease up for good.
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Returns the sequence number of the next renewal and the guards to which it is due. `now`
    /// must not be later than the sending.
    pub fn renew(&mut self, now: time::Instant) -> Option<(u64, Vec<ident::IncarnationId>)> {
        if self.is_ended {
            return None;
        }
        let is_renewable = self.is_renewable(now);
        let is_due = |contact: &&mut GuardContact| {
            let interval = match is_renewable {
                true if contact.is_overdue(now) => timing::RETRY_INTERVAL,
                true => timing::RENEW_INTERVAL,
                false => timing::SLOW_RENEW_INTERVAL,
            };
            !contact.refused && contact.last_sent.is_none_or(|sent| now.since(sent) >= interval)
        };
        let mut due = Vec::new();
        for contact in self.guards.iter_mut().filter(is_due) {
            contact.last_sent = Some(now);
            due.push(contact.guard);
        }
        if due.is_empty() {
            return None;
        }
        self.sequence += 1;
        self.renewals.retain(|(_, sent)| now.since(*sent) < timing::LEASE_TTL);
        self.renewals.push_back((self.sequence, now));
        Some((self.sequence, due))
    }

    /// Makes the next renewal due at once for all guards.
    pub fn force_renewal(&mut self) {
        self.guards.iter_mut().for_each(|contact| contact.last_sent = None);
    }

    /// Records an acknowledgement, which counts from the time at which its renewal was sent.
    pub fn record_ack(&mut self, from: ident::IncarnationId, sequence: u64) {
        let Some((_, sent)) = self.renewals.iter().find(|(number, _)| *number == sequence) else {
            return;
        };
        let Some(contact) = self.guards.iter_mut().find(|contact| contact.guard == from) else {
            return;
        };
        contact.acknowledged = contact.acknowledged.max(Some(*sent));
        self.update_validity();
    }

    /// Records the refusal of a guard; refusals by a majority end the lease for good.
    pub fn record_refusal(&mut self, from: ident::IncarnationId) {
        let contact = self.guards.iter_mut().find(|contact| contact.guard == from);
        if let Some(contact) = contact {
            contact.refused = true;
        }
        let refused = self.guards.iter().filter(|contact| contact.refused).count();
        self.is_ended |= refused >= majority(self.guards.len());
    }

    /// Returns whether the lease is held, or so new that its guards may not know it yet.
    fn is_renewable(&self, now: time::Instant) -> bool {
        match self.valid_until {
            Some(valid_until) => now < valid_until,
            None => now.since(self.created) <= timing::INITIAL_RENEW_PERIOD,
        }
    }

    fn update_validity(&mut self) {
        let mut times: Vec<_> =
            self.guards.iter().filter_map(|contact| contact.acknowledged).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        let oldest = majority(self.guards.len()).checked_sub(1).and_then(|at| times.get(at));
        self.valid_until = oldest.map(|oldest| *oldest + timing::LEASE_TTL);
    }
}

impl GuardContact {
    /// Returns whether the latest renewal is unacknowledged although the guard has acknowledged one
    /// that was sent less than `LEASE_TTL` ago.
    fn is_overdue(&self, now: time::Instant) -> bool {
        let is_answering = |sent| now.since(sent) < timing::LEASE_TTL;
        self.last_sent > self.acknowledged && self.acknowledged.is_some_and(is_answering)
    }
}

/// Returns the size of the smallest majority of a guard set; any two majorities share a guard.
pub(crate) fn majority(guards: usize) -> usize {
    guards / 2 + 1
}
