//! Writes and removes files so that changes survive a crash. A crash during a write leaves either the
//! complete old file or the complete new file.

use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// Writes a file atomically. Writes a temporary file with the suffix `.new`, syncs it to disk, renames it to
/// `path`, and syncs the directory.
pub fn write(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut temporary = path.as_os_str().to_os_string();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    sync_directory(path)
}

/// Removes the file at `path` if it exists, and syncs its directory to disk.
pub fn remove(path: &Path) -> Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => sync_directory(path),
    }
}

fn sync_directory(path: &Path) -> Result<()> {
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    std::fs::File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}
