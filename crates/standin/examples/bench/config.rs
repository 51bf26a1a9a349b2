//! Time from a change of a class until every node has it in force.

use std::net;
use std::time;

use cornelridge_model::ident;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use futures_lite::future;

use crate::figure;
use crate::operators;
use crate::setup;

/// Rounds of changes.
const ROUNDS: u64 = 12;
/// Operators that change different classes at the same time through different nodes.
const OPERATORS: u64 = 3;
/// Period, in rounds, at which the store drops responses.
const LOST_RESPONSE_PERIOD: u64 = 3;
/// Responses to writes that the store drops in the last round of each period.
const LOST_RESPONSES: u32 = 2;
/// Interval at which the revisions are polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);
/// Attempts of an operator to make its change.
const MAX_ATTEMPTS: u32 = 50;
/// Delay of an operator before it retries after a conflict.
const CONFLICT_DELAY: time::Duration = time::Duration::from_millis(20);
/// Longest time allowed until a configuration is in force on every node.
const MAX_PROPAGATION_TIME: time::Duration = time::Duration::from_secs(6);
/// Time after which the scenario fails if a revision isn't in force on every node.
const PROPAGATION_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// An accepted change.
#[derive(Clone, Copy, Debug)]
struct AcceptedChange {
    revision: ident::RevisionNumber,
    sent: time::Instant,
    accepted: time::Instant,
    conflicts: u64,
    unknown: u64,
}

/// Observes the revision of each node.
#[derive(Debug)]
struct RevisionObserver {
    highest: Vec<ident::RevisionNumber>,
    /// When each revision was first in force on every node.
    in_force: Vec<(ident::RevisionNumber, time::Instant)>,
    reverts: u64,
}

/// Changes classes through several nodes at the same time.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    smol::block_on(measure())
}

async fn measure() -> Result<(), String> {
    let mesh = setup::start(deployment::Deployment::bogota(), |_| {}).await?;
    let mut observer = RevisionObserver::new(&mesh);
    let mut changes = Vec::new();
    for round in 0..ROUNDS {
        if round % LOST_RESPONSE_PERIOD == LOST_RESPONSE_PERIOD - 1 {
            mesh.store.drop_responses(LOST_RESPONSES);
        }
        changes.extend(run_round(&mesh, &mut observer, round).await?);
    }
    report(&mesh, &observer, &changes).await
}

