//! Reads and validates the raw values of the settings.

use std::collections::BTreeMap;
use std::ffi::{OsStr, OsString};
use std::fs;
use std::net;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;
use std::time;

use crate::settings;

/// Raw values of the settings and the errors found so far.
#[derive(Default)]
pub(crate) struct SettingsSource {
    values: BTreeMap<&'static str, String>,
    errors: Vec<settings::SettingsError>,
}

impl SettingsSource {
    pub(crate) fn read_environment(
        &mut self,
        environment: impl IntoIterator<Item = (OsString, OsString)>,
    ) {
        for (name, value) in environment {
            let name = name.to_string_lossy().into_owned();
            if !name.starts_with(settings::VARIABLE_PREFIX) {
                continue;
            }
            match settings::SETTINGS.iter().find(|spec| spec.variable() == name) {
                Some(spec) => self.set_value(spec.flag, value),
                None => self.errors.push(settings::SettingsError::UnknownVariable { name }),
            }
        }
    }

    /// Reads the flags; returns the text to print for `--help` and `--version`.
    pub(crate) fn read_flags(
        &mut self,
        args: impl IntoIterator<Item = OsString>,
    ) -> Option<String> {
        let mut parser = lexopt::Parser::from_args(args);
        let mut given = Vec::new();
        loop {
            let name = match parser.next() {
                Ok(None) => return None,
                Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                    return Some(settings::help_text());
                }
                Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                    return Some(settings::version_text());
                }
                Ok(Some(lexopt::Arg::Long(name))) => format!("--{name}"),
                Ok(Some(lexopt::Arg::Short(name))) => format!("-{name}"),
                // The parser's own error isn't shown either, because it contains the value.
                Ok(Some(lexopt::Arg::Value(_))) | Err(_) => {
                    self.errors.push(settings::SettingsError::UnexpectedArgument);
                    continue;
                }
            };
            let is_flag =
                |spec: &&settings::SettingSpec| name.strip_prefix("--") == Some(spec.flag);
            let Some(spec) = settings::SETTINGS.iter().find(is_flag) else {
                skip_value(&mut parser);
                self.errors.push(settings::SettingsError::UnknownFlag { name });
                continue;
            };
            if given.contains(&spec.flag) {
                self.errors.push(settings::SettingsError::RepeatedFlag { flag: spec.flag });
            }
            given.push(spec.flag);
            self.read_value(&mut parser, spec);
        }
    }

    fn read_value(&mut self, parser: &mut lexopt::Parser, spec: &settings::SettingSpec) {
        if spec.value == settings::SWITCH {
            let value = parser.optional_value().unwrap_or_else(|| OsString::from("true"));
            return self.set_value(spec.flag, value);
        }
        match parser.value() {
            Ok(value) => self.set_value(spec.flag, value),
            Err(_) => self.errors.push(settings::SettingsError::MissingValue { flag: spec.flag }),
        }
    }

    fn set_value(&mut self, flag: &'static str, value: OsString) {
        match value.into_string() {
            Ok(text) => drop(self.values.insert(flag, text)),
            Err(value) => self.reject(flag, &value.to_string_lossy(), "use UTF-8 text"),
        }
    }

    fn reject(&mut self, flag: &'static str, value: &str, remedy: impl Into<String>) {
        let remedy = remedy.into();
        self.errors.push(settings::SettingsError::Invalid {
            flag,
            value: value.to_owned(),
            remedy,
        });
    }

    pub(crate) fn check(mut self) -> Result<settings::SettingsOutcome, settings::SettingsErrors> {
        let trial = self.switch("insecure-local-trial");
        let names = ["node", "region", "zone"].map(|flag| self.name(flag));
        let caller_address = self.address("caller-address");
        let peer_address = self.address("peer-address");
        let peer_advertised = self.advertised(peer_address);
        let announce_address = self.address("announce-address");
        let operator_address = self.address("operator-address");
        let operator_token = self.token();
        let store_address = self.address("store-address");
        let trust = if trial { self.trial_trust() } else { self.tls_files() };
        let log_level = self.log_level();
        let log_format = self.log_format();
        let drain_limit_s = self.number("drain-limit-s", 1, 3_600);
        let caller_connections = self.number("max-caller-connections", 1, 1_000_000);
        let records = self.number("max-records", 1, 16_777_216);
        let errors = std::mem::take(&mut self.errors);
        // Each `None` below has an entry in `errors`, so `assemble` never fails without a message.
        let assemble = || {
            let [node, region, zone] = names;
            Some(settings::NodeSettings {
                node: node?,
                region: region?,
                zone: zone?,
                caller_address: caller_address?,
                peer_address: peer_address?,
                peer_advertised,
                announce_address: announce_address?,
                operator_address: operator_address?,
                operator_token: operator_token?,
                store_address: store_address?,
                trust: trust?,
                log_level: log_level?,
                log_format: log_format?,
                drain_limit: time::Duration::from_secs(drain_limit_s? as u64),
                limits: settings::LimitSettings {
                    caller_connections: caller_connections?,
                    records: records?,
                },
            })
        };
        match (errors.is_empty(), assemble()) {
            (true, Some(settings)) => Ok(settings::SettingsOutcome::Run(Box::new(settings))),
            _ => Err(settings::SettingsErrors(errors)),
        }
    }

    /// Returns the given value or the default.
    fn value_of(&mut self, flag: &'static str) -> Option<String> {
        if let Some(value) = self.values.get(flag) {
            return Some(value.clone());
        }
        let spec = settings::SETTINGS.iter().find(|spec| spec.flag == flag)?;
        if spec.default.is_empty() {
            self.errors.push(settings::SettingsError::Missing {
                flag,
                value: spec.value,
                help: spec.help,
            });
            return None;
        }
        Some(spec.default.to_owned())
    }

    fn switch(&mut self, flag: &'static str) -> bool {
        let Some(value) = self.value_of(flag) else { return false };
        if value != "true" && value != "false" {
            self.reject(flag, &value, "use true or false");
        }
        value == "true"
    }

    fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        let value = self.value_of(flag)?;
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let is_name = (1..=settings::MAX_NAME_BYTES).contains(&value.len())
            && !value.starts_with('-')
            && value.chars().all(is_name_char);
        if !is_name {
            self.reject(flag, &value, "use 1 to 64 lower-case letters, digits and hyphens");
            return None;
        }
        Some(Arc::from(value))
    }

    fn address(&mut self, flag: &'static str) -> Option<net::SocketAddr> {
        let value = self.value_of(flag)?;
        let Ok(address) = net::SocketAddr::from_str(&value) else {
            self.reject(flag, &value, "use an IP address and a port, such as 10.0.0.7:7000");
            return None;
        };
        if flag == "store-address" && !is_reachable(address) {
            self.reject(flag, &value, "use the address and port on which the store listens");
            return None;
        }
        Some(address)
    }

    fn advertised(&mut self, listening: Option<net::SocketAddr>) -> Option<net::SocketAddr> {
        if !self.values.contains_key("peer-advertised") {
            if let Some(address) = listening.filter(|address| address.ip().is_unspecified()) {
                let remedy = "set --peer-advertised to the address that other nodes can reach";
                self.reject("peer-address", &address.to_string(), remedy);
            }
            return None;
        }
        let address = self.address("peer-advertised")?;
        if !is_reachable(address) {
            let remedy = "use an address and port that other nodes can reach";
            self.reject("peer-advertised", &address.to_string(), remedy);
        }
        Some(address)
    }

    fn number(&mut self, flag: &'static str, min: usize, max: usize) -> Option<usize> {
        let value = self.value_of(flag)?;
        let number = value.parse().ok().filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.reject(flag, &value, format!("use a whole number from {min} to {max}"));
        }
        number
    }

    fn log_level(&mut self) -> Option<settings::LogLevel> {
        let value = self.value_of("log-level")?;
        let levels = [
            settings::LogLevel::Error,
            settings::LogLevel::Warn,
            settings::LogLevel::Info,
            settings::LogLevel::Debug,
            settings::LogLevel::Trace,
        ];
        let level = levels.into_iter().find(|level| level.to_string() == value);
        if level.is_none() {
            self.reject("log-level", &value, "use error, warn, info, debug or trace");
        }
        level
    }

    fn log_format(&mut self) -> Option<settings::LogFormat> {
        let value = self.value_of("log-format")?;
        let formats = [settings::LogFormat::Text, settings::LogFormat::Json];
        let format = formats.into_iter().find(|format| format.to_string() == value);
        if format.is_none() {
            self.reject("log-format", &value, "use text or json");
        }
        format
    }

    fn token(&mut self) -> Option<settings::OperatorToken> {
        const FLAG: &str = "operator-token-file";
        let path = self.value_of(FLAG)?;
        let text = self.read_file(FLAG, Path::new(&path))?;
        let token = settings::OperatorToken::new(&text).ok();
        if token.is_none() {
            let remedy = "put 16 to 256 printable ASCII characters without spaces into the file";
            self.reject(FLAG, &path, remedy);
        }
        token
    }

    fn tls_files(&mut self) -> Option<settings::PeerTrust> {
        let [ca, certificate, key] =
            ["tls-ca", "tls-certificate", "tls-key"].map(|flag| self.tls_file(flag));
        Some(settings::PeerTrust::TlsFiles { ca: ca?, certificate: certificate?, key: key? })
    }

    fn tls_file(&mut self, flag: &'static str) -> Option<PathBuf> {
        let path = self.value_of(flag)?;
        let text = self.read_file(flag, Path::new(&path))?;
        if !text.contains("-----BEGIN ") {
            self.reject(flag, &path, "use a file in PEM format");
            return None;
        }
        Some(PathBuf::from(path))
    }

    fn read_file(&mut self, flag: &'static str, path: &Path) -> Option<String> {
        let size = fs::metadata(path).map(|metadata| metadata.len());
        let text = match size {
            Ok(size) if size > settings::MAX_FILE_BYTES => {
                self.reject(flag, &path.to_string_lossy(), "use a file of at most 1 MiB");
                return None;
            }
            Ok(_) => fs::read_to_string(path),
            Err(error) => Err(error),
        };
        match text {
            Ok(text) => Some(text),
            Err(error) => {
                let remedy = format!("make the file readable for the node ({error})");
                self.reject(flag, &path.to_string_lossy(), remedy);
                None
            }
        }
    }

    fn trial_trust(&mut self) -> Option<settings::PeerTrust> {
        for flag in ["tls-ca", "tls-certificate", "tls-key"] {
            if let Some(value) = self.values.get(flag).cloned() {
                self.reject(flag, &value, "remove it, or remove --insecure-local-trial");
            }
        }
        let flags =
            settings::SETTINGS.iter().filter(|spec| spec.value == "IP:PORT").map(|spec| spec.flag);
        for flag in flags {
            let Some(value) = self.values.get(flag).cloned() else { continue };
            let address = net::SocketAddr::from_str(&value);
            if address.is_ok_and(|address| !address.ip().is_loopback()) {
                let remedy = "use a loopback address, or remove --insecure-local-trial";
                self.reject(flag, &value, remedy);
            }
        }
        Some(settings::PeerTrust::InsecureLocalTrial)
    }
}

/// Skips the value of an unknown flag, which could be a secret and must not be printed.
fn skip_value(parser: &mut lexopt::Parser) {
    if parser.optional_value().is_some() {
        return;
    }
    let Some(mut rest) = parser.try_raw_args() else { return };
    let is_value = |next: &OsStr| !next.to_string_lossy().starts_with('-');
    if rest.peek().is_some_and(is_value) {
        rest.next();
    }
}

fn is_reachable(address: net::SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}
