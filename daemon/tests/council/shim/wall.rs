//! Put before the system's library by the tests of `../clock.rs`: wall time, as anything in the process reads
//! it, is off by so many seconds as the file named in WALL_OFF tells at that moment. All other clocks are whole.

use std::ffi::{c_int, c_long};

#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanos: i64,
}

extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
}

#[cfg(target_arch = "x86_64")]
const CLOCK_GETTIME: c_long = 228;
#[cfg(target_arch = "aarch64")]
const CLOCK_GETTIME: c_long = 113;
/// Wall time, exact and coarse.
const WALL: [c_int; 2] = [0, 5];

/// # Safety
/// As the system's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, to: *mut Timespec) -> c_int {
    let done = syscall(CLOCK_GETTIME, c_long::from(clock), to);
    if done == 0 && WALL.contains(&clock) {
        let told = std::env::var_os("WALL_OFF").and_then(|it| std::fs::read_to_string(it).ok());
        (*to).seconds += told.and_then(|it| it.trim().parse::<i64>().ok()).unwrap_or(0);
    }
    done as c_int
}
