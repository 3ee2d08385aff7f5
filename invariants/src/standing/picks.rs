//! How the same viewings would have stood, had they been picked otherwise.

use crate::record::Titles;
use crate::standing::evenness::Evenness;
use crate::standing::stays::Stays;
use std::collections::BTreeMap;

/// A way to pick a holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Picker {
    /// The emptiest of all holders, as they are.
    Oracle,
    /// The emptier of two random ones, by loads that all see anew every so many milliseconds (Mitzenmacher,
    /// "How useful is old information?", 2000: the bulletin board).
    Two {
        old: f64,
    },
    Random,
}

impl Stays {
    /// The same viewings in the same order, each put at a holder of its title by that way to pick.
    pub fn had_it_been(&self, titles: Titles, pick: Picker) -> Evenness {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut cells: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (ix, it) in self.lives.iter().enumerate() {
            cells.entry(it.cell).or_default().push(ix);
        }
        let mut stands = vec![0.0; self.lives.len()];
        // What is known of them, and since when.
        let (mut known, mut known_at) = (stands.clone(), f64::MIN);
        let mut racks = self.by_rack(&stands);
        let mut ends: Vec<(f64, usize)> = Vec::new();
        let mut at = Vec::new();
        let mut order: Vec<usize> = (0..self.stays.len()).collect();
        order.sort_by(|a, b| self.stays[*a].from.total_cmp(&self.stays[*b].from));
        let mut place = vec![0; self.stays.len()];
        for ix in order {
            let stay = &self.stays[ix];
            ends.retain(|(until, life)| {
                let over = *until <= stay.from;
                if over {
                    stands[*life] -= 1.0;
                }
                !over
            });
            let every = if let Picker::Two { old } = pick { old } else { 0.0 };
            if stay.from >= known_at + every {
                (known, known_at) = (stands.clone(), stay.from);
                racks = self.by_rack(&known);
            }
            let runs = |it: &usize| self.lives[*it].from <= stay.from && stay.from < self.lives[*it].until;
            let holders: Vec<usize> = titles
                .cells_of(&stay.title)
                .filter_map(|it| cells.get(&it))
                .flatten()
                .copied()
                .filter(runs)
                .collect();
            let fill = |it: &usize| self.fill(*it, known[*it], &racks);
            let life = if holders.is_empty() {
                stay.life
            } else {
                let mut draw = || holders[rng.usize(..holders.len())];
                let (first, second) = (draw(), draw());
                match pick {
                    Picker::Oracle => {
                        *holders.iter().min_by(|a, b| fill(a).total_cmp(&fill(b))).unwrap_or(&first)
                    }
                    Picker::Two { .. } if fill(&second) < fill(&first) => second,
                    _ => first,
                }
            };
            place[ix] = life;
            stands[life] += 1.0;
            ends.push((stay.until, life));
        }
        at.append(&mut place);
        self.evenness(&at)
    }
}
