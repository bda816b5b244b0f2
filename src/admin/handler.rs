//! Serves the metrics and the slots of this process.

use {
    super::explain,
    crate::{
        context::Context,
        edge::{Handler, Incoming, Outgoing},
        ring::Sender,
        shift,
        slots::{self, Status},
    },
    serde_json::{Value, json},
    std::rc::Rc,
    tokio::sync::oneshot,
};

const EXPLAIN: &[u8] = b"/explain/";

/// What the listener reads from.
#[derive(Clone, Debug)]
pub struct Board {
    /// Who we are.
    pub context: Context,
    /// Slot counts, on an entry VM.
    pub slots: Option<Sender<slots::Message>>,
    /// Shifts as they are carried out, on an entry VM.
    pub shift: Option<Sender<shift::Message>>,
}

/// Serves `/metrics` and `/status`.
#[must_use]
pub fn handler(board: Board) -> Handler {
    let board = Rc::new(board);
    Rc::new(move |incoming| {
        let board = Rc::clone(&board);
        Box::pin(async move { board.serve(&incoming).await })
    })
}

impl Board {
    async fn serve(&self, incoming: &Incoming) -> Outgoing {
        match incoming.path() {
            b"/metrics" => Outgoing::new(200, "text/plain", self.context.metrics.text()),
            b"/status" => self.status().await,
            path if path.starts_with(EXPLAIN) => {
                explain::serve(&self.context, &path[EXPLAIN.len()..]).await
            }
            _ => Outgoing::refusal(404, "unknown_path"),
        }
    }

    async fn status(&self) -> Outgoing {
        let upstreams = self.upstreams().await;
        let rows: Vec<Value> = upstreams.iter().map(|row| self.row(row)).collect();
        let body = json!({
            "vm": &*self.context.vm,
            "incarnation": self.context.incarnation,
            "stopping": self.context.stopping(),
            "inflight": self.context.inflight(),
            "upstreams": rows,
            "shifts": self.shifts().await,
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

    fn row(&self, row: &Status) -> Value {
        json!({
            "name": row.name,
            "service": self.context.topology.services[usize::from(row.service.0)].name,
            "limit": row.limit,
            "taken": row.taken,
            "open": row.open,
        })
    }
}
