//! Where a call goes next, as a plain function of its last result.

use {crate::agree::Unavailable, std::net::SocketAddr};

/// Control VMs that one call may be sent to: the leader as known, and the one that replaced it.
pub(super) const MAX_TRIES: usize = 2;

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Submit it to the log of this control VM.
    Local,
    /// Send it to the leader at this peer listener.
    Remote(SocketAddr),
    /// Give up for this reason.
    Fail(Unavailable),
}

/// Whether a call that failed for this reason was provably not accepted, and another control VM may accept
/// it.
pub(super) const fn may_repeat(reason: &Unavailable) -> bool {
    matches!(
        reason,
        Unavailable::NotLeader { .. } | Unavailable::NoQuorum
    )
}

/// Decides about a call before its first try, or after `tries` of them failed with `last`. A call that
/// may have been accepted is never sent again: its caller repeats it if necessary.
pub(super) fn next(
    tries: usize,
    last: Option<&Unavailable>,
    leader: Option<SocketAddr>,
    local: SocketAddr,
) -> Next {
    match (last, leader) {
        (Some(reason), _) if !may_repeat(reason) || tries >= MAX_TRIES => {
            Next::Fail(reason.clone())
        }
        (_, Some(leader)) if leader == local => Next::Local,
        (_, Some(leader)) => Next::Remote(leader),
        (Some(reason), None) => Next::Fail(reason.clone()),
        // The log may elect this replica, or name the reason why there is no leader.
        (None, None) => Next::Local,
    }
}
