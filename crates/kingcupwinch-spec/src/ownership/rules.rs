//! The rules of the protocol as data, and the mutations that must violate a property.

/// The meaning of an owner's absence from the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Absence proves nothing, so a takeover always needs votes.
    Ignored,
    /// An absent owner has stopped, as the platform guarantees.
    Trusted,
    /// Absence is trusted, but owners that still run may also be absent.
    Wrong,
}

/// The rules of the specification and the bounds of its exploration. Durations are in ticks.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Time for which a view of the log stays fresh after its read was sent, in ticks.
    pub lease: u8,
    /// Validity of a promise, in ticks.
    pub promise: u8,
    /// Time for which a new owner waits after it has read back its takeover, in ticks.
    pub wait: u8,
    /// Maximum number of records in the state. An instance that has read the log lags by fewer
    /// records than this.
    pub window: u8,
    /// Number of restarts in a run.
    pub restarts: u8,
    /// Number of times in a run that a clock deviates by one tick.
    pub drifts: u8,
    /// Whether planned handovers are explored.
    pub hand_over: bool,
    /// Whether releases and leaving members are explored. A leave counts as a restart.
    pub releases: bool,
    /// Whether the owner may claim its own shard again with other voters.
    pub reclaims: bool,
    /// Whether an owner without a fresh view needs promises to dispatch.
    pub needs_promises: bool,
    /// Whether promises must come from a majority of both the current voters and the voters of a
    /// reclaim in flight.
    pub joint_majority: bool,
    /// Whether a takeover needs votes of at least half of the voters instead of a single vote.
    pub half_quorum: bool,
    /// Whether a voter that has voted against the owner makes it no more promises.
    pub binding_votes: bool,
    /// Whether a vote lasts until its voter reads a newer term.
    pub lasting_votes: bool,
    /// Whether a voter needs a fresh view to vote.
    pub fresh_votes: bool,
    /// Whether a voter votes only after its own promise has expired.
    pub binding_promises: bool,
    /// Whether the age of a view is measured from the time at which its read was sent.
    pub age_from_sent: bool,
    /// Whether the first record of a term wins.
    pub first_wins: bool,
    /// Whether the owner stops dispatching before it sends a handover or release.
    pub stop_first: bool,
    /// Whether a member that has sent its leave record no longer dispatches.
    pub leaver_stops: bool,
    /// Whether an owner waits until its own term takes effect before a handover or release.
    pub effective_first: bool,
    /// Whether a restarted process runs as a new incarnation.
    pub new_incarnation: bool,
    /// The meaning of an absence from the instance list.
    pub evidence: Evidence,
    /// Whether states that differ only by a permutation of the instances are explored once.
    pub symmetry: bool,
    /// Whether the progress property is checked in every state.
    pub progress: bool,
}

/// A rule that is left out or broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A takeover takes effect as soon as it is read back.
    NoWait,
    /// The wait has no margin for clock drift.
    NoDriftMargin,
    /// The wait has a margin for only half of the possible clock drift.
    HalfDriftMargin,
    /// The wait covers the lease but not a longer promise.
    WaitForLeaseOnly,
    /// The owner continues to dispatch without a fresh view and without promises.
    NoPromises,
    /// A single vote suffices for a takeover.
    SingleVote,
    /// A voter still makes promises to the owner that it has voted against.
    PromiseAfterVote,
    /// A vote expires for its voter while the claimant may still use it.
    ExpiringVotes,
    /// Promises of a majority of the current voters suffice while a reclaim is in flight.
    OldMajorityOnly,
    /// The age of a view is measured from the arrival of the response.
    AgeFromResponse,
    /// The last record of a term wins.
    LastClaimWins,
    /// The owner continues to dispatch while its handover is in flight.
    HandOverWithoutStop,
    /// An owner hands over before its own term takes effect.
    HandOverWhileWaiting,
    /// An owner releases the shard before its own term takes effect.
    ReleaseWhileWaiting,
    /// The owner continues to dispatch while its release is in flight.
    ReleaseWithoutStop,
    /// A member that has sent its leave record dispatches after a handover to it.
    LeavingMemberDispatches,
    /// A restarted process keeps its incarnation.
    SameIncarnation,
    /// An owner that still runs is absent from the instance list.
    WrongInstanceList,
    /// Absence from the instance list proves nothing.
    NoInstanceListEvidence,
}

