//! Execution of commands.

use std::collections::BTreeMap;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::report;
use http::Method;
use serde_json::{Map, Value};

use crate::client;
use crate::command;
use crate::failure;
use crate::table;

/// Runs a command and returns the text to print.
pub(crate) async fn execute(
    request: &command::CommandRequest,
) -> Result<String, failure::CommandFailure> {
    let client = client::OperatorClient::new(request);
    let is_json = request.output == command::OutputFormat::Json;
    match &request.command {
        command::Command::List => {
            let document: class::ClassDocument =
                client.call(client::OperatorCall::get("/classes")).await?;
            Ok(if is_json { table::json(&document) } else { table::classes(&document) })
        }
        command::Command::Show { name } => {
            let path = format!("/classes/{}", encode_segment(name));
            let class_report: report::ClassReport =
                client.call(client::OperatorCall::get(path)).await?;
            Ok(if is_json { table::json(&class_report) } else { table::class(&class_report) })
        }
        command::Command::Put { name, source, expected } => {
            let change = put(&client, name, source, *expected).await?;
            Ok(if is_json { table::json(&change) } else { table::change(name, change) })
        }
        command::Command::Delete { name, expected } => {
            let path = format!("/classes/{}", encode_segment(name));
            let call = client::OperatorCall::new(Method::DELETE, path).expected_revision(*expected);
            let change: report::ChangeReport = client.call(call).await?;
            Ok(if is_json { table::json(&change) } else { table::change(name, change) })
        }
        command::Command::Status => {
            let status: report::StatusReport =
                client.call(client::OperatorCall::get("/status")).await?;
            Ok(if is_json { table::json(&status) } else { table::status(&status) })
        }
        command::Command::Dump { node } => {
            let path = format!("/dump?{}", encode_query(&[("node", node)]));
            let state: Value = client.call(client::OperatorCall::get(path)).await?;
            Ok(table::json(&state))
        }
        command::Command::Drain { node } => {
            let path = format!("/drain?{}", encode_query(&[("node", node)]));
            let call = client::OperatorCall::new(Method::POST, path);
            let drain: report::DrainReport = client.call(call).await?;
            Ok(if is_json { table::json(&drain) } else { table::drain(&drain) })
        }
        command::Command::Owner { class, key } => {
            let path = format!("/owner?{}", encode_query(&[("class", class), ("key", key)]));
            let owner: report::OwnerReport = client.call(client::OperatorCall::get(path)).await?;
            Ok(if is_json { table::json(&owner) } else { table::owner(&owner) })
        }
        command::Command::Retire { node } => {
            let body = report::RetireRequest { node: node.as_str().into(), confirmed_dead: true };
            let call = client::OperatorCall::new(Method::POST, "/retire").body(table::json(&body));
            let retired: report::RetireReport = client.call(call).await?;
            Ok(if is_json { table::json(&retired) } else { table::retired(&retired) })
        }
    }
}

async fn put(
    client: &client::OperatorClient<'_>,
    name: &str,
    source: &command::ClassSource,
    expected: Option<ident::RevisionNumber>,
) -> Result<report::ChangeReport, failure::CommandFailure> {
    let document: class::ClassDocument = client.call(client::OperatorCall::get("/classes")).await?;
    let (class, base_revision) = match source {
        command::ClassSource::Flags(flags) => {
            (class_from_flags(name, flags, document.class(name))?, Some(document.revision))
        }
        command::ClassSource::File(text) => {
            let (class, base_revision) = class_from_file(name, text)?;
            let is_new = document.class(name).is_none();
            (class, base_revision.or(is_new.then_some(document.revision)))
        }
    };
    class.validate()?;
    let Some(expected) = expected.or(base_revision) else {
        let problem = format!("class {name} exists, and the file has no revision");
        let remedy = "Edit the output of cornelctl classes show NAME --output json, or add \
                      --expected-revision.";
        return Err(failure::CommandFailure::usage(problem, remedy));
    };
    let path = format!("/classes/{}", encode_segment(name));
    let call = client::OperatorCall::new(Method::PUT, path).expected_revision(expected);
    client.call(call.body(table::json(&class))).await
}

