//! What a holder and a councillor say to each other, and what every member tells all. Each fits 900 bytes.

use crate::ids::{Epoch, InstanceId, Slot};
use crate::trouble::LeaseError;
use serde::{Deserialize, Serialize};

/// Slots in one message: 8 bytes each at most, 784 with the rest.
pub const PAGE: usize = 96;

/// A holder asks a councillor to go on holding these. The number is one page's; all councillors get the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Renew {
    pub instance: InstanceId,
    pub number: u32,
    pub slots: Vec<(Slot, Epoch)>,
}

impl Renew {
    /// How long it is as a message; 0 if it cannot be written.
    pub fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}

/// A councillor's answer: all that was asked is granted but these.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Renewed {
    pub instance: InstanceId,
    pub number: u32,
    pub refused: Vec<Slot>,
}

/// A holder no longer uses these and never will under that epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    pub instance: InstanceId,
    pub slots: Vec<(Slot, Epoch)>,
}

/// What a member tells all others with its probes: what it has to send, and what it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Own arrivals a second, in thousandths.
    pub need: u32,
    pub held: u16,
}

impl Demand {
    /// 8 bytes at most.
    ///
    /// # Errors
    /// [`LeaseError::Written`] if it cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseError> {
        postcard::to_allocvec(self).map_err(|_| LeaseError::Written { bytes: 0 })
    }

    /// Bytes after it are a later version's and are let be.
    ///
    /// # Errors
    /// [`LeaseError::Demand`] if it is cut.
    pub fn decode(bytes: &[u8]) -> Result<Demand, LeaseError> {
        let read = postcard::take_from_bytes(bytes).map_err(|_| LeaseError::Demand { bytes: bytes.len() })?;
        Ok(read.0)
    }
}
