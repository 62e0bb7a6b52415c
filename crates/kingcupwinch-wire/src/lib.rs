//! Protocol buffer messages and their conversions at the border.

pub mod api;
