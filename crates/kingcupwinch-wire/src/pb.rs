//! Generated protocol buffer types.

/// Messages of the platform's services.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod platform {
    include!("generated/kingcupwinch.platform.rs");
}

/// Records on the log's streams.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod records {
    include!("generated/kingcupwinch.records.rs");
}

/// Messages between the instances of one failure domain.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod sibling {
    include!("generated/kingcupwinch.sibling.rs");
}
