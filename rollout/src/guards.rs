//! The rules that keep a release within its bounds. Tests can switch off each of them.

macro_rules! guards {
    ($($(#[$doc:meta])* $guard:ident),* $(,)?) => {
        /// The guards; `true` means that the guard is active. Without the feature `sabotage` all of them always are.
        #[cfg(any(test, feature = "sabotage"))]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Guards {
            $($(#[$doc])* pub $guard: bool,)*
        }

        /// The guards, all of them active.
        #[cfg(not(any(test, feature = "sabotage")))]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Guards;

        impl Guards {
            /// All guards active.
            pub fn all() -> Guards {
                #[cfg(any(test, feature = "sabotage"))]
                return Guards { $($guard: true,)* };
                #[cfg(not(any(test, feature = "sabotage")))]
                return Guards;
            }

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
    /// A member that is not seen ready counts as out. Without it a release would go on after seven in ten members
    /// were killed.
    count_unready_as_out,
    /// The permits in the table count as out, used or not. Without it permits would be granted faster than they are
    /// used.
    count_permits_as_out,
    /// The bound on members out also holds in each zone that has one. Without it a whole zone could be out.
    zone_bounds,
    /// Permits are granted only under the order that this councillor accepted last, while it says go or back.
    /// Without it a coordinator that has not heard of a halt would go on.
    current_order_only,
    /// A permit is returned only on evidence. Without it a member that is still leaving would count as back.
    return_needs_evidence,
    /// A councillor leaves only while all others are ready. Without it the council could lose its majority.
    one_councillor_out,
    /// A holder compares its clock with the permit's expiry. Without it a process that was paused would leave too
    /// late.
    check_expiry,
    /// A holder stops taking viewings and then checks the permit again. Without it a pause between the check and
    /// leaving would go unnoticed.
    recheck_before_leaving,
    /// A status counts for a few periods from when it was sent. Without it dead members would count as ready.
    status_expiry,
    /// An order replaces one of a lesser serial, or halts it. Without it an old file that is read again could undo a
    /// halt.
    serial_order,
);
