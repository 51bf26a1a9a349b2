//! Tests with random sequences of requests, copies, losses, takeovers, moves and transfers.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use cornelridge_model::{ident, key, outcome, time};
use cornelridge_records::{
    CopyPeer, CopyProgress, CopyReply, ExecutionId, Record, RecordBatch, RecordCursor,
    RecordDecision, RecordRange, RecordRequest, RecordTable, RecordUpdate, RefusalReason,
    StoredResponse,
};

const CLASS: &str = "payout-hub";
const WINDOW: time::Duration = time::Duration::from_secs(600);
const SEEDS: [u64; 400] = {
    let mut seeds = [0; 400];
    let mut index = 0;
    while index < seeds.len() {
        seeds[index] = (0x51ed_0000 + index as u64 * 7_919) << 32 | 0x2000;
        index += 1;
    }
    seeds
};

/// State of a dispatched execution, as known to the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DispatchState {
    Pending { executed: bool },
    Finished(outcome::RequestOutcome),
}

#[derive(Clone, Debug)]
enum Message {
    Copy { from: usize, to: usize, record: Record },
    Reply { from: usize, to: usize, id: ExecutionId, is_stored: bool },
    Fetch { from: usize, to: usize, after: Option<RecordCursor> },
    Batch { from: usize, to: usize, batch: RecordBatch },
}

#[derive(Debug, Default)]
struct Totals {
    dispatches: usize,
    stored: usize,
    unknown: usize,
    takeovers: usize,
    transfers: usize,
    not_synced: usize,
}

/// A cluster in which the model assigns the leases: the first unexpired member of the chain owns
/// the only slice, and only the owner may dispatch.
struct Cluster {
    now: time::Instant,
    tables: Vec<RecordTable>,
    expired: Vec<bool>,
    chain: Vec<usize>,
    serving: Option<usize>,
    messages: Vec<Message>,
    waiting: Vec<(usize, ExecutionId)>,
    dispatched: BTreeMap<ExecutionId, (usize, usize, DispatchState)>,
    executions: BTreeMap<ExecutionId, usize>,
    next_execution: u64,
    totals: Totals,
}

fn incarnation(node: usize) -> ident::IncarnationId {
    ident::IncarnationId(node as u64 + 100)
}

fn node(incarnation: ident::IncarnationId) -> usize {
    incarnation.0 as usize - 100
}

fn everything() -> RecordRange {
    RecordRange { class: CLASS.into(), first: key::KeyHash(0), last: key::KeyHash(u64::MAX) }
}

fn response(request: usize) -> StoredResponse {
    StoredResponse { status: 200, headers: Vec::new(), body: Some(vec![request as u8; 8]) }
}

impl Cluster {
    fn new() -> Cluster {
        let mut tables = (0..3).map(|_| RecordTable::with_capacity(64)).collect::<Vec<_>>();
        tables.iter_mut().for_each(|table| table.mark_new(&everything()));
        Cluster {
            now: time::Instant(1_000_000),
            tables,
            expired: vec![false; 3],
            chain: vec![0, 1, 2],
            serving: Some(0),
            messages: Vec::new(),
            waiting: Vec::new(),
            dispatched: BTreeMap::new(),
            executions: BTreeMap::new(),
            next_execution: 1,
            totals: Totals::default(),
        }
    }

    fn owner(&self) -> Option<usize> {
        self.chain.iter().copied().find(|node| !self.expired[*node])
    }

    /// Lets a new owner take the range over before it serves.
    fn update_owner(&mut self) {
        let owner = self.owner();
        if owner == self.serving {
            return;
        }
        self.serving = owner;
        let Some(owner) = owner else { return };
        let takeover = self.tables[owner].take_over(self.now, &everything(), WINDOW);
        takeover.given_up.into_iter().for_each(|update| self.send_update(owner, update));
        self.totals.takeovers += 1;
    }

    fn send_update(&mut self, from: usize, update: RecordUpdate) {
        for to in update.to {
            let record = update.record.clone();
            self.messages.push(Message::Copy { from, to: node(to), record });
        }
    }

