//! Files that are there whole or not at all, and there to stay.

use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// Written beside its place, synced, and renamed into it; then the folder is synced.
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

/// Removed, if it is there.
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
