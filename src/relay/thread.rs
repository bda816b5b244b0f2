//! The thread of the relay duty: a single-threaded runtime that carries every attempt.

use {
    super::{
        attempt::{self, Target, Tools},
        messages::Dispatch,
        paths::Paths,
        pool::Pool,
        settings::Settings,
    },
    crate::{
        context::Context,
        duty,
        poison::Guard,
        ring::{self, Inbox},
        slots,
    },
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

const EVICT_INTERVAL: Duration = Duration::from_secs(1);

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
    inbox: Inbox<Dispatch>,
    slots: ring::Sender<slots::Message>,
    guard: Guard,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let context = context.clone();
    duty::spawn_local("relay", move || {
        let tools = Tools {
            context,
            settings,
            pool: Rc::new(RefCell::new(Pool::default())),
            paths: Rc::new(RefCell::new(Paths::default())),
        };
        duty::until(stop, run(tools, inbox, slots, guard))
    })
}

async fn run(
    tools: Tools,
    mut inbox: Inbox<Dispatch>,
    slots: ring::Sender<slots::Message>,
    guard: Guard,
) {
    let keep = Duration::from_millis(tools.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            dispatch = inbox.recv() => match dispatch {
                Some(dispatch) => start(&tools, dispatch, &slots, &guard),
                None => return,
            },
            _ = evict.tick() => {
                tools.pool.borrow_mut().evict(keep);
                tools.paths.borrow_mut().evict();
            }
        }
    }
}

fn start(tools: &Tools, dispatch: Dispatch, slots: &ring::Sender<slots::Message>, guard: &Guard) {
    let (tools, slots, guard) = (tools.clone(), slots.clone(), guard.clone());
    tokio::task::spawn_local(async move {
        let Dispatch {
            flight,
            address,
            holder,
            until,
            mut call,
        } = dispatch;
        let target = Target {
            address,
            holder,
            until,
        };
        let result = match guard.refuse(&call) {
            Some(failure) => Err(failure),
            None => attempt::run(&tools, &target, &mut call).await,
        };
        guard.note(&call, address, &result);
        // Waits for room: the slot must be freed. The slots duty never waits for this one.
        let _ = slots.send(slots::Message::Done {
            flight,
            call,
            result,
        });
    });
}
