//! One attempt: a connection, the request, the whole answer, each within the deadline.

use {
    super::{
        messages::Failure,
        paths::{Path, Paths},
        pool::{self, Connection, Pool},
        settings::Settings,
    },
    crate::{
        call::{Answer, Call, Header, Ran, Reason},
        cancel,
        clock::Micros,
        context::Context,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Method, Request, Response,
        body::{Body as _, Incoming as Body},
        header::{HOST, HeaderName, HeaderValue, TRANSFER_ENCODING},
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

/// Header by which an upstream says that it did not run a request: `no`.
pub const RAN_HEADER: &str = "siskinstep-ran";
/// Header that names the lease under which a request is sent.
pub const HOLDER_HEADER: &str = "siskinstep-holder";
/// Header that names the request; an upstream may send it back.
pub const REQUEST_HEADER: &str = "siskinstep-request";
/// Header that hands on the milliseconds left to the deadline.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Headers that belong to one connection, or that the relay sets itself.
const NOT_RELAYED: [&str; 14] = [
    "connection",
    "content-length",
    "deadline-ms",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "siskinstep-holder",
    "siskinstep-ran",
    "siskinstep-request",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

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
    let request = encode(tools, call, target, left)?;
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

fn request_name(tools: &Tools, call: &Call) -> String {
    let context = &tools.context;
    format!(
        "{}-{:x}-{:x}",
        context.vm, context.incarnation, call.meta.id.0
    )
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

fn encode(
    tools: &Tools,
    call: &Call,
    target: &Target,
    left: Duration,
) -> Result<Request<Full<Bytes>>, Failure> {
    let malformed = || not_run(Reason::UnknownKind);
    let method = Method::from_bytes(&call.payload.method).map_err(|_| malformed())?;
    let uri = std::str::from_utf8(&call.payload.target).map_err(|_| malformed())?;
    let request = Request::builder().method(method).uri(uri);
    let mut request = request
        .body(Full::new(call.payload.body.clone()))
        .map_err(|_| malformed())?;
    let headers = request.headers_mut();
    for header in call
        .payload
        .headers
        .iter()
        .filter(|header| is_relayed(&header.name))
    {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let own = [
        (HOST.as_str(), target.address.to_string()),
        (HOLDER_HEADER, target.holder.to_string()),
        (REQUEST_HEADER, request_name(tools, call)),
    ];
    for (name, value) in own {
        let value = HeaderValue::from_str(&value).map_err(|_| malformed())?;
        headers.insert(HeaderName::from_static(name), value);
    }
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
    Ok(request)
}

fn is_relayed(name: &[u8]) -> bool {
    NOT_RELAYED
        .binary_search_by(|other| other.as_bytes().cmp(name))
        .is_err()
}

fn header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: Bytes::copy_from_slice(name.as_str().as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
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
