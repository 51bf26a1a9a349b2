//! Conversion of notices about requests that may crash workers.

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;

use crate::generated;

/// Converts notices to a message.
pub fn to_wire(notices: &[quarantine::SuspectNotice]) -> generated::SuspectNotice {
    generated::SuspectNotice { suspects: notices.iter().copied().map(suspect_to_wire).collect() }
}

/// Returns the notices of a message; those in an unknown state are left out.
pub fn from_wire(message: &generated::SuspectNotice) -> Vec<quarantine::SuspectNotice> {
    message.suspects.iter().filter_map(suspect_from_wire).collect()
}

fn suspect_from_wire(suspect: &generated::Suspect) -> Option<quarantine::SuspectNotice> {
    let fingerprint = quarantine::RequestFingerprint(suspect.fingerprint);
    let crash = quarantine::CrashId {
        node: ident::IncarnationId(suspect.crash_node),
        sequence: suspect.crash_sequence,
    };
    match generated::SuspectState::try_from(suspect.state).ok()? {
        generated::SuspectState::SuspectInFlight => {
            Some(quarantine::SuspectNotice::InFlight { fingerprint, crash })
        }
        generated::SuspectState::SuspectCleared => {
            Some(quarantine::SuspectNotice::Cleared { fingerprint, crash })
        }
        generated::SuspectState::SuspectServed => {
            Some(quarantine::SuspectNotice::Served { fingerprint })
        }
        generated::SuspectState::SuspectRefused => {
            let remaining = time::Duration(suspect.refused_for_us);
            Some(quarantine::SuspectNotice::Refused { fingerprint, remaining })
        }
    }
}

fn suspect_to_wire(notice: quarantine::SuspectNotice) -> generated::Suspect {
    let entry = |state: generated::SuspectState, fingerprint: quarantine::RequestFingerprint| {
        generated::Suspect {
            state: state as i32,
            fingerprint: fingerprint.0,
            ..generated::Suspect::default()
        }
    };
    match notice {
        quarantine::SuspectNotice::InFlight { fingerprint, crash } => generated::Suspect {
            crash_node: crash.node.0,
            crash_sequence: crash.sequence,
            ..entry(generated::SuspectState::SuspectInFlight, fingerprint)
        },
        quarantine::SuspectNotice::Cleared { fingerprint, crash } => generated::Suspect {
            crash_node: crash.node.0,
            crash_sequence: crash.sequence,
            ..entry(generated::SuspectState::SuspectCleared, fingerprint)
        },
        quarantine::SuspectNotice::Served { fingerprint } => {
            entry(generated::SuspectState::SuspectServed, fingerprint)
        }
        quarantine::SuspectNotice::Refused { fingerprint, remaining } => generated::Suspect {
            refused_for_us: remaining.as_micros(),
            ..entry(generated::SuspectState::SuspectRefused, fingerprint)
        },
    }
}
