//! Which counters of one instance have been opened already.

const WORDS: usize = 4;

/// So many counters back are told apart; older ones count as seen. A member of 200 sends some ten datagrams
/// a second, so that a datagram may be late by some twenty seconds.
pub const WINDOW: u64 = 64 * WORDS as u64;

/// The highest counter seen and, for each of the `WINDOW` counters up to it, whether it was seen.
/// (The way of IPsec's anti-replay service: Kent 2005, RFC 4303, section 3.4.3.)
#[derive(Clone, Debug)]
pub struct Window {
    highest: u64,
    /// Bit `n % WINDOW` stands for counter n.
    seen: [u64; WORDS],
}

impl Window {
    /// A window in which all up to `counter` counts as seen: what was sent before a instance was believed is
    /// never opened later, or a recorded datagram could follow the proof of another.
    pub fn closed_at(counter: u64) -> Window {
        Window { highest: counter, seen: [u64::MAX; WORDS] }
    }

    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// True once for each counter that is neither seen nor older than the window.
    pub fn take(&mut self, counter: u64) -> bool {
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
        let at = counter % WINDOW;
        self.seen[(at / 64) as usize] >> (at % 64) & 1 == 1
    }

    fn set(&mut self, counter: u64, seen: bool) {
        let at = counter % WINDOW;
        let (word, bit) = (&mut self.seen[(at / 64) as usize], 1 << (at % 64));
        *word = if seen { *word | bit } else { *word & !bit };
    }
}
