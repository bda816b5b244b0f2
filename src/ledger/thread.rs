//! Thread of the ledger duty: one sync covers a batch of orders, and replies follow the sync.

use {
    super::{
        decide,
        disk::{self, Disk},
        messages::{Order, Reply, Row, Status},
        settings::Settings,
        state::VoteTable,
    },
    crate::{
        clock,
        context::Context,
        duty,
        observe::{Event, report},
        ring::{Ring, Wait},
    },
    std::{io, path::Path, thread::JoinHandle, time::Duration},
};

/// Input of the ledger duty.
pub enum Message {
    /// Orders of an entry VM.
    Apply {
        /// The orders.
        orders: Vec<Order>,
        /// Receives one reply for each order, after the sync.
        reply: Box<dyn FnOnce(Vec<Reply>) + Send>,
    },
    /// Requests the status of the ledger.
    Status(Box<dyn FnOnce(Status) + Send>),
    /// Requests the rows of one index part; `None` beyond the last part.
    Part {
        /// Index of the part, from zero.
        part: usize,
        /// Receives the rows, after the sync.
        reply: Box<dyn FnOnce(Option<Vec<Row>>) + Send>,
    },
    /// Rows copied from another ledger of the group.
    Merge(Vec<Row>),
    /// Starts voting, with the incarnations of the group's founders.
    StartVoting(Vec<u64>),
}

type PendingReply = Box<dyn FnOnce() + Send>;

/// Opens the log file under `folder` and starts the duty.
///
/// # Errors
/// The file cannot be opened, or the thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    folder: &Path,
    ring: Ring<Message>,
) -> io::Result<JoinHandle<()>> {
    let blank = Status {
        incarnation: rand::random(),
        created_ms: clock::wall_millis(),
        ..Status::default()
    };
    let opened = disk::open(folder, blank)?;
    if opened.damaged {
        report(Event::LEDGER_DAMAGED, format_args!("{}", folder.display()));
    }
    if !opened.table.status.is_voting {
        report(Event::LEDGER_BLANK, format_args!("{}", folder.display()));
    }
    let duty = Duty {
        context,
        settings,
        disk: opened.disk,
        table: opened.table,
        pending: Vec::new(),
        full_reported: false,
    };
    duty::spawn("ledger", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    disk: Disk,
    table: VoteTable,
    pending: Vec<PendingReply>,
    full_reported: bool,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        while let Some(message) = ring.recv() {
            self.handle(message);
            self.fill_batch(ring);
            if let Err(error) = self.commit() {
                // Unsynced votes must not be reported, and the content of the disk is unknown.
                report(Event::LEDGER_FAILED, format_args!("{error}"));
                return;
            }
        }
    }

    /// Handles further queued messages, up to the batch size, so that one sync covers them.
    fn fill_batch(&mut self, ring: &Ring<Message>) {
        while self.pending.len() < self.settings.batch {
            let Wait::Message(message) = ring.recv_within(Duration::ZERO) else {
                return;
            };
            self.handle(message);
        }
    }

    fn commit(&mut self) -> io::Result<()> {
        let before = self.disk.syncs;
        self.disk.sync()?;
        self.context
            .metrics
            .count("ledger_syncs", self.disk.syncs - before);
        for send in self.pending.drain(..) {
            send();
        }
        self.context
            .metrics
            .set_gauge("ledger_keys", self.table.len());
        self.context
            .metrics
            .set_gauge("ledger_bytes", self.table.bytes);
        self.disk.compact(&self.table)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Apply { orders, reply } => {
                let replies = orders.iter().map(|order| self.apply(order)).collect();
                self.pending.push(Box::new(move || reply(replies)));
            }
            Message::Status(reply) => {
                let status = self.table.status.clone();
                self.pending.push(Box::new(move || reply(status)));
            }
            Message::Part { part, reply } => {
                let rows = self.table.part(part);
                self.pending.push(Box::new(move || reply(rows)));
            }
            Message::Merge(rows) => self.merge(rows),
            Message::StartVoting(founders) => self.start_voting(founders),
        }
    }

    fn apply(&mut self, order: &Order) -> Reply {
        let now = clock::wall_millis();
        let (reply, row) = decide::apply(&mut self.table, self.settings, order, now);
        if let Some(row) = row {
            self.disk.put(row);
        }
        let full = reply == Reply::Full;
        if full && !self.full_reported {
            report(Event::LEDGER_FULL, format_args!("{}", self.table.len()));
        }
        self.full_reported = full || (self.full_reported && !matches!(order, Order::Claim { .. }));
        self.context.metrics.count(metric_name(&reply), 1);
        reply
    }

    fn merge(&mut self, rows: Vec<Row>) {
        if self.table.status.is_voting {
            return;
        }
        for row in rows {
            if let Some(row) = decide::merge(&mut self.table, row) {
                self.disk.put(row);
            }
        }
    }

    fn start_voting(&mut self, founders: Vec<u64>) {
        self.table.status.is_voting = true;
        self.table.status.founders = founders;
        self.disk.put_status(self.table.status.clone());
        report(
            Event::LEDGER_VOTES,
            format_args!("{} keys", self.table.len()),
        );
    }
}

fn metric_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Granted => "ledger_granted",
        Reply::Held { .. } => "ledger_held",
        Reply::Settled { .. } => "ledger_settled",
        Reply::Unsure => "ledger_unsure",
        Reply::Full => "ledger_full",
        Reply::Noted => "ledger_noted",
    }
}
