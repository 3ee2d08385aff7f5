//! Which core gets the next connection: the one that has the fewest for its room. The owner of placement has
//! less room, since every decision is made there.

/// A set-up's work at the owner over its work at the core that holds the connection, as measured
/// (docs/several-cores.md): by it the owner's room is what an even share of all work leaves it.
const OWNERS_WORK: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct ConnectionBalancer {
    room: Vec<f64>,
}

impl ConnectionBalancer {
    /// For so many cores, of which the first owns placement.
    pub fn new(cores: usize) -> ConnectionBalancer {
        let even = (1.0 + OWNERS_WORK) / cores.max(1) as f64;
        let owner = (even - OWNERS_WORK).max(0.0);
        let other = (1.0 - owner) / (cores.max(2) - 1) as f64;
        ConnectionBalancer { room: (0..cores.max(1)).map(|it| if it == 0 { owner } else { other }).collect() }
    }

    /// The core for the next connection, by how many each has open; those that stand still are passed over,
    /// unless all do.
    pub fn next(&self, open: &[usize], still: &[bool]) -> usize {
        let filled = |it: &usize| {
            let room = self.room[*it].max(1e-9);
            (open.get(*it).copied().unwrap_or(0) as f64 + 1.0) / room
        };
        let moves = |it: &usize| !still.get(*it).copied().unwrap_or(false);
        let all = 0..self.room.len();
        let able: Vec<usize> = all.clone().filter(moves).collect();
        let from = if able.is_empty() { all.collect() } else { able };
        from.into_iter().min_by(|a, b| filled(a).total_cmp(&filled(b))).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn given(cores: usize, still: &[bool]) -> Vec<usize> {
        let spread = ConnectionBalancer::new(cores);
        let mut open = vec![0; cores];
        for _ in 0..100 {
            let core = spread.next(&open, still);
            open[core] += 1;
        }
        open
    }

    #[test_case(1, &[] => vec![100]; "one core has all")]
    #[test_case(2, &[] => vec![25, 75]; "the owner of two has a quarter")]
    #[test_case(4, &[] => vec![0, 34, 33, 33]; "the owner of four has none")]
    #[test_case(4, &[false, true] => vec![0, 0, 50, 50]; "none for one that stands still")]
    #[test_case(2, &[true, true] => vec![25, 75]; "unless all do")]
    fn connections_are_spread(cores: usize, still: &[bool]) -> Vec<usize> {
        given(cores, still)
    }

    #[test]
    fn what_closes_is_given_again() {
        assert_eq!(ConnectionBalancer::new(3).next(&[0, 40, 39], &[]), 2);
    }
}
