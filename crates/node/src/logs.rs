//! Logging to stderr or stdout, with a limit for repeated lines. Lines are queued and written by
//! a thread of their own.
//!
//! Lines are counted by call site, or by the value of the key `limit` where a line has one:
//!
//! ```
//! log::warn!(limit = "store-down"; "the store does not answer");
//! ```
//!
//! The count of suppressed lines is written before the first line of any call site that follows
//! the end of the window.

use std::collections::HashMap;
use std::io;
use std::panic;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time as std_time;

use cornelridge_model::time;
use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use flexi_logger::{
    DeferredNow, ErrorChannel, FlexiLoggerError, LogSpecification, Logger, LoggerHandle,
};
use log::{Level, LevelFilter, Record, kv};
use serde_json::{Map, Value};
use thiserror::Error;

use crate::log_queue;
use crate::settings;

/// Maximum number of lines of one call site in one window.
pub const LINES_PER_WINDOW: u32 = 10;
/// Limit where each failed request needs its own line: the number of requests that a node with a
/// fifth of a core can fail in one window.
pub const REQUEST_LINES_PER_WINDOW: u32 = 500;
/// Length of a window.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Maximum number of call sites that are counted separately; all others share one count.
const MAX_SITES: usize = 1_024;
/// Key whose value replaces the call site of a line.
const LIMIT_KEY: &str = "limit";
const OTHER_SITES: &str = "other call sites";
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6f%:z";

/// Decision about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write,
    /// The line is only counted.
    Suppress,
}

/// Number of lines of a call site that were not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuppressedLines {
    /// The call site or key.
    pub site: String,
    /// Number of lines.
    pub count: u64,
}

/// Limits the lines of each call site in a window.
#[derive(Clone, Debug)]
pub struct LineLimiter {
    lines: u32,
    sites: HashMap<String, SiteWindow>,
    next_end: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SiteWindow {
    end: time::Instant,
    written: u32,
    suppressed: u64,
}

impl Default for LineLimiter {
    fn default() -> LineLimiter {
        LineLimiter::new(LINES_PER_WINDOW)
    }
}

impl LineLimiter {
    /// Creates a limiter that passes at most `lines` lines of each call site in a window.
    pub fn new(lines: u32) -> LineLimiter {
        LineLimiter { lines, sites: HashMap::new(), next_end: None }
    }

    /// Counts one line of `site` at `now` and decides whether to write it.
    pub fn admit(&mut self, now: time::Instant, site: &str) -> LineDecision {
        let is_known = self.sites.contains_key(site) || self.sites.len() < MAX_SITES;
        let site = if is_known { site } else { OTHER_SITES };
        let end = now + WINDOW;
        let window = SiteWindow { end, written: 0, suppressed: 0 };
        let window = self.sites.entry(site.to_owned()).or_insert(window);
        self.next_end = Some(self.next_end.map_or(end, |next| next.min(end)));
        if window.written < self.lines {
            window.written += 1;
            return LineDecision::Write;
        }
        window.suppressed += 1;
        LineDecision::Suppress
    }

    /// Removes the windows that have ended; returns what they suppressed, sorted by site.
    pub fn expire(&mut self, now: time::Instant) -> Vec<SuppressedLines> {
        if self.next_end.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let mut suppressed = Vec::new();
        self.sites.retain(|site, window| {
            let is_over = window.end <= now;
            if is_over && window.suppressed > 0 {
                suppressed.push(SuppressedLines { site: site.clone(), count: window.suppressed });
            }
            !is_over
        });
        self.next_end = self.sites.values().map(|window| window.end).min();
        suppressed.sort_by(|left, right| left.site.cmp(&right.site));
        suppressed
    }
}

/// Error at the start of the logger.
#[derive(Debug, Error)]
pub enum LogError {
    /// Another logger is installed.
    #[error("logging can't start ({0}): remove the other logger of this process")]
    Logger(#[from] FlexiLoggerError),
}

static LOGGER: OnceLock<LoggerHandle> = OnceLock::new();

/// Output stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Installs the logger; further calls in the same process have no effect. Lines are never waited
/// for; [`log_queue::finish`] writes those that are queued at the end of the process.
pub fn install(
    level: settings::LogLevel,
    format: settings::LogFormat,
    target: LogTarget,
    lines_per_window: u32,
) -> Result<(), LogError> {
    if LOGGER.get().is_some() {
        return Ok(());
    }
    let format_line = match format {
        settings::LogFormat::Text => write_text,
        settings::LogFormat::Json => write_json,
    };
    let stream = match target {
        LogTarget::Stderr => log_queue::UnlockedStream::stderr(),
        LogTarget::Stdout => log_queue::UnlockedStream::stdout(),
    };
    let (writer, guard) = log_queue::QueueWriter::start(stream, format_line);
    let logger = Logger::with(specification(level))
        .log_to_writer(Box::new(writer))
        .filter(Box::new(LimitFilter::new(lines_per_window)))
        // Standard error may have no reader either.
        .error_channel(ErrorChannel::DevNull)
        .panic_if_error_channel_is_broken(false)
        .start();
    match logger {
        Ok(handle) => {
            guard.keep();
            drop(LOGGER.set(handle));
        }
        // Another thread may have installed the logger since the first check.
        Err(_) if LOGGER.get().is_some() => {}
        Err(error) => return Err(LogError::Logger(error)),
    }
    Ok(())
}

/// Logs panics instead of writing them to standard error, which would wait for its reader.
pub fn log_panics() {
    panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let message = panic.payload_as_str().unwrap_or_default();
        log::error!(location, message; "a task panicked");
    }));
}

