//! Which answers count together.

use std::collections::BTreeMap;

use ottersail_membership::MemberId;

use crate::message::GenerationView;
use crate::types::{StoreGeneration, StoreGenerations};

/// Of these, how many speak from a memory that none of them knows to be lost. Symptom without that: an accept
/// from before a loss completes a majority with one from after the recovery that did not hear of it, and what was
/// told as chosen is held by a minority alone.
pub fn agreeing<'a>(voices: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone) -> Vec<MemberId> {
    let known = known(voices.clone().map(|(_, view)| view));
    voices
        .filter(|(member, view)| known.get(member) <= Some(&view.generation))
        .map(|(member, _)| member)
        .collect()
}

/// Whose memory another knows a later one of, and which. Told of it, one that is sound raises its number. Symptom
/// without that: a number kept by a recovery that was cut off makes a sound councillor count nowhere, for ever.
pub fn outdated<'a>(
    voices: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone,
) -> Vec<(MemberId, StoreGeneration)> {
    let known = known(voices.clone().map(|(_, view)| view));
    let later = |(member, view): (MemberId, &GenerationView)| {
        known.get(&member).filter(|known| **known > view.generation).map(|known| (member, *known))
    };
    voices.filter_map(later).collect()
}

/// The latest memory of each that any of them knows.
pub fn known<'a>(voices: impl Iterator<Item = &'a GenerationView>) -> StoreGenerations {
    let mut known = BTreeMap::new();
    for view in voices {
        merge(&mut known, &view.known);
    }
    known
}

pub fn merge(known: &mut StoreGenerations, more: &StoreGenerations) {
    for (member, generation) in more {
        let held = known.entry(*member).or_insert(StoreGeneration(0));
        *held = (*held).max(*generation);
    }
}

/// One more answer of the same member: the later memory stands, what was known is not forgotten.
pub fn hear(view: &mut GenerationView, more: &GenerationView) {
    view.generation = view.generation.max(more.generation);
    merge(&mut view.known, &more.known);
}
