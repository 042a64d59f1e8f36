//! Opens the log of the process.

use std::fmt;
use std::io;
use std::path::PathBuf;

use flexi_logger::Cleanup;
use flexi_logger::Criterion;
use flexi_logger::FileSpec;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::Naming;
use log::LevelFilter;
use thiserror::Error;

use super::format;
use super::queue::LineFormatter;
use super::queue::LineQueue;

/// Size in bytes at which a log file is closed and a new one is started.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Number of closed log files that are retained.
const RETAINED_FILES: usize = 8;

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text with `key=value` fields.
    Text,
    /// One JSON object a line.
    Json,
}

/// How the log is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Format of a line.
    pub format: LogFormat,
    /// Folder for log files; the log goes to standard output if absent.
    pub folder: Option<PathBuf>,
}

/// The log could not be set up.
#[derive(Debug, Error)]
#[error("the log could not be opened ({0}); check that the log folder is writable")]
pub struct LogError(#[from] FlexiLoggerError);

/// The running log; lines are flushed when it is dropped.
#[derive(Clone)]
pub struct LogHandle(LoggerHandle);

impl LogHandle {
    /// Writes buffered lines to the log files.
    pub fn flush(&self) {
        self.0.flush();
    }
}

impl fmt::Debug for LogHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogHandle(..)")
    }
}

/// Opens the process's log. Keep the handle until the process ends.
pub fn open(settings: &LogSettings) -> Result<LogHandle, LogError> {
    let level = LogSpecification::builder().default(settings.level).build();
    let formatter: LineFormatter = match settings.format {
        LogFormat::Text => format::write_text,
        LogFormat::Json => format::write_json,
    };
    let logger = Logger::with(level).format(formatter);
    let logger = match &settings.folder {
        None => {
            let queue = LineQueue::spawn(io::stdout(), formatter, settings.level);
            logger.log_to_writer(Box::new(queue))
        }
        Some(folder) => logger
            .log_to_file(FileSpec::default().directory(folder))
            .rotate(
                Criterion::Size(MAX_FILE_BYTES),
                Naming::Numbers,
                Cleanup::KeepLogFiles(RETAINED_FILES),
            ),
    };
    Ok(LogHandle(logger.start()?))
}
