//! The replicated catalogue: routes, services, limits, evacuated zones and registered upstreams.
//!
//! The agree duty orders every change; each control VM has the same catalogue and entry VMs
//! follow it. Each row carries the revision that last changed it, so that a follower receives only
//! the rows that changed after its current revision.

pub mod census;
mod charges;
mod configure;
pub mod decide;
pub mod follow;
pub mod last_reports;
pub mod messages;
pub mod mirror;
pub(crate) mod pages;
pub mod receiver;
mod replica;
pub mod serve;
pub mod settings;
pub mod state;
pub mod table;
#[cfg(test)]
pub(crate) mod tests;

pub use {
    decide::apply,
    messages::{
        ChangeId, Configuration, Edit, Idempotency, Limits, Order, Route, Service, Upstream,
        WeightedService, Workspace,
    },
    settings::Settings,
    state::{Catalog, Delta},
    table::{Patch, Table},
};
