//! Rounds, answers and evictions. Without I/O or clock; randomness is a value.

mod own;
mod receive;
mod round;
mod view;

pub(super) use {
    own::{is_lapsed, load, serves, set_version},
    receive::receive,
    round::{leave, tick},
    view::view,
};
