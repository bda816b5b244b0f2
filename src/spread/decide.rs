//! Whether a received configuration comes into force. Without I/O or clock.

use crate::policy::Policy;

/// Whether `offered` is newer than the version in force.
pub(super) fn is_newer(version: u64, offered: &Policy) -> bool {
    offered.version > version
}
