//! Storage errors; each message names the remedy.

use std::io;

use thiserror::Error;

/// Why durable storage cannot be used.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum StorageError {
    /// Another process holds the folder.
    #[error(
        "data folder `{folder}` is in use by another daemon; stop that daemon or choose another folder"
    )]
    Locked {
        /// The folder.
        folder: String,
    },
    /// No space is left.
    #[error(
        "no space is left for `{file}`; nothing of this step was acknowledged: free space in the data folder and restart the daemon"
    )]
    Full {
        /// File being written.
        file: String,
    },
    /// The operating system refused an operation.
    #[error(
        "`{file}` could not be read or written ({reason}); check the disk and the folder's permissions, then restart the daemon"
    )]
    Io {
        /// File concerned.
        file: String,
        /// Message of the operating system.
        reason: String,
    },
    /// Synced bytes have changed.
    #[error(
        "`{file}` is damaged at byte {offset} ({reason}); move the data folder away and start the daemon with an empty one: it then joins under a new identity and copies the state"
    )]
    Damaged {
        /// File concerned.
        file: String,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// What does not fit.
        reason: String,
    },
    /// Another version wrote the file.
    #[error(
        "`{file}` has format version {found}, this daemon reads {known}; start the version that wrote it"
    )]
    Format {
        /// File concerned.
        file: String,
        /// Version found.
        found: u16,
        /// Version that this daemon reads.
        known: u16,
    },
    /// The folder to be restored into is not empty.
    #[error("data folder `{folder}` already holds a replica; choose an empty folder")]
    NotEmpty {
        /// The folder.
        folder: String,
    },
}

impl StorageError {
    /// Describes an error of the operating system on `file`.
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

    /// Describes damage.
    pub fn damaged(file: &str, offset: usize, reason: &str) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            reason: reason.to_owned(),
        }
    }
}
