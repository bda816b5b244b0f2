//! The entry side: finds the version to start from, then asks for what is new and hands it on.

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
pub(super) const ANSWER_MARGIN: Duration = Duration::from_secs(1);
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
    duty::spawn_local("spread", move || async move {
        duty::until(stop, duty.run()).await;
    })
}

pub(super) struct Duty {
    pub context: Context,
    pub settings: Settings,
    pub secret: Secret,
    pub wires: Wires,
    pub current: Arc<Policy>,
    pub disk: Option<Disk>,
    pub polls: usize,
    pub started: bool,
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
            // After a freeze this VM serves again once it has asked, or found nobody to ask.
            self.wires.subscribers.serve(self.current.version);
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
}
