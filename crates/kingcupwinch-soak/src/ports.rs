//! Ports that stay free while nobody listens: below those that connections are given.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port and how many there are; connections are given ports from 32,768 on.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 18_000;

/// Ports handed out by this process.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns the first of two free ports that follow each other.
pub(crate) fn free_pair() -> io::Result<u16> {
    // Two soaks at a time begin at different ports.
    let start = (std::process::id() % 90) as u16 * 200;
    for _ in 0..PORT_COUNT / 2 {
        let offset = NEXT_OFFSET.fetch_add(2, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        if is_free(port) && is_free(port + 1) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Returns an address of a free port.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, free_pair()?)))
}

fn is_free(port: u16) -> bool {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
}
