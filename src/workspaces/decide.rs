//! Decides which workspace a request belongs to.

use {
    super::{messages::Credential, state::Index},
    crate::{call::Reason, keys::WorkspaceKey},
};

/// Identifies the workspace of a request; `None` if callers need no API key, or if the route is public and the
/// credential is not a known key.
///
/// # Errors
/// `Reason::Unauthorized` if the credential is missing, malformed or unknown. `Reason::IdentityUnknown` for an
/// unknown key while the control VMs cannot be reached, as it may be newer than this VM's configuration.
///
/// ```
/// use siskinstep::{call::Reason, catalog::Table, workspaces::{self, Credential, Index}};
/// let mut index = Index::default();
/// assert_eq!(workspaces::identify(&index, false, Credential::None, true), Ok(None));
/// index.apply(&Table::default(), true);
/// let identity = workspaces::identify(&index, false, Credential::None, true);
/// assert_eq!(identity, Err(Reason::Unauthorized));
/// assert_eq!(workspaces::identify(&index, true, Credential::None, true), Ok(None));
/// ```
pub fn identify(
    index: &Index,
    is_public: bool,
    credential: Credential,
    is_control_reachable: bool,
) -> Result<Option<WorkspaceKey>, Reason> {
    if !index.has_workspaces() {
        return Ok(None);
    }
    let known = match credential {
        Credential::Key(digest) => index.find(&digest),
        Credential::None | Credential::Malformed => None,
    };
    if known.is_some() || is_public {
        return Ok(known);
    }
    match credential {
        Credential::Key(_) if !is_control_reachable => Err(Reason::IdentityUnknown),
        _ => Err(Reason::Unauthorized),
    }
}
