//! Limits per address on the connections in use and on the connections being opened.

use {
    super::settings::Settings,
    crate::sorted::Sorted,
    std::{net::SocketAddr, rc::Rc},
    tokio::sync::Semaphore,
};

/// Semaphores that limit the connections to one address.
#[derive(Clone, Debug)]
pub(super) struct ConnectionLimits {
    /// Permits for connections in use.
    pub(super) in_use: Rc<Semaphore>,
    /// Permits for connections being opened.
    pub(super) opening: Rc<Semaphore>,
}

/// Connection limits of every address in use.
#[derive(Debug, Default)]
pub(super) struct AddressLimits {
    rows: Sorted<SocketAddr, ConnectionLimits>,
}

impl AddressLimits {
    /// Returns the limits of `address` and creates them on first use.
    pub(super) fn of(&mut self, address: SocketAddr, settings: Settings) -> ConnectionLimits {
        if let Some(limits) = self.rows.get(&address) {
            return limits.clone();
        }
        let limits = ConnectionLimits {
            in_use: Rc::new(Semaphore::new(settings.connections)),
            opening: Rc::new(Semaphore::new(settings.opening)),
        };
        self.rows.insert(address, limits.clone());
        limits
    }

    /// Removes the addresses that no attempt uses.
    pub(super) fn evict(&mut self) {
        self.rows
            .retain(|_, limits| Rc::strong_count(&limits.in_use) > 1);
    }
}
