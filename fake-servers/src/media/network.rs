//! The loopback addresses of a fleet, apart from those of any other fleet on this machine.

use super::listening::listen;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Every server listens at this port of its own address.
const PORT: u16 = 2_905;
/// Servers with addresses that share their first three octets.
const PER_NETWORK: usize = 250;
/// Second octets that fleets may have.
const FIRST: u8 = 60;
const LAST: u8 = 239;

/// All addresses 127.N.0.0/16 of one N, held until it is dropped.
#[derive(Debug)]
pub struct LoopbackNetwork {
    octet: u8,
    _claim: TcpListener,
}

impl LoopbackNetwork {
    /// One that no other fleet holds, of this process or another.
    ///
    /// # Errors
    /// If all are held, or the system does not allow to listen.
    pub fn claim() -> io::Result<LoopbackNetwork> {
        let mut refused =
            io::Error::other("no loopback network from 127.60.0.0/16 to 127.239.0.0/16 is free");
        for octet in FIRST..=LAST {
            match listen(SocketAddr::from((Ipv4Addr::new(127, octet, 255, 254), PORT))) {
                Ok(claim) => return Ok(LoopbackNetwork { octet, _claim: claim }),
                Err(error) => refused = error,
            }
        }
        Err(refused)
    }

    /// Where a server listens.
    pub fn server(&self, number: usize) -> SocketAddr {
        self.address((number / PER_NETWORK) as u8, (number % PER_NETWORK) as u8 + 1)
    }

    /// Where the session manager listens that these servers serve.
    pub fn manager(&self) -> SocketAddr {
        self.address(254, 1)
    }

    fn address(&self, third: u8, fourth: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.octet, third, fourth), PORT))
    }
}
