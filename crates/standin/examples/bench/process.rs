//! Nodes in processes of their own, so that their CPU time and latency exclude those of stand-ins.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net;
use std::path;
use std::process;
use std::time;

use cornelridge::node;
use cornelridge::settings;
use cornelridge_standin::mesh;
use cornelridge_wire::identity;
use futures_lite::future;

/// First argument of a node process.
pub(crate) const NODE_ARGUMENT: &str = "node-process";
/// Clock ticks per second in `/proc` on Linux.
const TICKS_PER_SEC: f64 = 100.0;

/// Temporary files with the certificates and the operators' token; removed when dropped.
pub(crate) struct NodeFiles {
    directory: path::PathBuf,
    authority: identity::TrialAuthority,
}

impl NodeFiles {
    /// Creates the directory for the files of this run.
    pub(crate) fn new() -> Result<NodeFiles, String> {
        let name = format!("cornelridge-bench-{}", process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let authority = identity::TrialAuthority::new().map_err(|error| error.to_string())?;
        Ok(NodeFiles { directory, authority })
    }

    fn write(&self, name: &str, text: &str) -> Result<String, String> {
        let file = self.directory.join(name);
        fs::write(&file, text).map_err(|error| error.to_string())?;
        Ok(file.to_string_lossy().into_owned())
    }
}

impl Drop for NodeFiles {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// A node that runs in a process of its own; killed when dropped.
pub(crate) struct NodeProcess {
    child: process::Child,
    pub(crate) caller_address: net::SocketAddr,
    pub(crate) announce_address: net::SocketAddr,
}

impl NodeProcess {
    /// Starts a node by running this program with `NODE_ARGUMENT`.
    pub(crate) fn start(
        files: &NodeFiles,
        name: &str,
        zone: &str,
        store: net::SocketAddr,
    ) -> Result<NodeProcess, String> {
        let pem = files.authority.issue_pem(name).map_err(|error| error.to_string())?;
        let ca = files.write("ca.pem", &pem.authority)?;
        let certificate = files.write(&format!("{name}.pem"), &pem.certificate)?;
        let key = files.write(&format!("{name}.key"), &pem.key)?;
        let token = files.write("token", mesh::OPERATOR_TOKEN)?;
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = process::Command::new(program)
            .arg(NODE_ARGUMENT)
            .args(["--node", name, "--region", "bench", "--zone", zone])
            .args(["--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"])
            .args(["--announce-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0"])
            .args(["--store-address", &store.to_string(), "--operator-token-file", &token])
            .args(["--tls-ca", &ca, "--tls-certificate", &certificate, "--tls-key", &key])
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let stdout = child.stdout.take().ok_or("a node process has no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).map_err(|error| error.to_string())?;
        let addresses: Vec<net::SocketAddr> =
            line.split_whitespace().filter_map(|text| text.parse().ok()).collect();
        let [caller_address, announce_address] = addresses[..] else {
            let _ = child.kill();
            return Err(format!("node process {name} did not start"));
        };
        Ok(NodeProcess { child, caller_address, announce_address })
    }

    /// Returns the CPU time that the process has used, user and system.
    pub(crate) fn cpu_time(&self) -> time::Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let ticks = stat.ok().and_then(|stat| cpu_ticks(&stat)).unwrap_or_default();
        time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_SEC)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn cpu_ticks(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Runs a node until the process is killed; prints its addresses on one line.
pub(crate) fn run_node(args: &[String]) -> Result<(), String> {
    let flags = args.iter().map(std::ffi::OsString::from);
    let outcome = settings::NodeSettings::load(flags, []).map_err(|error| error.to_string())?;
    let settings::SettingsOutcome::Run(settings) = outcome else {
        return Err("a node process needs settings".to_owned());
    };
    future::block_on(smol::spawn(async move {
        let identity = node::read_identity(&settings).map_err(|error| error.to_string())?;
        let node = node::NodeHandle::start(&settings, identity).await;
        let node = node.map_err(|error| error.to_string())?;
        println!("{} {}", node.caller_address, node.announce_address);
        node.drain_requested().await;
        node.shut_down().await;
        Ok(())
    }))
}