    fn request(&mut self, request: usize) {
        let Some(owner) = self.owner() else { return };
        let id = ExecutionId(self.next_execution);
        self.next_execution += 1;
        let others =
            self.chain.iter().copied().filter(|node| *node != owner && !self.expired[*node]);
        let peers = others.map(|node| CopyPeer {
            incarnation: incarnation(node),
            in_other_zone: node % 3 != owner % 3,
        });
        let request_record = RecordRequest {
            class: CLASS.into(),
            hash: key::KeyHash(request as u64 * 0x1111_1111_1111_1111),
            idempotency_key: format!("order-{request}").into(),
            execution: id,
            window: WINDOW,
            peers: peers.collect(),
        };
        match self.tables[owner].begin(self.now, &request_record) {
            RecordDecision::Replicate { record, to } => {
                self.executions.insert(id, request);
                self.waiting.push((owner, id));
                for peer in to {
                    let record = record.clone();
                    self.messages.push(Message::Copy { from: owner, to: node(peer), record });
                }
            }
            RecordDecision::Stored(stored) => {
                self.totals.stored += 1;
                assert!(self.may_have_executed(request), "a response without an execution");
                assert!(stored.body.is_none_or(|body| Some(body) == response(request).body));
            }
            RecordDecision::InFlight => {}
            RecordDecision::Unknown => self.totals.unknown += 1,
            RecordDecision::Refused(RefusalReason::NotSynced) => self.totals.not_synced += 1,
            RecordDecision::Refused(_) => {}
        }
    }

    fn may_have_executed(&self, request: usize) -> bool {
        let is_not_run = DispatchState::Finished(outcome::RequestOutcome::NotRun);
        let of_request =
            |(_, (_, of, _)): &(&ExecutionId, &(usize, usize, DispatchState))| *of == request;
        let mut others = self.dispatched.iter().filter(of_request);
        others.any(|(_, (_, _, state))| *state != is_not_run)
    }

    fn apply_progress(
        &mut self,
        at: usize,
        id: ExecutionId,
        progress: CopyProgress,
        executed: bool,
    ) {
        match progress {
            CopyProgress::Dispatch if self.owner() == Some(at) => {
                let request = self.executions[&id];
                assert!(!self.may_have_executed(request), "request {request} dispatched twice");
                let state = DispatchState::Pending { executed };
                let previous = self.dispatched.insert(id, (at, request, state));
                assert_eq!(previous, None, "execution {id} dispatched twice");
                self.totals.dispatches += 1;
            }
            // The node checks its lease immediately before it dispatches.
            CopyProgress::Dispatch | CopyProgress::NoReplica => {
                let update = self.tables[at].free(self.now, id);
                update.into_iter().for_each(|update| self.send_update(at, update));
            }
            CopyProgress::Waiting | CopyProgress::Ignored => {}
        }
    }

    fn deliver(&mut self, message: Message, executed: bool) {
        match message {
            Message::Copy { from, to, record } => {
                let table = &mut self.tables[to];
                let reply = table.store_copy(self.now, incarnation(from), &record, WINDOW);
                let is_stored = reply == CopyReply::Stored;
                let id = record.execution;
                self.messages.push(Message::Reply { from: to, to: from, id, is_stored });
            }
            Message::Reply { from, to, id, is_stored: true } => {
                let progress = self.tables[to].acknowledge_copy(self.now, id, incarnation(from));
                self.apply_progress(to, id, progress, executed);
            }
            Message::Reply { to, id, .. } => self.abort_replication(to, id),
            Message::Fetch { from, to, after } => {
                let peer = incarnation(from);
                let batch =
                    self.tables[to].read_batch(self.now, &everything(), after.as_ref(), peer);
                self.messages.push(Message::Batch { from: to, to: from, batch });
            }
            Message::Batch { from, to, batch } => {
                let sender = incarnation(from);
                let range = everything();
                let applied = self.tables[to].apply_batch(self.now, &range, sender, &batch, WINDOW);
                if let (Ok(()), Some(after)) = (applied, batch.next) {
                    let after = Some(after);
                    self.messages.push(Message::Fetch { from: to, to: from, after });
                } else if applied.is_ok() {
                    self.totals.transfers += 1;
                }
            }
        }
    }

    fn abort_replication(&mut self, at: usize, id: ExecutionId) {
        let update = self.tables[at].abort_replication(self.now, id);
        update.into_iter().for_each(|update| self.send_update(at, update));
    }

    /// Expires a member of the chain, which still processes messages afterwards.
    fn expire(&mut self, position: usize) {
        let Some(lost) = self.chain.get(position).copied() else { return };
        self.expired[lost] = true;
        self.update_owner();
    }

    /// Removes expired members and adds a new node, which fetches the records from the owner.
    fn join(&mut self) {
        self.chain.retain(|node| !self.expired[*node]);
        if self.chain.len() >= 3 || self.chain.is_empty() {
            return;
        }
        let joined = self.tables.len();
        self.tables.push(RecordTable::with_capacity(64));
        self.expired.push(false);
        self.chain.push(joined);
        self.fetch(joined);
    }

