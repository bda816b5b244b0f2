//! Messages of the shift duty.

use {
    crate::{call::Call, policy::Policy},
    std::sync::Arc,
};

/// What the duty is told.
pub enum Message {
    /// A request that entered here.
    Route(Call),
    /// The configuration in force.
    Policy(Arc<Policy>),
}
