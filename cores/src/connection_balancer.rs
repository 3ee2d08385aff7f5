//! Decides which core gets the next connection: the one with the fewest relative to its capacity. The owner
//! of placement has less capacity, since it makes every decision.

/// A set-up's work at the owner relative to its work at the core that holds the connection, as measured
/// (docs/several-cores.md). The owner's capacity is what remains of an even share of all work.
const OWNER_WORK: f64 = 0.5;

/// Spreads connections over cores.
#[derive(Clone, Debug)]
pub struct ConnectionBalancer {
    /// The share of all connections that each core should have.
    capacity: Vec<f64>,
}

impl ConnectionBalancer {
    /// A balancer for this number of cores, of which the first owns placement.
    pub fn new(cores: usize) -> ConnectionBalancer {
        let even = (1.0 + OWNER_WORK) / cores.max(1) as f64;
        let owner = (even - OWNER_WORK).max(0.0);
        let other = (1.0 - owner) / (cores.max(2) - 1) as f64;
        let capacity = (0..cores.max(1)).map(|core| if core == 0 { owner } else { other }).collect();
        ConnectionBalancer { capacity }
    }

    /// The core for the next connection, by the number of open connections of each. Stalled cores are
    /// skipped, unless all are stalled.
    pub fn next(&self, open: &[usize], stalled: &[bool]) -> usize {
        let utilization = |core: &usize| {
            let capacity = self.capacity[*core].max(1e-9);
            (open.get(*core).copied().unwrap_or(0) as f64 + 1.0) / capacity
        };
        let responsive = |core: &usize| !stalled.get(*core).copied().unwrap_or(false);
        let all = 0..self.capacity.len();
        let candidates: Vec<usize> = all.clone().filter(responsive).collect();
        let candidates = if candidates.is_empty() { all.collect() } else { candidates };
        let by_utilization = |a: &usize, b: &usize| utilization(a).total_cmp(&utilization(b));
        candidates.into_iter().min_by(by_utilization).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn connections_per_core(cores: usize, stalled: &[bool]) -> Vec<usize> {
        let balancer = ConnectionBalancer::new(cores);
        let mut open = vec![0; cores];
        for _ in 0..100 {
            let core = balancer.next(&open, stalled);
            open[core] += 1;
        }
        open
    }

    #[test_case(1, &[] => vec![100]; "one core has all")]
    #[test_case(2, &[] => vec![25, 75]; "the owner of two has a quarter")]
    #[test_case(4, &[] => vec![0, 34, 33, 33]; "the owner of four has none")]
    #[test_case(4, &[false, true] => vec![0, 0, 50, 50]; "none for a stalled core")]
    #[test_case(2, &[true, true] => vec![25, 75]; "unless all are stalled")]
    fn connections_are_balanced(cores: usize, stalled: &[bool]) -> Vec<usize> {
        connections_per_core(cores, stalled)
    }

    #[test]
    fn a_core_whose_connection_closed_gets_the_next() {
        assert_eq!(ConnectionBalancer::new(3).next(&[0, 40, 39], &[]), 2);
    }
}
