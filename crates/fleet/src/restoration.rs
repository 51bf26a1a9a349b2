//! Rows of ranges that a worker holds, written again after the store went back to an older copy.

use std::collections::HashSet;
use std::sync::Arc;

use crate::era;
use crate::plan;
use crate::range;

/// Writes that one held range needs at most: a row before it, the row itself and a row after it.
const PIECE_OPS: usize = 6;

/// Part of a held range with the row of the copy that contains it.
struct HeldPiece<'a> {
    first: u16,
    last: u16,
    stored: Option<&'a range::StoredRow>,
}

/// Returns the change that makes `owner` the owner of the ranges that it holds, given by their
/// first and last keys; `None` if no row is left to write. A range may need several changes.
///
/// Rows that were written in the current era are left alone: their owners hold them, or got them
/// when no grant of an earlier era could be in force.
pub fn restore(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    era: u64,
    owner: &range::RangeHolder,
    held: &[(u16, u16)],
    max_ops: usize,
) -> Option<plan::RangeChange> {
    let mut change = plan::RangeChange {
        service: Arc::clone(service),
        reason: plan::ChangeReason::Restored,
        layout: None,
        expected: Vec::new(),
        absent: Vec::new(),
        records: Vec::new(),
        writes: Vec::new(),
    };
    let mut used = HashSet::new();
    for piece in held.iter().flat_map(|(first, last)| pieces(ranges, *first, *last)) {
        // Two for the layout, and one for the record of the host.
        if change.expected.len() + change.writes.len() + PIECE_OPS + 3 > max_ops {
            break;
        }
        // A row that is divided twice is read again in between.
        if piece.stored.is_none_or(|stored| used.insert(stored.row.first)) {
            add_piece(&mut change, ranges.layout_revision, era, owner, &piece);
        }
    }
    (!change.writes.is_empty()).then_some(change)
}

/// Divides a held range by the rows of the copy, without those written in the current era.
fn pieces(ranges: &range::ServiceRanges, first: u16, last: u16) -> Vec<HeldPiece<'_>> {
    let mut pieces = Vec::new();
    let mut next = u32::from(first);
    let end = u32::from(last) + 1;
    let overlapping = ranges.rows().filter(|s| s.row.first <= last && s.row.last >= first);
    let mut add = |from: u32, to: u32, stored| {
        if from < to {
            pieces.push(HeldPiece { first: from as u16, last: (to - 1) as u16, stored });
        }
    };
    for stored in overlapping {
        let start = u32::from(stored.row.first).max(next);
        let stop = (u32::from(stored.row.last) + 1).min(end);
        add(next, start.min(end), None);
        if era::is_inherited(stored.row.fence) {
            add(start, stop, Some(stored));
        }
        next = next.max(stop);
    }
    add(next, end, None);
    pieces
}

/// Adds a part of a held range, and the parts of its row that aren't held, to a change.
fn add_piece(
    change: &mut plan::RangeChange,
    layout: u64,
    era: u64,
    owner: &range::RangeHolder,
    piece: &HeldPiece<'_>,
) {
    let (first, last) = (piece.first, piece.last);
    let empty = range::RangeRow {
        first,
        last,
        fence: era::min_fence(era),
        owner: None,
        successor: None,
        handover: Arc::default(),
    };
    let row = piece.stored.map_or(&empty, |stored| &stored.row);
    let held = range::RangeRow { first, last, ..row.clone() };
    change.writes.push(held.with_owner(owner.clone(), Arc::default()));
    if let Some(stored) = piece.stored {
        change.expected.push((row.first, stored.revision));
    }
    if row.first < first {
        change.writes.push(range::RangeRow { last: first - 1, ..row.clone() });
    }
    if row.last > last {
        change.writes.push(range::RangeRow { first: last + 1, ..row.clone() });
        change.expected.push((last + 1, 0));
    }
    if piece.stored.is_none() || row.first < first {
        change.expected.push((first, 0));
    }
    if piece.stored.is_none() || row.first < first || row.last > last {
        change.layout = Some(layout);
    }
}
