//! Logs whose reader pauses or goes away.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io;
use std::sync::mpsc;

use cornelridge::log_queue::{MAX_QUEUED_BYTES, QueueWriter};
use cornelridge::logs;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Output whose reader takes a line each time `permits` gets a message, and any number of lines
/// when its sender is gone.
struct PausedOutput {
    permits: mpsc::Receiver<()>,
    lines: mpsc::Sender<Vec<u8>>,
}

impl io::Write for PausedOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let _ = self.permits.recv();
        self.lines.send(data.to_vec()).unwrap();
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(writer: &QueueWriter, text: &str) {
    let mut line = Record::builder();
    let arguments = format_args!("{text}");
    writer.write(&mut DeferredNow::new(), &line.args(arguments).build()).unwrap();
}

/// Guards against tasks that wait for the reader of the log, and against memory that grows while it
/// pauses.
#[test]
fn a_paused_reader_blocks_no_task_and_its_queue_is_bounded() {
    const LINES: usize = 20_000;
    let (permit, permits) = mpsc::channel();
    let (sender, lines) = mpsc::channel();
    let output = PausedOutput { permits, lines: sender };
    let (writer, guard) = QueueWriter::start(output, logs::write_text);
    (0..LINES).for_each(|number| write(&writer, &format!("line {number} {}", "x".repeat(200))));
    drop(permit);
    let mut text = Vec::new();
    while !text.ends_with(b"the end\n") {
        write(&writer, "the end");
        while let Ok(data) = lines.recv_timeout(std::time::Duration::from_millis(50)) {
            text.extend(data);
        }
    }
    drop(guard);
    let text = String::from_utf8(text).unwrap();
    let written = text.lines().filter(|line| line.contains(" line ")).count();
    assert!(text.len() < 2 * MAX_QUEUED_BYTES, "{} bytes were queued", text.len());
    let dropped = text.lines().filter_map(|line| {
        let (start, _) = line.split_once(" lines dropped: the reader of the log was too slow")?;
        start.rsplit(' ').next()?.parse::<usize>().ok()
    });
    let dropped: usize = dropped.sum();
    assert!(dropped > 0);
    let ends = text.lines().filter(|line| line.ends_with("the end")).count();
    assert!(written + dropped >= LINES, "{written} written and {dropped} dropped, {ends} ends");
    assert!(text.lines().nth(written / 2).unwrap().contains(&format!(" line {} ", written / 2)));
}

/// Output without a reader.
struct ClosedOutput;

impl io::Write for ClosedOutput {
    fn write(&mut self, _data: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

/// Guards against a task that ends, or a queue that stays full, because the log has no reader.
#[test]
fn a_reader_that_went_away_fails_no_line() {
    let (writer, guard) = QueueWriter::start(ClosedOutput, logs::write_json);
    (0..20_000).for_each(|number| write(&writer, &format!("line {number}")));
    drop(guard);
}
