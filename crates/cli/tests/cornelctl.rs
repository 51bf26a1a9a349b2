//! Tests of the whole command against a real endpoint for operators, backed by a fake node.

// clippy.toml allows these in tests, but clippy doesn't count helpers of test files as tests.
#![allow(clippy::unwrap_used, clippy::panic)]

#[path = "../../node/tests/fake_admin/mod.rs"]
mod fake_admin;

use std::ffi::OsString;
use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use cornelridge_model::{class, report};
use fake_admin::{FakeAdmin, FakeNode, StoreMode, TOKEN, class_named};

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: u8,
    out: String,
    err: String,
}

impl CommandOutput {
    fn expect(&self, code: u8, expected_texts: &[&str]) {
        assert_eq!(self.code, code, "{self:?}");
        let text = if code == 0 { &self.out } else { &self.err };
        let other = if code == 0 { &self.err } else { &self.out };
        assert!(other.is_empty(), "{self:?}");
        for expected_text in expected_texts {
            assert!(text.contains(expected_text), "{expected_text:?} is not in {self:?}");
        }
        assert!(!text.contains(TOKEN), "{self:?}");
    }
}

fn run(args: &[&str], variables: &[(&str, &str)]) -> CommandOutput {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let variables = variables.iter().map(|(name, value)| (name.into(), value.into()));
    let code = cornelctl::run(args.iter().map(OsString::from), variables, &mut out, &mut err);
    CommandOutput {
        code,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Runs a command, split at spaces, against `node`.
fn run_on(node: &FakeNode, command: &str) -> CommandOutput {
    let address = node.address.to_string();
    let args: Vec<&str> = command.split(' ').collect();
    run(&args, &[("CORNELCTL_ADDRESS", &address), ("CORNELCTL_TOKEN", TOKEN)])
}

/// A file of one test; removed when dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str, text: &str) -> TestFile {
        let name = format!("cornelctl-{}-{name}", std::process::id());
        let file = TestFile(std::env::temp_dir().join(name));
        fs::write(&file.0, text).unwrap();
        file
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn start_node() -> (Arc<FakeAdmin>, FakeNode) {
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    (admin, node)
}

#[test]
fn tables_show_what_an_operator_needs() {
    let (_, node) = start_node();
    let lagging = ["lowest in force 3", "3 (lagging)", "lagging: n2", "n1 64, n2 64"];
    let status = run_on(&node, "status");
    status.expect(0, &lagging);
    status.expect(0, &["quote-desk: 3 of 12 in flight, 2 queued, does not check fences"]);
    let list = run_on(&node, "classes list");
    list.expect(0, &["revision 4\n\nCLASS       DIVISION    IDEMPOTENT", "20 ms p99"]);
    run_on(&node, "classes show quote-desk").expect(0, &["division           by-key", "4\n"]);
    run_on(&node, "owner quote-desk SN&4711").expect(0, &["SN&4711", "n1", "0000000000000000"]);
    run_on(&node, "dump n1").expect(0, &["\"node\": \"n1\""]);
}

#[test]
fn json_output_has_the_shared_types() {
    // Guards against JSON that differs from what the endpoint documents.
    let (_, node) = start_node();
    let json = |command: &str| run_on(&node, &format!("{command} --output json")).out;
    let status: report::StatusReport = serde_json::from_str(&json("status")).unwrap();
    assert_eq!((status.revision.0, status.nodes.len()), (4, 2));
    let list: class::ClassDocument = serde_json::from_str(&json("classes list")).unwrap();
    assert_eq!(list.classes[1], class_named("quote-desk"));
    let owner: report::OwnerReport = serde_json::from_str(&json("owner quote-desk a")).unwrap();
    assert_eq!(owner.chain.len(), 1);
    let refused = run_on(&node, "classes show none --output json");
    let refused: report::ErrorReport = serde_json::from_str(&refused.err).unwrap();
    assert_eq!(refused.error, "unknown-class");
}

#[test]
fn put_with_flags_keeps_other_fields() {
    // Guards against a change of one field that resets the other fields to their defaults.
    let (admin, node) = start_node();
    let put = "classes put quote-desk --target-ms 25 --bulk true --division any-worker";
    run_on(&node, put).expect(0, &["class quote-desk: accepted as revision 5"]);
    let expected = class::ClassConfig {
        target_ms: 25,
        bulk: true,
        division: class::KeyDivision::AnyWorker,
        ..class_named("quote-desk")
    };
    assert_eq!(admin.with(|state| state.document.classes[1].clone()), expected);
    let new = "classes put new --division by-key --idempotent false --target-ms 5 \
               --deadline-ms 50 --yield-rank 2 --target-percentile 99.5 --prefer fewest-moves";
    run_on(&node, new).expect(0, &["revision 6"]);
    let new = admin.with(|state| state.document.class("new").cloned()).unwrap();
    assert_eq!((new.target_percentile, new.record_window_s, new.yield_rank), (99.5, 600, 2));
    run_on(&node, "classes delete new --expected-revision 6").expect(0, &["revision 7"]);
}

#[test]
fn wrong_class_values_change_nothing_and_name_the_flag() {
    let (admin, node) = start_node();
    let missing = run_on(&node, "classes put new --target-ms 5 --yield-rank 1");
    missing.expect(2, &["does not exist yet", "--division, --idempotent, --deadline-ms too"]);
    let wrong = run_on(&node, "classes put quote-desk --yield-rank 256 --division x --bulk maybe");
    wrong.expect(2, &["--yield-rank has the value \"256\"", "--division has", "--bulk has"]);
    run_on(&node, "classes put quote-desk --target-ms 201").expect(2, &["target_ms 201"]);
    assert_eq!(admin.with(|state| state.document.revision.0), 4);
}

#[test]
fn files_carry_the_revision_that_was_read() {
    // Guards against an edited file that overwrites a change made since the class was read.
    let (admin, node) = start_node();
    let shown = run_on(&node, "classes show quote-desk --output json").out;
    let file = TestFile::new("shown", &shown.replace("\"target_ms\": 20", "\"target_ms\": 40"));
    run_on(&node, "classes put quote-desk --target-ms 30").expect(0, &[]);
    let put = format!("classes put quote-desk --file {}", file.path());
    let conflict = run_on(&node, &put);
    conflict.expect(
        3,
        &[
            "expects revision 4, but the configuration has revision 5",
            "target_ms: 20 -> 30",
            "use --expected-revision 5",
        ],
    );
    assert_eq!(admin.with(|state| state.document.classes[1].target_ms), 30);
    run_on(&node, &format!("{put} --expected-revision 5")).expect(0, &["revision 6"]);

    let bare = serde_json::to_string(&class_named("quote-desk")).unwrap();
    let bare = TestFile::new("bare", &bare);
    let put = format!("classes put quote-desk --file {}", bare.path());
    run_on(&node, &put).expect(2, &["the file has no revision", "--expected-revision"]);
    let new = TestFile::new("new", &serde_json::to_string(&class_named("new")).unwrap());
    run_on(&node, &format!("classes put new --file {}", new.path())).expect(0, &["revision 7"]);
    run_on(&node, &format!("classes put other --file {}", new.path())).expect(2, &["same name"]);
    let broken = TestFile::new("broken", "{\"name\":");
    run_on(&node, &format!("classes put new --file {}", broken.path())).expect(2, &["not a class"]);
}

#[test]
fn concurrent_puts_lose_no_update() {
    // Guards against lost updates: two operators see success, but one change is overwritten.
    let (admin, node) = start_node();
    let outputs: Vec<CommandOutput> = thread::scope(|scope| {
        let node = &node;
        let put = |target: u64| {
            let command = format!(
                "classes put quote-desk --target-ms {target} --expected-revision 4 --output json"
            );
            scope.spawn(move || run_on(node, &command))
        };
        let tasks: Vec<_> = (30..36).map(put).collect();
        tasks.into_iter().map(|task| task.join().unwrap()).collect()
    });
    let codes = |code| outputs.iter().filter(|output| output.code == code).count();
    assert_eq!((codes(0), codes(3)), (1, 5), "{outputs:?}");
    assert_eq!(admin.with(|state| state.document.revision.0), 5);
    let loser = outputs.iter().find(|output| output.code == 3).unwrap();
    let refused: report::ErrorReport = serde_json::from_str(&loser.err).unwrap();
    assert_eq!(refused.conflict.unwrap().differences.len(), 1);
}

#[test]
fn exit_codes_tell_whether_something_changed() {
    // Guards against exit code 1 for a change that may be in force.
    let (admin, node) = start_node();
    admin.with(|state| state.store = StoreMode::Down);
    let put = "classes put quote-desk --target-ms 25";
    run_on(&node, put).expect(1, &["store-unavailable", "nothing changed"]);
    admin.with(|state| state.store = StoreMode::LosesResponses);
    run_on(&node, put).expect(4, &["outcome-unknown"]);
    run_on(&node, "classes show none").expect(1, &["unknown-class", "classes list"]);
    let address = node.address.to_string();
    drop(node);
    let variables = [("CORNELCTL_ADDRESS", &*address), ("CORNELCTL_TOKEN", TOKEN)];
    run(&["drain", "n1"], &variables).expect(1, &["no connection to", "--address"]);
}

#[test]
fn a_cut_connection_is_unknown_for_changes_only() {
    // Guards against exit code 1 for a drain whose response was lost.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serve = thread::spawn(move || {
        for answer in [&b""[..], b"", b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nno!"] {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
                head.push(byte[0]);
            }
            stream.write_all(answer).unwrap();
        }
    });
    let variables = [("CORNELCTL_ADDRESS", &*address), ("CORNELCTL_TOKEN", TOKEN)];
    run(&["drain", "n1"], &variables).expect(4, &["was sent, but no answer came"]);
    run(&["status"], &variables).expect(1, &["failed", "Repeat the command"]);
    run(&["status"], &variables).expect(1, &["can't be read", "same version"]);
    serve.join().unwrap();
}

