//! `ureq` agent for calls to IP addresses.

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

/// Resolver that parses the IP address and port of the URI. The default resolver of `ureq` starts a
/// thread for every call.
#[derive(Debug)]
struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri
            .authority()
            .and_then(|name| name.as_str().parse::<SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// Builds an agent whose calls time out after `timeout`. A response is not an error, whatever its
/// status; redirects are not followed.
///
/// ```
/// use std::time::Duration;
/// let agent = siskinstep::edge::outbound::agent(Duration::from_millis(50));
/// assert!(agent.get("http://127.0.0.1:1/").call().is_err());
/// ```
#[must_use]
pub fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}
