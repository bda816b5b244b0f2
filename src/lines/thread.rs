//! The thread that writes lines, and the logger that feeds it.

use {
    super::{limit::Limit, messages::Line},
    crate::{
        clock::Clock,
        duty,
        ring::{self, Ring, Sender},
    },
    env_logger::{Builder, Env},
    log::{Level, Log, Metadata, Record},
    std::{
        io::Write,
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Lines on their way to the writer: a second of a busy VM's, some hundred kilobytes.
const RING: usize = 1_024;
/// Those of them from which lines that say nothing is wrong are left out.
const CALM_RING: usize = RING / 2;
/// Time that a process waits at its end for lines to be written: a reader that has stopped must not
/// hold it.
const FINISH: Duration = Duration::from_millis(200);
/// Time between looks at whether they are.
const LOOK: Duration = Duration::from_millis(2);

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Takes records and never waits.
pub(super) struct Logger {
    /// Levels by module, from `RUST_LOG`.
    filter: env_logger::Logger,
    ring: Sender<Line>,
    /// Lines that the ring had no room for.
    lost: AtomicU64,
    /// Lines that were taken in, and those that the writer is done with.
    taken: AtomicU64,
    done: AtomicU64,
}

impl Logger {
    pub(super) fn new(ring: Sender<Line>) -> Self {
        let env = Env::default().default_filter_or("info");
        Self {
            filter: Builder::from_env(env).build(),
            ring,
            lost: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            done: AtomicU64::new(0),
        }
    }

    /// Lines for which there was no room, since the last one that was written.
    pub(super) fn lost(&self) -> u64 {
        self.lost.swap(0, Ordering::Relaxed)
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let is_calm = record.level() > Level::Warn;
        let no_room = is_calm && self.ring.depth() >= CALM_RING;
        if no_room || self.ring.offer(Line::of(record)).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        } else {
            self.taken.fetch_add(1, Ordering::Release);
        }
    }

    fn flush(&self) {
        let begun = Instant::now();
        let taken = self.taken.load(Ordering::Acquire);
        while self.done.load(Ordering::Acquire) < taken && begun.elapsed() < FINISH {
            std::thread::sleep(LOOK);
        }
    }
}

/// Starts logging through `encode` to `out`; `RUST_LOG` overrides the level `info`. A second start, as in
/// tests, changes nothing.
pub fn start(encode: fn(&Line) -> String, out: impl Write + Send + 'static) {
    let (sender, ring) = ring::bounded(RING);
    let logger = Logger::new(sender);
    let level = logger.filter.filter();
    if LOGGER.set(logger).is_err() {
        return;
    }
    let Some(logger) = LOGGER.get() else { return };
    let writes = move || run(&ring, logger, encode, out);
    if duty::spawn("lines", writes).is_ok() && log::set_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits a little for the lines so far to be written, before the process ends.
pub fn finish() {
    log::logger().flush();
}

fn run(ring: &Ring<Line>, logger: &Logger, encode: fn(&Line) -> String, mut out: impl Write) {
    let clock = Clock::start();
    let mut limit = Limit::default();
    while let Some(mut line) = ring.recv() {
        if limit.take(&mut line, clock.now()) {
            line.omitted += logger.lost();
            // Nobody is left to be told that lines cannot be written; the next one is tried.
            let _ = writeln!(out, "{}", encode(&line)).and_then(|()| out.flush());
        }
        logger.done.fetch_add(1, Ordering::Release);
    }
}
