//! Tests of the bound on the bytes of responses held in memory.

use {
    super::super::held::{BodyError, Held},
    bytes::Bytes,
    hyper::body::{Body, Frame},
    std::{
        cell::Cell,
        convert::Infallible,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        runtime::Builder,
        task::{LocalSet, yield_now},
    },
};

const PIECE_BYTES: usize = 1_000;
const MAX_BODY_BYTES: usize = 20 * PIECE_BYTES;
const LIMIT_BYTES: usize = 50 * PIECE_BYTES;

/// Body with this number of pieces left; other tasks run before each of them.
struct Pieces {
    left: usize,
    has_yielded: bool,
}

fn body(left: usize) -> Pieces {
    Pieces {
        left,
        has_yielded: false,
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.has_yielded = !self.has_yielded;
        if self.has_yielded {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.left -= 1;
        let piece = Bytes::from(vec![7; PIECE_BYTES]);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a process that outgrows its memory while a hundred upstreams send without end, and
/// against bodies that wait for each other when all of them are partly read.
#[test]
fn endless_bodies_from_many_upstreams_stay_within_the_bound() {
    run(async {
        let held = Held::new(LIMIT_BYTES);
        let peak = Rc::new(Cell::new(0));
        let mut readers = Vec::new();
        for _ in 0..100 {
            let (held, peak) = (held.clone(), Rc::clone(&peak));
            readers.push(tokio::task::spawn_local(async move {
                let result = held.collect(body(usize::MAX), MAX_BODY_BYTES).await;
                peak.set(peak.get().max(held.bytes()));
                result
            }));
        }
        for reader in readers {
            assert_eq!(reader.await.unwrap(), Err(BodyError::TooLarge));
        }
        assert!(peak.get() <= LIMIT_BYTES + MAX_BODY_BYTES, "{}", peak.get());
        assert_eq!(held.bytes(), 0);
    });
}

/// Guards against complete responses that count no longer while a slow caller still has to read them, and
/// against a bound that is never released.
#[test]
fn a_complete_body_counts_until_its_last_clone_is_dropped() {
    run(async {
        let held = Held::new(LIMIT_BYTES);
        let first = held.collect(body(20), MAX_BODY_BYTES).await.unwrap();
        let clone = first.slice(..5);
        assert_eq!(first.len(), 20 * PIECE_BYTES);
        drop(first);
        assert_eq!(held.bytes(), 20 * PIECE_BYTES);
        drop(clone);
        assert_eq!(held.bytes(), 0);
    });
}

/// Guards against a body that is read although callers still hold all the bytes that are allowed, and
/// one that is not read once they have them.
#[test]
fn further_bodies_wait_until_callers_have_theirs() {
    run(async {
        let held = Held::new(LIMIT_BYTES);
        let mut delivered = Vec::new();
        for _ in 0..3 {
            delivered.push(held.collect(body(20), MAX_BODY_BYTES).await.unwrap());
        }
        // The oldest body is always read, so this one makes the others wait.
        let oldest = held.start_reader();
        let waiting = held.clone();
        let waiting =
            tokio::task::spawn_local(async move { waiting.collect(body(1), MAX_BODY_BYTES).await });
        for _ in 0..20 {
            yield_now().await;
        }
        assert!(!waiting.is_finished());
        delivered.clear();
        assert!(waiting.await.unwrap().is_ok());
        drop(oldest);
    });
}

/// Guards against memory that grows by one response after the other while callers take none of them: the oldest
/// body was always read, also beyond the bound.
#[test]
fn responses_that_nobody_takes_stay_within_the_bound() {
    run(async {
        let held = Held::strict(LIMIT_BYTES);
        let mut readers = Vec::new();
        for _ in 0..10 {
            let held = held.clone();
            readers.push(tokio::task::spawn_local(async move {
                held.collect(body(20), MAX_BODY_BYTES).await.unwrap()
            }));
        }
        let mut delivered = Vec::new();
        for reader in readers {
            for _ in 0..1_000 {
                yield_now().await;
            }
            assert!(
                held.bytes() <= LIMIT_BYTES + MAX_BODY_BYTES,
                "{}",
                held.bytes()
            );
            if !reader.is_finished() {
                delivered.clear();
            }
            delivered.push(reader.await.unwrap());
        }
        delivered.clear();
        assert_eq!(held.bytes(), 0);
    });
}
