//! Replicates at-most-once records between the members of a chain.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::assignment;
use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_records as records;
use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::FutureExt;

use crate::context;

/// Time limit for fetching the records of a range from a member.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time limit for a replica to acknowledge a copy.
const COPY_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Returns the members that must hold a copy of the record before a request with this key hash is
/// sent to the upstream.
pub(crate) fn copy_peers(
    context: &context::NodeContext,
    class: &str,
    hash: key::KeyHash,
) -> Vec<records::CopyPeer> {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let members = context.route(class, hash).into_iter().filter(|member| *member != own);
    members
        .map(|incarnation| {
            let member = document.member_key(incarnation).map(|key| document.member(key));
            let in_other_zone = member.is_some_and(|member| member.zone != context.identity.zone);
            records::CopyPeer { incarnation, in_other_zone }
        })
        .collect()
}

/// Sends one record to a replica and returns whether it stored the copy, or `None` if it didn't
/// respond in time.
pub(crate) async fn send_copy(
    context: &context::NodeContext,
    record: &records::Record,
    peer: ident::IncarnationId,
) -> Option<bool> {
    let address = context.address_of(peer)?;
    let copy = generated::RecordCopy {
        epoch: context.epoch().0,
        record: Some(record_to_wire(record)),
        sender: context.identity.incarnation.0,
    };
    let kind = Some(generated::stream_head::Kind::RecordCopy(copy));
    let exchange = async {
        let head = generated::StreamHead { kind };
        let (mut writer, mut reader) =
            context.endpoint.open_stream_queued(address, &head).await.ok()?;
        writer.finish().await.ok()?;
        let answer = reader.receive::<generated::RecordCopyAnswer>().await.ok()??;
        Some(answer.stored)
    };
    let timeout = async {
        context.sleep(COPY_TIMEOUT).await;
        None
    };
    exchange.or(timeout).await
}

/// Sends the result of an execution to the replicas without waiting; delivery may fail.
pub(crate) fn send_update(context: &Arc<context::NodeContext>, update: records::RecordUpdate) {
    let records::RecordUpdate { record, to } = update;
    let record = Arc::new(record);
    for peer in to {
        let (context, record) = (Arc::clone(context), Arc::clone(&record));
        let executor = context.executor.clone();
        executor.spawn(async move {
            if send_copy(&context, &record, peer).await.is_none() {
                log::debug!("replica {peer} did not acknowledge the result of an execution");
            }
        });
    }
}

/// Handles a record copy from the owner of a slice.
pub(crate) async fn serve_copy(
    context: Arc<context::NodeContext>,
    copy: generated::RecordCopy,
    mut writer: transport::FrameWriter,
) {
    let stored = store_copy(&context, copy);
    let answer = generated::RecordCopyAnswer { stored, epoch: context.epoch().0 };
    if writer.queue(&answer).is_ok() && writer.finish().await.is_err() {
        log::debug!("acknowledgement of a record copy could not be sent");
    }
}

fn store_copy(context: &context::NodeContext, copy: generated::RecordCopy) -> bool {
    let Some(record) = copy.record.and_then(record_from_wire) else { return false };
    let classes = context.classes();
    let Some(class) = classes.class(&record.class) else { return false };
    let now = context.clock.now();
    let window = records::record_window(class);
    // An owner with an older assignment may have lost the slice to a chain that this node isn't
    // part of, where the copy would be unknown. It must adopt the newer assignment before it may
    // start new executions.
    let is_start = record.state == records::RecordState::Started;
    if is_start && copy.epoch < context.epoch().0 && !is_on_route(context, &record) {
        return false;
    }
    let from = ident::IncarnationId(copy.sender);
    let reply = context.records().store_copy(now, from, &record, window);
    match reply {
        records::CopyReply::Stored => true,
        records::CopyReply::Refused(reason) => {
            log::debug!("copy of a record of class {} refused: {reason}", record.class);
            false
        }
    }
}

fn is_on_route(context: &context::NodeContext, record: &records::Record) -> bool {
    context.route(&record.class, record.hash).contains(&context.identity.incarnation)
}

/// Handles a fetch of the records of a range.
pub(crate) async fn serve_fetch(
    context: Arc<context::NodeContext>,
    fetch: generated::RecordFetch,
    mut writer: transport::FrameWriter,
) {
    let range = records::RecordRange {
        class: fetch.class.into(),
        first: key::KeyHash(fetch.first_hash),
        last: key::KeyHash(fetch.last_hash),
    };
    let to = ident::IncarnationId(fetch.sender);
    // Later executions are copied to the fetching node only if the assignment in force names it.
    // Dropping the writer makes it retry.
    if !is_in_chain(&context, &range, to) {
        return;
    }
    let mut cursor = None;
    loop {
        let now = context.clock.now();
        let batch = context.records().read_batch(now, &range, cursor.as_ref(), to);
        let message = generated::RecordBatch {
            records: batch.records.iter().map(record_to_wire).collect(),
            last: batch.next.is_none(),
            complete: batch.complete,
        };
        if writer.send_document(&message).await.is_err() {
            return;
        }
        cursor = batch.next;
        if cursor.is_none() {
            break;
        }
    }
    if writer.finish().await.is_err() {
        log::debug!("records of a range could not be sent");
    }
}

