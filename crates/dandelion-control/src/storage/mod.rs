//! Durable storage of one replica: a log file and a snapshot file in one data folder.

pub mod disk;
pub mod error;
pub mod frame;
pub mod log_file;
pub mod recover;
pub mod restore;
pub mod snapshot_file;
pub mod store;

pub use disk::Disk;
pub use disk::FolderDisk;
pub use error::StorageError;
pub use recover::Recovered;
pub use store::DiskStorage;
pub use store::FileStorage;
pub use store::Storage;
