//! Reads places, amounts and drains as an operator types them.

use {
    crate::policy::{Amount, Drain, Place},
    snafu::Snafu,
};

/// What was typed and what is expected.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{given:?}: expected {expected}"))]
pub(super) struct OrderError {
    given: String,
    expected: &'static str,
}

const PLACE: &str = "region/NAME or zone/NAME";
const DRAIN: &str = "upstream/NAME, vm/NAME or zone/NAME";
const AMOUNT: &str = "a share such as 250permille or a rate such as 40/s";

/// Reads `region/NAME` or `zone/NAME`.
pub(super) fn place(given: &str) -> Result<Place, OrderError> {
    match given.split_once('/') {
        Some(("region", name)) => Ok(Place::Region(name.to_owned())),
        Some(("zone", name)) => Ok(Place::AvailabilityZone(name.to_owned())),
        _ => refuse(given, PLACE),
    }
}

/// Reads `upstream/NAME`, `vm/NAME` or `zone/NAME`.
pub(super) fn drain(given: &str) -> Result<Drain, OrderError> {
    match given.split_once('/') {
        Some(("upstream", name)) => Ok(Drain::Upstream(name.to_owned())),
        Some(("vm", name)) => Ok(Drain::Vm(name.to_owned())),
        Some(("zone", name)) => Ok(Drain::AvailabilityZone(name.to_owned())),
        _ => refuse(given, DRAIN),
    }
}

/// Reads `250permille` or `40/s`.
pub(super) fn amount(given: &str) -> Result<Amount, OrderError> {
    let share = given
        .strip_suffix("permille")
        .and_then(|text| text.parse().ok());
    let rate = given.strip_suffix("/s").and_then(|text| text.parse().ok());
    match (share, rate) {
        (Some(share), _) => Ok(Amount::Permille(share)),
        (None, Some(rate)) => Ok(Amount::PerSecond(rate)),
        (None, None) => refuse(given, AMOUNT),
    }
}

fn refuse<T>(given: &str, expected: &'static str) -> Result<T, OrderError> {
    OrderSnafu { given, expected }.fail()
}
