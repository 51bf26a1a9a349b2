//! Settings of a node, read from flags and environment variables.

use std::ffi::OsString;
use std::fmt;
use std::net;
use std::path::PathBuf;
use std::sync::Arc;
use std::time;

use derive_more::Display;
use subtle::ConstantTimeEq;
use thiserror::Error;

pub use error::{SettingsError, SettingsErrors};

mod error;
mod source;

/// Exit code for a failure at run time.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for wrong usage or settings.
pub const EXIT_USAGE: u8 = 2;
/// Prefix of the environment variables.
pub const VARIABLE_PREFIX: &str = "CORNELRIDGE_";
/// Minimum length of the operator token, in characters.
pub const MIN_TOKEN_CHARS: usize = 16;
/// Maximum length of the operator token, in characters.
pub const MAX_TOKEN_CHARS: usize = 256;
/// Maximum length of the name of a node, region or zone.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum size of a file named in the settings.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;

const SWITCH: &str = "";

/// Description of one setting, as shown by `--help`.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag without leading hyphens.
    pub flag: &'static str,
    /// Placeholder for the value; empty for a switch.
    pub value: &'static str,
    /// Default; empty if there is none.
    pub default: &'static str,
    /// What the setting does.
    pub help: &'static str,
}

impl SettingSpec {
    const fn new(
        flag: &'static str,
        value: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> SettingSpec {
        SettingSpec { flag, value, default, help }
    }

    /// Returns the name of the environment variable of this setting.
    pub fn variable(&self) -> String {
        VARIABLE_PREFIX.to_owned() + &self.flag.replace('-', "_").to_uppercase()
    }
}

/// All settings, in the order of `--help`.
pub const SETTINGS: &[SettingSpec] = &[
    SettingSpec::new("node", "NAME", "", "name of this node, unique in its region"),
    SettingSpec::new("region", "NAME", "", "region of this host"),
    SettingSpec::new("zone", "NAME", "", "availability zone of this host"),
    SettingSpec::new("caller-address", "IP:PORT", "", "listens for callers (HTTP)"),
    SettingSpec::new("peer-address", "IP:PORT", "", "listens for other nodes (QUIC, UDP)"),
    SettingSpec::new(
        "peer-advertised",
        "IP:PORT",
        "",
        "address under which other nodes reach this one, if not the peer address",
    ),
    SettingSpec::new(
        "announce-address",
        "IP:PORT",
        "127.0.0.1:7070",
        "listens for the announcements of the upstream (HTTP)",
    ),
    SettingSpec::new(
        "operator-address",
        "IP:PORT",
        "127.0.0.1:7071",
        "listens for operators and metrics (HTTP)",
    ),
    SettingSpec::new(
        "operator-token-file",
        "FILE",
        "",
        "file with the bearer token for operators, 16 to 256 printable characters",
    ),
    SettingSpec::new("store-address", "IP:PORT", "", "address of the platform's store (HTTP)"),
    SettingSpec::new("tls-ca", "FILE", "", "certificates that sign the nodes' certificates (PEM)"),
    SettingSpec::new("tls-certificate", "FILE", "", "certificate of this node (PEM)"),
    SettingSpec::new("tls-key", "FILE", "", "private key of this node (PEM)"),
    SettingSpec::new(
        "insecure-local-trial",
        SWITCH,
        "false",
        "runs without TLS files, on loopback addresses only",
    ),
    SettingSpec::new("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    SettingSpec::new("log-format", "FORMAT", "text", "text or json"),
    SettingSpec::new("drain-limit-s", "SECONDS", "30", "longest wait for requests while draining"),
    SettingSpec::new("max-caller-connections", "COUNT", "4096", "open connections from callers"),
    SettingSpec::new("max-records", "COUNT", "65536", "at-most-once records kept in memory"),
];

/// Bearer token of the operators, which is compared in constant time and never printed.
#[derive(Clone)]
pub struct OperatorToken(Arc<str>);

impl OperatorToken {
    /// Creates a token from text, without surrounding white space, after a check of its length and
    /// characters.
    pub fn new(text: &str) -> Result<OperatorToken, TokenError> {
        let text = text.trim();
        let is_long_enough = (MIN_TOKEN_CHARS..=MAX_TOKEN_CHARS).contains(&text.len());
        if is_long_enough && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Ok(OperatorToken(Arc::from(text)));
        }
        Err(TokenError)
    }

    /// Returns whether `given` is this token; the time taken depends only on the lengths.
    pub fn matches(&self, given: &[u8]) -> bool {
        bool::from(self.0.as_bytes().ct_eq(given))
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OperatorToken(redacted)")
    }
}

/// Error for a token that is too short, too long, or has spaces or unprintable characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the token is not 16 to 256 printable ASCII characters without spaces")]
pub struct TokenError;

/// How nodes authenticate each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerTrust {
    /// Mutual TLS with these files.
    TlsFiles {
        /// Certificates that sign the nodes' certificates.
        ca: PathBuf,
        /// Certificate of this node.
        certificate: PathBuf,
        /// Private key of this node.
        key: PathBuf,
    },
    /// No authentication; every address is a loopback address.
    InsecureLocalTrial,
}

