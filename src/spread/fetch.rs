//! Fetching of the configuration from one VM, and application of the response.

use {
    super::{
        decide::{self, Outcome},
        messages::{FetchRequest, FetchResponse},
        serve::FETCH_METHOD,
        thread::{Duty, RESPONSE_MARGIN},
    },
    crate::{
        edge::client::Client,
        observe::{Event, report},
        policy::Policy,
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time,
};

impl Duty {
    /// Fetches from one VM and applies the response. Returns whether the VM responded.
    pub(super) async fn poll(&mut self, address: SocketAddr, hold: Duration) -> bool {
        let Some(response) = self.fetch(address, hold, false).await else {
            return false;
        };
        match decide::evaluate(&self.current, response) {
            Outcome::Unchanged => {}
            Outcome::Newer(policy) => self.store_and_activate(policy),
            Outcome::Mismatch => self.resolve_mismatch(address).await,
        }
        true
    }

    /// Handles two different configurations of the same version: fetches the full configuration
    /// from control, which has the authoritative one.
    async fn resolve_mismatch(&mut self, address: SocketAddr) {
        self.context.metrics.count("config_mismatch", 1);
        let version = self.current.version;
        report(
            Event::CONFIG_MISMATCH,
            format_args!("local version {version} differs from {address}"),
        );
        for address in self.settings.control.clone() {
            let Some(response) = self.fetch(address, Duration::ZERO, true).await else {
                continue;
            };
            if let Outcome::Newer(policy) = decide::evaluate(&self.current, response) {
                self.store_and_activate(policy);
                return;
            }
        }
        // No control VM provided the configuration: delays the next poll instead of retrying at
        // once.
        time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        hold: Duration,
        full: bool,
    ) -> Option<FetchResponse> {
        let client = Client::new(address, &self.secret, hold + RESPONSE_MARGIN).ok()?;
        let request = {
            let members = self.deps.members.borrow();
            let zone = &self.context.topology.zones[usize::from(self.context.zone.0)].name;
            let local = (&*self.context.vm, self.current.version);
            let to_control = self.settings.control.contains(&address);
            let reports = if to_control {
                decide::reports(&members, (self.context.zone, zone), local)
            } else {
                Vec::new()
            };
            FetchRequest {
                vm: self.context.vm.to_string(),
                version: self.current.version,
                hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
                full,
                reports,
            }
        };
        client.call(FETCH_METHOD, &request).await.ok()
    }

    fn store_and_activate(&mut self, policy: Policy) {
        if let Some(Err(error)) = self.disk.as_ref().map(|disk| disk.store(&policy)) {
            self.report_disk_error(&error);
        }
        self.activate(policy);
        // During startup the version may be below the version floor and must not be served under.
        if self.started {
            self.deps.subscribers.allow_serving(self.current.version);
        }
    }

    pub(super) fn activate(&mut self, policy: Policy) {
        let version = policy.version;
        self.current = Arc::new(policy);
        self.deps.subscribers.notify(&self.current);
        self.deps.policies.send_replace(Arc::clone(&self.current));
        let level = usize::try_from(version).unwrap_or(usize::MAX);
        self.context.metrics.set_gauge("version", level);
        report(Event::CONFIG_APPLIED, format_args!("version {version}"));
    }

    pub(super) fn report_disk_error(&self, error: &io::Error) {
        self.context.metrics.count("config_disk", 1);
        report(Event::CONFIG_DISK, format_args!("{error}"));
    }
}
