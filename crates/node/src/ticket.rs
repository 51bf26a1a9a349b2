//! Tickets of the request path, which count the work on an owned slice.

use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use tokio_util::sync::CancellationToken;

use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::request;

/// Delay before a slice is requested again while its lease or its settlement is pending.
const GRANT_RETRY_DELAY: time::Duration = time::Duration::from_millis(5);
/// Longest wait at the owner; after it the ingress node tries the other members of the chain.
const MAX_GRANT_WAIT: time::Duration = time::Duration::from_millis(250);

/// Permission to run one request on a slice; dropping it ends the work.
pub(crate) struct SliceTicket {
    context: Arc<context::NodeContext>,
    ticket: Option<ownership::WorkTicket>,
    fence: ident::FenceToken,
    cancelled: CancellationToken,
}

impl SliceTicket {
    fn new(context: &Arc<context::NodeContext>, ticket: ownership::WorkTicket) -> SliceTicket {
        SliceTicket {
            context: Arc::clone(context),
            fence: ticket.fence,
            cancelled: context.track_work(ticket.work),
            ticket: Some(ticket),
        }
    }

    /// Returns whether the lease is still held and this node still owns the slice.
    pub(crate) fn is_valid(&self) -> bool {
        let now = self.context.clock.now();
        let machine = self.context.ownership();
        self.ticket.as_ref().is_some_and(|ticket| machine.check(now, ticket))
    }

    /// Returns the fence token for the upstream.
    pub(crate) fn fence(&self) -> ident::FenceToken {
        self.fence
    }

    /// Returns the token that is cancelled when the work has to end, for example because its slice
    /// was moved to another node.
    pub(crate) fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }

    /// Returns the time at which the lease ends unless it is renewed.
    pub(crate) fn valid_until(&self) -> time::Instant {
        let machine = self.context.ownership();
        self.ticket.as_ref().map_or(time::Instant(0), |ticket| machine.lease_end(ticket))
    }
}

impl Drop for SliceTicket {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.context.untrack_work(ticket.work);
            self.context.ownership().end(ticket);
        }
    }
}

/// Acquires a ticket for the slice of a request. Waits up to [`MAX_GRANT_WAIT`] while the lease is
/// pending or a move or takeover isn't settled.
pub(crate) async fn acquire(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
) -> Result<SliceTicket, RequestFailure> {
    let hash = head.slice_hash(class);
    let wait_limit = context.clock.now() + MAX_GRANT_WAIT;
    loop {
        if context.is_handing_over() {
            let message = "this node hands its slices over";
            return Err(RequestFailure::not_run(FailureKind::Draining, message));
        }
        let now = context.clock.now();
        let decision = context.ownership().begin_key(now, &head.class, hash);
        match decision {
            Ok(ticket) => {
                context.loads.count(&context.assignment(), &head.class, hash);
                return Ok(SliceTicket::new(context, ticket));
            }
            Err(ownership::GrantDecision::Wait) if now < wait_limit => {
                context.sleep(GRANT_RETRY_DELAY).await;
            }
            Err(ownership::GrantDecision::Wait) => {
                let message = "this node waits for its lease or for a move to settle";
                return Err(RequestFailure::not_run(FailureKind::NoOwner, message));
            }
            Err(_) => {
                let message = "another node owns this key";
                let mut failure = RequestFailure::not_run(FailureKind::NotOwner, message);
                failure.epoch = context.epoch();
                return Err(failure);
            }
        }
    }
}
