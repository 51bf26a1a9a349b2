//! One request on its way to a worker.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::admission;
use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::{generated, headers};
use http::{HeaderMap, Method};

use crate::failure;

/// The worker for one attempt.
#[derive(Clone, Debug)]
pub struct ChosenWorker {
    /// The worker.
    pub name: member::WorkerName,
    /// The end of another worker under this request, if this one was chosen to try it.
    pub suspect_crash: Option<quarantine::CrashId>,
}

/// A request that has a route.
#[derive(Clone, Debug)]
pub struct FleetRequest {
    /// Name that the caller gave it.
    pub id: Arc<str>,
    /// Name of its route.
    pub route: Arc<str>,
    /// Service that is to run it.
    pub service: Arc<str>,
    /// Service beside the node where it began.
    pub caller_service: Arc<str>,
    /// Host that the caller asked for.
    pub host: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers without those of one connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Its key, if the service is divided by key.
    pub key: Option<u16>,
    /// When it arrived at the first node.
    pub arrived: time::Instant,
    /// When its answer is worth less.
    pub target: time::Instant,
    /// When its answer is worth nothing.
    pub deadline: time::Instant,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether its answer is large.
    pub is_bulk: bool,
    /// Whether it came from a caller on this machine.
    pub is_local: bool,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether a worker made it for a request that it runs.
    pub is_call: bool,
    /// Hash of what makes two requests the same work.
    pub fingerprint: quarantine::RequestFingerprint,
}

impl FleetRequest {
    /// What the gate of a worker needs to know; `sending` is the time that the answer will take to
    /// reach its caller once it is ready.
    pub(crate) fn to_admission(&self, sending: time::Duration) -> admission::AdmissionRequest {
        admission::AdmissionRequest {
            route: Arc::clone(&self.route),
            priority: self.priority,
            is_call: self.is_call,
            target: self.target,
            deadline: self.deadline,
            sending_time: sending,
        }
    }

    /// The form for another node.
    pub(crate) fn to_wire(
        &self,
        now: time::Instant,
        worker: &ChosenWorker,
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
        }
    }

    /// Reads a request of another node; `None` if it isn't valid.
    pub(crate) fn from_wire(
        now: time::Instant,
        wire: generated::WorkerRequest,
        body: Bytes,
    ) -> Option<(FleetRequest, ChosenWorker)> {
        let name = member::WorkerName(wire.worker.into());
        let worker =
            ChosenWorker { name, suspect_crash: failure::crash_from_wire(wire.ended_worker) };
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
            key,
            arrived: time::Instant(now.0.saturating_sub(wire.age_us)),
            target: now + time::Duration(wire.target_us),
            deadline: now + time::Duration(wire.deadline_us),
            is_idempotent: wire.idempotent,
            is_bulk: false,
            is_local: false,
            priority: u8::try_from(wire.priority).ok()?,
            is_call: wire.is_call,
            fingerprint: quarantine::RequestFingerprint(wire.fingerprint),
        };
        Some((request, worker))
    }
}
