//! The entry side: finds the version to start from, then asks for what is new and hands it on.

use {
    super::{
        decide::{self, Sources, Step},
        disk::Disk,
        messages::{Fetch, Fetched, Subscribers},
        serve::FETCH,
        settings::Settings,
    },
    crate::{
        context::Context,
        edge::{Secret, client::Client},
        membership::messages::Seen,
        observe::{Event, report},
        policy::Policy,
    },
    std::{io, net::SocketAddr, path::Path, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{self, Instant},
    },
};

/// Time for an answer beyond the time it may be held back.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
const START_POLL: Duration = Duration::from_millis(50);

/// What the duty is wired to.
#[derive(Debug)]
pub struct Wires {
    /// The duties that act on the configuration.
    pub subscribers: Subscribers,
    /// The configuration in force, for VMs that ask this one.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Whether news still reach this VM.
    pub fresh: watch::Sender<bool>,
    /// The members.
    pub seen: Seen,
}

/// Starts the duty; it ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    wires: Wires,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut duty = Duty {
        context,
        settings,
        secret,
        wires,
        current: Arc::default(),
        disk: None,
        polls: 0,
        started: false,
    };
    let run = move || {
        runtime.block_on(async {
            tokio::select! {
                () = duty.run() => {}
                _ = stop => {}
            }
        });
    };
    std::thread::Builder::new()
        .name("spread".to_owned())
        .spawn(run)
}

struct Duty {
    context: Context,
    settings: Settings,
    secret: Secret,
    wires: Wires,
    current: Arc<Policy>,
    disk: Option<Disk>,
    polls: usize,
    started: bool,
}

impl Duty {
    async fn run(&mut self) {
        self.recall();
        self.find_floor().await;
        self.started = true;
        self.wires.subscribers.serve(self.current.version);
        self.follow().await;
    }

    /// Takes up the configuration that was kept on disk.
    fn recall(&mut self) {
        if self.settings.data_dir.is_empty() {
            return;
        }
        let disk = Disk::open(Path::new(&self.settings.data_dir));
        let kept = disk.and_then(|disk| {
            let kept = disk.load();
            self.disk = Some(disk);
            kept
        });
        match kept {
            Ok(Some(policy)) => self.put_in_force(policy),
            Ok(None) => {}
            Err(error) => self.report_disk(&error),
        }
    }

    /// Does not return before this VM has what a VM of its zone has applied, but waits no longer
    /// than `start_ms`.
    async fn find_floor(&mut self) {
        let limit = Duration::from_millis(self.settings.start_ms);
        let mut asked = false;
        let search = async {
            loop {
                asked = asked || self.ask_control().await;
                if self.reached_floor(asked) {
                    return;
                }
                if let Some(address) = self.sources().ahead {
                    self.ask(address, Duration::ZERO).await;
                }
                time::sleep(START_POLL).await;
            }
        };
        if time::timeout(limit, search).await.is_err() {
            let version = self.current.version;
            report(Event::CONFIG_FLOOR, format_args!("version {version}"));
            self.context.metrics.count("config_floor_missed", 1);
        }
    }

    fn reached_floor(&self, control_asked: bool) -> bool {
        let members = self.wires.seen.borrow();
        let floor = decide::floor(&members, self.context.zone);
        members.joined
            && self.current.version >= floor.unwrap_or(0)
            && (control_asked || floor.is_some())
    }

    async fn ask_control(&mut self) -> bool {
        for address in self.settings.control.clone() {
            if self.ask(address, Duration::ZERO).await {
                return true;
            }
        }
        false
    }

    async fn follow(&mut self) {
        let hold = Duration::from_millis(self.settings.hold_ms);
        loop {
            let sources = self.sources();
            if let Some(address) = sources.ahead {
                self.ask(address, Duration::ZERO).await;
            }
            let started = Instant::now();
            let answered = self.ask_first(&sources, hold).await;
            self.polls += 1;
            self.note_reachable(&sources, answered);
            if !answered {
                self.wait(started + Duration::from_millis(self.settings.retry_ms))
                    .await;
            }
        }
    }

    /// Waits, but not longer than until a member is known to be ahead.
    async fn wait(&mut self, until: Instant) {
        let version = self.current.version;
        let ahead = self
            .wires
            .seen
            .wait_for(|members| members.rows.iter().any(|row| row.version > version));
        // Both ends of the wait, also the end of the members duty, lead to the next poll.
        let _ = time::timeout_at(until, ahead).await;
    }

    async fn ask_first(&mut self, sources: &Sources, hold: Duration) -> bool {
        for address in &sources.watched {
            let ahead = self.wires.seen.clone();
            let version = self.current.version;
            if self.ask_unless_ahead(*address, hold, ahead, version).await {
                return true;
            }
            self.context.metrics.count("spread_unreachable", 1);
        }
        false
    }

    /// A held question is given up as soon as a member is known to be ahead.
    async fn ask_unless_ahead(
        &mut self,
        address: SocketAddr,
        hold: Duration,
        mut seen: Seen,
        version: u64,
    ) -> bool {
        let name = Arc::clone(&self.context.vm);
        let ahead = seen.wait_for(|members| {
            let mut rows = members.rows.iter();
            rows.any(|row| row.version > version && *row.name != *name)
        });
        tokio::select! {
            biased;
            answered = self.ask(address, hold) => answered,
            // Leaves the answer on its way a moment to arrive first.
            () = async { let _ = ahead.await; time::sleep(ANSWER_MARGIN).await } => true,
        }
    }

    fn note_reachable(&self, sources: &Sources, answered: bool) {
        let was = self.wires.fresh.send_replace(answered);
        if was && !answered {
            let asked = &sources.watched;
            report(Event::CONTROL_UNREACHABLE, format_args!("{asked:?}"));
        }
    }

    fn sources(&self) -> Sources {
        decide::sources(
            &self.wires.seen.borrow(),
            (&self.context.vm, self.context.zone),
            self.current.version,
            &self.settings.control,
            self.polls,
        )
    }

    /// Asks one VM and acts on the answer; whether there was one.
    async fn ask(&mut self, address: SocketAddr, hold: Duration) -> bool {
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
            let to_control = self.settings.control.contains(&address);
            let reports = if to_control {
                decide::reports(&members, (self.context.zone, zone))
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

    fn put_in_force(&mut self, policy: Policy) {
        let version = policy.version;
        self.current = Arc::new(policy);
        self.wires.subscribers.notify(&self.current);
        self.wires.policies.send_replace(Arc::clone(&self.current));
        let level = usize::try_from(version).unwrap_or(usize::MAX);
        self.context.metrics.level("version", level);
        report(Event::CONFIG_APPLIED, format_args!("version {version}"));
    }

    fn report_disk(&self, error: &io::Error) {
        self.context.metrics.count("config_disk", 1);
        report(Event::CONFIG_DISK, format_args!("{error}"));
    }
}
