//! HTTP handler of the admin listener.

use {
    super::{explain, poisoned},
    crate::{
        context::Context,
        drain::{self, Progress},
        edge::{Handler, Incoming, Outgoing},
        poison,
        ring::Sender,
        shift,
        slots::{self, Status},
    },
    serde_json::{Value, json},
    std::{fmt, rc::Rc, sync::Arc},
    tokio::sync::oneshot,
};

const EXPLAIN_PREFIX: &[u8] = b"/explain/";

/// Data sources of the handler.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Context of the process.
    pub context: Context,
    /// Slots duty, for slot counts; entry VMs only.
    pub slots: Option<Sender<slots::Message>>,
    /// Shift duty, for the progress of shifts; entry VMs only.
    pub shift: Option<Sender<shift::Message>>,
    /// Drain duty, for the progress of drains; entry VMs only.
    pub drain: Option<Sender<drain::Message>>,
    /// Poison duty, for requests that crash upstreams; entry VMs only.
    pub poison: Option<Sender<poison::Message>>,
    /// Number of queued messages per ring.
    pub depths: RingDepths,
}

impl Dependencies {
    /// Creates the sources of a process that serves only metrics and its basic status.
    ///
    /// ```
    /// use siskinstep::{admin::Dependencies, context::Context, keys::ZoneKey};
    /// let deps = Dependencies::metrics_only(Context::new("entry-1", ZoneKey(0), Default::default()));
    /// assert!(deps.slots.is_none());
    /// ```
    #[must_use]
    pub fn metrics_only(context: Context) -> Self {
        Self {
            context,
            slots: None,
            shift: None,
            drain: None,
            poison: None,
            depths: RingDepths::default(),
        }
    }
}

/// Reads the number of queued messages per ring, with the name of the gauge that shows it.
#[derive(Clone, Default)]
pub struct RingDepths {
    read: Option<Arc<ReadDepths>>,
}

type ReadDepths = dyn Fn() -> Vec<(&'static str, usize)> + Send + Sync;

impl RingDepths {
    /// Creates a reader from a closure.
    ///
    /// ```
    /// let depths = siskinstep::admin::RingDepths::new(|| vec![("ring_slots", 3)]);
    /// assert_eq!(depths.read(), [("ring_slots", 3)]);
    /// ```
    #[must_use]
    pub fn new(read: impl Fn() -> Vec<(&'static str, usize)> + Send + Sync + 'static) -> Self {
        Self {
            read: Some(Arc::new(read)),
        }
    }

    /// Returns the current depths.
    #[must_use]
    pub fn read(&self) -> Vec<(&'static str, usize)> {
        self.read.as_ref().map(|read| read()).unwrap_or_default()
    }
}

impl fmt::Debug for RingDepths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.read()).finish()
    }
}

/// Creates the handler, which serves the paths of [`crate::admin`].
#[must_use]
pub fn handler(deps: Dependencies) -> Handler {
    let deps = Rc::new(deps);
    Rc::new(move |incoming| {
        let deps = Rc::clone(&deps);
        Box::pin(async move { deps.serve(&incoming).await })
    })
}

impl Dependencies {
    async fn serve(&self, incoming: &Incoming) -> Outgoing {
        match incoming.path() {
            b"/metrics" => self.metrics(),
            b"/status" => self.status().await,
            b"/poison" if incoming.method == "GET" => poisoned::list(self.poison.as_ref()).await,
            b"/poison/lift" if incoming.method == "POST" => {
                poisoned::lift(self.poison.as_ref(), incoming)
            }
            path if path.starts_with(EXPLAIN_PREFIX) => {
                explain::serve(&self.context, &path[EXPLAIN_PREFIX.len()..]).await
            }
            _ => Outgoing::refusal(404, "unknown_path"),
        }
    }

    fn metrics(&self) -> Outgoing {
        for (name, depth) in self.depths.read() {
            self.context.metrics.set_gauge(name, depth);
        }
        Outgoing::new(200, "text/plain", self.context.metrics.text())
    }

    async fn status(&self) -> Outgoing {
        let upstreams = self.upstreams().await;
        let drains: Vec<Value> = self.drains().await.iter().map(drain_row).collect();
        let rows: Vec<Value> = upstreams.iter().map(|row| self.row(row)).collect();
        let body = json!({
            "vm": &*self.context.vm,
            "incarnation": self.context.incarnation,
            "stopping": self.context.is_stopping(),
            "inflight": self.context.in_flight(),
            "upstreams": rows,
            "shifts": self.shifts().await,
            "drains": drains,
        });
        Outgoing::new(200, "application/json", body.to_string())
    }

    async fn upstreams(&self) -> Vec<Status> {
        let Some(slots) = &self.slots else {
            return Vec::new();
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |rows| drop(tx.send(rows)));
        if slots.offer(slots::Message::Read(reply)).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    async fn shifts(&self) -> Vec<shift::Status> {
        let Some(shift) = &self.shift else {
            return Vec::new();
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |rows| drop(tx.send(rows)));
        if shift.offer(shift::Message::Read(reply)).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    async fn drains(&self) -> Vec<Progress> {
        let Some(drain) = &self.drain else {
            return Vec::new();
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |rows| drop(tx.send(rows)));
        if drain.offer(drain::Message::Read(reply)).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    fn row(&self, row: &Status) -> Value {
        json!({
            "name": row.name,
            "service": self.context.topology.services[usize::from(row.service.0)].name,
            "limit": row.limit,
            "taken": row.taken,
            "inherited": row.inherited,
            "open": row.open,
        })
    }
}

fn drain_row(row: &Progress) -> Value {
    json!({
        "drain": row.drain.to_string(),
        "cause": row.cause.name(),
        "age_ms": row.age_ms,
        "left": row.left,
        "done": row.took_ms.is_some(),
        "took_ms": row.took_ms,
    })
}
