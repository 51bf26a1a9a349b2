//! Tests of the limit for repeated log lines and of the log formats.

// clippy.toml allows these in tests, but clippy doesn't count helpers of test files as tests.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::io;
use std::sync::Mutex;

use cornelridge::logs::{self, LINES_PER_WINDOW, LimitFilter, LineDecision, LineLimiter, WINDOW};
use cornelridge::settings::{LogFormat, LogLevel};
use cornelridge_model::time::{Duration, Instant};
use flexi_logger::DeferredNow;
use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use log::{Level, Record};

const START: Instant = Instant(5_000_000);

fn admit(limiter: &mut LineLimiter, now: Instant, site: &str, lines: u32) -> u32 {
    let admitted = (0..lines).filter(|_| limiter.admit(now, site) == LineDecision::Write);
    admitted.count() as u32
}

#[test]
fn repeating_lines_are_counted_instead_of_written() {
    // Guards against flooding the log when each of 9,000 requests/s logs the same failure.
    let mut limiter = LineLimiter::default();
    assert_eq!(admit(&mut limiter, START, "a", 9_000), LINES_PER_WINDOW);
    assert_eq!(admit(&mut limiter, START + Duration(1), "b", 3), 3);
    assert!(limiter.expire(START + Duration(WINDOW.0 - 1)).is_empty());
    let over = limiter.expire(START + WINDOW);
    assert_eq!(over.len(), 1);
    assert_eq!((&*over[0].site, over[0].count), ("a", 9_000 - u64::from(LINES_PER_WINDOW)));
    assert_eq!(admit(&mut limiter, START + WINDOW, "a", 1), 1);
    assert!(limiter.expire(START + WINDOW + WINDOW).is_empty());
}

#[test]
fn many_keys_share_one_window() {
    // Guards against memory use that grows with each key, and against uncounted lines.
    let mut limiter = LineLimiter::default();
    let written: u32 =
        (0..5_000).map(|site| admit(&mut limiter, START, &site.to_string(), 1)).sum();
    assert_eq!(written, 1_024 + LINES_PER_WINDOW);
    let suppressed: u64 = limiter.expire(START + WINDOW).iter().map(|lines| lines.count).sum();
    assert_eq!(u64::from(written) + suppressed, 5_000);
}

#[derive(Default)]
struct LineRecorder(Mutex<Vec<String>>);

impl LogLineWriter for LineRecorder {
    fn write(&self, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.0.lock().unwrap().push(record.args().to_string());
        Ok(())
    }
}

#[test]
fn lines_are_limited_by_call_site_or_key() {
    let (filter, lines) = (LimitFilter::default(), LineRecorder::default());
    let write = |file: &'static str, key: Option<&str>, text: &str| {
        let pairs: Vec<_> = key.map(|key| ("limit", key)).into_iter().collect();
        let mut record = Record::builder();
        record.level(Level::Warn).file_static(Some(file)).line(Some(1)).key_values(&pairs);
        let result = filter.write(
            &mut DeferredNow::new(),
            &record.args(format_args!("{text}")).build(),
            &lines,
        );
        result.unwrap();
    };
    for _ in 0..50 {
        write("a.rs", None, "site a");
        write("b.rs", Some("k"), "key k");
        write("c.rs", Some("k"), "key k");
    }
    let count = |text| lines.0.lock().unwrap().iter().filter(|line| *line == text).count();
    assert_eq!(count("site a"), LINES_PER_WINDOW as usize);
    assert_eq!(count("key k"), LINES_PER_WINDOW as usize);
}

#[test]
fn formats_keep_one_line_per_record() {
    // Guards against log lines that a caller forges with a line break in a header.
    let pairs = [("caller", "10.0.0.9\nERROR forged")];
    let render = |format: flexi_logger::FormatFunction| {
        let mut bytes = Vec::new();
        let args = format_args!("bad \"path\"\n2026 ERROR forged");
        let mut record = Record::builder();
        record.level(Level::Error).target("cornelridge::ingress").key_values(&pairs);
        format(&mut bytes, &mut DeferredNow::new(), &record.args(args).build()).unwrap();
        String::from_utf8(bytes).unwrap()
    };
    let text = render(logs::write_text);
    assert!(!text.contains('\n'), "{text}");
    assert!(text.contains("ERROR cornelridge::ingress bad \"path\"\\n2026"), "{text}");
    let json = render(logs::write_json);
    assert!(!json.contains('\n'), "{json}");
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["message"], "bad \"path\"\n2026 ERROR forged");
    assert_eq!(
        (&value["level"], &value["target"]),
        (&"error".into(), &"cornelridge::ingress".into())
    );
    assert_eq!(value["fields"]["caller"], "10.0.0.9\nERROR forged");
}

#[test]
fn a_second_installation_changes_nothing() {
    // Guards against a failure of the second node in one process because a logger is installed.
    logs::install(LogLevel::Error, LogFormat::Json, logs::LogTarget::Stderr, 10).unwrap();
    logs::install(LogLevel::Trace, LogFormat::Text, logs::LogTarget::Stderr, 10).unwrap();
    assert!(!log::log_enabled!(target: "cornelridge", Level::Info));
}
