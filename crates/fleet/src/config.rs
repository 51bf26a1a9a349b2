//! Configuration of operators: routes, services and limits for callers.

use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::time;

use crate::warm_up;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The request may be sent again after any failure.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
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

/// Configuration of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// Name in logs and metrics.
    pub name: Arc<str>,
    /// Host name in the requests, without a port.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be retried.
    pub retry: RetryRule,
    /// Whether responses are large.
    pub is_bulk: bool,
    /// Longest time until a caller gets a response.
    pub timeout: time::Duration,
    /// Target latency, above which a response loses value.
    pub target: time::Duration,
    /// Highest number of workers on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that share the requests, at least one.
    pub parts: Vec<RoutePart>,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: Arc<str>,
    /// Highest number of connections that one worker accepts from all callers together.
    pub max_connections: u32,
    /// Whether each key has one owner among the workers, or any worker may run any request.
    pub division: class::KeyDivision,
    /// Path of a worker's health check, if it has one.
    pub health_path: Option<Arc<str>>,
    /// Rate that a cold worker tolerates, if the service states one.
    pub warm_up: Option<warm_up::WarmUpRule>,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which a started header must be complete.
    pub header_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

/// Configuration of all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version; a configuration replaces those with lower versions.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns whether the keys of a service have owners.
    pub fn is_divided(&self, name: &str) -> bool {
        self.service(name).is_some_and(|service| service.division == class::KeyDivision::ByKey)
    }
}
