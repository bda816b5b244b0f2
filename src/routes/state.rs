//! Routes, indexed for look-up by host and path.

use {
    crate::{
        catalog::{Catalog, Route},
        sorted::Sorted,
    },
    std::sync::Arc,
};

/// Name and content of a route.
pub type NamedRoute = (Arc<str>, Arc<Route>);

/// Routes by host in lower case, and within a host in descending order of prefix length.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hosts: Sorted<String, Vec<NamedRoute>>,
}

impl Index {
    /// Indexes the routes of a catalogue.
    ///
    /// ```
    /// use siskinstep::{catalog::Catalog, routes::Index};
    /// assert!(Index::new(&Catalog::default()).find("a.example", "/").is_none());
    /// ```
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let mut hosts: Sorted<String, Vec<NamedRoute>> = Sorted::default();
        for row in catalog.routes.rows() {
            let route = (row.name.as_str().into(), Arc::new(row.value.clone()));
            let host = row.value.host.to_ascii_lowercase();
            match hosts.get_mut(&host) {
                Some(routes) => routes.push(route),
                None => drop(hosts.insert(host, vec![route])),
            }
        }
        let mut index = Self { hosts };
        index.hosts.retain(|_, routes| {
            routes.sort_by_key(|(_, route)| std::cmp::Reverse(route.prefix.len()));
            true
        });
        index
    }

    /// Name and content of the route for `path` on `host`, if one matches. A port in `host` and the
    /// case of its letters are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<NamedRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut matches = routes.iter();
        let found = matches.find(|(_, route)| path.starts_with(&route.prefix))?;
        Some(found.clone())
    }
}
