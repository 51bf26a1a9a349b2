//! Ownership on the request path: tickets that count work on a slice.

use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use tokio_util::sync::CancellationToken;

use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::request;

/// Pause before a slice that waits for its lease or its settlement is asked for again.
const GRANT_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Longest wait at the owner; after it the ingress node asks the other members of the chain.
const MAX_GRANT_WAIT: time::Duration = time::Duration::from_millis(250);

/// Permission to run one request on a slice; work ends when it is dropped.
pub(crate) struct TenureTicket {
    context: Arc<context::NodeContext>,
    ticket: Option<ownership::WorkTicket>,
    fence: ident::FenceToken,
    cancelled: CancellationToken,
}

impl TenureTicket {
    fn new(context: &Arc<context::NodeContext>, ticket: ownership::WorkTicket) -> TenureTicket {
        TenureTicket {
            context: Arc::clone(context),
            fence: ticket.fence,
            cancelled: context.track_work(ticket.work),
            ticket: Some(ticket),
        }
    }

    /// Whether the lease still holds and the slice still belongs to this node.
    pub(crate) fn is_valid(&self) -> bool {
        let now = self.context.clock.now();
        let machine = self.context.ownership();
        self.ticket.as_ref().is_some_and(|ticket| machine.check(now, ticket))
    }

    /// The fence token for the upstream.
    pub(crate) fn fence(&self) -> ident::FenceToken {
        self.fence
    }

    /// Cancelled when the work has to end, for example because its slice was moved away.
    pub(crate) fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }

    /// When the lease ends unless it is renewed again.
    pub(crate) fn valid_until(&self) -> time::Instant {
        let machine = self.context.ownership();
        self.ticket.as_ref().map_or(time::Instant(0), |ticket| machine.lease_end(ticket))
    }
}

impl Drop for TenureTicket {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.context.untrack_work(ticket.work);
            self.context.ownership().end(ticket);
        }
    }
}

/// Asks for the slice of a request; waits a moment while a move or a takeover settles.
pub(crate) async fn acquire(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
) -> Result<TenureTicket, RequestFailure> {
    let hash = head.slice_hash(class);
    let give_up = context.clock.now() + MAX_GRANT_WAIT;
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
                return Ok(TenureTicket::new(context, ticket));
            }
            Err(ownership::GrantDecision::Wait) if now < give_up => {
                context.sleep(GRANT_PAUSE).await;
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
