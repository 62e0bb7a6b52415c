//! Free ports below the ephemeral range, so that no outgoing connection takes one before a program
//! listens on it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port and size of the range; it ends below 32,768, where ephemeral ports begin.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 18_000;

/// Number of ports handed out by this process.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns the first of two adjacent free ports.
pub(crate) fn free_pair() -> io::Result<u16> {
    // Makes concurrent soak processes start at different ports.
    let start = (std::process::id() % 90) as u16 * 200;
    for _ in 0..PORT_COUNT / 2 {
        let offset = NEXT_OFFSET.fetch_add(2, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        if is_free(port) && is_free(port + 1) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no two adjacent ports are free"))
}

/// Returns a loopback address with a free port.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, free_pair()?)))
}

fn is_free(port: u16) -> bool {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
}
