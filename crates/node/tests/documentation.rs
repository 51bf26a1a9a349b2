//! Checks that the operators' page lists the settings and metrics of the code.

use cornelridge::metering::METRICS;
use cornelridge::settings::SETTINGS;

const PAGE: &str = include_str!("../../../docs/operators.md");

fn has_row(start: &str) -> bool {
    PAGE.lines().any(|line| line.starts_with(start))
}

#[test]
fn page_lists_every_setting_with_its_default() {
    // Guards against a setting that is added or renamed without its documentation.
    for spec in SETTINGS {
        let flag = format!("--{} {}", spec.flag, spec.value);
        let start = format!("| `{}` | `{}` | ", flag.trim_end(), spec.variable());
        let default = match spec.default {
            "" if spec.flag == "peer-advertised" => "the peer address".to_owned(),
            "" => "required".to_owned(),
            default => format!("`{default}`"),
        };
        assert!(has_row(&format!("{start}{default} | ")), "{start}{default}");
    }
    let rows =
        PAGE.lines().filter(|line| line.starts_with("| `--") && line.contains("CORNELRIDGE_"));
    assert_eq!(rows.count(), SETTINGS.len());
}

#[test]
fn page_lists_every_metric() {
    // Guards against a metric that is added or renamed without its documentation.
    for meter in METRICS {
        let kind = format!("{:?}", meter.kind).to_lowercase();
        assert!(has_row(&format!("| `{}` | {kind} | ", meter.name)), "{}", meter.name);
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| `cornelridge_"));
    assert_eq!(rows.count(), METRICS.len());
}
