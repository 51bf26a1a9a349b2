//! Parsing of the command line and the environment.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::fs;
use std::io;
use std::net;

use cornelridge_model::ident;

use crate::failure;

/// Address of the node on this host, used if neither the flag nor the variable is set.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7071";
const ADDRESS_VARIABLE: &str = "CORNELCTL_ADDRESS";
const STORE_VARIABLE: &str = "CORNELCTL_STORE";
const TOKEN_VARIABLE: &str = "CORNELCTL_TOKEN";
const TOKEN_FILE_VARIABLE: &str = "CORNELCTL_TOKEN_FILE";

/// Flags that set a field of a class.
const CLASS_FLAGS: [&str; 9] = [
    "division",
    "idempotent",
    "target-ms",
    "target-percentile",
    "deadline-ms",
    "yield-rank",
    "bulk",
    "record-window-s",
    "prefer",
];

const HELP: &str = "\
Shows and changes a running deployment of cornelridge through the operator address of a node.

Usage: cornelctl [FLAGS] COMMAND

Commands:
  classes list                     lists the classes
  classes show NAME                shows one class with the revision of the configuration
  classes put NAME [CLASS FLAGS]   adds a class, or changes the fields that have a flag
  classes put NAME --file FILE     adds or replaces a class from JSON, as `show` prints it
  classes delete NAME --expected-revision N
  status                           shows nodes, revisions in force, owners and upstreams
  dump NODE                        prints the state of NODE as JSON
  drain NODE                       makes NODE hand over its work and leave
  owner CLASS KEY                  shows who serves a key
  retire NODE --confirmed-dead     declares the leases of NODE expired; only if its process no
                                   longer runs
  config check FILE [--against VERSION|FILE]
                                   checks a configuration of the platform before it is sent, and
                                   shows how it differs from another one; asks no node and needs
                                   no token

Flags:
  --address IP:PORT                operator address; default 127.0.0.1:7071 [CORNELCTL_ADDRESS]
  --token-file FILE                file with the operator token [CORNELCTL_TOKEN_FILE]
                                   CORNELCTL_TOKEN holds the token itself; no flag does, because
                                   process lists show flags
  --output table|json              default table
  --expected-revision N            changes only if the configuration has this revision
  --against VERSION|FILE           compares with the version in force, a whole number, or a file
  --store IP:PORT                  store of the platform, for --against VERSION [CORNELCTL_STORE]
  --help, --version

Class flags:
  --division by-key|any-worker     whether each key has one owner
  --idempotent true|false          whether a request may be executed more than once
  --target-ms N                    time within which the target percentile must be answered
  --target-percentile N            default 99
  --deadline-ms N                  time after which a request ends
  --yield-rank N                   0 to 255; the highest rank yields first
  --bulk true|false                large downloads; default false
  --record-window-s N              how long at-most-once records are kept; default 600
  --prefer fewest-moves|least-downtime    default least-downtime

Exit codes: 0 done, 1 failed and nothing changed, 2 wrong usage, 3 another change came first,
4 not known whether the change is in force. Of config check: 0 no findings, 5 warnings only,
6 errors, 3 another version than --against VERSION is in force; differences aren't findings.
";

/// Result of parsing the command line: a command to run, a check that needs no node, or text to
/// print.
pub(crate) enum ParsedArgs {
    Run(Box<CommandRequest>),
    Check(Box<CheckRequest>),
    Print(String),
}

/// A command, with the node that it is sent to.
pub(crate) struct CommandRequest {
    pub(crate) address: net::SocketAddr,
    pub(crate) token: BearerToken,
    pub(crate) output: OutputFormat,
    pub(crate) command: Command,
}

/// A check of a configuration.
pub(crate) struct CheckRequest {
    /// Contents of the file with the configuration.
    pub(crate) text: Vec<u8>,
    pub(crate) against: Option<AgainstSource>,
    pub(crate) output: OutputFormat,
}

/// Source of the configuration to compare with.
pub(crate) enum AgainstSource {
    File {
        path: String,
        text: Vec<u8>,
    },
    /// The configuration in force, which must have this version.
    Version {
        version: u64,
        store: net::SocketAddr,
    },
}

