//! Messages between holders and councillors, and the payload that each member sends to all. Each fits 900
//! bytes.

use crate::error::LeaseError;
use crate::ids::{Epoch, InstanceId, Slot};
use serde::{Deserialize, Serialize};

/// Slots in one message: 8 bytes each at most, 784 with the other fields.
pub const SLOTS_PER_PAGE: usize = 96;

/// A holder's request to renew the leases of these slots. All councillors get the same page with the same
/// number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Renew {
    pub instance: InstanceId,
    pub number: u32,
    pub slots: Vec<(Slot, Epoch)>,
}

impl Renew {
    /// The bytes of the encoded message, or 0 if it can't be encoded.
    pub fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}

/// A councillor's answer: it renewed all slots of the request except the refused ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Renewed {
    pub instance: InstanceId,
    pub number: u32,
    pub refused: Vec<Slot>,
}

/// A holder no longer uses these slots, and never will under these epochs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    pub instance: InstanceId,
    pub slots: Vec<(Slot, Epoch)>,
}

/// What a member tells all others along with its probes: its demand, and the slots that it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Arrivals per second at this member, in thousandths.
    pub need: u32,
    /// Slots that it holds.
    pub held: u16,
}

impl Demand {
    /// Encodes it, in 8 bytes at most.
    ///
    /// # Errors
    /// [`LeaseError::TooLong`] if it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseError> {
        postcard::to_allocvec(self).map_err(|_| LeaseError::TooLong { bytes: 0 })
    }

    /// Decodes it. Further bytes are from a later version and are ignored.
    ///
    /// # Errors
    /// [`LeaseError::Demand`] if it is truncated.
    pub fn decode(bytes: &[u8]) -> Result<Demand, LeaseError> {
        let (demand, _) =
            postcard::take_from_bytes(bytes).map_err(|_| LeaseError::Demand { bytes: bytes.len() })?;
        Ok(demand)
    }
}
