//! The thread of the relay duty: a single-threaded runtime that carries every attempt.

use {
    super::{
        attempt::{self, Tools},
        messages::Dispatch,
        pool::Pool,
        settings::Settings,
    },
    crate::{context::Context, ring, slots},
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        task::LocalSet,
        time,
    },
};

const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// The sending end of the relay's ring.
#[derive(Clone, Debug)]
pub struct Sender {
    inner: mpsc::Sender<Dispatch>,
}

impl Sender {
    /// Offers an attempt without waiting.
    ///
    /// # Errors
    /// Hands the attempt back when the ring is full or closed.
    pub fn offer(&self, dispatch: Dispatch) -> Result<(), Box<Dispatch>> {
        self.inner.try_send(dispatch).map_err(|error| match error {
            mpsc::error::TrySendError::Full(dispatch)
            | mpsc::error::TrySendError::Closed(dispatch) => Box::new(dispatch),
        })
    }
}

/// The receiving end of the relay's ring.
#[derive(Debug)]
pub struct Receiver {
    inner: mpsc::Receiver<Dispatch>,
}

/// Makes the relay's ring, which is bounded like every other but can be awaited.
#[must_use]
pub fn bounded(capacity: usize) -> (Sender, Receiver) {
    let (tx, rx) = mpsc::channel(capacity);
    (Sender { inner: tx }, Receiver { inner: rx })
}

/// Starts the duty; ended attempts go back to `slots`. It ends when `stop` closes.
///
/// The slots duty holds the ring's sending end and this duty that of `slots`, so neither ring
/// closes by itself.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: &Context,
    settings: Settings,
    ring: Receiver,
    slots: ring::Sender<slots::Message>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let clock = context.clock;
    let run = move || {
        let local = LocalSet::new();
        let tools = Tools {
            clock,
            settings,
            pool: Rc::new(RefCell::new(Pool::default())),
        };
        local.block_on(&runtime, async {
            tokio::select! {
                () = run(tools, ring.inner, slots) => {}
                _ = stop => {}
            }
        });
    };
    std::thread::Builder::new()
        .name("relay".to_owned())
        .spawn(run)
}

async fn run(
    tools: Tools,
    mut ring: mpsc::Receiver<Dispatch>,
    slots: ring::Sender<slots::Message>,
) {
    let keep = Duration::from_millis(tools.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            dispatch = ring.recv() => match dispatch {
                Some(dispatch) => start(&tools, dispatch, &slots),
                None => return,
            },
            _ = evict.tick() => tools.pool.borrow_mut().evict(keep),
        }
    }
}

fn start(tools: &Tools, dispatch: Dispatch, slots: &ring::Sender<slots::Message>) {
    let (tools, slots) = (tools.clone(), slots.clone());
    tokio::task::spawn_local(async move {
        let Dispatch {
            flight,
            address,
            mut call,
        } = dispatch;
        let result = attempt::run(&tools, address, &mut call).await;
        // Waits for room: the slot must be freed. The slots duty never waits for this one.
        let _ = slots.send(slots::Message::Done {
            flight,
            call,
            result,
        });
    });
}
