//! The file operations that storage needs, so that tests can substitute a simulated disk.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use fs4::fs_std::FileExt;

use crate::storage::error::StorageError;

const LOCK_FILE: &str = "lock";

/// Files in one folder. Content is durable only after `sync`, file names only after `sync_folder`.
pub trait Disk {
    /// Returns the name of the folder for messages.
    fn name(&self) -> String;
    /// Reads a complete file; `None` if it does not exist.
    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, replacing an existing one.
    fn create(&mut self, file: &str) -> io::Result<()>;
    /// Appends bytes to an existing file.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Syncs the content of a file.
    fn sync(&mut self, file: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing one of that name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the folder: creations and renames.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, locked against other processes while it is open.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    handles: BTreeMap<String, File>,
    _lock: File,
}

impl FolderDisk {
    /// Creates the folder if needed and locks it.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let name = folder.display().to_string();
        let failed = |error: io::Error| StorageError::from_io(&name, &error);
        fs::create_dir_all(folder).map_err(failed)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))
            .map_err(failed)?;
        if !FileExt::try_lock_exclusive(&lock).map_err(failed)? {
            return Err(StorageError::Locked { folder: name });
        }
        Ok(Self {
            folder: folder.to_owned(),
            handles: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn handle(&mut self, file: &str) -> io::Result<&mut File> {
        if !self.handles.contains_key(file) {
            let path = self.folder.join(file);
            let opened = OpenOptions::new().append(true).open(path)?;
            self.handles.insert(file.to_owned(), opened);
        }
        let held = self.handles.get_mut(file);
        held.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for FolderDisk {
    fn name(&self) -> String {
        self.folder.display().to_string()
    }

    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.folder.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        self.handles.remove(file);
        File::create(self.folder.join(file))?;
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(file)?.write_all(bytes)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.handle(file)?.set_len(length)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.handle(file)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))?;
        self.handles.remove(to);
        if let Some(handle) = self.handles.remove(from) {
            self.handles.insert(to.to_owned(), handle);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
