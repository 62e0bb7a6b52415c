//! `Copy` keys of the objects in a [`Cell`](crate::Cell).

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a machine of the cell.
    pub struct MachineKey;
    /// Identifies a task from its submission until its end.
    pub struct TaskKey;
    /// Identifies a gang, a group of tasks that start together.
    pub struct GangKey;
    /// Identifies capacity of a machine that is held for work of unknown size.
    pub struct HoldKey;
    /// Identifies a credit granted to a sibling instance.
    pub struct CreditKey;
}

macro_rules! index_key {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u16);

        impl $name {
            /// Returns the position of the key in its list.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index_key!(
    /// Identifies a class by its name. The key stays the same in later plans.
    ClassKey,
    /// Identifies a customer by its name. The key stays the same in later plans.
    CustomerKey,
    /// Identifies a rack by its zone and name. The key stays the same in later plans.
    RackKey
);