#[test]
fn drain_and_retire_name_their_node() {
    // Guards against draining another node than the one named.
    let (admin, node) = start_node();
    run_on(&node, "drain n2")
        .expect(1, &["this is node n1, not n2", "operator address of the node"]);
    run_on(&node, "dump n2").expect(1, &["wrong-node"]);
    run_on(&node, "drain n1").expect(0, &["node n1: drain begun; 3 requests in flight"]);
    assert_eq!(admin.with(|state| state.drain_count), 1);
    run_on(&node, "retire n2").expect(2, &["retire needs --confirmed-dead"]);
    run_on(&node, "retire n1 --confirmed-dead").expect(1, &["still-alive"]);
    assert!(admin.with(|state| state.retired.is_empty()));
    run_on(&node, "retire n2 --confirmed-dead")
        .expect(0, &["leases 00000000000000cd/2 count as expired from epoch 10 on"]);
}

#[test]
fn tokens_come_from_files_or_the_environment() {
    // Guards against a token that is visible in process lists.
    let (_, node) = start_node();
    let address = node.address.to_string();
    let file = TestFile::new("token", &format!("{TOKEN}\n"));
    let address_variable = ("CORNELCTL_ADDRESS", &*address);
    let wrong = ("CORNELCTL_TOKEN", "wrong-token-for-operators");
    run(&["status", "--token-file", file.path()], &[address_variable, wrong]).expect(0, &[]);
    run(&["status"], &[address_variable, ("CORNELCTL_TOKEN_FILE", file.path())]).expect(0, &[]);
    run(&["status"], &[address_variable, wrong]).expect(1, &["unauthorized"]);
    run(&["status"], &[address_variable]).expect(2, &["the operator token is missing"]);
    run(&["status"], &[address_variable, ("CORNELCTL_TOKEN", "a\nb")]).expect(2, &["unprintable"]);
    run(&["status"], &[address_variable, ("CORNELCTL_TOKEN_FILE", "/absent")])
        .expect(2, &["can't be read"]);
    let shown = run(&["status", "--token", TOKEN], &[address_variable]);
    shown.expect(2, &["process lists", "--token-file"]);
    assert_eq!(run(&["status", &format!("--token={TOKEN}")], &[address_variable]).err, shown.err);
}

