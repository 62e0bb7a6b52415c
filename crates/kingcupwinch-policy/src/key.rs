//! Small `Copy` keys into the arenas of a [`Cell`](crate::Cell).

use slotmap::new_key_type;

new_key_type! {
    /// A machine of the cell.
    pub struct MachineKey;
    /// A task from its submission until its end.
    pub struct TaskKey;
    /// A gang: tasks that start together.
    pub struct GangKey;
    /// Capacity of a machine held for work of unknown extent.
    pub struct HoldKey;
    /// Demand granted to a sibling instance.
    pub struct CreditKey;
}

macro_rules! index_key {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u16);

        impl $name {
            /// Returns the key's position in its list.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index_key!(
    /// A class of work; it stays the same for a name over every plan.
    ClassKey,
    /// A customer; it stays the same for a name over every plan.
    CustomerKey,
    /// A rack; it stays the same for a name over every plan.
    RackKey
);
