//! The daemon of each entry instance.
