//! Functions that take the place of those of the C library in the program. Without the environment variable
//! that names the file of faults, and before a fault is set, they call the functions of the C library.

use crate::file::{Cells, FILE_VARIABLE, Fault, next_function};
use libc::{c_int, c_void, clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::path::Path;
use std::sync::OnceLock;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Errors of `accept4` that pass by themselves.
const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPROTO];

fn cells() -> Option<&'static Cells> {
    static CELLS: OnceLock<Option<&'static Cells>> = OnceLock::new();
    *CELLS.get_or_init(|| Cells::map(Path::new(&std::env::var_os(FILE_VARIABLE)?)).ok())
}

/// Sets the error number of the calling thread, and returns the result of a failed call.
fn fail(error: c_int) -> c_int {
    // SAFETY: the location of the error number of this thread is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn one_of(errors: &[c_int], cells: &Cells) -> c_int {
    errors[(cells.random() % errors.len() as u64) as usize]
}

/// Returns the function of the C library with this name, which is looked up once. Used in unsafe blocks
/// only: the type must be that with which the C library declares the function.
macro_rules! next {
    ($name:literal, $type:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let address = *FOUND.get_or_init(|| next_function($name) as usize);
        std::mem::transmute::<usize, $type>(address)
    }};
}

/// Takes the place of `accept4`.
///
/// # Safety
/// As for `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if let Some(cells) = cells().filter(|cells| cells.draws(Fault::Accept)) {
        return fail(one_of(&ACCEPT_ERRORS, cells));
    }
    // SAFETY: the caller meets the conditions of `accept4`.
    unsafe { next!("accept4", Accept4)(socket, address, length, flags) }
}

/// Decides what becomes of a transfer of up to `length` bytes: its length, or the error with which it fails.
fn transfer(length: size_t) -> Result<size_t, c_int> {
    let Some(cells) = cells() else { return Ok(length) };
    if cells.draws(Fault::Interruption) {
        Err(libc::EINTR)
    } else if cells.draws(Fault::ShortTransfer) {
        Ok(length.min(1))
    } else {
        Ok(length)
    }
}

/// Takes the place of `recv`.
///
/// # Safety
/// As for `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    match transfer(length) {
        // SAFETY: the caller meets the conditions of `recv`, and no more is read than it allows.
        Ok(length) => unsafe { next!("recv", Recv)(socket, buffer, length, flags) },
        Err(error) => fail(error) as ssize_t,
    }
}

/// Takes the place of `send`.
///
/// # Safety
/// As for `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    match transfer(length) {
        // SAFETY: the caller meets the conditions of `send`, and no more is sent than it has.
        Ok(length) => unsafe { next!("send", Send)(socket, buffer, length, flags) },
        Err(error) => fail(error) as ssize_t,
    }
}

/// Takes the place of `clock_gettime`.
///
/// # Safety
/// As for `clock_gettime`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    // SAFETY: the caller meets the conditions of `clock_gettime`.
    let result = unsafe { next!("clock_gettime", ClockGettime)(clock, time) };
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let step = cells().map_or(0, Cells::clock_step_ns);
        // SAFETY: the call before has filled in the time.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + step;
        time.tv_sec += nanos.div_euclid(NANOS_PER_SECOND) as libc::time_t;
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND) as _;
    }
    result
}
