//! What is run: a site, a load, something that goes wrong, and who schedules.

use kingcupwinch_time::Span;

use crate::site::Site;

/// Who schedules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Who {
    Policy,
    Fifo,
    LeastLoaded,
}

impl Who {
    pub(crate) const ALL: [Who; 3] = [Who::Policy, Who::Fifo, Who::LeastLoaded];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Who::Policy => "policy",
            Who::Fifo => "fifo",
            Who::LeastLoaded => "least-loaded",
        }
    }
}

/// What goes wrong, or differs from the plain mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Nothing.
    Plain,
    /// Only the urgent stream, as many as in the plain mix.
    UrgentOnly,
    /// Machines of speeds 1 to 8.
    Speeds,
    /// Declared sizes and runs are wrong by factors from 0.2 to 10.
    Declarations,
    /// A fifth of the machines is lost at once.
    Loss,
    /// Two machines fail all that they start.
    BlackHoles,
    /// A wave of batch work comes and is cancelled.
    CancelWave,
    /// Urgent arrivals are tenfold for a while.
    Burst,
    /// Gangs as wide as half of the machines.
    WideGangs,
    /// Only waiting has a weight.
    WaitingOnly,
    /// Only packing has a weight.
    PackingOnly,
}

impl Trouble {
    pub(crate) const FAULTS: [Trouble; 7] = [
        Trouble::Speeds,
        Trouble::Declarations,
        Trouble::Loss,
        Trouble::BlackHoles,
        Trouble::CancelWave,
        Trouble::Burst,
        Trouble::WideGangs,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Trouble::Plain => "plain",
            Trouble::UrgentOnly => "urgent only",
            Trouble::Speeds => "speeds 1 to 8",
            Trouble::Declarations => "wrong declarations",
            Trouble::Loss => "a fifth lost",
            Trouble::BlackHoles => "two black holes",
            Trouble::CancelWave => "cancel wave",
            Trouble::Burst => "urgent tenfold",
            Trouble::WideGangs => "gangs of half",
            Trouble::WaitingOnly => "waiting only",
            Trouble::PackingOnly => "packing only",
        }
    }
}

/// One run.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) site: Site,
    /// Offered load in percent of the capacity.
    pub(crate) load: u32,
    pub(crate) trouble: Trouble,
    pub(crate) who: Who,
    pub(crate) seed: u64,
    /// Figures count from here.
    pub(crate) warm: Span,
    /// The end of the run.
    pub(crate) end: Span,
    /// Whether the cell starts filled with work at a random point of its run.
    pub(crate) filled: bool,
}

impl Scenario {
    pub(crate) fn name(&self) -> String {
        let (site, load) = (self.site.name, self.load);
        format!("{site} {load} {} {}", self.trouble.name(), self.who.name())
    }
}

const LOADS: [u32; 5] = [50, 80, 95, 110, 150];
/// The load under which things go wrong.
const FAULT_LOAD: u32 = 80;
/// The load under which only one of the weights counts.
const WEIGHTS_LOAD: u32 = 95;
const WARM: Span = Span::from_secs(120);
const END: Span = Span::from_secs(480);
const FULL_WARM: Span = Span::from_secs(5);
const FULL_END: Span = Span::from_secs(35);
const FULL_LOAD: u32 = 110;

/// Returns every run of the users' sizes.
pub(crate) fn catalogue(seed: u64) -> Vec<Scenario> {
    let mut all = Vec::new();
    for site in [Site::riigi(), Site::magnolia()] {
        for load in LOADS {
            for trouble in [Trouble::Plain, Trouble::UrgentOnly] {
                push(&mut all, &site, load, trouble, seed);
            }
        }
        for trouble in Trouble::FAULTS {
            push(&mut all, &site, FAULT_LOAD, trouble, seed);
        }
        for trouble in [Trouble::WaitingOnly, Trouble::PackingOnly] {
            push(&mut all, &site, WEIGHTS_LOAD, trouble, seed);
        }
    }
    all
}

fn push(all: &mut Vec<Scenario>, site: &Site, load: u32, trouble: Trouble, seed: u64) {
    let policy_only = matches!(trouble, Trouble::WaitingOnly | Trouble::PackingOnly);
    for who in Who::ALL {
        if policy_only && who != Who::Policy {
            continue;
        }
        all.push(Scenario {
            site: site.clone(),
            load,
            trouble,
            who,
            seed,
            warm: WARM,
            end: END,
            filled: false,
        });
    }
}

/// Returns the run at the size to design for.
pub(crate) fn full_size(seed: u64) -> Vec<Scenario> {
    [Trouble::Plain, Trouble::Loss]
        .into_iter()
        .map(|trouble| Scenario {
            site: Site::full(),
            load: FULL_LOAD,
            trouble,
            who: Who::Policy,
            seed,
            warm: FULL_WARM,
            end: FULL_END,
            filled: true,
        })
        .collect()
}
