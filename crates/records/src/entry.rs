//! State of all executions of one request, as known to one node.

use std::mem;
use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::record::{CopyPeer, ExecutionId, Record, RecordState, StoredResponse};

/// Maximum number of executions kept for one request; with more, the request stays unknown.
const MAX_EXECUTIONS: usize = 4;

/// Identity of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    pub(crate) class: Arc<str>,
    pub(crate) hash: key::KeyHash,
    pub(crate) idempotency_key: Arc<str>,
}

/// Copies that an execution of this node waits for.
#[derive(Clone, Debug)]
pub(crate) struct PendingCopies {
    pub(crate) unacknowledged: Vec<CopyPeer>,
    pub(crate) has_copy_in_other_zone: bool,
}

/// State of one execution; `Replicating` and `InFlight` exist only on the node that issued it.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    Replicating(PendingCopies),
    InFlight,
    Started,
    Unknown,
    Freed,
    Finished(StoredResponse),
}

impl Phase {
    pub(crate) fn from_record(record: &Record) -> Phase {
        match record.state {
            RecordState::Started => Phase::Started,
            RecordState::Unknown => Phase::Unknown,
            RecordState::Freed => Phase::Freed,
            RecordState::Finished => {
                Phase::Finished(record.response.clone().unwrap_or(StoredResponse {
                    status: 0,
                    headers: Vec::new(),
                    body: None,
                }))
            }
        }
    }

    pub(crate) fn state(&self) -> RecordState {
        match self {
            Phase::Replicating(_) | Phase::InFlight | Phase::Started => RecordState::Started,
            Phase::Unknown => RecordState::Unknown,
            Phase::Freed => RecordState::Freed,
            Phase::Finished(_) => RecordState::Finished,
        }
    }

    pub(crate) fn is_pending(&self) -> bool {
        matches!(self, Phase::Replicating(_) | Phase::InFlight)
    }

    /// Returns the precedence of the phase when states are merged. Only the issuer sets `Freed`,
    /// and it knows that nothing was executed, so `Freed` replaces the `Unknown` that other nodes
    /// assume.
    fn precedence(&self) -> u8 {
        match self {
            Phase::Replicating(_) | Phase::InFlight | Phase::Started => 0,
            Phase::Unknown => 1,
            Phase::Freed => 2,
            Phase::Finished(_) => 3,
        }
    }
}

/// One execution of a request.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    pub(crate) id: ExecutionId,
    pub(crate) phase: Phase,
    /// Peers that may hold a copy; empty unless this node issued the execution.
    pub(crate) notify: Vec<ident::IncarnationId>,
    /// The node that sent the copy, if the copy came directly from its issuer.
    pub(crate) issuer: Option<ident::IncarnationId>,
}

/// All executions of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) key: RequestKey,
    pub(crate) executions: Vec<Execution>,
    pub(crate) started_at: time::Instant,
    pub(crate) expires_at: time::Instant,
    /// Position in the order in which stored responses are reduced.
    pub(crate) response_order: Option<u64>,
    /// Whether more executions were seen than are kept; the request then stays unknown until it
    /// expires.
    overflowed: bool,
}

impl RequestEntry {
    pub(crate) fn new(
        key: RequestKey,
        started_at: time::Instant,
        expires_at: time::Instant,
    ) -> RequestEntry {
        RequestEntry {
            key,
            executions: Vec::with_capacity(1),
            started_at,
            expires_at,
            response_order: None,
            overflowed: false,
        }
    }

    pub(crate) fn execution(&self, id: ExecutionId) -> Option<&Execution> {
        self.executions.iter().find(|execution| execution.id == id)
    }

    pub(crate) fn execution_mut(&mut self, id: ExecutionId) -> Option<&mut Execution> {
        self.executions.iter_mut().find(|execution| execution.id == id)
    }

    pub(crate) fn has_pending(&self) -> bool {
        self.executions.iter().any(|execution| execution.phase.is_pending())
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.executions.iter().any(|execution| matches!(execution.phase, Phase::InFlight))
    }

    /// Returns whether no execution of the request can have happened.
    pub(crate) fn is_unexecuted(&self) -> bool {
        !self.overflowed
            && self.executions.iter().all(|execution| matches!(execution.phase, Phase::Freed))
    }

    /// Returns whether an execution other than `id` rules out a copy of `id` from `from`. An
    /// execution started by `from` itself does not: a node starts a second one only after it has
    /// given up the first, and the notice of that may be late.
    pub(crate) fn conflicts(&self, id: ExecutionId, from: ident::IncarnationId) -> bool {
        let is_conflict = |execution: &Execution| match &execution.phase {
            Phase::Freed => false,
            Phase::Started => execution.issuer != Some(from),
            _ => true,
        };
        let mut others = self.executions.iter().filter(|execution| execution.id != id);
        self.overflowed || others.any(is_conflict)
    }