/// The operator token, which is never printed.
pub(crate) struct BearerToken(pub(crate) String);

impl fmt::Debug for BearerToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("BearerToken(redacted)")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Table,
    Json,
}

pub(crate) enum Command {
    List,
    Show { name: String },
    Put { name: String, source: ClassSource, expected: Option<ident::RevisionNumber> },
    Delete { name: String, expected: ident::RevisionNumber },
    Status,
    Dump { node: String },
    Drain { node: String },
    Owner { class: String, key: String },
    Retire { node: String },
}

/// Source of the fields of a class.
pub(crate) enum ClassSource {
    /// Values by the name of the flag, without leading hyphens.
    Flags(BTreeMap<&'static str, String>),
    /// Text of a JSON file.
    File(String),
}

/// Parses the arguments (without the program's name) and the environment. A flag takes precedence
/// over a variable.
pub(crate) fn parse(
    args: impl IntoIterator<Item = OsString>,
    environment: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<ParsedArgs, failure::CommandFailure> {
    let mut line = CommandLine::default();
    if let Some(text) = line.read(args)? {
        return Ok(ParsedArgs::Print(text));
    }
    let mut variables = BTreeMap::new();
    for (name, value) in environment {
        variables.insert(name.to_string_lossy().into_owned(), value);
    }
    if let Some(path) = line.checked_file() {
        let text = read_bytes("FILE", &path)?;
        let against = line.against(&variables)?;
        let output = line.output()?;
        line.finish()?;
        return Ok(ParsedArgs::Check(Box::new(CheckRequest { text, against, output })));
    }
    let command = line.command()?;
    let address = address(&mut line, &variables)?;
    let token = token(&mut line, &variables)?;
    let output = line.output()?;
    line.finish()?;
    Ok(ParsedArgs::Run(Box::new(CommandRequest { address, token, output, command })))
}

/// Positional arguments, and flags that haven't been consumed yet.
#[derive(Default)]
struct CommandLine {
    positional: Vec<String>,
    flags: BTreeMap<&'static str, String>,
}

impl CommandLine {
    /// Reads the arguments; returns the text to print for `--help` and `--version`.
    fn read(
        &mut self,
        args: impl IntoIterator<Item = OsString>,
    ) -> Result<Option<String>, failure::CommandFailure> {
        const FLAGS: [&str; 7] =
            ["address", "token-file", "output", "expected-revision", "file", "against", "store"];
        let mut parser = lexopt::Parser::from_args(args);
        let invalid = |error: lexopt::Error| {
            failure::CommandFailure::usage(error.to_string(), "Correct the command line.")
        };
        while let Some(arg) = parser.next().map_err(invalid)? {
            let name = match arg {
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                    return Ok(Some(HELP.to_owned()));
                }
                lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                    let version = env!("CARGO_PKG_VERSION");
                    return Ok(Some(format!("cornelctl {version}\n")));
                }
                lexopt::Arg::Long("confirmed-dead") => {
                    self.flags.insert("confirmed-dead", String::new());
                    continue;
                }
                lexopt::Arg::Long("token") => {
                    let problem = "--token is not a flag, because process lists show flags";
                    let remedy = "Use --token-file or the variable CORNELCTL_TOKEN.";
                    return Err(failure::CommandFailure::usage(problem, remedy));
                }
                lexopt::Arg::Long(name) => name.to_owned(),
                lexopt::Arg::Short(name) => {
                    return Err(failure::CommandFailure::usage(
                        format!("-{name} is not a flag"),
                        "Remove it or correct its name.",
                    ));
                }
                lexopt::Arg::Value(value) => {
                    self.positional.push(utf8("an argument", value)?);
                    continue;
                }
            };
            let mut known = FLAGS.iter().chain(&CLASS_FLAGS);
            let Some(flag) = known.find(|flag| **flag == name) else {
                let problem = format!("--{name} is not a flag");
                return Err(failure::CommandFailure::usage(
                    problem,
                    "Remove it or correct its name.",
                ));
            };
            let value = utf8(flag, parser.value().map_err(invalid)?)?;
            if self.flags.insert(flag, value).is_some() {
                let problem = format!("--{flag} is given more than once");
                return Err(failure::CommandFailure::usage(problem, "Keep one."));
            }
        }
        Ok(None)
    }