/// Returns whether a member is in the chain of every slice of a range.
fn is_in_chain(
    context: &context::NodeContext,
    range: &records::RecordRange,
    member: ident::IncarnationId,
) -> bool {
    let document = context.assignment();
    let Some((_, slices)) = document.class(&range.class) else { return false };
    let (Some(first), Some(last)) = (slices.find(range.first), slices.find(range.last)) else {
        return false;
    };
    let has_member = |slice: &assignment::SliceRecord| {
        slice.chain.iter().any(|lease| document.holder(*lease).incarnation == member)
    };
    slices.slices.get(first..=last).is_some_and(|slices| slices.iter().all(has_member))
}

/// Fetches the records of a range from a member of its chain; returns `false` if the fetch must be
/// retried.
pub(crate) async fn fetch(
    context: &context::NodeContext,
    range: &records::RecordRange,
    from: ident::IncarnationId,
    window: time::Duration,
) -> bool {
    let timeout = async {
        context.sleep(FETCH_TIMEOUT).await;
        false
    };
    fetch_all(context, range, from, window).or(timeout).await
}

async fn fetch_all(
    context: &context::NodeContext,
    range: &records::RecordRange,
    from: ident::IncarnationId,
    window: time::Duration,
) -> bool {
    let Some(address) = context.address_of(from) else { return false };
    context.records().begin_sync(range, from);
    let message = generated::RecordFetch {
        class: range.class.to_string(),
        first_hash: range.first.0,
        last_hash: range.last.0,
        sender: context.identity.incarnation.0,
    };
    let kind = Some(generated::stream_head::Kind::RecordFetch(message));
    let head = generated::StreamHead { kind };
    let Ok((mut writer, mut reader)) = context.endpoint.open_stream_queued(address, &head).await
    else {
        return false;
    };
    if writer.finish().await.is_err() {
        return false;
    }
    loop {
        let batch = match reader.receive_document::<generated::RecordBatch>().await {
            Ok(Some(batch)) => batch,
            Ok(None) | Err(_) => return false,
        };
        let is_last = batch.last;
        let batch = batch_from_wire(batch);
        let now = context.clock.now();
        if context.records().apply_batch(now, range, from, &batch, window).is_err() {
            return false;
        }
        if is_last {
            return batch.complete;
        }
    }
}

fn batch_from_wire(batch: generated::RecordBatch) -> records::RecordBatch {
    let records: Vec<_> = batch.records.into_iter().filter_map(record_from_wire).collect();
    let last = records.last().map(|record| records::RecordCursor {
        hash: record.hash,
        idempotency_key: Arc::clone(&record.idempotency_key),
    });
    let next = last.filter(|_| !batch.last);
    records::RecordBatch { records, next, complete: batch.complete }
}

/// Returns the range of records of one slice; the last hash is included.
pub(crate) fn range_of(slices: &assignment::ClassSlices, index: usize) -> records::RecordRange {
    let first = slices.slices[index].start;
    let last = match slices.slices.get(index + 1) {
        Some(next) => key::KeyHash(next.start.0 - 1),
        None => key::KeyHash(u64::MAX),
    };
    records::RecordRange { class: Arc::clone(&slices.class), first, last }
}

fn record_to_wire(record: &records::Record) -> generated::Record {
    let state = match record.state {
        records::RecordState::Started => generated::RecordState::RecordStarted,
        records::RecordState::Finished => generated::RecordState::RecordFinished,
        records::RecordState::Unknown => generated::RecordState::RecordUnknown,
        records::RecordState::Freed => generated::RecordState::RecordFreed,
    };
    let response = record.response.as_ref();
    let headers = response.map(|response| response.headers.iter().map(header_to_wire).collect());
    generated::Record {
        slice_hash: record.hash.0,
        class: record.class.to_string(),
        idempotency_key: record.idempotency_key.to_string(),
        state: state as i32,
        status: response.map_or(0, |response| u32::from(response.status)),
        headers: headers.unwrap_or_default(),
        body: response.and_then(|response| response.body.clone()).unwrap_or_default(),
        age_us: record.age.as_micros(),
        execution: record.execution.0,
        has_body: response.is_some_and(|response| response.body.is_some()),
    }
}

fn header_to_wire((name, value): &(Arc<str>, Vec<u8>)) -> generated::Header {
    generated::Header { name: name.to_string(), value: Bytes::copy_from_slice(value) }
}

fn record_from_wire(record: generated::Record) -> Option<records::Record> {
    let state = match generated::RecordState::try_from(record.state).ok()? {
        generated::RecordState::RecordStarted => records::RecordState::Started,
        generated::RecordState::RecordFinished => records::RecordState::Finished,
        generated::RecordState::RecordUnknown => records::RecordState::Unknown,
        generated::RecordState::RecordFreed => records::RecordState::Freed,
    };
    let headers = record.headers.into_iter();
    let response = match u16::try_from(record.status).ok()? {
        0 => None,
        status => Some(records::StoredResponse {
            status,
            headers: headers.map(|header| (header.name.into(), header.value.to_vec())).collect(),
            body: record.has_body.then_some(record.body),
        }),
    };
    Some(records::Record {
        class: record.class.into(),
        hash: key::KeyHash(record.slice_hash),
        idempotency_key: record.idempotency_key.into(),
        execution: records::ExecutionId(record.execution),
        state,
        response,
        age: time::Duration(record.age_us),
    })
}
