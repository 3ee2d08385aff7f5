use std::fmt::Debug;

/// A world to go through: one state, and all that may happen next.
pub trait World: Clone {
    /// One thing that may happen. Its `Debug` is what a printed history shows.
    type Step: Clone + Debug;

    /// All that may happen here, always in the same order. Empty: the world rests.
    fn steps(&self) -> Vec<Self::Step>;

    /// Lets `step`, one of [`World::steps`], happen.
    fn take(&mut self, step: &Self::Step);

    /// What must never hold and does, in words.
    fn broken(&self) -> Option<String>;

    /// What is wrong with resting here: asked where nothing more can happen.
    fn stuck(&self) -> Option<String> {
        None
    }

    /// A print of the whole state: equal states, equal prints.
    fn print(&self) -> u128;

    /// The print of the state's class under renaming of ids. A world that overrides this says that its steps,
    /// [`World::broken`] and [`World::stuck`] do not tell renamed states apart: a tie broken by the lower
    /// id, for one, makes that untrue. [`crate::least_print`] helps.
    fn canonical(&self) -> u128 {
        self.print()
    }

    /// Bytes one state takes, for the bound on memory; estimated.
    fn weight(&self) -> usize {
        std::mem::size_of::<Self>() + 256
    }
}
