//! A `ureq` agent for processes that talk by IP numbers.

use {
    std::{net::SocketAddr, time::Duration},
    ureq::{
        Agent, Error,
        config::Config,
        http::Uri,
        unversioned::{
            resolver::{ResolvedSocketAddrs, Resolver},
            transport::{DefaultConnector, NextTimeout},
        },
    },
};

/// Reads the address from the URI. The library's own resolver starts a thread at every call.
#[derive(Debug)]
struct Literal;

impl Resolver for Literal {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri
            .authority()
            .and_then(|name| name.as_str().parse::<SocketAddr>().ok());
        let mut found = self.empty();
        found.push(address.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}

/// An agent whose calls end within `limit`, and whose answers of any status are no errors.
///
/// ```
/// use std::time::Duration;
/// let agent = siskinstep::edge::outbound::agent(Duration::from_millis(50));
/// assert!(agent.get("http://127.0.0.1:1/").call().is_err());
/// ```
#[must_use]
pub fn agent(limit: Duration) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(limit))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), Literal)
}
