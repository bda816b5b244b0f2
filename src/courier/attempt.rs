//! One attempt at an upstream: obtains a connection, sends the request and reads the complete
//! response, all before the deadline.

use {
    super::{
        crashes::Crashes,
        messages::{Dispatch, Ended, Head, Load, Meaning, WireFormat},
        settings::Settings,
    },
    crate::{
        backpressure::{Fence, Notice},
        call::{Answer, Ran, Reason, is_valid_status},
        cancel::{self, Cancel},
        context::Context,
        edge::held::{BodyError, Held},
        relay::{
            encode::relayed_headers,
            pool::{self, Connection, Exposure, Pool},
            splice::is_spliced,
        },
    },
    hyper::http::response::Parts,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time,
    xxhash_rust::xxh3::xxh3_64,
};

/// Context, settings, wire format and connections that the attempts of the thread share.
#[derive(Clone)]
pub(super) struct Resources {
    pub(super) context: Context,
    pub(super) settings: Settings,
    pub(super) wire_format: WireFormat,
    pub(super) pool: Rc<RefCell<Pool>>,
    pub(super) held: Held,
    pub(super) crashes: Crashes,
    pub(super) fence: Rc<RefCell<Fence>>,
}

/// What an attempt finds out besides its outcome.
#[derive(Default)]
pub(super) struct Findings {
    /// Microseconds spent on opening a connection.
    pub(super) connect_us: Cell<Option<u64>>,
    /// What the upstream said about further requests.
    pub(super) notice: Cell<Notice>,
}

/// Outcome of an attempt, with the response to deliver.
type Outcome = (Ended, Option<Answer>);

fn failed(reason: Reason, ran: Ran, load: Option<Load>) -> Outcome {
    (Ended::Failed { reason, ran, load }, None)
}

fn not_run(reason: Reason) -> Outcome {
    failed(reason, Ran::No, None)
}

fn unknown(reason: Reason) -> Outcome {
    failed(reason, Ran::Unknown, None)
}

/// Makes the attempt. A connection is reused only after a complete response, so that a late
/// response cannot be delivered to another request, and never for a request that was rejected on it.
pub(super) async fn run(
    resources: &Resources,
    dispatch: &Dispatch,
    findings: &Findings,
) -> Outcome {
    let sent = RefCell::new(None);
    let cancel = Some(dispatch.cancel.clone());
    let reason = tokio::select! {
        outcome = attempt(resources, dispatch, &sent, findings) => return outcome,
        () = cancel::wait(cancel) => Reason::Cancelled,
        () = time::sleep(remaining(resources, dispatch)) => Reason::AnswerTimeout,
    };
    // The attempt, which owns the connection, has ended, so that nothing is written between this check and its end.
    if sent.borrow().as_ref().is_some_and(Exposure::end) {
        unknown(reason)
    } else {
        not_run(reason)
    }
}

/// Whole milliseconds of a duration.
fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the upstream has restricted further requests; `findings` receives how.
fn is_held(resources: &Resources, dispatch: &Dispatch, findings: &Findings) -> bool {
    let now = resources.context.clock.now();
    let notice = resources.fence.borrow().check(dispatch.target.key, now);
    if let Some(notice) = notice {
        findings.notice.set(notice);
    }
    notice.is_some()
}

/// Time until the deadline of the attempt.
fn remaining(resources: &Resources, dispatch: &Dispatch) -> Duration {
    dispatch.until.since(resources.context.clock.now())
}

