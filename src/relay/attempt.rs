//! One attempt: a connection, the request, the whole answer, each within the deadline.

use {
    super::{
        encode::{self, RAN_HEADER, REQUEST_HEADER, header, is_relayed, request_name},
        messages::Failure,
        paths::{Path, Paths},
        pool::{self, Connection, Pool},
        settings::Settings,
    },
    crate::{
        call::{Answer, Call, Ran, Reason},
        cancel,
        clock::Micros,
        context::Context,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Request, Response,
        body::{Body as _, Incoming as Body},
        header::{HeaderValue, TRANSFER_ENCODING},
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

/// What an attempt needs of its thread.
#[derive(Clone)]
pub(super) struct Tools {
    pub(super) context: Context,
    pub(super) settings: Settings,
    pub(super) pool: Rc<RefCell<Pool>>,
    pub(super) paths: Rc<RefCell<Paths>>,
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) holder: Arc<str>,
    pub(super) until: Micros,
}

/// A connection and whether it has served an attempt before.
struct Obtained {
    connection: Connection,
    reused: bool,
    named: bool,
}

/// Tells whether an answer is to the request, for upstreams that name it.
struct Naming {
    name: String,
    /// Whether an answer on this connection has named its request.
    named: Cell<bool>,
}

impl Naming {
    /// A connection on which requests are named names them all.
    fn is_own(&self, name: Option<&HeaderValue>) -> bool {
        let Some(name) = name else {
            return !self.named.get();
        };
        self.named.set(true);
        *name == self.name
    }
}

/// Makes the attempt. The connection is pooled only after a complete answer; otherwise it is
/// dropped, so that a late answer reaches nobody.
pub(super) async fn run(
    tools: &Tools,
    target: &Target,
    call: &mut Call,
) -> Result<Answer, Failure> {
    let cancel = call.cancel();
    let cancelled = tokio::select! {
        result = attempt(tools, target, call) => return result,
        () = cancel::of(cancel) => Reason::Cancelled,
    };
    Err(if call.was_sent() {
        unknown(cancelled)
    } else {
        not_run(cancelled)
    })
}

async fn attempt(tools: &Tools, target: &Target, call: &mut Call) -> Result<Answer, Failure> {
    let path = tools.paths.borrow_mut().of(target.address, tools.settings);
    let using = time::timeout(left(tools, target), path.using.acquire()).await;
    let _using = using.map_err(|_| not_run(Reason::ConnectFailed))?;
    let Obtained {
        mut connection,
        reused,
        named,
    } = obtain(tools, target, &path).await?;
    let left = left(tools, target);
    if left.is_zero() {
        return Err(not_run(Reason::DeadlineExceeded));
    }
    let request = encode::request(tools, call, target, left)?;
    let heard = Cell::new(false);
    let naming = Naming {
        name: request_name(tools, call),
        named: Cell::new(named),
    };
    let exchange = exchange(tools, &mut connection, call, request, &naming, &heard);
    let Ok(answer) = time::timeout(left, exchange).await else {
        if reused && !heard.get() {
            // Something between the two ends may have lost track of connections this old.
            tools.context.metrics.count("connections_silent", 1);
            tools.pool.borrow_mut().retire(target.address);
        }
        return Err(unknown(Reason::AnswerTimeout));
    };
    let answer = answer?;
    let most = tools.settings.idle_max;
    tools
        .pool
        .borrow_mut()
        .keep_named(target.address, connection, naming.named.get(), most);
    Ok(answer)
}

fn left(tools: &Tools, target: &Target) -> Duration {
    target.until.since(tools.context.clock.now())
}

async fn obtain(tools: &Tools, target: &Target, path: &Path) -> Result<Obtained, Failure> {
    if let Some(idle) = take_idle(tools, target.address) {
        return Ok(idle);
    }
    // Opening a connection costs the upstream time, so that few are opened at once.
    let opening = time::timeout(left(tools, target), path.opening.acquire()).await;
    let _opening = opening.map_err(|_| not_run(Reason::ConnectFailed))?;
    if let Some(idle) = take_idle(tools, target.address) {
        return Ok(idle);
    }
    tools.context.metrics.count("connections_opened", 1);
    let limit = Duration::from_millis(tools.settings.connect_ms).min(left(tools, target));
    let connected = pool::connect(target.address, limit).await;
    let connection = connected.map_err(|_| not_run(Reason::ConnectFailed))?;
    Ok(Obtained {
        connection,
        reused: false,
        named: false,
    })
}

fn take_idle(tools: &Tools, address: SocketAddr) -> Option<Obtained> {
    let keep = Duration::from_millis(tools.settings.idle_ms);
    let (connection, named) = tools.pool.borrow_mut().take_named(address, keep)?;
    Some(Obtained {
        connection,
        reused: true,
        named,
    })
}

async fn exchange(
    tools: &Tools,
    connection: &mut Connection,
    call: &mut Call,
    request: Request<Full<Bytes>>,
    naming: &Naming,
    heard: &Cell<bool>,
) -> Result<Answer, Failure> {
    call.mark_sent();
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The request comes back only if no byte of it was written.
            if error.take_message().is_none() {
                return Err(unknown(Reason::AnswerCut));
            }
            call.mark_unsent();
            return Err(not_run(Reason::ConnectFailed));
        }
    };
    heard.set(true);
    check(naming, call, &response)?;
    read(tools, response).await
}

/// Refuses an answer that is none to this request, or whose end could not be told.
fn check(naming: &Naming, call: &mut Call, response: &Response<Body>) -> Result<(), Failure> {
    let headers = response.headers();
    if !naming.is_own(headers.get(REQUEST_HEADER)) {
        return Err(unknown(Reason::AnswerMismatch));
    }
    if says_not_run(response) {
        call.mark_unsent();
        return Err(not_run(Reason::UpstreamRefused));
    }
    let sized = response.body().size_hint().exact().is_some();
    let is_whole = sized || headers.contains_key(TRANSFER_ENCODING);
    if response.status().is_informational() || !is_whole {
        return Err(unknown(Reason::AnswerCut));
    }
    Ok(())
}

fn says_not_run(response: &Response<Body>) -> bool {
    let refused = response.status().as_u16() == 503;
    refused
        && response
            .headers()
            .get(RAN_HEADER)
            .is_some_and(|ran| ran == "no")
}

async fn read(tools: &Tools, response: Response<Body>) -> Result<Answer, Failure> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, tools.settings.answer_bytes)
        .collect()
        .await;
    let body = body.map_err(|error| {
        if error.is::<LengthLimitError>() {
            unknown(Reason::AnswerTooLarge)
        } else {
            unknown(Reason::AnswerCut)
        }
    })?;
    let kept = head
        .headers
        .iter()
        .filter(|(name, _)| is_relayed(name.as_str().as_bytes()));
    let headers = kept.map(header).collect();
    Ok(Answer {
        status: head.status.as_u16(),
        headers,
        body: body.to_bytes(),
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