/// Makes the changes of the operators of one round and waits until all are in force.
async fn run_round(
    mesh: &mesh::Mesh,
    observer: &mut RevisionObserver,
    round: u64,
) -> Result<Vec<AcceptedChange>, String> {
    let nodes: Vec<_> = mesh.nodes().map(|node| node.operator_address).collect();
    let tasks: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let node = nodes[(round + operator * 4) as usize % nodes.len()];
            let class = mesh.deployment.classes[operator as usize].config.name.to_string();
            smol::spawn(change(node, class, round_deadline_ms(round)))
        })
        .collect();
    let started = time::Instant::now();
    let accepted = async {
        let mut accepted = Vec::new();
        for task in tasks {
            accepted.push(task.await?);
        }
        Ok::<_, String>(accepted)
    };
    let mut accepted = Box::pin(accepted);
    let mut changes: Option<Vec<AcceptedChange>> = None;
    loop {
        observer.sample(mesh);
        if changes.is_none() {
            changes = future::poll_once(&mut accepted).await.transpose()?;
        }
        if let Some(changes) = &changes
            && changes.iter().all(|change| observer.in_force_at(change.revision).is_some())
        {
            return Ok(changes.clone());
        }
        if started.elapsed() > PROPAGATION_TIMEOUT {
            return Err(format!(
                "round {round}: not in force everywhere within {PROPAGATION_TIMEOUT:?}"
            ));
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns the deadline that the operators of a round set, which is unique to the round.
fn round_deadline_ms(round: u64) -> u64 {
    10_000 + round
}

/// Reads the configuration and changes one class; retries after conflicts and unknown outcomes.
async fn change(
    node: net::SocketAddr,
    class: String,
    deadline_ms: u64,
) -> Result<AcceptedChange, String> {
    let (mut conflicts, mut unknown) = (0, 0);
    let mut first_sent = None;
    for _ in 0..MAX_ATTEMPTS {
        let document = operators::classes(node).await?;
        let mut config = document.class(&class).ok_or("the class is gone")?.clone();
        if let Some(sent) = first_sent.filter(|_| config.deadline_ms == deadline_ms) {
            // An earlier attempt whose outcome was unknown is in force.
            let (revision, accepted) = (document.revision, time::Instant::now());
            return Ok(AcceptedChange { revision, sent, accepted, conflicts, unknown });
        }
        config.deadline_ms = deadline_ms;
        let sent = time::Instant::now();
        match operators::put_class(node, &config, document.revision).await? {
            operators::ChangeResult::Accepted(revision) => {
                let accepted = time::Instant::now();
                return Ok(AcceptedChange { revision, sent, accepted, conflicts, unknown });
            }
            operators::ChangeResult::Unknown => {
                unknown += 1;
                first_sent = first_sent.or(Some(sent));
            }
            operators::ChangeResult::Conflict => {
                conflicts += 1;
                smol::Timer::after(CONFLICT_DELAY).await;
            }
            operators::ChangeResult::Failed(status, text) => {
                return Err(format!("change of {class} failed: {status} {text}"));
            }
        }
    }
    Err(format!("class {class} could not be changed in {MAX_ATTEMPTS} attempts"))
}

async fn report(
    mesh: &mesh::Mesh,
    observer: &RevisionObserver,
    changes: &[AcceptedChange],
) -> Result<(), String> {
    let durations = |from: fn(&AcceptedChange) -> time::Instant| {
        let duration = |change: &AcceptedChange| {
            let until = observer.in_force_at(change.revision);
            until.map(|until| until.saturating_duration_since(from(change)))
        };
        changes.iter().filter_map(duration).collect::<Vec<_>>()
    };
    let in_force = durations(|change| change.sent);
    figure::print_duration("config.in_force.max", figure::longest(&in_force));
    figure::print_duration("config.in_force.median", figure::median(&in_force));
    let since_accepted = durations(|change| change.accepted);
    figure::print_duration("config.in_force_after_accepted.max", figure::longest(&since_accepted));
    figure::print_count("config.reverts", observer.reverts);
    figure::print_count("config.changes", changes.len() as u64);
    let conflicts = changes.iter().map(|change| change.conflicts).sum();
    figure::print_count("config.conflicts", conflicts);
    let unknown = changes.iter().map(|change| change.unknown).sum();
    figure::print_count("config.unknown_outcomes", unknown);
    let lost = lost_changes(mesh).await?;
    figure::print_count("config.lost_changes", lost);
    let longest = figure::longest(&in_force);
    if longest > MAX_PROPAGATION_TIME || observer.reverts > 0 || lost > 0 {
        return Err("a bound of the specification is broken".to_owned());
    }
    Ok(())
}

/// Counts the classes, over all nodes, that lack the change of the last round.
async fn lost_changes(mesh: &mesh::Mesh) -> Result<u64, String> {
    let mut lost = 0;
    for node in mesh.nodes() {
        let document = operators::classes(node.operator_address).await?;
        let is_lost = |class: &&cornelridge_model::class::ClassConfig| {
            class.deadline_ms != round_deadline_ms(ROUNDS - 1)
        };
        lost += document.classes.iter().filter(is_lost).count() as u64;
    }
    Ok(lost)
}

impl RevisionObserver {
    fn new(mesh: &mesh::Mesh) -> RevisionObserver {
        let highest = mesh.nodes().map(|node| node.versions().1).collect();
        RevisionObserver { highest, in_force: Vec::new(), reverts: 0 }
    }

    fn sample(&mut self, mesh: &mesh::Mesh) {
        for (node, highest) in mesh.nodes().zip(&mut self.highest) {
            let revision = node.versions().1;
            self.reverts += u64::from(revision < *highest);
            *highest = revision;
        }
        let lowest = self.highest.iter().min().copied().unwrap_or_default();
        if self.in_force.last().is_none_or(|(last, _)| *last < lowest) {
            self.in_force.push((lowest, time::Instant::now()));
        }
    }

    /// Returns when this revision or a later one was first in force on every node.
    fn in_force_at(&self, revision: ident::RevisionNumber) -> Option<time::Instant> {
        self.in_force.iter().find(|(seen, _)| *seen >= revision).map(|(_, at)| *at)
    }
}