fn specification(level: settings::LogLevel) -> LogSpecification {
    let level = match level {
        settings::LogLevel::Error => LevelFilter::Error,
        settings::LogLevel::Warn => LevelFilter::Warn,
        settings::LogLevel::Info => LevelFilter::Info,
        settings::LogLevel::Debug => LevelFilter::Debug,
        settings::LogLevel::Trace => LevelFilter::Trace,
    };
    // Below `warn`, libraries log each packet, which would bury the node's own lines.
    LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module("cornelridge", level)
        .build()
}

/// Passes a line to the writer unless its call site has reached the limit.
pub struct LimitFilter {
    start: std_time::Instant,
    limiter: Mutex<LineLimiter>,
}

impl LimitFilter {
    /// Creates a filter that passes at most `lines` lines of each call site in a window.
    pub fn new(lines: u32) -> LimitFilter {
        let limiter = Mutex::new(LineLimiter::new(lines));
        LimitFilter { start: std_time::Instant::now(), limiter }
    }
}

impl Default for LimitFilter {
    fn default() -> LimitFilter {
        LimitFilter::new(LINES_PER_WINDOW)
    }
}

impl LogLineFilter for LimitFilter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> io::Result<()> {
        let elapsed = time::Instant(self.start.elapsed().as_micros() as u64);
        let (suppressed, decision) = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            (limiter.expire(elapsed), limiter.admit(elapsed, &site_of(record)))
        };
        for SuppressedLines { site, count } in suppressed {
            let seconds = WINDOW.as_secs_f64();
            let text = format_args!("{count} more lines of {site} within {seconds} s");
            let mut line = Record::builder();
            let line = line.level(Level::Warn).target(module_path!());
            writer.write(now, &line.module_path(Some(module_path!())).args(text).build())?;
        }
        match decision {
            LineDecision::Write => writer.write(now, record),
            LineDecision::Suppress => Ok(()),
        }
    }
}

fn site_of(record: &Record<'_>) -> String {
    if let Some(value) = record.key_values().get(kv::Key::from(LIMIT_KEY)) {
        return value.to_string();
    }
    let file = record.file().unwrap_or("an unknown file");
    format!("{file}:{}", record.line().unwrap_or_default())
}

/// Writes a line as text.
pub fn write_text(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let (time, level) = (now.format(TIME_FORMAT), record.level());
    let message = record.args().to_string();
    write!(writer, "{time} {level:5} {} {}", record.target(), one_line(&message))?;
    for (key, value) in fields_of(record) {
        write!(writer, " {key}={value}")?;
    }
    Ok(())
}

/// Escapes control characters, so that untrusted text can't forge a line.
fn one_line(message: &str) -> String {
    let escape = |c: char| if c.is_control() { c.escape_default().to_string() } else { c.into() };
    message.chars().map(escape).collect()
}

/// Writes a line as one JSON object.
pub fn write_json(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let mut line = Map::new();
    line.insert("time".to_owned(), now.format(TIME_FORMAT).to_string().into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    let fields = fields_of(record);
    if !fields.is_empty() {
        line.insert("fields".to_owned(), Value::Object(fields));
    }
    write!(writer, "{}", Value::Object(line))
}

/// Returns the key-value pairs of a line as JSON strings.
fn fields_of(record: &Record<'_>) -> Map<String, Value> {
    let mut fields = FieldMap(Map::new());
    // `FieldMap` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct FieldMap(Map<String, Value>);

impl<'a> kv::VisitSource<'a> for FieldMap {
    fn visit_pair(&mut self, key: kv::Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
