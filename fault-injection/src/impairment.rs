//! What a wire does to what goes over it, for each direction apart. No I/O: the time is an argument, in
//! milliseconds.

/// A direction, as seen by who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    Forward,
    Reverse,
}

/// How one direction of a wire is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NetworkCondition {
    /// Nothing comes through; what is on its way waits, as TCP would send it again, or is lost, if it is a
    /// datagram.
    pub cut: bool,
    /// Connections are reset, those that come anew as well.
    pub reset: bool,
    /// All comes so much later, in milliseconds.
    pub delay_ms: f64,
    /// Part of the datagrams that is lost. Of a connection's pieces that part comes late, since it is sent
    /// again.
    pub loss_rate: f64,
    /// Part of the datagrams that comes twice.
    pub duplicate_rate: f64,
    /// Part of the datagrams that is overtaken by later ones.
    pub reorder_rate: f64,
}

impl NetworkCondition {
    /// Both at once.
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

/// What is lost on a connection is sent again after so long, each further time after twice as long (RFC 6298,
/// the least that Linux waits).
const SENT_AGAIN: f64 = 200.0;
/// So often a piece may be lost in a row.
const MOST_LOSSES: u32 = 6;
/// A datagram that is overtaken comes later by up to so much.
const OVERTAKEN: f64 = 60.0;

/// One direction of a wire.
pub struct ImpairedLink {
    rng: fastrand::Rng,
    condition: NetworkCondition,
    /// When the last piece of a connection was through.
    last: f64,
}

impl ImpairedLink {
    pub fn new(seed: u64) -> ImpairedLink {
        ImpairedLink {
            rng: fastrand::Rng::with_seed(seed),
            condition: NetworkCondition::default(),
            last: f64::MIN,
        }
    }

    pub fn condition(&self) -> NetworkCondition {
        self.condition
    }

    pub fn set(&mut self, condition: NetworkCondition) {
        self.condition = condition;
    }

    /// When a connection's piece that comes now is through, never before one that came earlier; and whether
    /// it is lost at first and has to be sent again.
    pub fn piece(&mut self, now: f64) -> (f64, bool) {
        let mut due = now + self.condition.delay_ms;
        let mut again = SENT_AGAIN;
        for _ in 0..MOST_LOSSES {
            if self.rng.f64() >= self.condition.loss_rate {
                break;
            }
            due += again;
            again *= 2.0;
        }
        self.last = self.last.max(due);
        (self.last, again > SENT_AGAIN)
    }

    /// When the copies of a datagram that comes now are through; none if it is lost.
    pub fn datagram(&mut self, now: f64) -> Vec<f64> {
        if self.condition.cut || self.rng.f64() < self.condition.loss_rate {
            return Vec::new();
        }
        let through = |rng: &mut fastrand::Rng| {
            let overtaken = rng.f64() < self.condition.reorder_rate;
            now + self.condition.delay_ms + if overtaken { rng.f64() * OVERTAKEN } else { 0.0 }
        };
        let mut copies = vec![through(&mut self.rng)];
        if self.rng.f64() < self.condition.duplicate_rate {
            copies.push(through(&mut self.rng));
        }
        copies
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

    fn wire(condition: NetworkCondition) -> ImpairedLink {
        let mut wire = ImpairedLink::new(7);
        wire.set(condition);
        wire
    }

    #[test_case(NetworkCondition::default(), 1000..=1000; "a whole wire")]
    #[test_case(CUT, 0..=0; "a cut one")]
    #[test_case(NetworkCondition { loss_rate: 0.2, ..NetworkCondition::default() }, 750..=850; "one that loses a fifth")]
    #[test_case(NetworkCondition { duplicate_rate: 0.5, ..NetworkCondition::default() }, 1450..=1550; "one that doubles half")]
    fn datagrams_come_through(condition: NetworkCondition, expected: std::ops::RangeInclusive<usize>) {
        let mut wire = wire(condition);
        let count: usize = (0..1000).map(|it| wire.datagram(f64::from(it)).len()).sum();
        assert!(expected.contains(&count), "{count}");
    }

    #[test]
    fn datagrams_overtake_one_another_only_where_told() {
        let swaps = |condition| {
            let mut wire = wire(condition);
            let through: Vec<f64> = (0..1000).flat_map(|it| wire.datagram(f64::from(it))).collect();
            through.windows(2).filter(|it| it[0] > it[1]).count()
        };
        assert_eq!(swaps(NetworkCondition { delay_ms: 30.0, ..NetworkCondition::default() }), 0);
        assert!(swaps(NetworkCondition { reorder_rate: 0.3, ..NetworkCondition::default() }) > 100);
    }

    #[test]
    fn pieces_stay_in_order_and_some_come_late() {
        let mut wire =
            wire(NetworkCondition { loss_rate: 0.1, delay_ms: 5.0, ..NetworkCondition::default() });
        let through: Vec<f64> = (0..1000).map(|it| wire.piece(f64::from(it) * 10.0).0).collect();
        assert!(through.windows(2).all(|it| it[0] <= it[1]));
        assert_eq!(through[0], 5.0);
        let late = through.iter().enumerate().filter(|it| *it.1 > it.0 as f64 * 10.0 + 100.0).count();
        assert!((500..=990).contains(&late), "{late}: a lost piece holds up those behind it");
    }

    #[test]
    fn two_faults_add_up() {
        let both = NetworkCondition { delay_ms: 5.0, loss_rate: 0.5, ..NetworkCondition::default() }
            .combine(NetworkCondition { delay_ms: 7.0, loss_rate: 0.5, ..CUT });
        assert_eq!((both.delay_ms, both.loss_rate, both.cut), (12.0, 0.75, true));
    }
}
