//! Which answers count towards one majority, given that stores can be lost.

use std::collections::BTreeMap;

use ottersail_membership::MemberId;

use crate::message::GenerationView;
use crate::types::{StoreGeneration, StoreGenerations};

/// The members whose stated store generation none of the views knows to be lost. Without this check, an accept from
/// before a loss and one from after the recovery that had not heard of it would complete a majority, and a value
/// reported as chosen would be held by a minority only.
pub fn members_with_live_stores<'a>(
    views: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone,
) -> Vec<MemberId> {
    let known = latest_known(views.clone().map(|(_, view)| view));
    views
        .filter(|(member, view)| known.get(member) <= Some(&view.generation))
        .map(|(member, _)| member)
        .collect()
}

/// The members of which another view knows a later store generation, with that generation. A participating member
/// that is told of it raises its own generation. Otherwise a generation persisted by an interrupted recovery would
/// exclude a participating councillor from every majority for ever.
pub fn outdated<'a>(
    views: impl Iterator<Item = (MemberId, &'a GenerationView)> + Clone,
) -> Vec<(MemberId, StoreGeneration)> {
    let known = latest_known(views.clone().map(|(_, view)| view));
    let later = |(member, view): (MemberId, &GenerationView)| {
        known.get(&member).filter(|known| **known > view.generation).map(|known| (member, *known))
    };
    views.filter_map(later).collect()
}

/// The latest store generation of each member that any of the views knows.
pub fn latest_known<'a>(views: impl Iterator<Item = &'a GenerationView>) -> StoreGenerations {
    let mut known = BTreeMap::new();
    for view in views {
        merge_latest(&mut known, &view.known);
    }
    known
}

/// Adds `more` to `known` and keeps the later generation of each member.
pub fn merge_latest(known: &mut StoreGenerations, more: &StoreGenerations) {
    for (member, generation) in more {
        let held = known.entry(*member).or_insert(StoreGeneration(0));
        *held = (*held).max(*generation);
    }
}

/// Merges a further view of the same member: the later own generation is kept, and known generations accumulate.
pub fn merge_view(view: &mut GenerationView, more: &GenerationView) {
    view.generation = view.generation.max(more.generation);
    merge_latest(&mut view.known, &more.known);
}
