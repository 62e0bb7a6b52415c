//! HTTP servers for callers, siblings and operators.

pub(crate) mod body;
pub(crate) mod body_memory;
pub(crate) mod callers;
pub(crate) mod forward;
pub(crate) mod headers;
pub(crate) mod listener;
pub(crate) mod operators;
pub(crate) mod problem;
