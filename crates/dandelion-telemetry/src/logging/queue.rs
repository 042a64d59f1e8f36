//! A bounded queue between the process and its log stream.
//!
//! Logging never blocks: lines that find the queue full, or exceed the budget of their kind, are
//! dropped and counted.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Level;
use log::LevelFilter;
use log::Record;
use log::kv::Key;

use crate::events::Event;

/// Capacity of the queue in lines; enough for a few seconds of a busy daemon.
const QUEUE_LINES: usize = 4_096;

/// Maximum number of lines in one write to the stream.
const BATCH_LINES: usize = 256;

/// Maximum number of lines per second of one kind at level info or below. Refusals and failures are
/// logged at a higher level and have a budget of their own.
const INFO_BUDGET: u64 = 200;

/// Maximum number of lines per second of one kind at level warn or error.
const WARN_BUDGET: u64 = 400;

/// Function that writes a record as a line.
pub type LineFormatter = fn(&mut dyn Write, &mut DeferredNow, &Record<'_>) -> io::Result<()>;

/// Lines of one kind in the latest second that had any.
#[derive(Debug, Clone, Copy, Default)]
struct KindCount {
    second: i64,
    lines: u64,
    dropped: u64,
}

/// Writes lines to a stream on a thread of its own.
#[derive(Debug)]
pub struct LineQueue {
    formatter: LineFormatter,
    level: LevelFilter,
    lines: SyncSender<Vec<u8>>,
    /// By event number; 0 is for lines that are not events.
    counts: Mutex<BTreeMap<u64, KindCount>>,
    dropped: AtomicU64,
}

impl LineQueue {
    /// Starts the thread that writes to `stream`.
    pub fn spawn<W>(stream: W, formatter: LineFormatter, level: LevelFilter) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        thread::spawn(move || run_writer(stream, &queue));
        Self {
            formatter,
            level,
            lines,
            counts: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a line of the record's kind. Returns whether the budget allows it and, with the first
    /// line of a second, how many lines of the kind were dropped in the latest second that had any.
    fn count_line(&self, now: i64, record: &Record<'_>) -> (bool, u64) {
        let kind = record.key_values().get(Key::from("event"));
        let kind = kind.and_then(|v| v.to_u64()).unwrap_or(0);
        let budget = if record.level() <= Level::Warn {
            WARN_BUDGET
        } else {
            INFO_BUDGET
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = counts.entry(kind).or_default();
        let mut dropped = 0;
        if entry.second != now {
            dropped = entry.dropped;
            *entry = KindCount {
                second: now,
                ..KindCount::default()
            };
        }
        entry.lines += 1;
        let allowed = entry.lines <= budget;
        entry.dropped += u64::from(!allowed);
        (allowed, dropped)
    }

    fn push(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.formatter)(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Logs how many lines of the record's kind were dropped.
    fn report_dropped(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        dropped: u64,
    ) -> io::Result<()> {
        let event = Event::LinesLeftOut;
        let kind = record.key_values().get(Key::from("event_name"));
        let kind = kind.map_or_else(|| "text".to_owned(), |v| v.to_string());
        let fields = [
            ("event", log::kv::Value::from(event.number())),
            ("event_name", log::kv::Value::from(event.name())),
            ("kind", log::kv::Value::from(kind.as_str())),
            ("count", log::kv::Value::from(dropped)),
        ];
        let mut report = Record::builder();
        report.level(event.level()).target(crate::events::TARGET);
        report.key_values(&fields);
        self.push(
            now,
            &report.args(format_args!("{}", event.meaning())).build(),
        )
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let second = now.now().timestamp();
        let (allowed, dropped) = self.count_line(second, record);
        if dropped > 0 {
            self.report_dropped(now, record, dropped)?;
        }
        if allowed {
            return self.push(now, record);
        }
        self.dropped.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        self.level
    }
}

/// Writes queued lines until the queue is closed or the stream fails.
fn run_writer<W>(mut stream: W, queue: &Receiver<Vec<u8>>)
where
    W: Write,
{
    while let Ok(first) = queue.recv() {
        let mut bytes = first;
        for next in queue.try_iter().take(BATCH_LINES - 1) {
            bytes.extend_from_slice(&next);
        }
        // The stream has no reader any more, and there is no other place to report it.
        if stream
            .write_all(&bytes)
            .and_then(|()| stream.flush())
            .is_err()
        {
            return;
        }
    }
}
