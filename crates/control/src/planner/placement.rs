//! Members that serve a class, and selection of successors among them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{assignment, ident, time};

use super::draft::{Draft, MemberRole};
use super::mix_hash;
use super::observations::Observations;

/// Number of preferred first successors (partners) of each owner. Each successor probes the owners
/// that it may have to replace, and a node can only probe a few peers every 200 ms.
const PARTNERS_PER_OWNER: usize = 4;

/// Index of a member among those that serve a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerKey(pub(crate) u16);

impl ServerKey {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A member that serves the class.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) lease: assignment::LeaseKey,
    /// Whether the server may be given slices that it doesn't have.
    pub(crate) is_eligible: bool,
    /// Whether the load of the server is known.
    pub(crate) is_load_known: bool,
    zone: u16,
    incarnation: u64,
    partners: Vec<ServerKey>,
    /// Number of slices of this member by first successor, in the order of `partners`.
    partner_counts: Vec<u32>,
    /// Number of slices for which this member is a successor.
    successor_count: u32,
}

/// The members that serve one class.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) servers: Vec<Server>,
    /// Server that holds each lease, for all generations.
    by_lease: Vec<Option<ServerKey>>,
    zones: usize,
    is_prepared: bool,
}

impl Placement {
    pub(crate) fn new(
        now: time::Instant,
        draft: &Draft,
        observations: &Observations,
        class: &str,
    ) -> Placement {
        let mut zones = BTreeMap::<Arc<str>, u16>::new();
        let mut servers = Vec::new();
        let mut by_member = vec![None; draft.document.members.len()];
        for member in draft.member_keys() {
            let record = draft.document.member(member);
            let newest =
                draft.newest_leases[usize::from(member.0)].filter(|lease| !draft.is_ended(*lease));
            let Some(lease) = newest else { continue };
            if draft.role(member) != MemberRole::Serving || *record.class != *class {
                continue;
            }
            let next = zones.len() as u16;
            let zone = *zones.entry(Arc::clone(&record.zone)).or_insert(next);
            by_member[usize::from(member.0)] = Some(ServerKey(servers.len() as u16));
            servers.push(Server {
                lease,
                is_eligible: !observations.is_reported_lost(record.incarnation)
                    && observations.is_reporting(now, record.incarnation)
                    && !observations.is_upstream_missing(record.incarnation),
                is_load_known: true,
                zone,
                incarnation: record.incarnation.0,
                partners: Vec::new(),
                partner_counts: Vec::new(),
                successor_count: 0,
            });
        }
        let holders = draft.document.leases.iter().map(|lease| lease.holder);
        let by_lease = holders.map(|holder| by_member[usize::from(holder.0)]).collect();
        Placement { servers, by_lease, zones: zones.len(), is_prepared: false }
    }

    /// Assigns partners and counts the chains of the class, once. Most calls of the planner change
    /// no chain and don't need this.
    pub(crate) fn prepare(&mut self, slices: &[assignment::SliceRecord]) {
        if self.is_prepared {
            return;
        }
        self.is_prepared = true;
        self.assign_partners();
        slices.iter().for_each(|slice| self.count_chain(&slice.chain));
    }

    /// Assigns the partners of each server by rendezvous hashing and distributes them over the
    /// zones, so that a change of members changes few partners.
    fn assign_partners(&mut self) {
        let other_zones = self.zones.saturating_sub(1);
        let max_per_zone = PARTNERS_PER_OWNER.div_ceil(other_zones.max(1));
        let mut assigned = Vec::with_capacity(self.servers.len());
        for index in 0..self.servers.len() {
            let own = &self.servers[index];
            let (incarnation, zone) = (own.incarnation, own.zone);
            let ranks = self.servers.iter().enumerate().filter(|(_, server)| server.is_eligible);
            let mut ranked = ranks.filter(|(other, server)| {
                *other != index && (other_zones == 0 || server.zone != zone)
            });
            let mut ranked = ranked
                .by_ref()
                .map(|(other, server)| {
                    (mix_hash(incarnation, server.incarnation), other, server.zone)
                })
                .collect::<Vec<_>>();
            ranked.sort_unstable();
            let mut zone_counts = vec![0; self.zones];
            ranked.retain(|(_, _, zone)| {
                zone_counts[usize::from(*zone)] += 1;
                zone_counts[usize::from(*zone)] <= max_per_zone
            });
            let partners = ranked
                .iter()
                .take(PARTNERS_PER_OWNER)
                .map(|(_, other, _)| ServerKey(*other as u16));
            assigned.push(partners.collect::<Vec<_>>());
        }
        for (server, partners) in self.servers.iter_mut().zip(assigned) {
            server.partner_counts = vec![0; partners.len()];
            server.partners = partners;
        }
    }

