//! Check of a configuration of the platform, as a table or JSON.

use cornelridge_fleet::config;
use cornelridge_platform::config as platform_config;
use cornelridge_platform::config_check;
use cornelridge_platform::config_difference;
use cornelridge_platform::config_item;
use cornelridge_platform::finding;
use serde::Serialize;

use crate::command;
use crate::failure;
use crate::table;

/// Text to print, and the exit code.
pub(crate) struct CheckOutput {
    pub(crate) text: String,
    pub(crate) code: u8,
}

#[derive(Serialize)]
struct ReportView<'a> {
    version: Option<u64>,
    against: Option<u64>,
    findings: Vec<FindingView<'a>>,
    differences: Vec<DifferenceView<'a>>,
}

#[derive(Serialize)]
struct FindingView<'a> {
    severity: finding::Severity,
    entry: String,
    #[serde(flatten)]
    problem: &'a finding::ConfigProblem,
    message: String,
}

#[derive(Serialize)]
struct DifferenceView<'a> {
    entry: String,
    kind: config_difference::DifferenceKind,
    fields: &'a [config_difference::FieldDifference],
}

/// Checks a configuration, and compares it with another one if the request names one.
pub(crate) async fn check(
    request: &command::CheckRequest,
) -> Result<CheckOutput, failure::CommandFailure> {
    let against = match &request.against {
        Some(source) => Some(read_against(source).await?),
        None => None,
    };
    let report = config_check::check(&request.text, against.as_ref());
    let against = against.map(|against| against.version);
    let text = match request.output {
        command::OutputFormat::Table => to_table(&report, against),
        command::OutputFormat::Json => table::json(&to_view(&report, against)),
    };
    let code = match report.severity() {
        None => crate::EXIT_OK,
        Some(finding::Severity::Warning) => crate::EXIT_WARNINGS,
        Some(finding::Severity::Error) => crate::EXIT_ERRORS,
    };
    Ok(CheckOutput { text, code })
}

async fn read_against(
    source: &command::AgainstSource,
) -> Result<config::FleetConfig, failure::CommandFailure> {
    match source {
        command::AgainstSource::File { path, text } => {
            let decoded = platform_config::decode_with_findings(text);
            let decoded = decoded.map_err(|error| {
                let problem = format!("{path:?} (against) is not a configuration: {error}");
                failure::CommandFailure::usage(problem, "Correct the file or name another one.")
            });
            Ok(decoded?.config)
        }
        command::AgainstSource::Version { version, store } => {
            let read = config_item::read_version(*store, *version).await;
            read.map_err(|error| failure::CommandFailure::ConfigInForce { address: *store, error })
        }
    }
}

fn to_view(report: &config_check::CheckReport, against: Option<u64>) -> ReportView<'_> {
    let findings = report.findings.iter().map(|finding| FindingView {
        severity: finding.problem.severity(),
        entry: finding.entry.to_string(),
        problem: &finding.problem,
        message: finding.problem.to_string(),
    });
    let differences = report.differences.iter().map(|difference| DifferenceView {
        entry: difference.entry.to_string(),
        kind: difference.kind,
        fields: &difference.fields,
    });
    ReportView {
        version: report.version,
        against,
        findings: findings.collect(),
        differences: differences.collect(),
    }
}

fn to_table(report: &config_check::CheckReport, against: Option<u64>) -> String {
    let count = |severity: finding::Severity| {
        let severities = report.findings.iter().map(|finding| finding.problem.severity());
        severities.filter(|other| *other == severity).count()
    };
    let version = report.version.map_or_else(|| "not known".to_owned(), |v| v.to_string());
    let (errors, warnings) = (count(finding::Severity::Error), count(finding::Severity::Warning));
    let mut text = format!("version {version}; errors: {errors}, warnings: {warnings}\n");
    if !report.findings.is_empty() {
        let mut rows = vec![table::to_row(&["SEVERITY", "ENTRY", "FINDING"])];
        rows.extend(report.findings.iter().map(|finding| {
            let (entry, problem) = (&finding.entry, &finding.problem);
            vec![problem.severity().to_string(), entry.to_string(), problem.to_string()]
        }));
        text += &format!("\n{}", table::align(&rows));
    }
    let Some(against) = against.filter(|_| report.version.is_some()) else { return text };
    if report.differences.is_empty() {
        return text + &format!("\nno differences from version {against}\n");
    }
    let mut rows = vec![table::to_row(&["CHANGE", "ENTRY", "FIELD", "BEFORE", "AFTER"])];
    rows.extend(report.differences.iter().flat_map(difference_rows));
    text + &format!("\ndifferences from version {against}:\n{}", table::align(&rows))
}

fn difference_rows(
    difference: &config_difference::Difference,
) -> impl Iterator<Item = Vec<String>> {
    difference.fields.iter().map(|field| {
        vec![
            difference.kind.to_string(),
            difference.entry.to_string(),
            field.field.to_owned(),
            table::or_dash(field.before.as_ref()),
            table::or_dash(field.after.as_ref()),
        ]
    })
}
