//! The few system calls that the standard library does not offer.

use std::net::TcpStream;
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command};
use std::sync::Mutex;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a program that ends with this one, however this one ends.
pub fn start(command: &mut Command) -> std::io::Result<Child> {
    let end_with_parent = || {
        unsafe { prctl(1, SIGKILL as u64, 0, 0, 0) };
        Ok(())
    };
    let child = unsafe { command.pre_exec(end_with_parent) }.spawn()?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}

/// Ends all programs that were started and not waited for.
pub fn end_started() {
    STARTED.lock().unwrap().drain(..).for_each(|pid| signal(pid, SIGKILL));
}

/// Notes that a program has been waited for: its number may be another's by now.
pub fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// Lets the next close of the socket send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

/// Waits until the descriptor is readable; returns whether it is.
pub fn readable(fd: RawFd, timeout_ms: i32) -> bool {
    let mut entry = PollFd { fd, events: 1, revents: 0 };
    unsafe { poll(&mut entry, 1, timeout_ms) > 0 }
}