    /// Returns the path of the configuration to check if that is the command.
    fn checked_file(&self) -> Option<String> {
        match &self.positional[..] {
            [group, command, path] if group == "config" && command == "check" => Some(path.clone()),
            _ => None,
        }
    }

    /// Consumes the flags that name the configuration to compare with. A whole number is a version.
    fn against(
        &mut self,
        variables: &BTreeMap<String, OsString>,
    ) -> Result<Option<AgainstSource>, failure::CommandFailure> {
        let Some(value) = self.flags.remove("against") else { return Ok(None) };
        let Ok(version) = value.parse() else {
            let text = read_bytes("against", &value)?;
            return Ok(Some(AgainstSource::File { path: value, text }));
        };
        let (name, address) = match (self.flags.remove("store"), variables.get(STORE_VARIABLE)) {
            (Some(address), _) => ("--store", address),
            (None, Some(address)) => (STORE_VARIABLE, utf8(STORE_VARIABLE, address.clone())?),
            (None, None) => {
                let problem = "--against VERSION needs the address of the store";
                let remedy = "Use --store or CORNELCTL_STORE; for a file with such a name, use ./";
                return Err(failure::CommandFailure::usage(problem, remedy));
            }
        };
        Ok(Some(AgainstSource::Version { version, store: socket_address(name, &address)? }))
    }

    /// Consumes the flag of the output format.
    fn output(&mut self) -> Result<OutputFormat, failure::CommandFailure> {
        match self.flags.remove("output").as_deref() {
            None | Some("table") => Ok(OutputFormat::Table),
            Some("json") => Ok(OutputFormat::Json),
            Some(other) => {
                let problem = format!("--output has the value {other:?}");
                Err(failure::CommandFailure::usage(problem, "Use table or json."))
            }
        }
    }

    /// Returns an error if a flag was not consumed.
    fn finish(&self) -> Result<(), failure::CommandFailure> {
        let Some(flag) = self.flags.keys().next() else { return Ok(()) };
        let problem = format!("--{flag} does not belong to this command");
        Err(failure::CommandFailure::usage(problem, "Remove it."))
    }

    /// Returns the command that the positional arguments name, and consumes its flags.
    fn command(&mut self) -> Result<Command, failure::CommandFailure> {
        let positional: Vec<&str> = self.positional.iter().map(String::as_str).collect();
        let owned = |text: &str| text.to_owned();
        match positional[..] {
            ["classes", "list"] => Ok(Command::List),
            ["classes", "show", name] => Ok(Command::Show { name: owned(name) }),
            ["classes", "put", name] => {
                let name = owned(name);
                let expected = self.expected_revision()?;
                Ok(Command::Put { name, source: self.class_source()?, expected })
            }
            ["classes", "delete", name] => {
                let name = owned(name);
                let Some(expected) = self.expected_revision()? else {
                    let problem = "classes delete needs --expected-revision";
                    let remedy = "Use the revision that cornelctl classes show prints.";
                    return Err(failure::CommandFailure::usage(problem, remedy));
                };
                Ok(Command::Delete { name, expected })
            }
            ["status"] => Ok(Command::Status),
            ["dump", node] => Ok(Command::Dump { node: owned(node) }),
            ["drain", node] => Ok(Command::Drain { node: owned(node) }),
            ["owner", class, key] => Ok(Command::Owner { class: owned(class), key: owned(key) }),
            ["retire", node] => {
                let node = owned(node);
                if self.flags.remove("confirmed-dead").is_none() {
                    let problem = "retire needs --confirmed-dead";
                    let remedy = "Make sure first that the process of the node no longer runs: \
                                  if it does, two nodes may serve the same keys.";
                    return Err(failure::CommandFailure::usage(problem, remedy));
                }
                Ok(Command::Retire { node })
            }
            [] => Err(failure::CommandFailure::usage("there is no command", "Add one.")),
            _ => {
                let problem = format!("{:?} is not a command", positional.join(" "));
                Err(failure::CommandFailure::usage(problem, "Check its words and their number."))
            }
        }
    }

