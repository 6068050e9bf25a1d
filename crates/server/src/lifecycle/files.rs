//! Durable files that are complete or not there at all.

use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// Writes a file beside its place, syncs it and renames it into its place; then syncs the folder.
pub fn write(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut beside = path.as_os_str().to_os_string();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    sync_folder(path)
}

/// Removes a file, if it is there, and syncs the folder.
pub fn remove(path: &Path) -> Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => sync_folder(path),
    }
}

fn sync_folder(path: &Path) -> Result<()> {
    let folder = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    std::fs::File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
