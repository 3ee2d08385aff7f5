//! A model of one direction of a network link: when data that is sent arrives, and whether it does. It performs
//! no I/O; the current time is an argument, in milliseconds.

/// A direction of a relayed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the client that connects to the target address.
    Forward,
    /// From the target address to the client.
    Reverse,
}

/// The faults on one direction of a link. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NetworkCondition {
    /// Nothing arrives. Data of a TCP connection waits until the cut ends, as TCP would retransmit it;
    /// datagrams are lost.
    pub cut: bool,
    /// Open connections are reset, and so are new ones.
    pub reset: bool,
    /// Added latency, in milliseconds.
    pub delay_ms: f64,
    /// Fraction of datagrams that are lost. The same fraction of the chunks of a TCP connection arrives late,
    /// since it is retransmitted.
    pub loss_rate: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicate_rate: f64,
    /// Fraction of datagrams that are held back so that later ones can overtake them.
    pub reorder_rate: f64,
}

impl NetworkCondition {
    /// The condition of a link with the faults of both. Delays add up, losses are independent of each other,
    /// and of the other rates the higher one counts.
    pub fn combine(self, other: NetworkCondition) -> NetworkCondition {
        NetworkCondition {
            cut: self.cut || other.cut,
            reset: self.reset || other.reset,
            delay_ms: self.delay_ms + other.delay_ms,
            loss_rate: 1.0 - (1.0 - self.loss_rate) * (1.0 - other.loss_rate),
            duplicate_rate: self.duplicate_rate.max(other.duplicate_rate),
            reorder_rate: self.reorder_rate.max(other.reorder_rate),
        }
    }
}

/// Delay before the first retransmission of a lost TCP chunk; it doubles for each further one (RFC 6298). This
/// is the minimum retransmission timeout of Linux.
const RETRANSMISSION_TIMEOUT_MS: f64 = 200.0;
/// How many times in a row a TCP chunk may be lost.
const MAX_CONSECUTIVE_LOSSES: u32 = 6;
/// Maximum extra delay of a datagram that is reordered.
const MAX_REORDER_DELAY_MS: f64 = 60.0;

/// One direction of a link, with random faults drawn from a seed.
pub struct ImpairedLink {
    rng: fastrand::Rng,
    condition: NetworkCondition,
    /// Arrival time of the latest TCP chunk, in milliseconds.
    last_arrival_ms: f64,
}

impl ImpairedLink {
    /// A link without faults.
    pub fn new(seed: u64) -> ImpairedLink {
        ImpairedLink {
            rng: fastrand::Rng::with_seed(seed),
            condition: NetworkCondition::default(),
            last_arrival_ms: f64::MIN,
        }
    }

    /// The current faults.
    pub fn condition(&self) -> NetworkCondition {
        self.condition
    }

    /// Replaces the faults. Arrival times that were already computed stay.
    pub fn set_condition(&mut self, condition: NetworkCondition) {
        self.condition = condition;
    }

    /// Sends a chunk of a TCP connection at `now_ms`. Returns its arrival time in milliseconds, never before
    /// that of an earlier chunk, and whether it was lost at first and had to be retransmitted.
    pub fn send_chunk(&mut self, now_ms: f64) -> (f64, bool) {
        let mut arrival_ms = now_ms + self.condition.delay_ms;
        let mut timeout_ms = RETRANSMISSION_TIMEOUT_MS;
        for _ in 0..MAX_CONSECUTIVE_LOSSES {
            if self.rng.f64() >= self.condition.loss_rate {
                break;
            }
            arrival_ms += timeout_ms;
            timeout_ms *= 2.0;
        }
        self.last_arrival_ms = self.last_arrival_ms.max(arrival_ms);
        (self.last_arrival_ms, timeout_ms > RETRANSMISSION_TIMEOUT_MS)
    }

    /// Sends a datagram at `now_ms`. Returns the arrival times of its copies in milliseconds; none if it is
    /// lost.
    pub fn send_datagram(&mut self, now_ms: f64) -> Vec<f64> {
        if self.condition.cut || self.rng.f64() < self.condition.loss_rate {
            return Vec::new();
        }
        let arrival_ms = |rng: &mut fastrand::Rng| {
            let reordered = rng.f64() < self.condition.reorder_rate;
            now_ms + self.condition.delay_ms + if reordered { rng.f64() * MAX_REORDER_DELAY_MS } else { 0.0 }
        };
        let mut arrivals_ms = vec![arrival_ms(&mut self.rng)];
        if self.rng.f64() < self.condition.duplicate_rate {
            arrivals_ms.push(arrival_ms(&mut self.rng));
        }
        arrivals_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const CUT: NetworkCondition = NetworkCondition {
        cut: true,
        reset: false,
        delay_ms: 0.0,
        loss_rate: 0.0,
        duplicate_rate: 0.0,
        reorder_rate: 0.0,
    };

    fn link_with(condition: NetworkCondition) -> ImpairedLink {
        let mut link = ImpairedLink::new(7);
        link.set_condition(condition);
        link
    }

    #[test_case(NetworkCondition::default(), 1000..=1000; "no faults")]
    #[test_case(CUT, 0..=0; "cut")]
    #[test_case(NetworkCondition { loss_rate: 0.2, ..NetworkCondition::default() }, 750..=850; "a fifth is lost")]
    #[test_case(NetworkCondition { duplicate_rate: 0.5, ..NetworkCondition::default() }, 1450..=1550; "half is duplicated")]
    fn datagrams_arrive_at_the_rates_of_the_condition(
        condition: NetworkCondition,
        expected: std::ops::RangeInclusive<usize>,
    ) {
        let mut link = link_with(condition);
        let count: usize = (0..1000).map(|now_ms| link.send_datagram(f64::from(now_ms)).len()).sum();
        assert!(expected.contains(&count), "{count}");
    }

    #[test]
    fn datagrams_are_reordered_only_with_a_reorder_rate() {
        let overtakings = |condition| {
            let mut link = link_with(condition);
            let arrivals: Vec<f64> =
                (0..1000).flat_map(|now_ms| link.send_datagram(f64::from(now_ms))).collect();
            arrivals.windows(2).filter(|pair| pair[0] > pair[1]).count()
        };
        assert_eq!(overtakings(NetworkCondition { delay_ms: 30.0, ..NetworkCondition::default() }), 0);
        assert!(overtakings(NetworkCondition { reorder_rate: 0.3, ..NetworkCondition::default() }) > 100);
    }

    #[test]
    fn lost_chunks_arrive_late_and_in_order() {
        let mut link =
            link_with(NetworkCondition { loss_rate: 0.1, delay_ms: 5.0, ..NetworkCondition::default() });
        let arrivals: Vec<f64> = (0..1000).map(|index| link.send_chunk(f64::from(index) * 10.0).0).collect();
        assert!(arrivals.windows(2).all(|pair| pair[0] <= pair[1]));
        assert_eq!(arrivals[0], 5.0);
        let late = arrivals
            .iter()
            .enumerate()
            .filter(|(index, arrival)| **arrival > *index as f64 * 10.0 + 100.0)
            .count();
        assert!((500..=990).contains(&late), "{late}: a lost chunk delays those behind it");
    }

    #[test]
    fn combined_conditions_have_the_faults_of_both() {
        let combined = NetworkCondition { delay_ms: 5.0, loss_rate: 0.5, ..NetworkCondition::default() }
            .combine(NetworkCondition { delay_ms: 7.0, loss_rate: 0.5, ..CUT });
        assert_eq!((combined.delay_ms, combined.loss_rate, combined.cut), (12.0, 0.75, true));
    }
}