    fn fetch(&mut self, to: usize) {
        let Some(from) = self.owner().filter(|owner| *owner != to) else { return };
        self.tables[to].begin_sync(&everything(), incarnation(from));
        self.messages.push(Message::Fetch { from: to, to: from, after: None });
    }

    /// Makes the last member of the chain the owner. The old owner has adopted the document
    /// already.
    fn move_ownership(&mut self) {
        self.chain.retain(|node| !self.expired[*node]);
        let (Some(old), Some(new)) = (self.owner(), self.chain.pop()) else { return };
        self.chain.insert(0, new);
        if old == new {
            return;
        }
        let given_up = self.tables[old].stop_serving(self.now, &everything());
        given_up.into_iter().for_each(|update| self.send_update(old, update));
        self.tables[new].begin_sync(&everything(), incarnation(old));
        self.messages.push(Message::Fetch { from: new, to: old, after: None });
        self.update_owner();
    }

    fn finish(&mut self, index: usize, choice: u8) {
        let pending = self
            .dispatched
            .iter()
            .filter(|(_, (_, _, state))| matches!(state, DispatchState::Pending { .. }));
        let pending = pending.map(|(id, at)| (*id, *at)).collect::<Vec<_>>();
        let Some((id, (at, request, state))) = pending.get(index % pending.len().max(1)) else {
            return;
        };
        let outcome = match (choice % 3, *state) {
            (0, _) => outcome::RequestOutcome::Unknown,
            (_, DispatchState::Pending { executed: true }) => outcome::RequestOutcome::Run,
            _ => outcome::RequestOutcome::NotRun,
        };
        self.dispatched.insert(*id, (*at, *request, DispatchState::Finished(outcome)));
        let update = self.tables[*at].finish(self.now, *id, outcome, Some(response(*request)));
        update.into_iter().for_each(|update| self.send_update(*at, update));
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + time::Duration::from_millis(u.int_in_range(0..=50)?);
        match u.int_in_range(0..=99u8)? {
            0..=24 => self.request(u.int_in_range(0..=9)?),
            25..=79 if !self.messages.is_empty() => {
                let index = u.choose_index(self.messages.len())?;
                let message = self.messages.swap_remove(index);
                let is_repeated = u.ratio(1, 8u8)?;
                if is_repeated {
                    self.messages.push(message.clone());
                }
                if !u.ratio(1, 16u8)? {
                    let executed = u.arbitrary()?;
                    self.deliver(message, executed);
                }
            }
            80..=87 => self.finish(u.int_in_range(0..=7)?, u.arbitrary()?),
            88..=89 if !self.waiting.is_empty() => {
                let index = u.choose_index(self.waiting.len())?;
                let (at, id) = self.waiting.swap_remove(index);
                self.abort_replication(at, id);
            }
            90..=91 if !self.waiting.is_empty() => {
                let index = u.choose_index(self.waiting.len())?;
                let (at, id) = self.waiting[index];
                let lost = (0..self.tables.len()).filter(|node| self.expired[*node]);
                for peer in lost.collect::<Vec<_>>() {
                    let progress = self.tables[at].waive_copy(self.now, id, incarnation(peer));
                    self.apply_progress(at, id, progress, true);
                }
            }
            92 => self.expire(0),
            93 => self.expire(1),
            94..=96 => self.join(),
            97 => self.move_ownership(),
            _ => {
                let last = self.chain.last().copied();
                last.into_iter().for_each(|last| self.fetch(last));
            }
        }
        Ok(())
    }
}

/// No loss, takeover, transfer or repeated message may lead to a second execution.
#[test]
fn a_request_is_dispatched_at_most_once() {
    let mut totals = Totals::default();
    for seed in SEEDS {
        arbtest(|u| {
            let mut cluster = Cluster::new();
            for _ in 0..700 {
                cluster.step(u)?;
            }
            totals.dispatches += cluster.totals.dispatches;
            totals.stored += cluster.totals.stored;
            totals.unknown += cluster.totals.unknown;
            totals.takeovers += cluster.totals.takeovers;
            totals.transfers += cluster.totals.transfers;
            totals.not_synced += cluster.totals.not_synced;
            Ok(())
        })
        .seed(seed);
    }
    // The runs are meaningful only if these events occurred.
    assert!(totals.dispatches > 200, "{totals:?}");
    assert!(totals.stored > 100 && totals.unknown > 100, "{totals:?}");
    assert!(totals.takeovers > 50 && totals.transfers > 50, "{totals:?}");
    assert!(totals.not_synced > 20, "{totals:?}");
}
