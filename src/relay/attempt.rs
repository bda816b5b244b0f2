//! One attempt at an upstream: obtains a connection, sends the request and reads the complete
//! response, all within the deadline.

use {
    super::{
        encode::{self, RAN_HEADER, REQUEST_HEADER, header, is_relayed, request_name},
        limits::{AddressLimits, ConnectionLimits},
        messages::Failure,
        pool::{self, Connection, Pool},
        settings::Settings,
        splice::is_spliced,
    },
    crate::{
        call::{Answer, Call, Ran, Reason, is_valid_status},
        cancel,
        clock::Micros,
        context::Context,
        edge::held::{BodyError, Held},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::{Body as _, Incoming as Body},
        header::TRANSFER_ENCODING,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time,
};

/// Context, settings and connection state that the attempts of the thread share.
#[derive(Clone)]
pub(super) struct Resources {
    pub(super) context: Context,
    pub(super) settings: Settings,
    pub(super) pool: Rc<RefCell<Pool>>,
    pub(super) limits: Rc<RefCell<AddressLimits>>,
    pub(super) held: Held,
}

/// Destination, lease and deadline of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) holder: Arc<str>,
    pub(super) until: Micros,
}

/// A connection obtained for an attempt.
struct ObtainedConnection {
    connection: Connection,
    /// Whether it has served an attempt before.
    reused: bool,
    /// Whether an earlier response on it has named its request.
    named: bool,
}

/// Checks that a response belongs to the request, for upstreams that return the request name.
struct NameCheck {
    name: String,
    /// Whether the connection has served an attempt before.
    reused: bool,
    /// Whether a response on this connection has named its request.
    named: Cell<bool>,
}

impl NameCheck {
    /// Whether a response belongs to the request. Once a response on a connection has named its
    /// request, every later one on it must do so too.
    fn is_match(&self, response: &Response<Body>) -> bool {
        if self.reused && is_spliced(response.headers(), response.extensions()) {
            return false;
        }
        let Some(name) = response.headers().get(REQUEST_HEADER) else {
            return !self.named.get();
        };
        self.named.set(true);
        *name == self.name
    }
}

/// Makes the attempt. The connection is pooled only after a complete response; otherwise it is
/// closed, so that a late response cannot be delivered to another request.
///
/// # Errors
/// The reason for which there is no response, and whether the upstream may have run the request.
pub(super) async fn run(
    resources: &Resources,
    target: &Target,
    call: &mut Call,
) -> Result<Answer, Failure> {
    let cancel = call.cancel();
    let cancelled = tokio::select! {
        result = attempt(resources, target, call) => return result,
        () = cancel::wait(cancel) => Reason::Cancelled,
    };
    Err(if call.was_sent() {
        unknown(cancelled)
    } else {
        not_run(cancelled)
    })
}

async fn attempt(
    resources: &Resources,
    target: &Target,
    call: &mut Call,
) -> Result<Answer, Failure> {
    let limits = resources
        .limits
        .borrow_mut()
        .of(target.address, resources.settings);
    let permit = time::timeout(remaining(resources, target), limits.in_use.acquire()).await;
    let _in_use = permit.map_err(|_| not_run(Reason::ConnectFailed))?;
    let ObtainedConnection {
        mut connection,
        reused,
        named,
    } = obtain(resources, target, &limits).await?;
    let remaining = remaining(resources, target);
    if remaining.is_zero() {
        return Err(not_run(Reason::DeadlineExceeded));
    }
    let request = encode::request(resources, call, target, remaining)?;
    let has_response = Cell::new(false);
    let name_check = NameCheck {
        name: request_name(resources, call),
        reused,
        named: Cell::new(named),
    };
    let exchange = exchange(
        resources,
        &mut connection,
        call,
        request,
        &name_check,
        &has_response,
    );
    let Ok(answer) = time::timeout(remaining, exchange).await else {
        if reused && !has_response.get() {
            // A middlebox, such as a NAT, may have dropped the state of connections of this age.
            resources.context.metrics.count("connections_silent", 1);
            resources.pool.borrow_mut().retire(target.address);
        }
        return Err(unknown(Reason::AnswerTimeout));
    };
    let answer = answer?;
    let max = resources.settings.idle_max;
    resources
        .pool
        .borrow_mut()
        .keep_named(target.address, connection, name_check.named.get(), max);
    Ok(answer)
}

