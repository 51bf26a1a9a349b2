//! Runs nodes as separate processes, with certificates in a temporary folder.

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time;

use bytes::Bytes;
use cornelridge_wire::identity;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use rustix::process::{Pid, Signal, kill_process};
use smol::channel;
use smol_hyper::rt::FuturesIo;

/// Time limit far above any expected wait; a test that reaches it hangs.
pub(crate) const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(90);
/// Interval at which a condition is checked.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Operator token of all nodes.
pub(crate) const TOKEN: &str = "processes-operator-token";
/// Region of all nodes.
pub(crate) const REGION: &str = "bogota";

/// Folder with the operator token and the certificates, removed when dropped.
pub(crate) struct TrialFolder {
    path: PathBuf,
    authority: identity::TrialAuthority,
}

impl TrialFolder {
    pub(crate) fn new() -> TrialFolder {
        let name = format!("cornelridge-processes-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        fs::write(path.join("token"), TOKEN).unwrap();
        TrialFolder { path, authority: identity::TrialAuthority::new().unwrap() }
    }

    fn issue(&self, node: &str) {
        let pem = self.authority.issue_pem(node).unwrap();
        fs::write(self.file("ca.pem"), pem.authority).unwrap();
        fs::write(self.file(&format!("{node}.pem")), pem.certificate).unwrap();
        fs::write(self.file(&format!("{node}.key")), pem.key).unwrap();
    }

    fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for TrialFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Running `cornelridge` process, killed when dropped.
pub(crate) struct NodeProcess {
    pub(crate) name: String,
    pub(crate) callers: net::SocketAddr,
    pub(crate) announcements: net::SocketAddr,
    pub(crate) operators: net::SocketAddr,
    child: Child,
}

impl NodeProcess {
    /// Starts a node on free ports and waits until it has logged its addresses.
    pub(crate) async fn start(
        folder: &TrialFolder,
        name: &str,
        zone: &str,
        store: net::SocketAddr,
    ) -> NodeProcess {
        folder.issue(name);
        let file = |name: &str| folder.file(name);
        let any_port = Path::new("127.0.0.1:0");
        let flags = [
            ("--caller-address", any_port.to_owned()),
            ("--peer-address", any_port.to_owned()),
            ("--announce-address", any_port.to_owned()),
            ("--operator-address", any_port.to_owned()),
            ("--operator-token-file", file("token")),
            ("--tls-ca", file("ca.pem")),
            ("--tls-certificate", file(&format!("{name}.pem"))),
            ("--tls-key", file(&format!("{name}.key"))),
        ];
        let mut command = Command::new(env!("CARGO_BIN_EXE_cornelridge"));
        command.args(["--node", name, "--region", REGION, "--zone", zone]);
        command.args(["--store-address", &store.to_string(), "--drain-limit-s", "60"]);
        for (flag, value) in flags {
            command.arg(flag).arg(value);
        }
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let stderr = child.stderr.take().unwrap();
        let (sender, lines) = channel::unbounded();
        let prefix = name.to_owned();
        // The reader continues until the process ends, because a full pipe would block the node.
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{prefix}: {line}");
                let _ = sender.try_send(line);
            }
        });
        let mut node = NodeProcess {
            name: name.to_owned(),
            callers: ([127, 0, 0, 1], 0).into(),
            announcements: ([127, 0, 0, 1], 0).into(),
            operators: ([127, 0, 0, 1], 0).into(),
            child,
        };
        let addresses = loop {
            let Ok(line) = lines.recv().await else { panic!("the node ended before it served") };
            if line.contains("serves callers at") {
                break parse_addresses(&line);
            }
        };
        node.callers = addresses["callers"];
        node.announcements = addresses["announcements"];
        node.operators = addresses["operators"];
        node
    }

    fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Sends SIGTERM, after which the node drains.
    pub(crate) fn terminate(&self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
    }

    /// Kills the node without a drain.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process ends and returns its exit status.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Sends a request to the operators' endpoint and returns the status and the JSON body.
    pub(crate) async fn operator_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, serde_json::Value) {
        let bearer = format!("Bearer {TOKEN}");
        let mut request = http::Request::builder().method(method).uri(path).header("host", "node");
        request = request.header("authorization", bearer);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        let reply = send(self.operators, request).await.unwrap();
        (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Parses the addresses in `... callers at A, nodes at B, announcements at C, operators at D`.
fn parse_addresses(line: &str) -> HashMap<String, net::SocketAddr> {
    let parts = line.split(", ").filter_map(|part| part.rsplit_once(" at "));
    let named = parts.filter_map(|(text, address)| {
        let address = address.trim_end_matches(|c: char| !c.is_ascii_digit());
        Some((text.rsplit(' ').next()?.to_owned(), address.parse().ok()?))
    });
    named.collect()
}

/// Complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Sends one request on a new connection; fails if the response isn't complete.
pub(crate) async fn send(
    target: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
) -> Result<Reply, String> {
    let stream = smol::net::TcpStream::connect(target).await.map_err(|error| error.to_string())?;
    let handshake = http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let (parts, incoming) = response.into_parts();
        let body = incoming.collect().await?.to_bytes().to_vec();
        Ok(Reply { status: parts.status.as_u16(), headers: parts.headers, body })
    };
    let drive = async {
        let _ = connection.await;
        future::pending().await
    };
    let result: Result<Reply, hyper::Error> = future::or(exchange, drive).await;
    result.map_err(|error| error.to_string())
}
