//! Scenarios: a site, a load, a variant and a scheduler.

use kingcupwinch_time::Span;

use crate::site::Site;

/// The scheduler under measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SchedulerKind {
    Policy,
    Fifo,
    LeastLoaded,
}

impl SchedulerKind {
    pub(crate) const ALL: [SchedulerKind; 3] = [
        SchedulerKind::Policy,
        SchedulerKind::Fifo,
        SchedulerKind::LeastLoaded,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            SchedulerKind::Policy => "policy",
            SchedulerKind::Fifo => "fifo",
            SchedulerKind::LeastLoaded => "least-loaded",
        }
    }
}

/// A fault or another difference from the plain workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Variant {
    /// No difference.
    Plain,
    /// Only the urgent stream, at the same rate as in the plain workload.
    UrgentOnly,
    /// Machines have speeds from 1 to 8.
    Speeds,
    /// Declared sizes and run times are wrong by factors from 0.2 to 10.
    WrongDeclarations,
    /// A fifth of the machines is lost at once.
    MachineLoss,
    /// Two machines fail every task.
    FailingMachines,
    /// A wave of batch tasks is submitted and cancelled.
    CancelWave,
    /// The rate of urgent arrivals is tenfold for a while.
    Burst,
    /// Gangs need half of the machines.
    WideGangs,
    /// Only waiting time has a weight.
    WaitingOnly,
    /// Only packing has a weight.
    PackingOnly,
}

impl Variant {
    pub(crate) const FAULTS: [Variant; 7] = [
        Variant::Speeds,
        Variant::WrongDeclarations,
        Variant::MachineLoss,
        Variant::FailingMachines,
        Variant::CancelWave,
        Variant::Burst,
        Variant::WideGangs,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Variant::Plain => "plain",
            Variant::UrgentOnly => "urgent only",
            Variant::Speeds => "speeds 1 to 8",
            Variant::WrongDeclarations => "wrong declarations",
            Variant::MachineLoss => "a fifth lost",
            Variant::FailingMachines => "two black holes",
            Variant::CancelWave => "cancel wave",
            Variant::Burst => "urgent tenfold",
            Variant::WideGangs => "gangs of half",
            Variant::WaitingOnly => "waiting only",
            Variant::PackingOnly => "packing only",
        }
    }
}

/// Parameters of one run.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) site: Site,
    /// Offered load in percent of the capacity.
    pub(crate) load: u32,
    pub(crate) variant: Variant,
    pub(crate) kind: SchedulerKind,
    pub(crate) seed: u64,
    /// Warm-up time that the figures do not include.
    pub(crate) warm_up: Span,
    /// Simulated duration of the run, including the warm-up.
    pub(crate) end: Span,
    /// Whether the cell starts with tasks at random points of their runs.
    pub(crate) filled: bool,
}

impl Scenario {
    pub(crate) fn name(&self) -> String {
        let (site, load) = (self.site.name, self.load);
        format!("{site} {load} {} {}", self.variant.name(), self.kind.name())
    }
}

const LOADS: [u32; 5] = [50, 80, 95, 110, 150];
/// Load of the scenarios with a fault, in percent.
const FAULT_LOAD: u32 = 80;
/// Load of the scenarios with a single weight, in percent.
const WEIGHTS_LOAD: u32 = 95;
const WARM_UP: Span = Span::from_secs(120);
const END: Span = Span::from_secs(480);
const FULL_WARM_UP: Span = Span::from_secs(5);
const FULL_END: Span = Span::from_secs(35);
const FULL_LOAD: u32 = 110;

/// Returns the scenarios of the users' sites.
pub(crate) fn catalogue(seed: u64) -> Vec<Scenario> {
    let mut all = Vec::new();
    for site in [Site::riigi(), Site::magnolia()] {
        for load in LOADS {
            for variant in [Variant::Plain, Variant::UrgentOnly] {
                push(&mut all, &site, load, variant, seed);
            }
        }
        for variant in Variant::FAULTS {
            push(&mut all, &site, FAULT_LOAD, variant, seed);
        }
        for variant in [Variant::WaitingOnly, Variant::PackingOnly] {
            push(&mut all, &site, WEIGHTS_LOAD, variant, seed);
        }
    }
    all
}

fn push(all: &mut Vec<Scenario>, site: &Site, load: u32, variant: Variant, seed: u64) {
    let policy_only = matches!(variant, Variant::WaitingOnly | Variant::PackingOnly);
    for kind in SchedulerKind::ALL {
        if policy_only && kind != SchedulerKind::Policy {
            continue;
        }
        all.push(Scenario {
            site: site.clone(),
            load,
            variant,
            kind,
            seed,
            warm_up: WARM_UP,
            end: END,
            filled: false,
        });
    }
}

/// Returns the scenarios of the design size.
pub(crate) fn full_size(seed: u64) -> Vec<Scenario> {
    [Variant::Plain, Variant::MachineLoss]
        .into_iter()
        .map(|variant| Scenario {
            site: Site::full(),
            load: FULL_LOAD,
            variant,
            kind: SchedulerKind::Policy,
            seed,
            warm_up: FULL_WARM_UP,
            end: FULL_END,
            filled: true,
        })
        .collect()
}
