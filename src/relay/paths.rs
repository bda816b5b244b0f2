//! Bounds on the connections to one address: how many, and how many are opened at once.

use {
    super::settings::Settings,
    crate::sorted::Sorted,
    std::{net::SocketAddr, rc::Rc},
    tokio::sync::Semaphore,
};

/// The bounds of one address.
#[derive(Clone, Debug)]
pub(super) struct Path {
    /// Connections in use.
    pub(super) using: Rc<Semaphore>,
    /// Connections being opened.
    pub(super) opening: Rc<Semaphore>,
}

/// The bounds of every address in use.
#[derive(Debug, Default)]
pub(super) struct Paths {
    rows: Sorted<SocketAddr, Path>,
}

impl Paths {
    /// The bounds of `address`.
    pub(super) fn of(&mut self, address: SocketAddr, settings: Settings) -> Path {
        if let Some(path) = self.rows.get(&address) {
            return path.clone();
        }
        let path = Path {
            using: Rc::new(Semaphore::new(settings.connections)),
            opening: Rc::new(Semaphore::new(settings.opening)),
        };
        self.rows.insert(address, path.clone());
        path
    }

    /// Forgets addresses that no attempt uses.
    pub(super) fn evict(&mut self) {
        self.rows
            .retain(|_, path| Rc::strong_count(&path.using) > 1);
    }
}
