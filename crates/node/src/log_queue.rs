//! Queue of log lines that a thread of its own writes, so that no task waits for the log's reader.

use std::io;
use std::io::Write;
use std::os::fd::BorrowedFd;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time as std_time;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::{Level, Record};
use tracing_appender::non_blocking;

use crate::metering;

/// Highest number of bytes that wait for the reader: some thousand lines, and less than a hundredth
/// of the memory of a small host.
pub const MAX_QUEUED_BYTES: usize = 512 * 1024;
/// Number of bytes that a line counts for at least, which bounds the number of lines.
const MIN_LINE_BYTES: usize = 256;
/// Number of bytes that are written at once while the queue has more lines.
const BUFFER_BYTES: usize = 16 * 1024;
/// Longest time for which the end of the process waits until queued lines have been written. The
/// library itself gives up after 1.1 s.
const FINISH_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Lines and bytes of a queue.
#[derive(Debug, Default)]
struct QueueCounts {
    /// Bytes that were accepted and not written yet.
    queued_bytes: AtomicUsize,
    /// Lines that were dropped and not reported yet.
    unreported: AtomicU64,
}

/// Returns the number of bytes that a line of `length` bytes counts for.
fn counted_bytes(length: usize) -> usize {
    length.max(MIN_LINE_BYTES)
}

/// Writer of log lines that never blocks. Lines that don't fit into the queue are dropped and
/// counted, and their number is written before the next line that does.
pub struct QueueWriter {
    queue: non_blocking::NonBlocking,
    counts: Arc<QueueCounts>,
    format: FormatFunction,
}

impl QueueWriter {
    /// Starts a queue for `output` and a thread that writes it; the guard ends that thread.
    pub fn start(
        output: impl Write + Send + 'static,
        format: FormatFunction,
    ) -> (QueueWriter, QueueGuard) {
        let counts = Arc::<QueueCounts>::default();
        let output = io::BufWriter::with_capacity(BUFFER_BYTES, output);
        let counted = CountedOutput { output, counts: Arc::clone(&counts) };
        let builder = non_blocking::NonBlockingBuilder::default().lossy(true);
        let max_lines = MAX_QUEUED_BYTES / MIN_LINE_BYTES;
        let builder = builder.buffered_lines_limit(max_lines).thread_name("log");
        let (queue, guard) = builder.finish(counted);
        (QueueWriter { queue, counts, format }, QueueGuard(guard))
    }

    /// Counts a line of `length` bytes as queued if there is space for it. After a line was
    /// dropped, further ones are until half of the queue is empty, so that the log has few gaps.
    fn reserve(&self, length: usize) -> bool {
        let is_dropping = self.counts.unreported.load(Ordering::Relaxed) > 0;
        let limit = if is_dropping { MAX_QUEUED_BYTES / 2 } else { MAX_QUEUED_BYTES };
        let size = counted_bytes(length);
        let has_space = self.counts.queued_bytes.fetch_add(size, Ordering::Relaxed) + size <= limit;
        if !has_space {
            self.counts.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        }
        has_space
    }

    fn push(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<bool> {
        let mut line = Vec::new();
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if !self.reserve(line.len()) {
            return Ok(false);
        }
        self.queue.clone().write_all(&line)?;
        Ok(true)
    }

    /// Queues a line with the number of those that were dropped, if there is space for it.
    fn report_dropped(&self, now: &mut DeferredNow) -> io::Result<()> {
        let count = self.counts.unreported.load(Ordering::Relaxed);
        if count == 0 {
            return Ok(());
        }
        let text = format_args!("{count} lines dropped: the reader of the log was too slow");
        let mut line = Record::builder();
        let line = line.level(Level::Warn).target(module_path!()).module_path(Some(module_path!()));
        if self.push(now, &line.args(text).build())? {
            self.counts.unreported.fetch_sub(count, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.report_dropped(now)?;
        if !self.push(now, record)? {
            self.counts.unreported.fetch_add(1, Ordering::Relaxed);
            metrics::counter!(metering::LOG_LINES_DROPPED).increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that records what has left the queue. Lines that can't be written, as the reader has gone
/// away, are lost.
struct CountedOutput<W> {
    output: W,
    counts: Arc<QueueCounts>,
}

impl<W: Write> Write for CountedOutput<W> {
    /// Writes one line, whatever of it the output accepts.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let result = self.output.write_all(line);
        self.counts.queued_bytes.fetch_sub(counted_bytes(line.len()), Ordering::Relaxed);
        if result.is_err() {
            metrics::counter!(metering::LOG_LINES_DROPPED).increment(1);
        }
        result.map(|()| line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}

/// Standard stream that is written without its lock, which another thread may hold while it waits
/// for the reader.
///
/// It writes to the stream's own descriptor: a supervisor may collect what is written to descriptors
/// 1 and 2 only, and not what is written to copies of them.
pub struct UnlockedStream(BorrowedFd<'static>);

impl UnlockedStream {
    /// Returns the standard output.
    pub fn stdout() -> UnlockedStream {
        UnlockedStream(rustix::stdio::stdout())
    }

    /// Returns the standard error.
    pub fn stderr() -> UnlockedStream {
        UnlockedStream(rustix::stdio::stderr())
    }
}

impl Write for UnlockedStream {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(self.0, data)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Ends the thread of a queue.
pub struct QueueGuard(non_blocking::WorkerGuard);

static GUARD: Mutex<Option<QueueGuard>> = Mutex::new(None);

impl QueueGuard {
    /// Keeps the guard until [`finish`] is called.
    pub fn keep(self) {
        *GUARD.lock().unwrap_or_else(PoisonError::into_inner) = Some(self);
    }
}

/// Writes the queued lines before the process ends, for at most 1.5 s.
pub fn finish() {
    let guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(QueueGuard(guard)) = guard else { return };
    // The library reports a failure on standard output, whose reader may have paused.
    let (done, finished) = mpsc::channel();
    let ending = thread::Builder::new().spawn(move || {
        drop(guard);
        // Nobody waits any more if the time has passed.
        let _ = done.send(());
    });
    if ending.is_ok() {
        let _ = finished.recv_timeout(FINISH_TIMEOUT);
    }
}