/// Returns the class with the fields set by flags; other fields keep their current values.
fn class_from_flags(
    name: &str,
    flags: &BTreeMap<&'static str, String>,
    current: Option<&class::ClassConfig>,
) -> Result<class::ClassConfig, failure::CommandFailure> {
    const REQUIRED: [&str; 5] =
        ["division", "idempotent", "target-ms", "deadline-ms", "yield-rank"];
    let missing: Vec<_> = REQUIRED
        .iter()
        .filter(|flag| !flags.contains_key(**flag))
        .map(|flag| format!("--{flag}"))
        .collect();
    if current.is_none() && !missing.is_empty() {
        let problem = format!("class {name} does not exist yet");
        let remedy = format!("To add it, set {} too.", missing.join(", "));
        return Err(failure::CommandFailure::usage(problem, remedy));
    }
    let mut fields = match current.map(serde_json::to_value) {
        Some(Ok(Value::Object(fields))) => fields,
        _ => Map::new(),
    };
    fields.insert("name".to_owned(), name.into());
    let mut problems = Vec::new();
    for (flag, text) in flags {
        // Numbers and `true` are valid JSON; names such as `by-key` are not.
        let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text.as_str()));
        let field = flag.replace('-', "_");
        if let Err(error) = check_field(&field, &value) {
            problems.push(format!("--{flag} has the value {text:?} ({error})"));
        }
        fields.insert(field, value);
    }
    let invalid_value = |problem| {
        failure::CommandFailure::usage(
            problem,
            "Correct the value; --help lists the values of each flag.",
        )
    };
    if !problems.is_empty() {
        return Err(invalid_value(problems.join("\n")));
    }
    serde_json::from_value(Value::Object(fields)).map_err(|error| invalid_value(error.to_string()))
}

/// Checks the type of a field in an otherwise valid class, so that errors can name the flag.
fn check_field(field: &str, value: &Value) -> Result<(), serde_json::Error> {
    let mut class = serde_json::json!({
        "name": "any", "division": "by-key", "idempotent": true,
        "target_ms": 1, "deadline_ms": 1, "yield_rank": 0,
    });
    class[field] = value.clone();
    serde_json::from_value::<class::ClassConfig>(class).map(drop)
}

/// Returns the class in the text of a file, and its revision if the file has one.
fn class_from_file(
    name: &str,
    text: &str,
) -> Result<(class::ClassConfig, Option<ident::RevisionNumber>), failure::CommandFailure> {
    let invalid_file = |error: serde_json::Error| {
        let problem = format!("the file is not a class: {error}");
        failure::CommandFailure::usage(
            problem,
            "Use JSON as cornelctl classes show --output json prints it.",
        )
    };
    let value: Value = serde_json::from_str(text).map_err(invalid_file)?;
    let (class, base_revision) = if value.get("class").is_some() {
        let class_report: report::ClassReport =
            serde_json::from_value(value).map_err(invalid_file)?;
        (class_report.class, Some(class_report.revision))
    } else {
        let class: class::ClassConfig = serde_json::from_value(value).map_err(invalid_file)?;
        (class, None)
    };
    if &*class.name != name {
        let problem = format!("the command names class {name:?}, the file {:?}", class.name);
        return Err(failure::CommandFailure::usage(problem, "Use the same name in both."));
    }
    Ok((class, base_revision))
}

fn encode_query(pairs: &[(&str, &String)]) -> String {
    form_urlencoded::Serializer::new(String::new()).extend_pairs(pairs).finish()
}

fn encode_segment(name: &str) -> String {
    form_urlencoded::byte_serialize(name.as_bytes()).collect()
}
