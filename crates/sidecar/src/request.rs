//! A request with its route, as it is forwarded to a worker.

use std::sync::Arc;

use cornelridge_fleet::admission;
use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::{generated, headers};
use http::{HeaderMap, Method};

use crate::failure;
use crate::memory;
use crate::segments;

/// The worker selected for one attempt.
#[derive(Clone, Debug)]
pub struct SelectedWorker {
    /// Name of the worker.
    pub name: member::WorkerName,
    /// The crash that the request may have caused, if this worker is designated to run the suspect.
    pub suspect_crash: Option<quarantine::CrashId>,
    /// Whether another worker could serve the request.
    pub has_alternatives: bool,
}

/// A request of a caller with its route.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    /// Identifier that the caller gave the request.
    pub id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Service that runs the request.
    pub service: Arc<str>,
    /// Service beside the node that received the request from its caller.
    pub caller_service: Arc<str>,
    /// Host name in the request.
    pub host: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: segments::SegmentedBody,
    /// Holder of the memory of the request and its response.
    pub(crate) memory: memory::MemoryHolder,
    /// Key of the request, if the service is divided by key.
    pub key: Option<u16>,
    /// Time of arrival at the first node.
    pub arrived: time::Instant,
    /// Time after which the response is late but still of use.
    pub target: time::Instant,
    /// Time after which the response is of no use.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the response is large.
    pub is_bulk: bool,
    /// Whether the caller is on this machine.
    pub is_local: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether a worker sent the request while it ran another one.
    pub is_call: bool,
    /// Route of the request that the worker runs, if this is a call that it made beside this node.
    pub parent_route: Option<Arc<str>>,
    /// Whether the caller was told to return later, or was refused and its target has passed.
    pub is_early: bool,
    /// Target of the first request of the caller, if this one repeats a refused one.
    pub first_target: time::Instant,
    /// Deadline that the caller states, whatever its route allows.
    pub caller_deadline: time::Instant,
    /// Hash that identifies requests for the same work.
    pub fingerprint: quarantine::RequestFingerprint,
}

impl FleetRequest {
    /// Returns the request as the admission queue of a worker needs it. `sending` is the expected
    /// time from the response of the worker until the caller has received it.
    pub(crate) fn to_admission(&self, sending: time::Duration) -> admission::AdmissionRequest {
        admission::AdmissionRequest {
            route: Arc::clone(&self.route),
            priority: self.priority,
            is_call: self.is_call,
            is_early: self.is_early,
            target: self.target,
            deadline: self.deadline,
            sending_time: sending,
        }
    }

    /// Encodes the request for another node, to run on `worker`.
    pub(crate) fn to_wire(
        &self,
        now: time::Instant,
        worker: &SelectedWorker,
    ) -> generated::WorkerRequest {
        generated::WorkerRequest {
            request_id: self.id.to_string(),
            route: self.route.to_string(),
            service: self.service.to_string(),
            worker: worker.name.0.to_string(),
            caller_service: self.caller_service.to_string(),
            method: self.method.to_string(),
            path: self.path.to_string(),
            headers: headers::to_wire(&self.headers),
            key: self.key.map(u32::from),
            deadline_us: self.deadline.since(now).0,
            target_us: self.target.since(now).0,
            idempotent: self.is_idempotent,
            priority: u32::from(self.priority),
            has_body: !self.body.is_empty(),
            age_us: now.since(self.arrived).0,
            fingerprint: self.fingerprint.0,
            host: self.host.to_string(),
            is_call: self.is_call,
            ended_worker: worker.suspect_crash.map_or(0, |crash| crash.node.0),
            is_early: self.is_early,
            has_alternatives: worker.has_alternatives,
        }
    }

    /// Decodes a request of another node; returns `None` if it is invalid.
    pub(crate) fn from_wire(
        now: time::Instant,
        wire: generated::WorkerRequest,
        body: segments::SegmentedBody,
        memory: memory::MemoryHolder,
    ) -> Option<(FleetRequest, SelectedWorker)> {
        let name = member::WorkerName(wire.worker.into());
        let suspect_crash = failure::crash_from_wire(wire.ended_worker);
        let has_alternatives = wire.has_alternatives;
        let worker = SelectedWorker { name, suspect_crash, has_alternatives };
        let key = match wire.key {
            Some(key) => Some(u16::try_from(key).ok()?),
            None => None,
        };
        let request = FleetRequest {
            id: wire.request_id.into(),
            route: wire.route.into(),
            service: wire.service.into(),
            caller_service: wire.caller_service.into(),
            host: wire.host.into(),
            method: wire.method.parse().ok()?,
            path: wire.path.into(),
            headers: headers::from_wire(&wire.headers),
            body,
            memory,
            key,
            arrived: time::Instant(now.0.saturating_sub(wire.age_us)),
            target: now + time::Duration(wire.target_us),
            deadline: now + time::Duration(wire.deadline_us),
            is_idempotent: wire.idempotent,
            is_bulk: false,
            is_local: false,
            priority: u8::try_from(wire.priority).ok()?,
            is_call: wire.is_call,
            parent_route: None,
            is_early: wire.is_early,
            first_target: now + time::Duration(wire.target_us),
            caller_deadline: now + time::Duration(wire.deadline_us),
            fingerprint: quarantine::RequestFingerprint(wire.fingerprint),
        };
        Some((request, worker))
    }
}