async fn attempt(
    resources: &Resources,
    dispatch: &Dispatch,
    sent: &RefCell<Option<Exposure>>,
    findings: &Findings,
) -> Outcome {
    let name = (resources.wire_format.name)(&dispatch.payload).map(xxh3_64);
    let connect_us = &findings.connect_us;
    if is_held(resources, dispatch, findings) {
        return not_run(Reason::UpstreamHeld);
    }
    let Some((mut connection, reused)) = obtain(resources, dispatch, name, connect_us).await else {
        return not_run(Reason::ConnectFailed);
    };
    // Responses to other requests may have arrived while the connection was being opened.
    if is_held(resources, dispatch, findings) {
        return not_run(Reason::UpstreamHeld);
    }
    let remaining_ms = as_millis(remaining(resources, dispatch));
    if remaining_ms == 0 {
        return not_run(Reason::DeadlineExceeded);
    }
    let revoked = dispatch.caller.revoked.as_ref();
    if revoked.is_some_and(Cancel::is_cancelled) {
        return not_run(Reason::IdentityUnknown);
    }
    let request = (resources.wire_format.encode)(
        &dispatch.payload,
        &dispatch.target,
        &dispatch.caller,
        remaining_ms,
    );
    let Some(request) = request else {
        return not_run(Reason::Malformed);
    };
    sent.replace(Some(connection.exposure()));
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper returns the request if it has not begun to write it, but not if the first write fails.
            let is_returned = error.take_message().is_some();
            if !is_returned && connection.exposure().end() {
                return unknown(Reason::AnswerCut);
            }
            return not_run(Reason::ConnectFailed);
        }
    };
    let (parts, body) = response.into_parts();
    // Nothing in such a response is reliable, a statement that the request did not run included.
    if !is_valid_status(parts.status.as_u16()) {
        return unknown(Reason::AnswerMismatch);
    }
    let head = (resources.wire_format.decode)(&parts, &dispatch.payload);
    record_notice(resources, dispatch, &head, findings);
    // On a connection that has served another request, a response without a name may be a late second
    // copy of that request's response, and the head may begin with a part of one.
    let is_ambiguous =
        reused && (!head.names_request || is_spliced(&parts.headers, &parts.extensions));
    if head.meaning == Meaning::Mismatch || is_ambiguous {
        return unknown(Reason::AnswerMismatch);
    }
    let max_bytes = resources.settings.answer_bytes;
    let body = match resources.held.collect(body, max_bytes).await {
        Ok(body) => body,
        Err(error) => return body_failure(&head, error),
    };
    connection.mark_complete();
    if let Some(name) = name {
        if matches!(head.meaning, Meaning::NotRun | Meaning::Misdirected) {
            connection.record_rejection(name);
        }
        return_to_pool(resources, dispatch, &head, connection);
    }
    classify(&parts, head, body)
}

/// Records what the head of a response says about further requests. A misdirected one is of another upstream.
fn record_notice(resources: &Resources, dispatch: &Dispatch, head: &Head, findings: &Findings) {
    if head.meaning == Meaning::Misdirected {
        return;
    }
    let now = resources.context.clock.now();
    let notice = Notice {
        is_leaving: head.is_leaving,
        rest_until: head.rest.map(|rest| now.plus_millis(as_millis(rest))),
    };
    let mut fence = resources.fence.borrow_mut();
    fence.record(dispatch.target.key, notice);
    findings.notice.set(notice);
}

/// Outcome for a truncated or oversized body. A head that reports the request as not run remains
/// valid without its body.
fn body_failure(head: &Head, error: BodyError) -> Outcome {
    if head.meaning == Meaning::NotRun {
        return failed(Reason::UpstreamRefused, Ran::No, head.load);
    }
    unknown(match error {
        BodyError::TooLarge => Reason::AnswerTooLarge,
        BodyError::Cut => Reason::AnswerCut,
    })
}

/// Outcome for a complete response.
fn classify(parts: &Parts, head: Head, body: bytes::Bytes) -> Outcome {
    match head.meaning {
        Meaning::Misdirected => return (Ended::Misdirected, None),
        Meaning::NotRun => return failed(Reason::UpstreamRefused, Ran::No, head.load),
        Meaning::Answer | Meaning::Mismatch => {}
    }
    if !head.has_proof {
        return unknown(Reason::AnswerMismatch);
    }
    let status = parts.status.as_u16();
    let answer = Answer {
        status,
        headers: relayed_headers(&parts.headers),
        body,
    };
    let ended = Ended::Answered {
        status,
        load: head.load,
    };
    (ended, Some(answer))
}

/// Returns a connection to the pool after a complete response, unless the upstream closes it.
fn return_to_pool(resources: &Resources, dispatch: &Dispatch, head: &Head, connection: Connection) {
    if head.idle_ms == Some(0) {
        return;
    }
    let mut pool = resources.pool.borrow_mut();
    pool.keep(
        dispatch.target.address,
        connection,
        resources.settings.idle_max,
    );
}

/// Takes an idle connection to the target or opens a new one, and returns whether it was used before;
/// `None` if it cannot be opened in time. A request without a name always gets a new one, as nothing tells
/// its response from a late copy of another.
async fn obtain(
    resources: &Resources,
    dispatch: &Dispatch,
    name: Option<u64>,
    connect_us: &Cell<Option<u64>>,
) -> Option<(Connection, bool)> {
    let address = dispatch.target.address;
    let max_idle = Duration::from_millis(resources.settings.idle_ms);
    let idle = name.and_then(|name| {
        let mut pool = resources.pool.borrow_mut();
        pool.take_for(address, max_idle, name)
    });
    if let Some(idle) = idle {
        return Some((idle, true));
    }
    resources.context.metrics.count("connections_opened", 1);
    let limit = Duration::from_millis(resources.settings.connect_ms);
    let limit = limit.min(remaining(resources, dispatch));
    let started = resources.context.clock.now();
    let connection = pool::connect(address, limit).await.ok()?;
    let elapsed = resources.context.clock.now().since(started);
    connect_us.set(u64::try_from(elapsed.as_micros()).ok());
    Some((connection, false))
}
