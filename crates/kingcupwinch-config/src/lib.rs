//! The configuration folder: merge, check and the typed tree.
