//! Storage errors; each message names the remedy.

use std::io;

use thiserror::Error;

/// Why durable storage cannot be used. After an error the storage must be opened again.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum StorageError {
    /// Another process holds the lock of the data folder.
    #[error(
        "data folder `{folder}` is in use by another daemon; stop that daemon or choose another folder"
    )]
    Locked {
        /// Path of the data folder.
        folder: String,
    },
    /// The disk or the quota is full.
    #[error(
        "no space is left for `{file}`; nothing of this step was acknowledged: free space in the data folder; a running daemon then goes on by itself"
    )]
    Full {
        /// Name of the file that was written.
        file: String,
    },
    /// The operating system refused an operation.
    #[error(
        "`{file}` could not be read or written ({reason}); check the disk and the folder's permissions; a running daemon then goes on by itself"
    )]
    Io {
        /// Name of the file.
        file: String,
        /// Error message of the operating system.
        reason: String,
    },
    /// Bytes that had been synced fail their check.
    #[error(
        "`{file}` is damaged at byte {offset} ({reason}); move the data folder away and start the daemon with an empty one: it then joins under a new identity and copies the state"
    )]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the damaged frame in the file, in bytes.
        offset: u64,
        /// Check that failed.
        reason: String,
    },
    /// The file has a format version that this daemon cannot read.
    #[error(
        "`{file}` has format version {found}, this daemon reads {known}; start the version that wrote it"
    )]
    Format {
        /// Name of the file.
        file: String,
        /// Version of the file.
        found: u16,
        /// Version that this daemon reads.
        known: u16,
    },
    /// The data folder for a restore already holds a replica.
    #[error("data folder `{folder}` already holds a replica; choose an empty folder")]
    NotEmpty {
        /// Path of the data folder.
        folder: String,
    },
}

impl StorageError {
    /// Converts an I/O error on `file`.
    pub fn from_io(file: &str, error: &io::Error) -> Self {
        let file = file.to_owned();
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io {
                file,
                reason: error.to_string(),
            },
        }
    }

    /// Makes a `Damaged` error for `file`.
    pub fn damaged(file: &str, offset: usize, reason: &str) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            reason: reason.to_owned(),
        }
    }
}