/// Time until the deadline of the attempt.
fn remaining(resources: &Resources, target: &Target) -> Duration {
    target.until.since(resources.context.clock.now())
}

/// Takes an idle connection to the target or opens a new one.
async fn obtain(
    resources: &Resources,
    target: &Target,
    limits: &ConnectionLimits,
) -> Result<ObtainedConnection, Failure> {
    if let Some(idle) = take_idle(resources, target.address) {
        return Ok(idle);
    }
    // Opening a connection costs the upstream time, so the number opened concurrently is limited.
    let permit = time::timeout(remaining(resources, target), limits.opening.acquire()).await;
    let _opening = permit.map_err(|_| not_run(Reason::ConnectFailed))?;
    if let Some(idle) = take_idle(resources, target.address) {
        return Ok(idle);
    }
    resources.context.metrics.count("connections_opened", 1);
    let limit =
        Duration::from_millis(resources.settings.connect_ms).min(remaining(resources, target));
    let connected = pool::connect(target.address, limit).await;
    let connection = connected.map_err(|_| not_run(Reason::ConnectFailed))?;
    Ok(ObtainedConnection {
        connection,
        reused: false,
        named: false,
    })
}

fn take_idle(resources: &Resources, address: SocketAddr) -> Option<ObtainedConnection> {
    let max_idle = Duration::from_millis(resources.settings.idle_ms);
    let (connection, named) = resources.pool.borrow_mut().take_named(address, max_idle)?;
    Some(ObtainedConnection {
        connection,
        reused: true,
        named,
    })
}

/// Sends the request and reads the response; sets `has_response` once the response head has
/// arrived.
async fn exchange(
    resources: &Resources,
    connection: &mut Connection,
    call: &mut Call,
    request: Request<Full<Bytes>>,
    name_check: &NameCheck,
    has_response: &Cell<bool>,
) -> Result<Answer, Failure> {
    call.mark_sent();
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper returns the request only if no byte of it was written.
            if error.take_message().is_none() {
                return Err(unknown(Reason::AnswerCut));
            }
            call.mark_unsent();
            return Err(not_run(Reason::ConnectFailed));
        }
    };
    has_response.set(true);
    check(name_check, call, &response)?;
    read(resources, response).await
}

/// Rejects a response that belongs to another request, that reports the request as not run, whose
/// status is invalid, or whose body has no determinable end.
fn check(
    name_check: &NameCheck,
    call: &mut Call,
    response: &Response<Body>,
) -> Result<(), Failure> {
    let headers = response.headers();
    if !name_check.is_match(response) {
        return Err(unknown(Reason::AnswerMismatch));
    }
    if is_not_run(response) {
        call.mark_unsent();
        return Err(not_run(Reason::UpstreamRefused));
    }
    let sized = response.body().size_hint().exact().is_some();
    let is_delimited = sized || headers.contains_key(TRANSFER_ENCODING);
    if !is_valid_status(response.status().as_u16()) || !is_delimited {
        return Err(unknown(Reason::AnswerCut));
    }
    Ok(())
}

/// Whether the upstream reports that it did not run the request.
fn is_not_run(response: &Response<Body>) -> bool {
    let refused = response.status().as_u16() == 503;
    refused
        && response
            .headers()
            .get(RAN_HEADER)
            .is_some_and(|ran| ran == "no")
}

/// Reads the body of a response, up to `answer_bytes`.
async fn read(resources: &Resources, response: Response<Body>) -> Result<Answer, Failure> {
    let (head, body) = response.into_parts();
    let max_bytes = resources.settings.answer_bytes;
    let body = resources.held.collect(body, max_bytes).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => unknown(Reason::AnswerTooLarge),
        BodyError::Cut => unknown(Reason::AnswerCut),
    })?;
    let relayed = head
        .headers
        .iter()
        .filter(|(name, _)| is_relayed(name.as_str().as_bytes()));
    let headers = relayed.map(header).collect();
    Ok(Answer {
        status: head.status.as_u16(),
        headers,
        body,
    })
}

fn not_run(reason: Reason) -> Failure {
    Failure {
        reason,
        ran: Ran::No,
    }
}

fn unknown(reason: Reason) -> Failure {
    Failure {
        reason,
        ran: Ran::Unknown,
    }
}
