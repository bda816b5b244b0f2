//! Decides which tenant a request belongs to.

use {
    super::{messages::Credential, state::Index},
    crate::{call::Reason, keys::TenantKey},
};

/// Identifies the tenant of a request; `None` if callers need no API key, or if the route is public and the
/// credential is not a known key.
///
/// # Errors
/// `Reason::Unauthorized` if the credential is missing, malformed or unknown. `Reason::IdentityUnknown` for an
/// unknown key while the control VMs cannot be reached, as it may be newer than this VM's configuration.
///
/// ```
/// use siskinstep::{call::Reason, catalog::Table, tenants::{self, Credential, Index}};
/// let mut index = Index::default();
/// assert_eq!(tenants::identify(&index, false, Credential::None, true), Ok(None));
/// index.apply(&Table::default(), true);
/// let identity = tenants::identify(&index, false, Credential::None, true);
/// assert_eq!(identity, Err(Reason::Unauthorized));
/// assert_eq!(tenants::identify(&index, true, Credential::None, true), Ok(None));
/// ```
pub fn identify(
    index: &Index,
    is_public: bool,
    credential: Credential,
    is_control_reachable: bool,
) -> Result<Option<TenantKey>, Reason> {
    if !index.has_tenants() {
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