    pub(crate) fn response(&self) -> Option<&StoredResponse> {
        self.executions.iter().find_map(|execution| match &execution.phase {
            Phase::Finished(response) => Some(response),
            _ => None,
        })
    }

    pub(crate) fn response_bytes(&self) -> usize {
        let sizes = self.executions.iter().map(|execution| match &execution.phase {
            Phase::Finished(response) => response.size(),
            _ => 0,
        });
        sizes.sum()
    }

    /// Reduces stored responses to their status.
    pub(crate) fn reduce_responses(&mut self) {
        for execution in &mut self.executions {
            if let Phase::Finished(response) = &mut execution.phase {
                *response = response.status_only();
            }
        }
    }

    /// Adds an execution. Beyond `MAX_EXECUTIONS`, it replaces a freed one or makes the request
    /// unknown.
    pub(crate) fn push(&mut self, execution: Execution) {
        if self.executions.len() >= MAX_EXECUTIONS {
            let freed = self
                .executions
                .iter()
                .position(|execution| matches!(execution.phase, Phase::Freed));
            match freed {
                Some(index) => drop(self.executions.remove(index)),
                None => {
                    self.overflowed = true;
                    return;
                }
            }
        }
        self.executions.push(execution);
    }

    /// Merges the state of an execution as known to another node. In any order of messages, an
    /// execution that may have happened is never dropped.
    pub(crate) fn merge(&mut self, id: ExecutionId, incoming: Phase) {
        let may_have_happened = !matches!(incoming, Phase::Freed);
        match self.execution_mut(id) {
            Some(execution) => execution.merge(incoming),
            None => self.push(Execution { id, phase: incoming, notify: Vec::new(), issuer: None }),
        }
        if may_have_happened {
            self.give_up_others(id);
        }
    }

    /// Gives up other executions that wait for copies, since the execution `id` may have happened.
    fn give_up_others(&mut self, id: ExecutionId) {
        for execution in self.executions.iter_mut().filter(|execution| execution.id != id) {
            if matches!(execution.phase, Phase::Replicating(_)) {
                execution.phase = Phase::Freed;
            }
        }
    }

    /// Returns the record of an execution as it is sent to other nodes.
    pub(crate) fn record(&self, now: time::Instant, execution: &Execution) -> Record {
        let response = match &execution.phase {
            Phase::Finished(response) => Some(response.clone()),
            _ => None,
        };
        // An execution in flight may end after the window, so the window starts anew at other
        // nodes.
        let is_in_flight = matches!(execution.phase, Phase::InFlight);
        let age = if is_in_flight { time::Duration::ZERO } else { now.since(self.started_at) };
        Record {
            class: Arc::clone(&self.key.class),
            hash: self.key.hash,
            idempotency_key: Arc::clone(&self.key.idempotency_key),
            execution: execution.id,
            state: execution.phase.state(),
            response,
            age,
        }
    }

    /// Returns the records of all executions. For an overflowed request, a record is added that no
    /// node can free.
    pub(crate) fn records(&self, now: time::Instant) -> Vec<Record> {
        let records = self.executions.iter().map(|execution| self.record(now, execution));
        let mut records = records.collect::<Vec<_>>();
        if let Some(first) = records.first().filter(|_| self.overflowed).cloned() {
            let execution = ExecutionId(!first.execution.0);
            records.push(Record {
                execution,
                state: RecordState::Unknown,
                response: None,
                ..first
            });
        }
        records
    }
}

impl Execution {
    fn merge(&mut self, incoming: Phase) {
        let is_newer = match (&self.phase, &incoming) {
            // Only this node determines the outcome of an execution that it has dispatched.
            (Phase::InFlight, _) => false,
            (Phase::Replicating(_), Phase::Freed) => false,
            (Phase::Finished(known), Phase::Finished(new)) => known.size() < new.size(),
            (known, new) => known.precedence() < new.precedence(),
        };
        if is_newer {
            self.phase = incoming;
        }
    }

    /// Records the outcome observed by the issuer itself. Returns whether it changed the phase.
    pub(crate) fn record_outcome(&mut self, final_phase: Phase) -> bool {
        let is_newer = self.phase.precedence() < final_phase.precedence();
        if is_newer {
            let _ = mem::replace(&mut self.phase, final_phase);
        }
        is_newer
    }
}
