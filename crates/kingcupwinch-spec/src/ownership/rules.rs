//! The rules of the protocol as data, and the mutations that must break it.

/// What the instance list proves of an owner that it no longer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing: a take-over needs supporters.
    Ignored,
    /// The owner has stopped, as the platform promises.
    Trusted,
    /// Trusted, but the list also drops owners that still run.
    Wrong,
}

/// Rules and bounds of the specification; spans are in ticks.
#[derive(Debug, Clone)]
pub struct Rules {
    /// How long a view of the log stays fresh after a read was sent.
    pub lease: u8,
    /// How long a promise holds.
    pub promise: u8,
    /// How long a take-over waits after it was read back.
    pub wait: u8,
    /// Records kept in the state: no instance lags by as many claims or more.
    pub window: u8,
    /// Restarts in a run.
    pub restarts: u8,
    /// Times in a run that a clock deviates by one tick.
    pub drifts: u8,
    /// Whether planned hand-over is explored.
    pub hand_over: bool,
    /// Whether releases and leaves are explored; a leave counts as a restart.
    pub releases: bool,
    /// Whether the owner claims again for itself with other voters.
    pub reclaims: bool,
    /// Whether the owner needs promises without a fresh view.
    pub needs_promises: bool,
    /// Whether a claim in flight needs a majority of both sets of voters.
    pub joint_majority: bool,
    /// Whether a take-over needs half of the voters, or any one of them.
    pub half_quorum: bool,
    /// Whether a supporter makes no more promises to the owner.
    pub binding_votes: bool,
    /// Whether support stands until a newer term is read.
    pub lasting_votes: bool,
    /// Whether a voter supports only with a fresh view.
    pub fresh_votes: bool,
    /// Whether a voter supports only once its promises have run out.
    pub binding_promises: bool,
    /// Whether a view's age counts from when its read was sent.
    pub age_from_sent: bool,
    /// Whether the first record at a term wins.
    pub first_wins: bool,
    /// Whether the owner stops before it hands over or releases.
    pub stop_first: bool,
    /// Whether a member that has sent its leave dispatches no more.
    pub leaver_stops: bool,
    /// Whether an owner hands over or releases only once its own term took effect.
    pub effective_first: bool,
    /// Whether a restarted process is a new incarnation.
    pub new_incarnation: bool,
    /// What the instance list proves.
    pub evidence: Evidence,
    /// Whether states equal by a permutation of instances are explored once.
    pub symmetry: bool,
    /// Whether progress is checked from every state.
    pub progress: bool,
}

/// One rule left out or broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A take-over takes effect as soon as it is read back.
    NoWait,
    /// The wait has no margin for clock drift.
    NoDriftMargin,
    /// The wait has a margin for half of the deviation that clocks may have.
    HalfDriftMargin,
    /// The wait covers the lease, and not a longer promise.
    WaitForLeaseOnly,
    /// The owner goes on without a fresh view and without promises.
    NoPromises,
    /// A single supporter suffices.
    SingleVote,
    /// A supporter goes on promising to the owner.
    PromiseAfterVote,
    /// Support runs out with time while the claimant may still use it.
    ExpiringVotes,
    /// A claim in flight needs a majority of the old voters alone.
    OldMajorityOnly,
    /// A view's age counts from when the answer arrived.
    AgeFromResponse,
    /// The last record at a term wins.
    LastClaimWins,
    /// The owner goes on dispatching while it hands over.
    HandOverWithoutStop,
    /// An owner hands over before its own term has taken effect.
    HandOverWhileWaiting,
    /// An owner releases before its own term has taken effect.
    ReleaseWhileWaiting,
    /// The owner goes on dispatching while it releases.
    ReleaseWithoutStop,
    /// A member that has sent its leave dispatches to what it is handed after that.
    LeavingMemberDispatches,
    /// A restarted process goes on as the incarnation that it was.
    SameIncarnation,
    /// The instance list drops an owner that still runs.
    WrongInstanceList,
    /// The instance list proves nothing.
    NoInstanceListEvidence,
}

impl Rules {
    /// Makes the rules with bounds that are explored in seconds.
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

    /// Sets the lease and the promise, with the wait that they need.
    #[must_use]
    pub fn with_spans(mut self, lease: u8, promise: u8) -> Self {
        self.lease = lease;
        self.promise = promise;
        self.wait = lease.max(promise) + self.drifts;
        self
    }

    /// Sets how often clocks deviate, with the wait that this needs.
    #[must_use]
    pub fn with_drifts(mut self, drifts: u8) -> Self {
        self.drifts = drifts;
        self.wait = self.lease.max(self.promise) + drifts;
        self
    }

    /// Sets how often instances restart.
    #[must_use]
    pub fn with_restarts(mut self, restarts: u8) -> Self {
        self.restarts = restarts;
        self
    }

    /// Sets whether the owner claims again for itself.
    #[must_use]
    pub fn with_reclaims(mut self, explored: bool) -> Self {
        self.reclaims = explored;
        self
    }

    /// Sets whether planned hand-over is explored.
    #[must_use]
    pub fn with_hand_over(mut self, explored: bool) -> Self {
        self.hand_over = explored;
        self
    }

    /// Sets whether releases and leaves are explored.
    #[must_use]
    pub fn with_releases(mut self, explored: bool) -> Self {
        self.releases = explored;
        self
    }

    /// Sets how many records are kept.
    #[must_use]
    pub fn with_window(mut self, records: u8) -> Self {
        self.window = records;
        self
    }

    /// Explores states equal by a permutation of instances once.
    #[must_use]
    pub fn with_symmetry(mut self) -> Self {
        self.symmetry = true;
        self
    }

    /// Checks progress from every state.
    #[must_use]
    pub fn with_progress(mut self) -> Self {
        self.progress = true;
        self
    }

    /// Breaks one rule.
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