#[test]
fn wrong_usage_is_explained() {
    let cases = [
        ("", "is not a command"),
        ("classes", "is not a command"),
        ("classes put", "is not a command"),
        ("status now", "is not a command"),
        ("status --output xml", "Use table or json"),
        ("status --address localhost", "Use an IP address"),
        ("status --bulk true", "--bulk does not belong to this command"),
        ("status --confirmed-dead", "--confirmed-dead does not belong"),
        ("status --bogus", "--bogus is not a flag"),
        ("status -x", "-x is not a flag"),
        ("status --output", "missing argument"),
        ("status --output json --output json", "more than once"),
        ("classes put a", "nothing to change"),
        ("classes put a --file /absent", "can't be read"),
        ("classes delete a", "needs --expected-revision"),
        ("classes delete a --expected-revision x", "Use a whole number"),
    ];
    for (command, expected_text) in cases {
        let args: Vec<&str> = command.split(' ').collect();
        run(&args, &[("CORNELCTL_TOKEN", TOKEN)]).expect(2, &[expected_text, "cornelctl --help"]);
    }
    run(&[], &[]).expect(2, &["there is no command"]);
    let help = run(&["status", "--help", "--bogus"], &[]);
    help.expect(0, &["classes put NAME", "Exit codes", "CORNELCTL_TOKEN_FILE"]);
    run(&["-V"], &[]).expect(0, &[concat!("cornelctl ", env!("CARGO_PKG_VERSION"))]);
}
