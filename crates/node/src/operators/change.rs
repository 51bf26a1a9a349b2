//! Applies changes of classes after a check of the revision.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::report;
use thiserror::Error;

use crate::operators;

/// Number of revisions kept for explaining conflicts.
const HISTORY_REVISIONS: usize = 8;

/// Reason why a change wasn't accepted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ChangeError {
    /// The configuration has changed since the expected revision.
    #[error(
        "the change expects revision {}, but the configuration has revision {}",
        _0.expected,
        _0.current
    )]
    Conflict(report::ConflictReport),
    /// The class or the document isn't valid.
    #[error(transparent)]
    Invalid(#[from] class::ClassError),
    /// The class to delete doesn't exist.
    #[error("class {name} does not exist")]
    UnknownClass {
        /// Name as given.
        name: Arc<str>,
    },
    /// The store didn't accept the change.
    #[error("the store did not take the change: {reason}")]
    StoreUnavailable {
        /// What failed.
        reason: String,
    },
    /// The store didn't respond, so the change may be in force.
    #[error("it is not known whether the store took the change: {reason}")]
    OutcomeUnknown {
        /// What failed.
        reason: String,
    },
}

/// Most recent revisions that a node has read, for explaining conflicts.
#[derive(Clone, Debug, Default)]
pub struct ClassHistory {
    documents: VecDeque<class::ClassDocument>,
}

impl ClassHistory {
    /// Adds `document` if its revision is the highest so far, and drops the oldest revision if the
    /// history is full.
    pub fn record(&mut self, document: &class::ClassDocument) {
        if self.documents.back().is_some_and(|last| last.revision >= document.revision) {
            return;
        }
        self.documents.push_back(document.clone());
        if self.documents.len() > HISTORY_REVISIONS {
            self.documents.pop_front();
        }
    }

    fn find(&self, revision: ident::RevisionNumber) -> Option<&class::ClassDocument> {
        self.documents.iter().find(|document| document.revision == revision)
    }
}

/// Returns the document that results from `change` to `current`, to be written by
/// compare-and-swap.
pub fn apply_change(
    current: &class::ClassDocument,
    history: &ClassHistory,
    change: &operators::ClassChange,
    change_id: u64,
) -> Result<class::ClassDocument, ChangeError> {
    if change.expected() != current.revision {
        return Err(ChangeError::Conflict(explain_conflict(current, history, change)));
    }
    let name = change.name();
    let mut classes = current.classes.clone();
    let position = classes.binary_search_by(|class| class.name.cmp(name));
    match (change, position) {
        (operators::ClassChange::Put { class, .. }, Ok(at)) => classes[at] = class.clone(),
        (operators::ClassChange::Put { class, .. }, Err(at)) => classes.insert(at, class.clone()),
        (operators::ClassChange::Delete { .. }, Ok(at)) => drop(classes.remove(at)),
        (operators::ClassChange::Delete { .. }, Err(_)) => {
            return Err(ChangeError::UnknownClass { name: Arc::clone(name) });
        }
    }
    let revision = ident::RevisionNumber(current.revision.0.saturating_add(1));
    let document = class::ClassDocument { revision, change_id, classes };
    document.validate()?;
    Ok(document)
}

fn explain_conflict(
    current: &class::ClassDocument,
    history: &ClassHistory,
    change: &operators::ClassChange,
) -> report::ConflictReport {
    let expected = change.expected();
    let (compared, differences) = match (history.find(expected), change) {
        (Some(base), _) => {
            let differences = differences(&base.classes, &current.classes);
            (report::ConflictBase::ExpectedRevision, differences)
        }
        (None, operators::ClassChange::Put { class, .. }) => {
            let present: Vec<_> = current.class(&class.name).into_iter().cloned().collect();
            let differences = differences(std::slice::from_ref(class), &present);
            (report::ConflictBase::RejectedChange, differences)
        }
        (None, operators::ClassChange::Delete { .. }) => {
            (report::ConflictBase::RejectedChange, Vec::new())
        }
    };
    report::ConflictReport { expected, current: current.revision, compared, differences }
}

fn differences(
    before: &[class::ClassConfig],
    current: &[class::ClassConfig],
) -> Vec<report::ClassDifference> {
    let names: BTreeSet<_> = before.iter().chain(current).map(|class| &class.name).collect();
    let find = |classes: &[class::ClassConfig], name: &Arc<str>| {
        classes.iter().find(|class| class.name == *name).map(fields_of)
    };
    let compare = |name: &Arc<str>| {
        let (kind, fields) = match (find(before, name), find(current, name)) {
            (Some(before), Some(current)) if before == current => return None,
            (Some(before), Some(current)) => {
                (report::DifferenceKind::Changed, field_differences(&before, &current))
            }
            (None, _) => (report::DifferenceKind::Added, Vec::new()),
            (_, None) => (report::DifferenceKind::Deleted, Vec::new()),
        };
        Some(report::ClassDifference { class: Arc::clone(name), kind, fields })
    };
    names.into_iter().filter_map(compare).collect()
}

/// Returns the fields of a class with their values as JSON.
fn fields_of(class: &class::ClassConfig) -> BTreeMap<String, String> {
    match serde_json::to_value(class) {
        Ok(serde_json::Value::Object(fields)) => {
            fields.into_iter().map(|(name, value)| (name, value.to_string())).collect()
        }
        _ => BTreeMap::new(),
    }
}

fn field_differences(
    before: &BTreeMap<String, String>,
    current: &BTreeMap<String, String>,
) -> Vec<report::FieldDifference> {
    let compare = |(field, value): (&String, &String)| {
        let current = current.get(field).filter(|current| *current != value)?;
        let (field, before, current) = (field.clone(), value.clone(), current.clone());
        Some(report::FieldDifference { field, before, current })
    };
    before.iter().filter_map(compare).collect()
}