    /// Marks the loads of servers that don't match as unknown and the servers as ineligible, and
    /// returns the number of servers that match.
    pub(crate) fn restrict_to(&mut self, test: impl Fn(ident::IncarnationId) -> bool) -> usize {
        let mut matching = 0;
        for server in &mut self.servers {
            let matches = test(ident::IncarnationId(server.incarnation));
            server.is_load_known = matches;
            server.is_eligible &= matches;
            matching += usize::from(matches);
        }
        matching
    }

    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the server that holds a lease of any generation.
    pub(crate) fn server(&self, lease: assignment::LeaseKey) -> Option<ServerKey> {
        self.by_lease.get(usize::from(lease.0)).copied().flatten()
    }

    pub(crate) fn lease(&self, server: ServerKey) -> assignment::LeaseKey {
        self.servers[server.index()].lease
    }

    fn zone(&self, server: ServerKey) -> u16 {
        self.servers[server.index()].zone
    }

    /// Returns whether `other` is a preferred first successor of `owner`. Partners are in other
    /// zones if there are several.
    pub(crate) fn is_partner(&self, owner: ServerKey, other: ServerKey) -> bool {
        self.servers[owner.index()].partners.contains(&other)
    }

    /// Returns whether the server is in a zone that the chain doesn't have.
    pub(crate) fn adds_zone(&self, chain: &[ServerKey], server: ServerKey) -> bool {
        chain.iter().all(|other| *other != server && self.zone(*other) != self.zone(server))
    }

    /// Counts the successors of a chain, so that later selections are even.
    pub(crate) fn count_chain(&mut self, chain: &[assignment::LeaseKey]) {
        let servers = chain.iter().filter_map(|lease| self.server(*lease));
        let servers = servers.collect::<Vec<_>>();
        let Some((owner, successors)) = servers.split_first() else { return };
        for successor in successors {
            self.servers[successor.index()].successor_count += 1;
        }
        let Some(first) = successors.first() else { return };
        let owner = &mut self.servers[owner.index()];
        if let Some(at) = owner.partners.iter().position(|partner| partner == first) {
            owner.partner_counts[at] += 1;
        }
    }

    /// Returns the number of members that a chain of this class can have.
    pub(crate) fn chain_length(&self) -> usize {
        self.servers.len().min(assignment::MAX_CHAIN_LENGTH)
    }

    /// Returns whether members of the chain share a zone while there is a zone without a member.
    pub(crate) fn can_add_zone(&self, chain: &[ServerKey]) -> bool {
        let mut zones = chain.iter().map(|server| self.zone(*server)).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        zones.len() < chain.len() && zones.len() < self.zones
    }

    /// Returns the first member of each zone in a chain.
    pub(crate) fn with_distinct_zones(&self, chain: &[ServerKey]) -> Vec<ServerKey> {
        let mut kept = Vec::<ServerKey>::with_capacity(chain.len());
        for server in chain {
            if kept.iter().all(|other| self.zone(*other) != self.zone(*server)) {
                kept.push(*server);
            }
        }
        kept
    }

    /// Adds successors until the chain is complete: in new zones as far as possible, partners of
    /// the owner first, and those that are successors of the fewest slices first.
    pub(crate) fn complete_chain(&self, chain: &mut Vec<ServerKey>, seed: u64) {
        while chain.len() < self.chain_length() {
            let Some(next) = self.next_successor(chain, seed) else { return };
            chain.push(next);
        }
    }

    fn next_successor(&self, chain: &[ServerKey], seed: u64) -> Option<ServerKey> {
        let owner = &self.servers[chain.first()?.index()];
        let is_new_zone =
            |server: &ServerKey| chain.iter().all(|other| self.zone(*other) != self.zone(*server));
        let is_candidate = |server: &ServerKey| {
            !chain.contains(server) && self.servers[server.index()].is_eligible
        };
        let is_first = chain.len() == 1;
        let partners = owner.partners.iter().enumerate();
        let partners = partners.filter(|(_, server)| is_candidate(server) && is_new_zone(server));
        let partner = partners.min_by_key(|(at, server)| {
            let pair_count = if is_first { owner.partner_counts[*at] } else { 0 };
            (
                pair_count,
                self.servers[server.index()].successor_count,
                mix_hash(seed, u64::from(server.0)),
            )
        });
        if let Some((_, partner)) = partner {
            return Some(*partner);
        }
        let all = (0..self.servers.len() as u16).map(ServerKey).filter(is_candidate);
        all.min_by_key(|server| {
            let successor_count = self.servers[server.index()].successor_count;
            (!is_new_zone(server), successor_count, mix_hash(seed, u64::from(server.0)))
        })
    }
}
