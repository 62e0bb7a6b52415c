//! Checks of the configuration that callers see after its acknowledgement.

use std::time::Duration;

use crate::checks::{Invariant, Observations, Violation, add_violation};
use crate::disturbances::is_in_touch;
use crate::operator::{Lookup, ObservedRoute};

/// Time after its acknowledgement within which a version must be in force.
pub(crate) const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// Checks every response to a request for an additional route.
pub(crate) fn check_routes(observations: &Observations<'_>, violations: &mut Vec<Violation>) {
    for lookup in observations.lookups {
        let Some(route) = observations.routes.get(lookup.route) else {
            continue;
        };
        let Lookup {
            instance,
            sent,
            received,
            status,
            ..
        } = *lookup;
        if is_missed(route, lookup) {
            let in_touch = is_in_touch(observations.disturbances, instance, sent, received);
            let detail = format!(
                "instance-{instance} did not find route {} {:?} after its acknowledgement, {}",
                route.version,
                sent - route.added,
                if in_touch { "in touch" } else { "not in touch" },
            );
            add_violation(violations, Invariant::RouteFound, detail);
        }
        if let Some(removed) = route.removed
            && status == OK
            && sent > removed + CONFIG_BOUND
            && is_in_touch(observations.disturbances, instance, sent, received)
        {
            let detail = format!(
                "instance-{instance} found route {} {:?} after its removal",
                route.version,
                sent - removed
            );
            add_violation(violations, Invariant::RouteRemoved, detail);
        }
    }
}

/// Returns whether a route was not found although it was there from the bound before the request
/// until the response. An instance that can't know of it must not deny it, in touch or not.
fn is_missed(route: &ObservedRoute, lookup: &Lookup) -> bool {
    lookup.status == NOT_FOUND
        && lookup.sent > route.added + CONFIG_BOUND
        && route
            .removal_sent
            .is_none_or(|removal| lookup.received < removal)
}
