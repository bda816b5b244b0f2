//! Thread of the duty on an entry VM: reaches the version to start from, then polls for newer
//! configurations and forwards them to the subscribers.

use {
    super::{
        decide::{self, Sources},
        disk::Disk,
        messages::Subscribers,
        settings::Settings,
    },
    crate::{
        context::Context,
        duty,
        edge::Secret,
        membership::messages::MembersReceiver,
        observe::{Event, report},
        policy::Policy,
    },
    std::{io, net::SocketAddr, path::Path, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{self, Instant},
    },
};

/// Time for a response in addition to the time for which it may be held back.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Channels of the duty to other duties and to the peer listener.
#[derive(Debug)]
pub struct Dependencies {
    /// Duties that act on the configuration.
    pub subscribers: Subscribers,
    /// Configuration in force, served to VMs that poll the local one.
    pub policies: watch::Sender<Arc<Policy>>,
    /// Whether updates are being received, so that the configuration is current.
    pub is_current: watch::Sender<bool>,
    /// Latest members.
    pub members: MembersReceiver,
}

/// Starts the duty, whose thread exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    deps: Dependencies,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let mut duty = Duty {
        context,
        settings,
        secret,
        deps,
        current: Arc::default(),
        disk: None,
        polls: 0,
        started: false,
    };
    duty::spawn_local("spread", move || async move {
        duty::run_until(stop, duty.run()).await;
    })
}

pub(super) struct Duty {
    pub context: Context,
    pub settings: Settings,
    pub secret: Secret,
    pub deps: Dependencies,
    pub current: Arc<Policy>,
    pub disk: Option<Disk>,
    pub polls: usize,
    pub started: bool,
}

impl Duty {
    async fn run(&mut self) {
        self.load_from_disk();
        self.reach_version_floor().await;
        self.started = true;
        self.deps.subscribers.allow_serving(self.current.version);
        self.follow_updates().await;
    }

    /// Puts the configuration that is stored on disk in force.
    fn load_from_disk(&mut self) {
        if self.settings.data_dir.is_empty() {
            return;
        }
        let disk = Disk::open(Path::new(&self.settings.data_dir));
        let stored = disk.and_then(|disk| {
            let stored = disk.load();
            self.disk = Some(disk);
            stored
        });
        match stored {
            Ok(Some(policy)) => self.activate(policy),
            Ok(None) => {}
            Err(error) => self.report_disk_error(&error),
        }
    }

    /// Polls until the version in force is at least the highest one in force in the zone, for at
    /// most `start_ms`.
    async fn reach_version_floor(&mut self) {
        let limit = Duration::from_millis(self.settings.start_ms);
        let mut has_control_responded = false;
        let search = async {
            loop {
                has_control_responded = has_control_responded || self.poll_control().await;
                if self.has_reached_floor(has_control_responded) {
                    return;
                }
                if let Some(address) = self.sources().ahead {
                    self.poll(address, Duration::ZERO).await;
                }
                time::sleep(START_POLL_INTERVAL).await;
            }
        };
        if time::timeout(limit, search).await.is_err() {
            let version = self.current.version;
            report(Event::CONFIG_FLOOR, format_args!("version {version}"));
            self.context.metrics.count("config_floor_missed", 1);
        }
    }

    fn has_reached_floor(&self, has_control_responded: bool) -> bool {
        let members = self.deps.members.borrow();
        let floor = decide::version_floor(&members, self.context.zone);
        members.joined
            && self.current.version >= floor.unwrap_or(0)
            && (has_control_responded || floor.is_some())
    }

    async fn poll_control(&mut self) -> bool {
        for address in self.settings.control.clone() {
            if self.poll(address, Duration::ZERO).await {
                return true;
            }
        }
        false
    }

    async fn follow_updates(&mut self) {
        let hold = Duration::from_millis(self.settings.hold_ms);
        loop {
            let sources = self.sources();
            if let Some(address) = sources.ahead {
                self.poll(address, Duration::ZERO).await;
            }
            let started = Instant::now();
            let has_responded = self.poll_first_available(&sources, hold).await;
            self.polls += 1;
            // After a freeze the local VM serves again once it has polled, even if no VM responded.
            self.deps.subscribers.allow_serving(self.current.version);
            self.record_reachability(&sources, has_responded);
            if !has_responded {
                self.wait_for_retry(started + Duration::from_millis(self.settings.retry_ms))
                    .await;
            }
        }
    }

    /// Waits until the deadline, or until a member with a newer version is known.
    async fn wait_for_retry(&mut self, until: Instant) {
        let version = self.current.version;
        let ahead = self
            .deps
            .members
            .wait_for(|members| members.rows.iter().any(|row| row.version > version));
        // The next poll follows in every case, also after the membership duty has exited.
        let _ = time::timeout_at(until, ahead).await;
    }

    async fn poll_first_available(&mut self, sources: &Sources, hold: Duration) -> bool {
        for address in &sources.long_polled {
            let members = self.deps.members.clone();
            let version = self.current.version;
            if self
                .poll_unless_ahead(*address, hold, members, version)
                .await
            {
                return true;
            }
            self.context.metrics.count("spread_unreachable", 1);
        }
        false
    }

    /// Long-polls one VM; abandons the poll once a member with a newer version is known.
    async fn poll_unless_ahead(
        &mut self,
        address: SocketAddr,
        hold: Duration,
        mut members: MembersReceiver,
        version: u64,
    ) -> bool {
        let name = Arc::clone(&self.context.vm);
        let ahead = members.wait_for(|members| {
            let mut rows = members.rows.iter();
            rows.any(|row| row.version > version && *row.name != *name)
        });
        tokio::select! {
            biased;
            has_responded = self.poll(address, hold) => has_responded,
            // Grants a response in flight a short time to arrive first.
            () = async { let _ = ahead.await; time::sleep(RESPONSE_MARGIN).await } => true,
        }
    }

    fn record_reachability(&self, sources: &Sources, has_responded: bool) {
        let was_reachable = self.deps.is_current.send_replace(has_responded);
        if was_reachable && !has_responded {
            let polled = &sources.long_polled;
            report(
                Event::CONTROL_UNREACHABLE,
                format_args!("polled {polled:?}"),
            );
        }
    }

    fn sources(&self) -> Sources {
        decide::sources(
            &self.deps.members.borrow(),
            (&self.context.vm, self.context.zone),
            self.current.version,
            &self.settings.control,
            self.polls,
        )
    }
}
