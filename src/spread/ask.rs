//! One question and what follows from its answer.

use {
    super::{
        decide::{self, Step},
        messages::{Fetch, Fetched},
        serve::FETCH,
        thread::{ANSWER_MARGIN, Duty},
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
    /// Asks one VM and acts on the answer; whether there was one.
    pub(super) async fn ask(&mut self, address: SocketAddr, hold: Duration) -> bool {
        let Some(fetched) = self.fetch(address, hold, false).await else {
            return false;
        };
        match decide::step(&self.current, fetched) {
            Step::Same => {}
            Step::Newer(policy) => self.adopt(policy),
            Step::Mismatch => self.mend(address).await,
        }
        true
    }

    /// Two configurations of one version differ: control knows the right one.
    async fn mend(&mut self, address: SocketAddr) {
        self.context.metrics.count("config_mismatch", 1);
        let version = self.current.version;
        report(
            Event::CONFIG_MISMATCH,
            format_args!("version {version} here, {address}"),
        );
        for address in self.settings.control.clone() {
            let Some(fetched) = self.fetch(address, Duration::ZERO, true).await else {
                continue;
            };
            if let Step::Newer(policy) = decide::step(&self.current, fetched) {
                self.adopt(policy);
                return;
            }
        }
        // Without control, try again in a while rather than at once.
        time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
    }

    async fn fetch(&self, address: SocketAddr, hold: Duration, full: bool) -> Option<Fetched> {
        let client = Client::new(address, &self.secret, hold + ANSWER_MARGIN).ok()?;
        let question = {
            let members = self.wires.seen.borrow();
            let zone = &self.context.topology.zones[usize::from(self.context.zone.0)].name;
            let own = (&*self.context.vm, self.current.version);
            let to_control = self.settings.control.contains(&address);
            let reports = if to_control {
                decide::reports(&members, (self.context.zone, zone), own)
            } else {
                Vec::new()
            };
            Fetch {
                vm: self.context.vm.to_string(),
                version: self.current.version,
                hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
                full,
                reports,
            }
        };
        client.call(FETCH, &question).await.ok()
    }

    fn adopt(&mut self, policy: Policy) {
        if let Some(Err(error)) = self.disk.as_ref().map(|disk| disk.keep(&policy)) {
            self.report_disk(&error);
        }
        self.put_in_force(policy);
        // Before the start is over, the version may not be one to serve under.
        if self.started {
            self.wires.subscribers.serve(self.current.version);
        }
    }

    pub(super) fn put_in_force(&mut self, policy: Policy) {
        let version = policy.version;
        self.current = Arc::new(policy);
        self.wires.subscribers.notify(&self.current);
        self.wires.policies.send_replace(Arc::clone(&self.current));
        let level = usize::try_from(version).unwrap_or(usize::MAX);
        self.context.metrics.level("version", level);
        report(Event::CONFIG_APPLIED, format_args!("version {version}"));
    }

    pub(super) fn report_disk(&self, error: &io::Error) {
        self.context.metrics.count("config_disk", 1);
        report(Event::CONFIG_DISK, format_args!("{error}"));
    }
}
