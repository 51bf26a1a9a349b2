//! The node process of cornelridge.

use std::env;
use std::process;

use async_signal::{Signal, Signals};
use cornelridge::logs;
use cornelridge::node;
use cornelridge::settings;
use futures_lite::{FutureExt, StreamExt, future};

fn main() -> process::ExitCode {
    let loaded = settings::NodeSettings::load(env::args_os().skip(1), env::vars_os());
    let settings = match loaded {
        Ok(settings::SettingsOutcome::Run(settings)) => settings,
        Ok(settings::SettingsOutcome::Print(text)) => {
            print!("{text}");
            return process::ExitCode::SUCCESS;
        }
        Err(errors) => {
            eprintln!("{errors}");
            return process::ExitCode::from(settings::EXIT_USAGE);
        }
    };
    if let Err(error) = logs::install(settings.log_level, settings.log_format) {
        eprintln!("no logs: {error}");
        return process::ExitCode::from(settings::EXIT_FAILURE);
    }
    // Only the executor thread polls the sockets; `smol::block_on` here would compete with it and
    // turn each event into a wake-up between threads.
    match future::block_on(smol::spawn(async move { run(&settings).await })) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            process::ExitCode::from(settings::EXIT_FAILURE)
        }
    }
}

/// Runs the node until a signal asks it to leave; SIGHUP reloads the certificates.
async fn run(
    settings: &settings::NodeSettings,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    for warning in settings.warnings() {
        log::warn!("{warning}");
    }
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let identity = node::read_identity(settings)?;
    let node = node::NodeHandle::start(settings, identity).await?;
    log::info!(
        "node {} incarnation {} serves callers at {}, nodes at {}, announcements at {}, operators at {}",
        node.name(),
        node.incarnation(),
        node.caller_address,
        node.peer_address,
        node.announce_address,
        node.operator_address,
    );
    loop {
        let requested = async {
            node.leave_requested().await;
            None
        };
        let Some(signal) = signals.next().or(requested).await else { break };
        if signal? != Signal::Hup {
            break;
        }
        match node::read_identity(settings) {
            Ok(identity) => {
                node.reload_identity(&identity);
                log::info!("certificates reloaded");
            }
            Err(error) => log::error!("certificates not reloaded, the old ones stay: {error}"),
        }
    }
    node.leave().await;
    Ok(())
}