/// Minimum severity of the lines that are logged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the node handles.
    Warn,
    /// Changes of state.
    Info,
    /// Individual decisions.
    Debug,
    /// All details.
    Trace,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level, module, message.
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits that bound the memory of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of open connections from callers.
    pub caller_connections: usize,
    /// Maximum number of at-most-once records kept in memory.
    pub records: usize,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings { caller_connections: 4_096, records: 65_536 }
    }
}

/// Validated settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Address that serves callers.
    pub caller_address: net::SocketAddr,
    /// Address that serves other nodes.
    pub peer_address: net::SocketAddr,
    /// Address at which other nodes reach this one; the bound peer address if `None`.
    pub peer_advertised: Option<net::SocketAddr>,
    /// Address that receives the upstream's announcements.
    pub announce_address: net::SocketAddr,
    /// Address that serves operators.
    pub operator_address: net::SocketAddr,
    /// Token that operators present.
    pub operator_token: OperatorToken,
    /// Address of the platform's store.
    pub store_address: net::SocketAddr,
    /// How nodes authenticate each other.
    pub trust: PeerTrust,
    /// Minimum severity of the lines that are logged.
    pub log_level: LogLevel,
    /// Format of a log line.
    pub log_format: LogFormat,
    /// Maximum time to wait for requests in flight while draining.
    pub drain_limit: time::Duration,
    /// Limits that bound the memory.
    pub limits: LimitSettings,
}

/// Action that the command line requests.
#[derive(Clone, Debug)]
pub enum SettingsOutcome {
    /// Run a node.
    Run(Box<NodeSettings>),
    /// Print this text and exit with 0.
    Print(String),
}

impl NodeSettings {
    /// Reads flags (without the program's name) and environment variables; a flag overrides the
    /// variable.
    ///
    /// Returns all errors of the settings at once.
    pub fn load(
        args: impl IntoIterator<Item = OsString>,
        environment: impl IntoIterator<Item = (OsString, OsString)>,
    ) -> Result<SettingsOutcome, SettingsErrors> {
        let mut source = source::SettingsSource::default();
        source.read_environment(environment);
        if let Some(text) = source.read_flags(args) {
            return Ok(SettingsOutcome::Print(text));
        }
        source.check()
    }

    /// Returns settings for a node of a trial in one process: loopback addresses with free ports.
    pub fn local_trial(
        node: &str,
        region: &str,
        zone: &str,
        store_address: net::SocketAddr,
        operator_token: OperatorToken,
    ) -> NodeSettings {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        NodeSettings {
            node: Arc::from(node),
            region: Arc::from(region),
            zone: Arc::from(zone),
            caller_address: any_port,
            peer_address: any_port,
            peer_advertised: None,
            announce_address: any_port,
            operator_address: any_port,
            operator_token,
            store_address,
            trust: PeerTrust::InsecureLocalTrial,
            log_level: LogLevel::Info,
            log_format: LogFormat::Text,
            drain_limit: time::Duration::from_secs(30),
            limits: LimitSettings::default(),
        }
    }

    /// Returns warnings about settings that are allowed but insecure, for the log at start.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        if self.trust == PeerTrust::InsecureLocalTrial {
            warnings.push(
                "--insecure-local-trial: any process on this machine is accepted as a node; \
                 use certificates for everything but trials"
                    .to_owned(),
            );
        }
        let exposed = [
            ("operator-address", self.operator_address),
            ("announce-address", self.announce_address),
        ];
        for (flag, address) in exposed.into_iter().filter(|(_, at)| !at.ip().is_loopback()) {
            warnings.push(format!(
                "--{flag} {address} is not a loopback address and its traffic is not encrypted: \
                 allow only trusted hosts to reach it"
            ));
        }
        warnings
    }
}

/// Returns the text of `--help`.
pub fn help_text() -> String {
    let mut text = String::from(
        "Runs one node of cornelridge beside its upstream.\n\n\
         Usage: cornelridge [FLAGS]\n\n\
         Each flag has an environment variable, shown in brackets; a flag wins over it.\n\n",
    );
    for spec in SETTINGS {
        let default = match spec.default {
            "" => String::new(),
            default => format!("; default {default}"),
        };
        let flag = format!("--{} {}", spec.flag, spec.value);
        text +=
            &format!("  {}\n      {}{default} [{}]\n", flag.trim_end(), spec.help, spec.variable());
    }
    text += "  --help\n      prints this text\n  --version\n      prints the version\n\n\
             Exit codes: 0 stopped as asked, 1 failure at run time, 2 wrong usage or settings.\n";
    text
}

/// Returns the text of `--version`.
pub fn version_text() -> String {
    format!("cornelridge {}\n", env!("CARGO_PKG_VERSION"))
}
