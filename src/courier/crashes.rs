//! Finds out whether an upstream whose connection was cut has crashed, and reports the requests that were running
//! on it.
//!
//! A cut connection alone proves nothing: upstreams in trouble truncate responses. A process that has crashed has
//! closed all its connections and refuses new ones.

use {
    super::{
        attempt::Resources,
        messages::{Dispatch, Ended},
    },
    crate::{
        call::Reason,
        poison::{Monitor, Process, fingerprint},
        relay::pool,
        sorted::Sorted,
    },
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time,
};

/// Delays of the checks after a cut: a crashing process may take a while to close its listener.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(300)];

/// Upstreams that are being checked, and access to the poison duty.
#[derive(Clone, Debug)]
pub(super) struct Crashes {
    monitor: Monitor,
    checked: Rc<RefCell<Sorted<SocketAddr, ()>>>,
}

impl Crashes {
    pub(super) fn new(monitor: Monitor) -> Self {
        Self {
            monitor,
            checked: Rc::default(),
        }
    }
}

/// Reports the end of an attempt to the poison duty, if it is relevant.
pub(super) fn record(resources: &Resources, dispatch: &Dispatch, ended: Ended) {
    let Crashes { monitor, checked } = &resources.crashes;
    match ended {
        Ended::Answered { .. } => monitor.record_response(|| fingerprint(&dispatch.payload)),
        Ended::Failed {
            reason: Reason::AnswerCut,
            ..
        } => {
            let address = dispatch.target.address;
            let process = Process {
                address,
                born: dispatch.target.born,
            };
            monitor.record_cut(fingerprint(&dispatch.payload), process);
            if checked.borrow_mut().insert(address, ()).is_none() {
                let resources = resources.clone();
                tokio::task::spawn_local(async move {
                    check(&resources, address).await;
                    resources.crashes.checked.borrow_mut().remove(&address);
                });
            }
        }
        Ended::Misdirected | Ended::Failed { .. } => {}
    }
}

/// Reports the upstream as lost if it has no open connection and refuses a new one.
async fn check(resources: &Resources, address: SocketAddr) {
    for delay in CHECK_DELAYS {
        time::sleep(delay).await;
        if resources.pool.borrow().has_open(address) {
            return;
        }
        let limit = Duration::from_millis(resources.settings.connect_ms);
        resources.context.metrics.count("connections_opened", 1);
        match pool::connect(address, limit).await {
            Ok(connection) => {
                let max = resources.settings.idle_max;
                let mut pool = resources.pool.borrow_mut();
                return pool.keep(address, connection, max);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return resources.crashes.monitor.record_loss(address);
            }
            // A timeout proves nothing: packets may be lost.
            Err(_) => {}
        }
    }
}
