//! File that is mapped into the memory of the test and of the program: the faults that are set, and how often
//! each has come.

use std::ffi::CString;
use std::fs::File;
use std::io::{Error, Result};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// Environment variable that names the file.
pub(crate) const FILE_VARIABLE: &str = "MEADOWSTREAM_FAULTS";

/// Fault that a test can set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `accept4` fails with one of the errors that Linux documents for it.
    Accept,
    /// `recv` and `send` transfer a single byte.
    ShortTransfer,
    /// `recv` and `send` are interrupted by a signal before any byte is transferred.
    Interruption,
}

const FAULTS: usize = 3;

/// Contents of the file.
#[repr(C)]
pub(crate) struct Cells {
    seed: AtomicU64,
    /// Rate of each fault, in millionths of the calls.
    rates: [AtomicU64; FAULTS],
    /// Number of times that each fault has come.
    counts: [AtomicU64; FAULTS],
    /// Step of the wall clock, in nanoseconds.
    clock_step_ns: AtomicI64,
    /// Number of readings of the stepped wall clock.
    stepped_readings: AtomicU64,
}

impl Cells {
    /// Maps the file at `path` into memory, for the rest of the process.
    pub(crate) fn map(path: &Path) -> Result<&'static Cells> {
        let file = File::options().read(true).write(true).open(path)?;
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: the mapping is new, and the file has the size of `Cells`.
        let address = unsafe {
            let size = size_of::<Cells>();
            libc::mmap(std::ptr::null_mut(), size, protection, libc::MAP_SHARED, file.as_raw_fd(), 0)
        };
        if address == libc::MAP_FAILED {
            return Err(Error::last_os_error());
        }
        // SAFETY: the mapping is aligned to a page, is never unmapped, and `Cells` has atomic fields only.
        Ok(unsafe { &*address.cast::<Cells>() })
    }

    /// Draws whether a fault comes now, and counts it.
    pub(crate) fn draws(&self, fault: Fault) -> bool {
        let rate = self.rates[fault as usize].load(Relaxed);
        let comes = rate > 0 && self.random() % 1_000_000 < rate;
        self.counts[fault as usize].fetch_add(u64::from(comes), Relaxed);
        comes
    }

    /// Returns a pseudorandom number (SplitMix64).
    pub(crate) fn random(&self) -> u64 {
        let state = self.seed.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the step of the wall clock in nanoseconds, and counts the reading if there is one.
    pub(crate) fn clock_step_ns(&self) -> i64 {
        let step = self.clock_step_ns.load(Relaxed);
        self.stepped_readings.fetch_add(u64::from(step != 0), Relaxed);
        step
    }
}

/// Faults of one child process. The file is removed when this value is dropped.
pub struct FaultFile {
    path: PathBuf,
    cells: &'static Cells,
}

impl FaultFile {
    /// Creates a file without faults. The faults are drawn from `seed`.
    pub fn create(path: &Path, seed: u64) -> Result<FaultFile> {
        File::create(path)?.set_len(size_of::<Cells>() as u64)?;
        let cells = Cells::map(path)?;
        cells.seed.store(seed, Relaxed);
        Ok(FaultFile { path: path.to_path_buf(), cells })
    }

    /// Returns the environment variables with which the program is started.
    pub fn environment(&self) -> Result<Vec<(String, String)>> {
        let library = library()?.display().to_string();
        let file = self.path.display().to_string();
        Ok(vec![("LD_PRELOAD".to_string(), library), (FILE_VARIABLE.to_string(), file)])
    }

    /// Sets the rate of a fault, from 0 to 1.
    pub fn set_rate(&self, fault: Fault, rate: f64) {
        self.cells.rates[fault as usize].store((rate * 1e6) as u64, Relaxed);
    }

    /// Steps the wall clock of the program. The step counts from the true time. The monotonic clock runs on.
    pub fn step_clock(&self, step_ms: i64) {
        self.cells.clock_step_ns.store(step_ms * 1_000_000, Relaxed);
    }

    /// Returns how often a fault has come.
    pub fn count(&self, fault: Fault) -> u64 {
        self.cells.counts[fault as usize].load(Relaxed)
    }

    /// Returns how often the program has read its stepped wall clock.
    pub fn stepped_readings(&self) -> u64 {
        self.cells.stepped_readings.load(Relaxed)
    }
}

impl Drop for FaultFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns the path of the preloaded library, which the build puts beside the test's program.
fn library() -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let name = "libmeadowstream_fault_shim.so";
    let places = [folder.join(name), folder.join("deps").join(name), folder.join("..").join(name)];
    let found = places.into_iter().find(|place| place.exists());
    found.ok_or_else(|| Error::other(format!("{name} is not beside {}", program.display())))
}

/// Returns the address of the function of the C library with this name.
pub(crate) fn next_function(name: &str) -> *mut libc::c_void {
    let name = CString::new(name).unwrap_or_default();
    // SAFETY: the name is a string that ends with zero.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}
