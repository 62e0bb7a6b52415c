//! What a process uses over time, observed from outside.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which a process is observed.
const INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// The highest values that were observed.
#[derive(Debug, Default)]
pub(crate) struct Peaks {
    /// Resident memory and unread bytes together, in kilobytes.
    memory_kb: AtomicU64,
    descriptors: AtomicU64,
}

impl Peaks {
    pub(crate) fn memory_kb(&self) -> u64 {
        self.memory_kb.load(Ordering::Relaxed)
    }

    pub(crate) fn descriptors(&self) -> u64 {
        self.descriptors.load(Ordering::Relaxed)
    }
}

/// Observes a process on a thread of its own until it is dropped, so that a busy test does not delay it.
pub(crate) struct Watch {
    pub(crate) peaks: Arc<Peaks>,
    is_done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Observes the process and what its listener at an address has received; returns after the first
    /// observation.
    pub(crate) fn start(process: u32, listener: SocketAddr) -> Self {
        let (peaks, is_done) = (Arc::<Peaks>::default(), Arc::<AtomicBool>::default());
        let (first, observed) = mpsc::channel();
        let (shared, end) = (Arc::clone(&peaks), Arc::clone(&is_done));
        let thread = std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let memory = resident_kb(process) + unread_bytes(listener) / 1_000;
                shared.memory_kb.fetch_max(memory, Ordering::Relaxed);
                shared
                    .descriptors
                    .fetch_max(descriptors(process), Ordering::Relaxed);
                // The test may not wait any more.
                let _ = first.send(());
                std::thread::sleep(INTERVAL);
            }
        });
        // Fails only if the thread has ended, which the peaks would show.
        let _ = observed.recv();
        Watch {
            peaks,
            is_done,
            thread: Some(thread),
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}

/// Returns the resident memory of a process in kilobytes; 0 if it has ended.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    resident.map_or(0, |text| {
        text.trim_end_matches("kB").trim().parse().unwrap_or(0)
    })
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
pub(crate) fn descriptors(process: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count) as u64
}

/// Returns how many bytes the connections of a listener have received that were not read, also of those
/// that were not accepted yet.
fn unread_bytes(listener: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = listener.ip() else {
        return 0;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", listener.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let of_line = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next() == Some(&local);
        let state = fields.nth(1);
        let (_, received) = fields.next()?.split_once(':')?;
        let is_connection = is_local && state != Some(LISTENING);
        is_connection.then(|| u64::from_str_radix(received, 16).ok())?
    };
    table.lines().filter_map(of_line).sum()
}
