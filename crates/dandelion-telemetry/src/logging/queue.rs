//! A bounded queue between the process and its log stream.
//!
//! Nobody who logs ever waits: lines that find the queue full, or exceed the budget of their kind,
//! are left out and counted.

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

/// Lines that may wait for the stream: a few seconds of a busy daemon.
const QUEUE_LINES: usize = 4_096;

/// Lines that are written at once.
const BATCH_LINES: usize = 256;

/// Lines a second of one kind at level info or below; refusals and failures have their own.
const INFO_BUDGET: u64 = 200;

/// Lines a second of one kind at level warn or error.
const WARN_BUDGET: u64 = 400;

/// How a record becomes a line.
pub type LineForm = fn(&mut dyn Write, &mut DeferredNow, &Record<'_>) -> io::Result<()>;

/// Lines of one kind in the present second.
#[derive(Debug, Clone, Copy, Default)]
struct Spent {
    second: i64,
    lines: u64,
    left_out: u64,
}

/// Writes lines to a stream from a thread of its own.
#[derive(Debug)]
pub struct LineQueue {
    form: LineForm,
    level: LevelFilter,
    lines: SyncSender<Vec<u8>>,
    spent: Mutex<BTreeMap<u64, Spent>>,
    left_out: AtomicU64,
}

impl LineQueue {
    /// Starts the thread that writes to `stream`.
    pub fn spawn<W>(stream: W, form: LineForm, level: LevelFilter) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_all(stream, &queue));
        Self {
            form,
            level,
            lines,
            spent: Mutex::default(),
            left_out: AtomicU64::new(0),
        }
    }

    /// Returns how many lines were left out since the start.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    /// Returns whether the budget of the record's kind allows a line, and how many lines of the kind
    /// were left out in the second before.
    fn spend(&self, now: i64, record: &Record<'_>) -> (bool, u64) {
        let kind = record.key_values().get(Key::from("event"));
        let kind = kind.and_then(|v| v.to_u64()).unwrap_or(0);
        let budget = if record.level() <= Level::Warn {
            WARN_BUDGET
        } else {
            INFO_BUDGET
        };
        let mut spent = self.spent.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = spent.entry(kind).or_default();
        let mut missed = 0;
        if entry.second != now {
            missed = entry.left_out;
            *entry = Spent {
                second: now,
                ..Spent::default()
            };
        }
        entry.lines += 1;
        let allowed = entry.lines <= budget;
        entry.left_out += u64::from(!allowed);
        (allowed, missed)
    }

    fn push(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.form)(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn tell_missed(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        missed: u64,
    ) -> io::Result<()> {
        let event = Event::LinesLeftOut;
        let kind = record.key_values().get(Key::from("event_name"));
        let kind = kind.map_or_else(|| "text".to_owned(), |v| v.to_string());
        let fields = [
            ("event", log::kv::Value::from(event.number())),
            ("event_name", log::kv::Value::from(event.name())),
            ("kind", log::kv::Value::from(kind.as_str())),
            ("count", log::kv::Value::from(missed)),
        ];
        let mut told = Record::builder();
        told.level(event.level()).target(crate::events::TARGET);
        told.key_values(&fields);
        self.push(now, &told.args(format_args!("{}", event.meaning())).build())
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let second = now.now().timestamp();
        let (allowed, missed) = self.spend(second, record);
        if missed > 0 {
            self.tell_missed(now, record, missed)?;
        }
        if allowed {
            return self.push(now, record);
        }
        self.left_out.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        self.level
    }
}

/// Writes what is queued until the queue or the stream ends.
fn write_all<W>(mut stream: W, queue: &Receiver<Vec<u8>>)
where
    W: Write,
{
    while let Ok(first) = queue.recv() {
        let mut bytes = first;
        for next in queue.try_iter().take(BATCH_LINES - 1) {
            bytes.extend_from_slice(&next);
        }
        // Nobody reads the log any more; there is no other place to tell of it.
        if stream
            .write_all(&bytes)
            .and_then(|()| stream.flush())
            .is_err()
        {
            return;
        }
    }
}
