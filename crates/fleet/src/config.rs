//! What operators configure: routes, services and limits for callers.

use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::time;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// It may be sent again after any failure.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    AtMostOnce,
}

/// One service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePart {
    /// Service that runs the requests.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// Name in logs and metrics.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be repeated.
    pub retry: RetryRule,
    /// Whether answers are large.
    pub is_bulk: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer is worth most.
    pub target: time::Duration,
    /// Most workers that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services, at least one.
    pub parts: Vec<RoutePart>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one worker accepts from all callers together.
    pub max_connections: u32,
    /// Whether each key has one owner among the workers.
    pub division: class::KeyDivision,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes in the header of a request.
    pub header_bytes: usize,
    /// Most bytes in the body of a request.
    pub body_bytes: usize,
    /// Time in which a started header must be complete.
    pub header_timeout: time::Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: time::Duration,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Whether the keys of a service have owners.
    pub fn is_divided(&self, name: &str) -> bool {
        self.service(name).is_some_and(|service| service.division == class::KeyDivision::ByKey)
    }
}