    fn expected_revision(
        &mut self,
    ) -> Result<Option<ident::RevisionNumber>, failure::CommandFailure> {
        let Some(value) = self.flags.remove("expected-revision") else { return Ok(None) };
        let revision = value.parse().map(ident::RevisionNumber);
        let revision = revision.map_err(|_| {
            let problem = format!("--expected-revision has the value {value:?}");
            failure::CommandFailure::usage(
                problem,
                "Use a whole number, as classes show prints it.",
            )
        })?;
        Ok(Some(revision))
    }

    fn class_source(&mut self) -> Result<ClassSource, failure::CommandFailure> {
        let take = |flag| self.flags.remove(flag).map(|value| (flag, value));
        let fields: BTreeMap<_, _> = CLASS_FLAGS.into_iter().filter_map(take).collect();
        match (self.flags.remove("file"), fields.is_empty()) {
            (None, false) => Ok(ClassSource::Flags(fields)),
            (Some(path), true) => read_file("file", &path).map(ClassSource::File),
            (None, true) => {
                let problem = "classes put has nothing to change";
                Err(failure::CommandFailure::usage(problem, "Add class flags or --file."))
            }
            (Some(_), false) => {
                let problem = "classes put has class flags and --file";
                Err(failure::CommandFailure::usage(problem, "Use one or the other."))
            }
        }
    }
}

fn address(
    line: &mut CommandLine,
    variables: &BTreeMap<String, OsString>,
) -> Result<net::SocketAddr, failure::CommandFailure> {
    let (name, value) = match (line.flags.remove("address"), variables.get(ADDRESS_VARIABLE)) {
        (Some(value), _) => ("--address", value),
        (None, Some(value)) => (ADDRESS_VARIABLE, utf8(ADDRESS_VARIABLE, value.clone())?),
        (None, None) => ("--address", DEFAULT_ADDRESS.to_owned()),
    };
    socket_address(name, &value)
}

fn socket_address(name: &str, value: &str) -> Result<net::SocketAddr, failure::CommandFailure> {
    value.parse().map_err(|_| {
        let problem = format!("{name} has the value {value:?}");
        failure::CommandFailure::usage(
            problem,
            "Use an IP address and a port, such as 127.0.0.1:7071.",
        )
    })
}

fn token(
    line: &mut CommandLine,
    variables: &BTreeMap<String, OsString>,
) -> Result<BearerToken, failure::CommandFailure> {
    let text = if let Some(path) = line.flags.remove("token-file") {
        read_file("token-file", &path)?
    } else if let Some(value) = variables.get(TOKEN_VARIABLE) {
        value.to_string_lossy().into_owned()
    } else if let Some(path) = variables.get(TOKEN_FILE_VARIABLE) {
        read_file(TOKEN_FILE_VARIABLE, &path.to_string_lossy())?
    } else {
        let problem = "the operator token is missing";
        let remedy = "Use --token-file, CORNELCTL_TOKEN_FILE or CORNELCTL_TOKEN.";
        return Err(failure::CommandFailure::usage(problem, remedy));
    };
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let problem = "the operator token is empty or has spaces or unprintable characters";
        return Err(failure::CommandFailure::usage(problem, "Use the token of the node."));
    }
    Ok(BearerToken(text.to_owned()))
}

fn read_file(setting: &str, path: &str) -> Result<String, failure::CommandFailure> {
    fs::read_to_string(path).map_err(|error| unreadable(setting, path, &error))
}

fn read_bytes(setting: &str, path: &str) -> Result<Vec<u8>, failure::CommandFailure> {
    fs::read(path).map_err(|error| unreadable(setting, path, &error))
}

fn unreadable(setting: &str, path: &str, error: &io::Error) -> failure::CommandFailure {
    let problem = format!("{path:?} ({setting}) can't be read: {error}");
    failure::CommandFailure::usage(problem, "Check the path and its permissions.")
}

fn utf8(name: &str, value: OsString) -> Result<String, failure::CommandFailure> {
    value.into_string().map_err(|_| {
        failure::CommandFailure::usage(format!("{name} is not UTF-8"), "Use UTF-8 text.")
    })
}
