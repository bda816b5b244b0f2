//! The thread of the catalog duty on an entry VM: it asks two control VMs at a time for news.

use {
    super::{
        serve::{FOLLOW, News, Question},
        settings::Settings,
        state::Catalog,
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
    },
    std::{
        cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc, thread::JoinHandle, time::Duration,
    },
    tokio::{
        sync::{oneshot, watch},
        time,
    },
};

/// Control VMs that are asked at a time: a silent or cut-off one delays nothing.
const LANES: usize = 2;
/// Time for an answer beyond the time for which it may be held back: three round trips between far regions.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// What the rest of the process learns.
#[derive(Clone, Debug)]
pub struct CatalogView {
    /// The catalogue as it is known here.
    pub catalog: Arc<Catalog>,
    /// Peer listeners of the control VMs.
    pub control: Arc<Vec<SocketAddr>>,
    /// How many entry VMs serve in each availability zone, by name.
    pub zones: Arc<Vec<(String, u32)>>,
}

struct Duty {
    context: Context,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    publish: Box<dyn Fn(&CatalogView)>,
    known: RefCell<CatalogView>,
    /// Lanes without an answer since their last question.
    deaf: RefCell<[bool; LANES]>,
}

/// Starts the duty; `publish` gets each change. It ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    publish: impl Fn(&CatalogView) + Send + 'static,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("catalog", move || {
        let duty = Rc::new(Duty {
            known: RefCell::new(CatalogView {
                catalog: Arc::default(),
                control: Arc::new(settings.control.clone()),
                zones: Arc::default(),
            }),
            context,
            settings,
            secret,
            seeds,
            publish: Box::new(publish),
            deaf: RefCell::new([true; LANES]),
        });
        duty::until(stop, async move {
            let second = tokio::task::spawn_local(Rc::clone(&duty).run(1));
            duty.run(0).await;
            // The first lane ends only with the duty.
            second.abort();
        })
    })
}

impl Duty {
    async fn run(self: Rc<Self>, lane: usize) {
        let mut turn = rand::random::<u16>() as usize * LANES + lane;
        let mut client: Option<(SocketAddr, Client)> = None;
        loop {
            if client.is_none() {
                client = self.pick(turn).and_then(|address| self.open(address));
            }
            let answered = match &client {
                Some((address, client)) => {
                    let answered = self.ask(client).await;
                    self.note(lane, answered, *address);
                    answered
                }
                None => false,
            };
            if !answered {
                client = None;
                turn += 1;
                time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
            }
        }
    }

    fn open(&self, address: SocketAddr) -> Option<(SocketAddr, Client)> {
        let hold = Duration::from_millis(self.settings.hold_ms);
        let client = Client::new(address, &self.secret, hold + ANSWER_MARGIN).ok()?;
        Some((address, client))
    }

    /// The control VM whose turn it is, from those that the others name and the settings.
    fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let mut all = self.known.borrow().control.to_vec();
        all.extend(self.seeds.borrow().iter().copied());
        all.sort_unstable();
        all.dedup();
        let at = turn.checked_rem(all.len())?;
        all.get(at).copied()
    }

    async fn ask(&self, client: &Client) -> bool {
        let revision = self.known.borrow().catalog.revision;
        let question = Question {
            revision,
            hold_ms: self.settings.hold_ms,
        };
        let Ok(news) = client.call::<News>(FOLLOW, &question).await else {
            self.context.metrics.count("catalog_unreachable", 1);
            return false;
        };
        self.take(news);
        true
    }

    fn take(&self, news: News) {
        let mut known = self.known.borrow_mut();
        let mut changed = false;
        let follows = news.delta.since <= known.catalog.revision;
        if follows && news.delta.revision > known.catalog.revision {
            let version = known.catalog.version;
            changed = Arc::make_mut(&mut known.catalog).merge(news.delta);
            if known.catalog.version != version {
                let (version, revision) = (known.catalog.version, known.catalog.revision);
                report(
                    Event::CONFIG_APPLIED,
                    format_args!("version {version}, revision {revision}"),
                );
            }
        }
        if !news.control.is_empty() && *known.control != news.control {
            known.control = Arc::new(news.control);
            changed = true;
        }
        if *known.zones != news.zones {
            known.zones = Arc::new(news.zones);
            changed = true;
        }
        if changed {
            (self.publish)(&known);
        }
    }

    fn note(&self, lane: usize, answered: bool, address: SocketAddr) {
        let mut deaf = self.deaf.borrow_mut();
        let was = deaf.iter().all(|deaf| *deaf);
        deaf[lane] = !answered;
        let is = deaf.iter().all(|deaf| *deaf);
        if is && !was {
            report(Event::CONTROL_UNREACHABLE, format_args!("{address}"));
        } else if was && !is {
            report(Event::CONTROL_REACHED, format_args!("{address}"));
        }
    }
}
