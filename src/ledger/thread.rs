//! The thread of the ledger duty: many orders a sync, and no reply before it.

use {
    super::{
        decide,
        disk::{self, Disk},
        messages::{Order, Reply, Row, Status},
        settings::Settings,
        state::Book,
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

/// What the duty is told.
pub enum Message {
    /// Orders of an entry VM.
    Apply {
        /// The orders.
        orders: Vec<Order>,
        /// Takes a reply for each, after the sync.
        reply: Box<dyn FnOnce(Vec<Reply>) + Send>,
    },
    /// Asks who the ledger is.
    Status(Box<dyn FnOnce(Status) + Send>),
    /// Asks for the rows of one part of the book; `None` beyond the last.
    Part {
        /// Place of the part, from zero.
        part: usize,
        /// Takes the rows, after the sync.
        reply: Box<dyn FnOnce(Option<Vec<Row>>) + Send>,
    },
    /// Rows copied from another ledger of the group.
    Merge(Vec<Row>),
    /// Vote from here on.
    Vote(Vec<u64>),
}

type Answer = Box<dyn FnOnce() + Send>;

/// Opens the file under `folder` and starts the duty.
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
        born: clock::wall_millis(),
        ..Status::default()
    };
    let opened = disk::open(folder, blank)?;
    if opened.damaged {
        report(Event::LEDGER_DAMAGED, format_args!("{}", folder.display()));
    }
    if !opened.book.status.sure {
        report(Event::LEDGER_BLANK, format_args!("{}", folder.display()));
    }
    let duty = Duty {
        context,
        settings,
        disk: opened.disk,
        book: opened.book,
        answers: Vec::new(),
        full: false,
    };
    duty::spawn("ledger", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    disk: Disk,
    book: Book,
    answers: Vec<Answer>,
    full: bool,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        while let Some(message) = ring.recv() {
            self.handle(message);
            self.drain(ring);
            if let Err(error) = self.commit() {
                // What was not synced must not be told, and what the disk holds is not known.
                report(Event::LEDGER_FAILED, format_args!("{error}"));
                return;
            }
        }
    }

    /// Takes what else waits, so that one sync covers it.
    fn drain(&mut self, ring: &Ring<Message>) {
        while self.answers.len() < self.settings.batch {
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
        for answer in self.answers.drain(..) {
            answer();
        }
        self.context.metrics.level("ledger_keys", self.book.len());
        self.context.metrics.level("ledger_bytes", self.book.bytes);
        self.disk.compact(&self.book)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Apply { orders, reply } => {
                let replies = orders.iter().map(|order| self.apply(order)).collect();
                self.answers.push(Box::new(move || reply(replies)));
            }
            Message::Status(reply) => {
                let status = self.book.status.clone();
                self.answers.push(Box::new(move || reply(status)));
            }
            Message::Part { part, reply } => {
                let rows = self.book.part(part);
                self.answers.push(Box::new(move || reply(rows)));
            }
            Message::Merge(rows) => self.merge(rows),
            Message::Vote(founders) => self.vote(founders),
        }
    }

    fn apply(&mut self, order: &Order) -> Reply {
        let now = clock::wall_millis();
        let (reply, row) = decide::apply(&mut self.book, self.settings, order, now);
        if let Some(row) = row {
            self.disk.put(row);
        }
        let full = reply == Reply::Full;
        if full && !self.full {
            report(Event::LEDGER_FULL, format_args!("{}", self.book.len()));
        }
        self.full = full || (self.full && !matches!(order, Order::Claim { .. }));
        self.context.metrics.count(name(&reply), 1);
        reply
    }

    fn merge(&mut self, rows: Vec<Row>) {
        if self.book.status.sure {
            return;
        }
        for row in rows {
            if let Some(row) = decide::merge(&mut self.book, row) {
                self.disk.put(row);
            }
        }
    }

    fn vote(&mut self, founders: Vec<u64>) {
        self.book.status.sure = true;
        self.book.status.founders = founders;
        self.disk.status(self.book.status.clone());
        report(
            Event::LEDGER_VOTES,
            format_args!("{} keys", self.book.len()),
        );
    }
}

fn name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Granted => "ledger_granted",
        Reply::Held { .. } => "ledger_held",
        Reply::Settled { .. } => "ledger_settled",
        Reply::Unsure => "ledger_unsure",
        Reply::Full => "ledger_full",
        Reply::Noted => "ledger_noted",
    }
}
