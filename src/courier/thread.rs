//! Thread of the courier duty: a single-threaded runtime that runs every attempt as a task.

use {
    super::{
        attempt::{self, Findings, Resources},
        crashes::{self, Crashes},
        messages::{Dispatch, Report, WireFormat},
        settings::Settings,
    },
    crate::{
        context::Context, duty, edge::held::Held, poison::Monitor, relay::pool::Pool,
        ring::AsyncReceiver,
    },
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

/// Interval at which connections that have been idle for too long are closed.
const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the duty; it calls `report` with the result of each attempt, tells `monitor` which requests upstreams
/// crashed on, and exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: &Context,
    settings: Settings,
    wire_format: WireFormat,
    monitor: Monitor,
    receiver: AsyncReceiver<Dispatch>,
    report: impl Fn(Report) + Clone + Send + 'static,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let context = context.clone();
    duty::spawn_local("courier", move || {
        let resources = Resources {
            context,
            settings,
            wire_format,
            held: Held::strict(settings.held_bytes),
            pool: Rc::new(RefCell::new(Pool::default())),
            crashes: Crashes::new(monitor),
            fence: Rc::default(),
        };
        duty::run_until(stop, run(resources, receiver, report))
    })
}

async fn run(
    resources: Resources,
    mut receiver: AsyncReceiver<Dispatch>,
    report: impl Fn(Report) + Clone + Send + 'static,
) {
    let max_idle = Duration::from_millis(resources.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            dispatch = receiver.recv() => match dispatch {
                Some(dispatch) => start(&resources, dispatch, report.clone()),
                None => return,
            },
            _ = evict.tick() => resources.pool.borrow_mut().evict(max_idle),
        }
    }
}

/// Runs one attempt as a task and reports its result.
fn start(resources: &Resources, dispatch: Dispatch, report: impl Fn(Report) + Send + 'static) {
    let resources = resources.clone();
    tokio::task::spawn_local(async move {
        let started = resources.context.clock.now();
        let findings = Findings::default();
        let (ended, answer) = attempt::run(&resources, &dispatch, &findings).await;
        let elapsed = resources.context.clock.now().since(started);
        crashes::record(&resources, &dispatch, ended);
        report(Report {
            in_flight: dispatch.in_flight,
            target: dispatch.target,
            ended,
            notice: findings.notice.get(),
            answer,
            connect_us: findings.connect_us.get(),
            took_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
        });
    });
}
