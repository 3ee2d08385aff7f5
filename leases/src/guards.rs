//! The rules that keep a slot with one holder. Each can be switched off by tests that show that it is needed.

macro_rules! guards {
    ($($(#[$doc:meta])* $guard:ident),* $(,)?) => {
        /// True: the guard is in force. Without the feature `sabotage` all guards always are.
        #[cfg(any(test, feature = "sabotage"))]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct Guards {
            $($(#[$doc])* pub $guard: bool,)*
        }

        /// The guards, all of which are always in force.
        #[cfg(not(any(test, feature = "sabotage")))]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct Guards;

        impl Default for Guards {
            fn default() -> Guards {
                #[cfg(any(test, feature = "sabotage"))]
                return Guards { $($guard: true,)* };
                #[cfg(not(any(test, feature = "sabotage")))]
                return Guards;
            }
        }

        impl Guards {
            $(pub(crate) fn $guard(&self) -> bool {
                #[cfg(any(test, feature = "sabotage"))]
                return self.$guard;
                #[cfg(not(any(test, feature = "sabotage")))]
                return true;
            })*
        }
    };
}

guards!(
    /// A councillor assigns no slot to another member while its lease may run. Prevents two holders when one
    /// is cut off.
    leases,
    /// For a lease after its own start, a councillor reassigns no slot. Prevents harm from forgotten
    /// renewals.
    quarantine,
    /// A renewal of an epoch older than the accepted one is refused. Prevents an earlier holder from
    /// continuing after a change.
    stale,
    /// A lease counts from when its renewal was requested. Prevents harm from an answer that was delayed.
    send_time,
    /// A lease needs renewals from a majority. Prevents two holders that each have grants of a few
    /// councillors.
    majority,
    /// Both sides allow for clock drift. Prevents harm from a holder whose clock is slow.
    margins,
    /// A slot is given back only once it is no longer used. Prevents a set-up that was begun on the larger
    /// share from continuing without its slot.
    stop_first,
    /// Every query compares `until` with the current time. Prevents harm from a process that was paused past
    /// its lease.
    until,
);
