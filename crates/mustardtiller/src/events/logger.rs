//! The process's logger, which writes one JSON object per line to standard output.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use log::LevelFilter;
use log::Record;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Format of a log line. The message contains the event's own fields.
const PATTERN: &str = "{{\"time\":\"{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}\",\"level\":\"{l}\",{m}}}{n}";

/// Capacity of the queue of unwritten lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Timeout of a flush, in milliseconds.
const FLUSH_MS: u64 = 200;

/// An item in the queue of the writer thread.
#[derive(Debug)]
enum LogItem {
    /// A line to write.
    Line(Vec<u8>),
    /// Notifies the sender once all preceding lines are written.
    Flush(SyncSender<()>),
}

/// Queues lines for a writer thread.
///
/// A slow reader of the log thus delays no request.
#[derive(Debug)]
struct QueueAppender {
    encoder: PatternEncoder,
    lines: SyncSender<LogItem>,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(LogItem::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"event\":\"E900\",\"text\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            if self
                .lines
                .try_send(LogItem::Line(text.into_bytes()))
                .is_err()
            {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.lines.try_send(LogItem::Flush(tx)).is_ok() {
            // A slow reader of the log must not keep the process from exiting.
            let _ = rx.recv_timeout(Duration::from_millis(FLUSH_MS));
        }
    }
}

/// Install the logger for standard output at `level`.
///
/// # Errors
///
/// Returns the cause as text if a logger is already installed or the writer
/// thread can't be started.
pub fn start_logger(level: LevelFilter) -> Result<(), String> {
    let (lines, rx) = sync_channel(MAX_QUEUED_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_lines(&rx))
        .map_err(|e| e.to_string())?;
    let appender = QueueAppender {
        encoder: PatternEncoder::new(PATTERN),
        lines,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .build(Root::builder().appender("lines").build(level))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|e| e.to_string())
}

/// Write lines until the logger is dropped or standard output fails.
fn write_lines(lines: &Receiver<LogItem>) {
    let mut out = std::io::stdout();
    while let Ok(first) = lines.recv() {
        let mut buf = Vec::new();
        let mut flush_reply = None;
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                LogItem::Line(line) => buf.extend_from_slice(&line),
                LogItem::Flush(tx) => flush_reply = Some(tx),
            }
            next = lines.try_recv().ok();
        }
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            return;
        }
        if let Some(tx) = flush_reply {
            // The send fails only if the flush has timed out.
            let _ = tx.try_send(());
        }
    }
}
