use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Takes a state in through [`Hash`] and gives 128 bits: two lanes that begin differently. Keys are fixed,
/// so a state has the same print in every run of one build.
pub struct Printer {
    low: DefaultHasher,
    high: DefaultHasher,
}

impl Default for Printer {
    fn default() -> Printer {
        let (low, mut high) = (DefaultHasher::new(), DefaultHasher::new());
        // Without it both lanes would agree, and a print would be worth 64 bits only.
        high.write_u64(0x9e37_79b9_7f4a_7c15);
        Printer { low, high }
    }
}

impl Hasher for Printer {
    fn write(&mut self, bytes: &[u8]) {
        self.low.write(bytes);
        self.high.write(bytes);
    }

    fn finish(&self) -> u64 {
        self.low.finish()
    }
}

impl Printer {
    /// The 128 bits of all that was taken in.
    pub fn print(&self) -> u128 {
        (u128::from(self.high.finish()) << 64) | u128::from(self.low.finish())
    }
}

/// The print of one value.
pub fn print_of<T: Hash + ?Sized>(state: &T) -> u128 {
    let mut printer = Printer::default();
    state.hash(&mut printer);
    printer.print()
}

/// All orders of `0..count`: `order[old] = new`. The first one renames nothing.
pub fn orders(count: usize) -> Vec<Vec<usize>> {
    let mut all = vec![vec![]];
    for _ in 0..count {
        all = all
            .into_iter()
            .flat_map(|begun: Vec<usize>| {
                let rest: Vec<usize> = (0..count).filter(|id| !begun.contains(id)).collect();
                rest.into_iter().map(move |id| [begun.as_slice(), &[id]].concat())
            })
            .collect();
    }
    all
}

/// The least print over all `orders`, each renaming the state: one print for a whole class of renamed states.
pub fn least_print(orders: &[Vec<usize>], renamed: impl Fn(&[usize]) -> u128) -> u128 {
    orders.iter().map(|order| renamed(order)).min().unwrap_or_else(|| renamed(&[]))
}
