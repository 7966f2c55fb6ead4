//! The process's logger: one JSON object a line, on standard output.

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

/// One line an event. The message brings the event's own fields.
const PATTERN: &str = "{{\"time\":\"{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}\",\"level\":\"{l}\",{m}}}{n}";

/// Lines that wait to be written; more are left out and counted.
const MAX_WAITING: usize = 1_024;

/// Longest wait for the last lines to be written, in milliseconds.
const FLUSH_MS: u64 = 200;

/// What the writer is given.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Tells the sender once everything before it is written.
    Flush(SyncSender<()>),
}

/// Writes lines on a thread of its own, so that a reader that is slow holds up no request.
#[derive(Debug)]
struct QueueAppender {
    encoder: PatternEncoder,
    lines: SyncSender<Entry>,
    left_out: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(Entry::Line(line.0)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"event\":\"E900\",\"text\":\"log lines left out\",\"lines\":{left_out}}}\n"
            );
            if self.lines.try_send(Entry::Line(text.into_bytes())).is_err() {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        if self.lines.try_send(Entry::Flush(tx)).is_ok() {
            // A reader that is slow does not keep the process from ending.
            let _ = rx.recv_timeout(Duration::from_millis(FLUSH_MS));
        }
    }
}

/// Start logging to standard output at `level`.
///
/// # Errors
///
/// Returns the cause as text if a logger runs already or no thread can be had.
pub fn start_logger(level: LevelFilter) -> Result<(), String> {
    let (lines, rx) = sync_channel(MAX_WAITING);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_lines(&rx))
        .map_err(|e| e.to_string())?;
    let appender = QueueAppender {
        encoder: PatternEncoder::new(PATTERN),
        lines,
        left_out: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .build(Root::builder().appender("lines").build(level))
        .map_err(|e| e.to_string())?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|e| e.to_string())
}

/// Write lines until the logger is gone or nobody reads them.
fn write_lines(lines: &Receiver<Entry>) {
    let mut out = std::io::stdout();
    while let Ok(first) = lines.recv() {
        let mut buf = Vec::new();
        let mut waiting = None;
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => buf.extend_from_slice(&line),
                Entry::Flush(tx) => waiting = Some(tx),
            }
            next = lines.try_recv().ok();
        }
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            return;
        }
        if let Some(tx) = waiting {
            // Whoever waited may have given up.
            let _ = tx.try_send(());
        }
    }
}