impl Rules {
    /// Creates the unbroken rules with small bounds, which are explored in seconds.
    pub fn small() -> Self {
        Rules {
            lease: 1,
            promise: 1,
            wait: 1,
            window: 3,
            restarts: 1,
            drifts: 0,
            hand_over: false,
            releases: false,
            reclaims: true,
            needs_promises: true,
            joint_majority: true,
            half_quorum: true,
            binding_votes: true,
            lasting_votes: true,
            fresh_votes: true,
            binding_promises: true,
            age_from_sent: true,
            first_wins: true,
            stop_first: true,
            leaver_stops: true,
            effective_first: true,
            new_incarnation: true,
            evidence: Evidence::Trusted,
            symmetry: false,
            progress: false,
        }
    }

    /// Sets the lease and the promise in ticks, and derives the wait from them.
    #[must_use]
    pub fn with_spans(mut self, lease: u8, promise: u8) -> Self {
        self.lease = lease;
        self.promise = promise;
        self.wait = lease.max(promise) + self.drifts;
        self
    }

    /// Sets the number of clock deviations, and derives the wait from it.
    #[must_use]
    pub fn with_drifts(mut self, drifts: u8) -> Self {
        self.drifts = drifts;
        self.wait = self.lease.max(self.promise) + drifts;
        self
    }

    /// Sets the number of restarts.
    #[must_use]
    pub fn with_restarts(mut self, restarts: u8) -> Self {
        self.restarts = restarts;
        self
    }

    /// Sets whether reclaims are explored.
    #[must_use]
    pub fn with_reclaims(mut self, explored: bool) -> Self {
        self.reclaims = explored;
        self
    }

    /// Sets whether planned handovers are explored.
    #[must_use]
    pub fn with_hand_over(mut self, explored: bool) -> Self {
        self.hand_over = explored;
        self
    }

    /// Sets whether releases and leaving members are explored.
    #[must_use]
    pub fn with_releases(mut self, explored: bool) -> Self {
        self.releases = explored;
        self
    }

    /// Sets the maximum number of records in the state, up to four.
    #[must_use]
    pub fn with_window(mut self, records: u8) -> Self {
        self.window = records;
        self
    }

    /// Explores states that differ only by a permutation of the instances once.
    #[must_use]
    pub fn with_symmetry(mut self) -> Self {
        self.symmetry = true;
        self
    }

    /// Checks the progress property in every state.
    #[must_use]
    pub fn with_progress(mut self) -> Self {
        self.progress = true;
        self
    }

    /// Applies a mutation to the rules.
    #[must_use]
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        match mutation {
            Mutation::NoWait => self.wait = 0,
            Mutation::NoDriftMargin => self.wait = self.lease.max(self.promise),
            Mutation::HalfDriftMargin => {
                self.wait = self.lease.max(self.promise) + self.drifts / 2;
            }
            Mutation::WaitForLeaseOnly => self.wait = self.lease + self.drifts,
            Mutation::NoPromises => self.needs_promises = false,
            Mutation::SingleVote => self.half_quorum = false,
            Mutation::PromiseAfterVote => self.binding_votes = false,
            Mutation::ExpiringVotes => self.lasting_votes = false,
            Mutation::OldMajorityOnly => self.joint_majority = false,
            Mutation::AgeFromResponse => self.age_from_sent = false,
            Mutation::LastClaimWins => self.first_wins = false,
            Mutation::HandOverWithoutStop | Mutation::ReleaseWithoutStop => {
                self.stop_first = false;
            }
            Mutation::HandOverWhileWaiting | Mutation::ReleaseWhileWaiting => {
                self.effective_first = false;
            }
            Mutation::LeavingMemberDispatches => self.leaver_stops = false,
            Mutation::SameIncarnation => self.new_incarnation = false,
            Mutation::WrongInstanceList => self.evidence = Evidence::Wrong,
            Mutation::NoInstanceListEvidence => self.evidence = Evidence::Ignored,
        }
        self
    }
}
