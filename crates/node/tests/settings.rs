//! Tests of settings from flags and environment variables.

// clippy.toml allows these in tests, but clippy doesn't count helpers of test files as tests.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::ffi::OsString;
use std::fs;
use std::os::unix::ffi::OsStringExt;
use std::path::PathBuf;

use cornelridge::settings::{
    self, LogFormat, LogLevel, NodeSettings, OperatorToken, PeerTrust, SETTINGS, SettingsError,
    SettingsErrors, SettingsOutcome,
};

const TOKEN: &str = "a-secret-token-of-operators";

/// Files of one test; removed when dropped.
struct SettingsFiles(PathBuf);

impl SettingsFiles {
    fn new(test: &str) -> SettingsFiles {
        let name = format!("cornelridge-settings-{}-{test}", std::process::id());
        let files = SettingsFiles(std::env::temp_dir().join(name));
        fs::create_dir_all(&files.0).unwrap();
        files.write("token", TOKEN);
        for name in ["ca", "certificate", "key"] {
            files.write(name, "-----BEGIN X-----\n");
        }
        files
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Returns the flags of a complete, valid command line.
    fn flags(&self) -> Vec<String> {
        let pairs = [
            ("--node", "n1".to_owned()),
            ("--region", "bogota".to_owned()),
            ("--zone", "bog-norte".to_owned()),
            ("--caller-address", "10.0.0.7:7000".to_owned()),
            ("--peer-address", "10.0.0.7:7001".to_owned()),
            ("--operator-token-file", self.path("token")),
            ("--store-address", "10.0.0.1:2379".to_owned()),
            ("--tls-ca", self.path("ca")),
            ("--tls-certificate", self.path("certificate")),
            ("--tls-key", self.path("key")),
        ];
        pairs.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect()
    }

    /// Returns the valid flags with one value replaced or added.
    fn with(&self, flag: &str, value: &str) -> Vec<String> {
        let mut flags = self.without(flag);
        flags.extend([flag.to_owned(), value.to_owned()]);
        flags
    }

    fn without(&self, flag: &str) -> Vec<String> {
        let mut flags = self.flags();
        if let Some(at) = flags.iter().position(|name| name == flag) {
            flags.drain(at..at + 2);
        }
        flags
    }
}

impl Drop for SettingsFiles {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn load(flags: &[String], variables: &[(&str, &str)]) -> Result<SettingsOutcome, SettingsErrors> {
    let variables = variables.iter().map(|(name, value)| (name.into(), value.into()));
    NodeSettings::load(flags.iter().map(OsString::from), variables)
}

fn run(flags: &[String], variables: &[(&str, &str)]) -> NodeSettings {
    match load(flags, variables) {
        Ok(SettingsOutcome::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

fn errors(flags: &[String], variables: &[(&str, &str)]) -> Vec<SettingsError> {
    load(flags, variables).unwrap_err().0
}

fn printed(flag: &str) -> String {
    match load(&[flag.to_owned(), "--bogus".to_owned()], &[("CORNELRIDGE_BOGUS", "1")]) {
        Ok(SettingsOutcome::Print(text)) => text,
        other => panic!("{other:?}"),
    }
}

#[test]
fn complete_flags_give_settings_with_defaults() {
    let files = SettingsFiles::new("complete");
    let settings = run(&files.flags(), &[("PATH", "/bin")]);
    assert_eq!(
        (&*settings.node, &*settings.region, &*settings.zone),
        ("n1", "bogota", "bog-norte")
    );
    assert_eq!(settings.announce_address.to_string(), "127.0.0.1:7070");
    assert_eq!(settings.operator_address.to_string(), "127.0.0.1:7071");
    assert_eq!(settings.peer_advertised, None);
    assert_eq!((settings.log_level, settings.log_format), (LogLevel::Info, LogFormat::Text));
    assert_eq!((settings.drain_limit.as_secs(), settings.limits), (30, Default::default()));
    assert!(matches!(settings.trust, PeerTrust::TlsFiles { .. }));
    assert!(settings.operator_token.matches(TOKEN.as_bytes()));
    assert_eq!(settings.warnings(), [""; 0]);
}

#[test]
fn every_setting_has_a_variable_and_flags_win() {
    // Guards against a setting that only a flag or only a variable can change.
    let files = SettingsFiles::new("variables");
    let flags = files.flags();
    let variables: Vec<(String, &String)> = flags
        .chunks(2)
        .map(|pair| (pair[0][2..].replace('-', "_").to_uppercase(), &pair[1]))
        .map(|(name, value)| (format!("CORNELRIDGE_{name}"), value))
        .collect();
    let mut variables: Vec<(&str, &str)> =
        variables.iter().map(|(name, value)| (&**name, &***value)).collect();
    variables.extend([
        ("CORNELRIDGE_PEER_ADVERTISED", "10.0.0.9:7001"),
        ("CORNELRIDGE_ANNOUNCE_ADDRESS", "127.0.0.1:1"),
        ("CORNELRIDGE_OPERATOR_ADDRESS", "10.0.0.7:2"),
        ("CORNELRIDGE_INSECURE_LOCAL_TRIAL", "false"),
        ("CORNELRIDGE_LOG_LEVEL", "debug"),
        ("CORNELRIDGE_LOG_FORMAT", "json"),
        ("CORNELRIDGE_DRAIN_LIMIT_S", "7"),
        ("CORNELRIDGE_MAX_CALLER_CONNECTIONS", "3"),
        ("CORNELRIDGE_MAX_RECORDS", "5"),
    ]);
    let mut names: Vec<_> = variables.iter().map(|(name, _)| (*name).to_owned()).collect();
    let mut expected: Vec<_> = SETTINGS.iter().map(|spec| spec.variable()).collect();
    names.sort();
    expected.sort();
    assert_eq!(names, expected);

    let settings = run(&[], &variables);
    assert_eq!(settings.peer_advertised.unwrap().to_string(), "10.0.0.9:7001");
    assert_eq!((settings.log_level, settings.log_format), (LogLevel::Debug, LogFormat::Json));
    assert_eq!(settings.drain_limit.as_secs(), 7);
    let limits = settings.limits;
    assert_eq!((limits.caller_connections, limits.records), (3, 5));
    assert_eq!(settings.warnings().len(), 1);
    let flags = ["--node".to_owned(), "n2".to_owned(), "--max-records=9".to_owned()];
    let settings = run(&flags, &variables);
    assert_eq!((&*settings.node, settings.limits.records), ("n2", 9));
}

#[test]
fn all_problems_are_reported_at_once() {
    // Guards against error messages that list only the first of several mistakes.
    let errors = errors(&[], &[]);
    let missing: Vec<_> = errors
        .iter()
        .map(|error| match error {
            SettingsError::Missing { flag, .. } => *flag,
            other => panic!("{other:?}"),
        })
        .collect();
    let required: Vec<_> = SETTINGS
        .iter()
        .filter(|spec| spec.default.is_empty() && spec.flag != "peer-advertised")
        .map(|spec| spec.flag)
        .collect();
    assert_eq!(missing, required);
    let text = SettingsErrors(errors).to_string();
    assert!(text.starts_with("10 problem(s)"), "{text}");
    assert!(text.contains("set --node NAME or CORNELRIDGE_NODE"), "{text}");
}

#[test]
fn each_wrong_value_is_named_with_its_remedy() {
    let files = SettingsFiles::new("values");
    files.write("short", "fifteen-charact");
    files.write("spaces", "sixteen characters and more");
    files.write("not-pem", "text");
    files.write("large", &"x".repeat(1024 * 1024 + 1));
    fs::write(files.0.join("binary"), [0xff, 0xfe]).unwrap();
    let path = |name| files.path(name);
    let name = "use 1 to 64 lower-case letters";
    let address = "use an IP address and a port";
    let cases = [
        ("node", String::new(), name),
        ("node", "N1".to_owned(), name),
        ("node", "--region".to_owned(), name),
        ("region", "a".repeat(65), name),
        ("zone", "bog norte".to_owned(), name),
        ("caller-address", "localhost:1".to_owned(), address),
        ("peer-address", "10.0.0.7".to_owned(), address),
        ("peer-address", "0.0.0.0:7001".to_owned(), "set --peer-advertised"),
        ("peer-advertised", "0.0.0.0:7001".to_owned(), "other nodes can reach"),
        ("peer-advertised", "10.0.0.7:0".to_owned(), "other nodes can reach"),
        ("announce-address", "x".to_owned(), address),
        ("operator-address", "127.0.0.1:99999".to_owned(), address),
        ("store-address", "http://10.0.0.1".to_owned(), address),
        ("store-address", "10.0.0.1:0".to_owned(), "on which the store listens"),
        ("operator-token-file", path("absent"), "make the file readable"),
        ("operator-token-file", path("short"), "put 16 to 256 printable"),
        ("operator-token-file", path("spaces"), "put 16 to 256 printable"),
        ("operator-token-file", path("binary"), "make the file readable"),
        ("tls-ca", path("absent"), "make the file readable"),
        ("tls-certificate", path("not-pem"), "use a file in PEM format"),
        ("tls-key", path("large"), "at most 1 MiB"),
        ("insecure-local-trial", "yes".to_owned(), "use true or false"),
        ("log-level", "loud".to_owned(), "use error, warn, info, debug or trace"),
        ("log-format", "xml".to_owned(), "use text or json"),
        ("drain-limit-s", "0".to_owned(), "use a whole number from 1 to 3600"),
        ("drain-limit-s", "3601".to_owned(), "use a whole number from 1 to 3600"),
        ("max-caller-connections", "-1".to_owned(), "use a whole number from 1"),
        ("max-records", "1.5".to_owned(), "use a whole number from 1"),
        ("max-records", "many".to_owned(), "use a whole number from 1"),
    ];
    for (name, wrong, expected) in cases {
        let mut flags = files.without(&format!("--{name}"));
        flags.push(format!("--{name}={wrong}"));
        let errors = errors(&flags, &[]);
        let [SettingsError::Invalid { flag, value, remedy }] = &errors[..] else {
            panic!("{name} {wrong}: {errors:?}")
        };
        assert_eq!((*flag, value), (name, &wrong));
        assert!(remedy.contains(expected), "{name} {wrong}: {remedy}");
    }
    assert_eq!(errors(&files.with("--peer-address", "[::]:7001"), &[]).len(), 1);
    let mut flags = files.with("--peer-address", "[::]:7001");
    flags.extend(["--peer-advertised".to_owned(), "[fd00::7]:7001".to_owned()]);
    assert_eq!(run(&flags, &[]).peer_advertised.unwrap().to_string(), "[fd00::7]:7001");
}

#[test]
fn mistakes_on_the_command_line_are_named() {
    // Guards against a misspelt setting that is silently ignored, so that the default applies.
    let files = SettingsFiles::new("mistakes");
    let with = |extra: &[&str]| {
        let mut flags = files.flags();
        flags.extend(extra.iter().map(|text| (*text).to_owned()));
        errors(&flags, &[])
    };
    let unknown = |name: &str| SettingsError::UnknownFlag { name: name.to_owned() };
    assert_eq!(with(&["--nodes", "x"]), [unknown("--nodes")]);
    assert_eq!(with(&["-x"]), [unknown("-x")]);
    assert_eq!(with(&["--max-records"]), [SettingsError::MissingValue { flag: "max-records" }]);
    assert_eq!(with(&["--zone", "z"]), [SettingsError::RepeatedFlag { flag: "zone" }]);
    assert_eq!(with(&["stray"]), [SettingsError::UnexpectedArgument]);
    assert_eq!(with(&["-xyz", "--nodes=y"]), [unknown("-x"), unknown("--nodes")]);
    // Settings that had no effect were removed and must not be accepted silently.
    for name in ["--executor-threads", "--max-queued-requests"] {
        assert_eq!(with(&[name, "1"]), [unknown(name)]);
    }
    let name = "CORNELRIDGE_NODES".to_owned();
    let found = errors(&files.flags(), &[("CORNELRIDGE_NODES", "x")]);
    assert_eq!(found, [SettingsError::UnknownVariable { name }]);
    let bytes = OsString::from_vec(vec![b'n', 0xff]);
    let args = files.without("--node").into_iter().map(OsString::from);
    let found = NodeSettings::load(args.chain(["--node".into(), bytes]), []).unwrap_err().0;
    assert!(matches!(&found[..], [SettingsError::Invalid { flag: "node", .. }, ..]), "{found:?}");
}

#[test]
fn secrets_are_never_printed() {
    // Guards against a token in the log, from Debug output or the message for an unknown flag.
    let files = SettingsFiles::new("secrets");
    let settings = run(&files.flags(), &[]);
    assert!(!format!("{settings:?}").contains(TOKEN));
    let secret = "hunter2-hunter2-hunter2";
    for extra in [["--operator-token", secret], ["--no", secret], [secret, secret]] {
        let mut flags = files.flags();
        flags.extend(extra.map(str::to_owned));
        let variables = [("CORNELRIDGE_OPERATOR_TOKEN", secret)];
        let found = load(&flags, &variables).unwrap_err();
        assert!(!format!("{found} {found:?}").contains(secret), "{found}");
    }
    let mut flags = files.flags();
    flags.push(format!("--operator-token={secret}"));
    let found = load(&flags, &[]).unwrap_err();
    assert!(!format!("{found} {found:?}").contains(secret), "{found}");
    files.write("token", "short-secret");
    let found = load(&files.flags(), &[]).unwrap_err();
    assert!(!format!("{found} {found:?}").contains("short-secret"), "{found}");
}

#[test]
fn tokens_match_exactly() {
    let token = OperatorToken::new(&format!(" {TOKEN}\n")).unwrap();
    assert!(token.matches(TOKEN.as_bytes()));
    for wrong in ["", &TOKEN[1..], &format!("{TOKEN}x"), &TOKEN.to_uppercase()] {
        assert!(!token.matches(wrong.as_bytes()), "{wrong}");
    }
    for text in ["", "short", "sixteen-with space", "sixteen-with-ñandú", &"x".repeat(257)] {
        assert!(OperatorToken::new(text).is_err(), "{text}");
    }
}

#[test]
fn local_trial_needs_loopback_addresses_and_no_files() {
    // Guards against unauthenticated peers outside loopback addresses.
    let files = SettingsFiles::new("trial");
    let trial = |extra: &[&str]| {
        let base = [
            "--insecure-local-trial",
            "--node=n1",
            "--region=r",
            "--zone=z",
            "--caller-address=127.0.0.1:0",
            "--peer-address=[::1]:0",
            "--store-address=127.0.0.1:2379",
        ];
        let mut flags: Vec<_> = base.iter().chain(extra).map(|flag| (*flag).to_owned()).collect();
        flags.push(format!("--operator-token-file={}", files.path("token")));
        flags
    };
    let settings = run(&trial(&[]), &[]);
    assert_eq!((&settings.trust, settings.warnings().len()), (&PeerTrust::InsecureLocalTrial, 1));
    let key = format!("--tls-key={}", files.path("key"));
    let extra = [&*key, "--operator-address=10.0.0.7:7071"];
    let flags: Vec<_> = errors(&trial(&extra), &[])
        .into_iter()
        .map(|error| match error {
            SettingsError::Invalid { flag, remedy, .. } => {
                assert!(remedy.contains("remove --insecure-local-trial"), "{remedy}");
                flag
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(flags, ["tls-key", "operator-address"]);
}

#[test]
fn help_and_version_win_over_mistakes() {
    let help = printed("--help");
    for spec in SETTINGS {
        assert!(help.contains(&format!("--{}", spec.flag)), "{}", spec.flag);
        assert!(help.contains(&spec.variable()), "{}", spec.flag);
    }
    assert_eq!((printed("-h"), printed("-V")), (help, printed("--version")));
    assert_eq!(printed("--version"), format!("cornelridge {}\n", env!("CARGO_PKG_VERSION")));
    assert_eq!((settings::EXIT_FAILURE, settings::EXIT_USAGE), (1, 2));
}
