//! Parsers of the places, amounts and drains on the command line.

use {
    crate::policy::{Amount, Drain, Place},
    snafu::Snafu,
};

/// Invalid argument, with the input and the expected form.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{input:?}: expected {expected}"))]
pub(super) struct ParseError {
    input: String,
    expected: &'static str,
}

const PLACE_FORM: &str = "region/NAME or zone/NAME";
const DRAIN_FORM: &str = "upstream/NAME, vm/NAME or zone/NAME";
const AMOUNT_FORM: &str = "a share such as 250permille or a rate such as 40/s";

/// Parses `region/NAME` or `zone/NAME`.
pub(super) fn place(input: &str) -> Result<Place, ParseError> {
    match input.split_once('/') {
        Some(("region", name)) => Ok(Place::Region(name.to_owned())),
        Some(("zone", name)) => Ok(Place::AvailabilityZone(name.to_owned())),
        _ => reject(input, PLACE_FORM),
    }
}

/// Parses `upstream/NAME`, `vm/NAME` or `zone/NAME`.
pub(super) fn drain(input: &str) -> Result<Drain, ParseError> {
    match input.split_once('/') {
        Some(("upstream", name)) => Ok(Drain::Upstream(name.to_owned())),
        Some(("vm", name)) => Ok(Drain::Vm(name.to_owned())),
        Some(("zone", name)) => Ok(Drain::AvailabilityZone(name.to_owned())),
        _ => reject(input, DRAIN_FORM),
    }
}

/// Parses `250permille` or `40/s`.
pub(super) fn amount(input: &str) -> Result<Amount, ParseError> {
    let share = input
        .strip_suffix("permille")
        .and_then(|text| text.parse().ok());
    let rate = input.strip_suffix("/s").and_then(|text| text.parse().ok());
    match (share, rate) {
        (Some(share), _) => Ok(Amount::Permille(share)),
        (None, Some(rate)) => Ok(Amount::PerSecond(rate)),
        (None, None) => reject(input, AMOUNT_FORM),
    }
}

fn reject<T>(input: &str, expected: &'static str) -> Result<T, ParseError> {
    ParseSnafu { input, expected }.fail()
}
