//! On whose behalf a request for a job is made.

use std::sync::Arc;

/// On whose behalf a caller asks for a job or cancels it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Requester {
    /// Any caller, as the configuration has no customers or an earlier version took the request.
    Anyone,
    /// A caller without the key of a customer.
    Public,
    /// A caller with a key of this customer.
    Customer(Arc<str>),
}

impl Requester {
    /// Returns whether the requester may know of a job of a customer, and cancel it.
    pub fn may_access(&self, customer: Option<&str>) -> bool {
        match (self, customer) {
            (Requester::Anyone, _) | (_, None) => true,
            (Requester::Public, Some(_)) => false,
            (Requester::Customer(name), Some(customer)) => **name == *customer,
        }
    }
}
