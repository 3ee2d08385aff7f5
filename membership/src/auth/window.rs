//! Replay protection: which datagram counters of one instance have been accepted already.

const WORDS: usize = 4;

/// Counters that are tracked below the highest; older ones count as seen. In a cluster of 200, a member sends
/// about ten datagrams per second, so a datagram may be about twenty seconds late.
pub const WINDOW: u64 = 64 * WORDS as u64;

/// The highest counter seen and, for each of the `WINDOW` counters up to it, whether it was seen.
/// The method is that of IPsec's anti-replay service (Kent 2005, RFC 4303, section 3.4.3).
#[derive(Clone, Debug)]
pub struct Window {
    highest: u64,
    /// Bit `n % WINDOW` says whether counter n was seen.
    seen: [u64; WORDS],
}

impl Window {
    /// A window in which all counters up to `counter` count as seen. What an instance sent before it was
    /// verified is never accepted later; otherwise recorded datagrams could be replayed after its
    /// verification.
    pub fn closed_at(counter: u64) -> Window {
        Window { highest: counter, seen: [u64::MAX; WORDS] }
    }

    /// The highest counter seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Marks a counter as seen. True once for each counter that is not older than the window.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let steps = (counter - self.highest).min(WINDOW);
            for back in 0..steps {
                self.set(counter - back, false);
            }
            self.highest = counter;
        } else if self.highest - counter >= WINDOW || self.has(counter) {
            return false;
        }
        self.set(counter, true);
        true
    }

    fn has(&self, counter: u64) -> bool {
        let bit_index = counter % WINDOW;
        self.seen[(bit_index / 64) as usize] >> (bit_index % 64) & 1 == 1
    }

    fn set(&mut self, counter: u64, seen: bool) {
        let bit_index = counter % WINDOW;
        let (word, bit) = (&mut self.seen[(bit_index / 64) as usize], 1 << (bit_index % 64));
        *word = if seen { *word | bit } else { *word & !bit };
    }
}
