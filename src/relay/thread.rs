//! Thread of the relay duty: a single-threaded runtime that runs every attempt as a task.

use {
    super::{
        attempt::{self, Resources, Target},
        limits::AddressLimits,
        messages::Dispatch,
        pool::Pool,
        settings::Settings,
    },
    crate::{
        context::Context,
        duty,
        edge::held::Held,
        poison::Guard,
        ring::{self, AsyncReceiver},
        slots,
    },
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

/// Interval at which idle connections and unused limits are removed.
const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the duty; the results of attempts are sent to `slots`. It exits when `stop` closes.
///
/// The slots duty has the sender of `receiver`, and this duty the sender of the slots ring, so
/// neither ring closes by itself.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: &Context,
    settings: Settings,
    receiver: AsyncReceiver<Dispatch>,
    slots: ring::Sender<slots::Message>,
    guard: Guard,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let context = context.clone();
    duty::spawn_local("relay", move || {
        let resources = Resources {
            context,
            held: Held::new(settings.held_bytes),
            settings,
            pool: Rc::new(RefCell::new(Pool::default())),
            limits: Rc::new(RefCell::new(AddressLimits::default())),
        };
        duty::run_until(stop, run(resources, receiver, slots, guard))
    })
}

async fn run(
    resources: Resources,
    mut receiver: AsyncReceiver<Dispatch>,
    slots: ring::Sender<slots::Message>,
    guard: Guard,
) {
    let max_idle = Duration::from_millis(resources.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            dispatch = receiver.recv() => match dispatch {
                Some(dispatch) => start(&resources, dispatch, &slots, &guard),
                None => return,
            },
            _ = evict.tick() => {
                resources.pool.borrow_mut().evict(max_idle);
                resources.limits.borrow_mut().evict();
            }
        }
    }
}

/// Runs one attempt as a task and sends its result to the slots duty.
fn start(
    resources: &Resources,
    dispatch: Dispatch,
    slots: &ring::Sender<slots::Message>,
    guard: &Guard,
) {
    let (resources, slots, guard) = (resources.clone(), slots.clone(), guard.clone());
    tokio::task::spawn_local(async move {
        let Dispatch {
            in_flight,
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
        let result = match guard.refusal(&call) {
            Some(failure) => Err(failure),
            None => attempt::run(&resources, &target, &mut call).await,
        };
        guard.record_result(&call, address, &result);
        // Blocks while the ring is full, because the slot must be released. This cannot deadlock:
        // the slots duty never blocks on this one.
        let _ = slots.send(slots::Message::Done {
            in_flight,
            call,
            result,
        });
    });
}
