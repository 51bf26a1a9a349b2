//! Node process of cornelridge.

use std::env;
use std::ffi::OsString;
use std::process;

use async_signal::{Signal, Signals};
use cornelridge::log_queue;
use cornelridge::logs;
use cornelridge::metering;
use cornelridge::node;
use cornelridge::settings;
use futures_lite::{FutureExt, StreamExt, future};

/// First argument that runs the node on the users' platform, with the settings of that platform.
const PLATFORM_COMMAND: &str = "platform";

fn main() -> process::ExitCode {
    let code = start();
    log_queue::finish();
    code
}

fn start() -> process::ExitCode {
    let mut arguments = env::args_os().skip(1).peekable();
    if arguments.next_if(|argument| argument == PLATFORM_COMMAND).is_some() {
        return run_on_platform(arguments);
    }
    let loaded = settings::NodeSettings::load(arguments, env::vars_os());
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
    if let Err(error) = logs::install(
        settings.log_level,
        settings.log_format,
        logs::LogTarget::Stderr,
        logs::LINES_PER_WINDOW,
    ) {
        eprintln!("{error}");
        return process::ExitCode::from(settings::EXIT_FAILURE);
    }
    logs::log_panics();
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

fn run_on_platform(arguments: impl Iterator<Item = OsString>) -> process::ExitCode {
    let (level, format) = (settings::LogLevel::Info, settings::LogFormat::Json);
    if let Err(error) =
        logs::install(level, format, logs::LogTarget::Stdout, logs::REQUEST_LINES_PER_WINDOW)
    {
        eprintln!("{error}");
        return process::ExitCode::from(settings::EXIT_FAILURE);
    }
    logs::log_panics();
    if let Err(error) = metering::install() {
        log::warn!("failed to install the metrics recorder: {error}");
    }
    cornelridge_platform::process::run(arguments, metering::render)
}

/// Runs the node until a signal or an operator requests a shutdown; SIGHUP reloads the
/// certificates.
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
            node.drain_requested().await;
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
            Err(error) => log::error!("failed to reload certificates; old ones stay: {error}"),
        }
    }
    node.shut_down().await;
    Ok(())
}
