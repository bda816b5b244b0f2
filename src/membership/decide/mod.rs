//! Decisions of the duty: rounds, responses to datagrams and evictions. Free of I/O and of clock
//! reads; randomness is passed in as a value.

mod local;
mod receive;
mod round;
mod view;

pub(super) use {
    local::{can_serve, is_lease_expired, set_free_slots, set_version},
    receive::receive,
    round::{leave, tick},
    view::view,
};
