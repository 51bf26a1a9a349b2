//! Draft of the next document.

use std::collections::BTreeSet;

use cornelridge_model::{assignment, ident};

use super::observations::Observations;

/// Role of a member in the next document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberRole {
    /// The member owns slices and guards leases.
    Serving,
    /// The member guards leases only: its upstream is missing, its class isn't sliced, or its lease
    /// has ended.
    Idle,
    /// The member gives up its slices and the leases that it guards.
    Leaving,
    /// The member is lost or was replaced.
    Lost,
}

/// A document with the state of its members and leases.
#[derive(Debug)]
pub(crate) struct Draft {
    pub(crate) document: assignment::AssignmentDocument,
    pub(crate) roles: Vec<MemberRole>,
    /// Newest lease of each member.
    pub(crate) newest_leases: Vec<Option<assignment::LeaseKey>>,
    /// Whether each lease is expired or retired.
    pub(crate) ended: Vec<bool>,
    pub(crate) is_changed: bool,
}

impl Draft {
    pub(crate) fn new(
        document: assignment::AssignmentDocument,
        observations: &Observations,
    ) -> Draft {
        let mut newest_leases = vec![None; document.members.len()];
        let mut ended = Vec::with_capacity(document.leases.len());
        for index in 0..document.leases.len() {
            let key = assignment::LeaseKey(index as u16);
            let lease = document.lease(key);
            ended.push(lease.retired || observations.is_expired(document.lease_id(key)));
            let newest_lease = &mut newest_leases[usize::from(lease.holder.0)];
            let is_newer = newest_lease.is_none_or(|newest_lease: assignment::LeaseKey| {
                document.lease(newest_lease).generation < lease.generation
            });
            if is_newer {
                *newest_lease = Some(key);
            }
        }
        let roles = vec![MemberRole::Idle; document.members.len()];
        Draft { document, roles, newest_leases, ended, is_changed: false }
    }

    pub(crate) fn role(&self, member: assignment::MemberKey) -> MemberRole {
        self.roles[usize::from(member.0)]
    }

    pub(crate) fn is_ended(&self, lease: assignment::LeaseKey) -> bool {
        self.ended[usize::from(lease.0)]
    }

    pub(crate) fn member_keys(&self) -> impl Iterator<Item = assignment::MemberKey> + use<> {
        (0..self.document.members.len() as u16).map(assignment::MemberKey)
    }

    pub(crate) fn incarnation(&self, member: assignment::MemberKey) -> ident::IncarnationId {
        self.document.member(member).incarnation
    }

    pub(crate) fn push_member(&mut self, member: assignment::MemberRecord) {
        self.document.members.push(member);
        self.roles.push(MemberRole::Idle);
        self.newest_leases.push(None);
        self.is_changed = true;
    }

    /// Adds a lease, which becomes the newest one of its holder.
    pub(crate) fn push_lease(
        &mut self,
        holder: assignment::MemberKey,
        generation: u32,
        guards: Vec<assignment::MemberKey>,
    ) {
        let key = assignment::LeaseKey(self.document.leases.len() as u16);
        let lease = assignment::LeaseRecord { holder, generation, guards, retired: false };
        self.document.leases.push(lease);
        self.ended.push(false);
        self.newest_leases[usize::from(holder.0)] = Some(key);
        self.is_changed = true;
    }

    /// Returns the lease that replaces a lease in a chain: the newest generation of the same
    /// holder. Returns `None` if the lease has ended or the holder shouldn't serve `class` any
    /// more.
    pub(crate) fn successor_lease(
        &self,
        lease: assignment::LeaseKey,
        class: &str,
    ) -> Option<assignment::LeaseKey> {
        let holder = self.document.lease(lease).holder;
        let is_serving = self.role(holder) == MemberRole::Serving;
        if self.is_ended(lease) || !is_serving || *self.document.member(holder).class != *class {
            return None;
        }
        self.newest_leases[usize::from(holder.0)].filter(|newest| !self.is_ended(*newest))
    }

    /// Removes unused members and leases, and renumbers the others. Members in `retained` keep
    /// their newest lease, so that no generation is used twice.
    pub(crate) fn compact(mut self, retained: &BTreeSet<ident::IncarnationId>) -> Draft {
        let document = &mut self.document;
        let mut used_leases = vec![false; document.leases.len()];
        for slice in document.classes.iter().flat_map(|class| &class.slices) {
            for lease in slice.chain.iter().chain(&slice.previous) {
                used_leases[usize::from(lease.0)] = true;
            }
        }
        for (member, newest) in document.members.iter().zip(&self.newest_leases) {
            if let Some(newest) = newest.filter(|_| retained.contains(&member.incarnation)) {
                used_leases[usize::from(newest.0)] = true;
            }
        }
        let mut used_members =
            document.members.iter().map(|m| retained.contains(&m.incarnation)).collect::<Vec<_>>();
        for (lease, _) in document.leases.iter().zip(&used_leases).filter(|(_, used)| **used) {
            used_members[usize::from(lease.holder.0)] = true;
            lease.guards.iter().for_each(|guard| used_members[usize::from(guard.0)] = true);
        }
        if used_leases.iter().chain(&used_members).all(|used| *used) {
            return self;
        }
        self.is_changed = true;
        self.renumber(&used_members, &used_leases);
        self
    }

    fn renumber(&mut self, used_members: &[bool], used_leases: &[bool]) {
        let members = compacted_indexes(used_members);
        let leases = compacted_indexes(used_leases);
        let member =
            |key: assignment::MemberKey| assignment::MemberKey(members[usize::from(key.0)]);
        let lease = |key: assignment::LeaseKey| assignment::LeaseKey(leases[usize::from(key.0)]);
        let document = &mut self.document;
        retain_used(&mut document.members, used_members);
        retain_used(&mut document.leases, used_leases);
        for record in &mut document.leases {
            record.holder = member(record.holder);
            record.guards.iter_mut().for_each(|guard| *guard = member(*guard));
        }
        for slice in document.classes.iter_mut().flat_map(|class| &mut class.slices) {
            slice.chain.iter_mut().for_each(|key| *key = lease(*key));
            slice.previous.iter_mut().for_each(|key| *key = lease(*key));
        }
        retain_used(&mut self.roles, used_members);
        retain_used(&mut self.newest_leases, used_members);
        retain_used(&mut self.ended, used_leases);
        self.newest_leases.iter_mut().for_each(|newest| {
            *newest = newest.filter(|key| used_leases[usize::from(key.0)]).map(lease);
        });
    }
}

fn compacted_indexes(used: &[bool]) -> Vec<u16> {
    let mut next = 0;
    let number = |used: &bool| {
        let index = next;
        next += u16::from(*used);
        index
    };
    used.iter().map(number).collect()
}

fn retain_used<T>(items: &mut Vec<T>, used: &[bool]) {
    let mut used = used.iter();
    items.retain(|_| used.next().copied().unwrap_or(false));
}
