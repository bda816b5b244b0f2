//! One attempt: a connection, the request, the whole answer, each within the deadline.

use {
    super::{
        messages::Failure,
        pool::{self, Connection, Pool},
        settings::Settings,
    },
    crate::{
        call::{Answer, Call, Header, Ran, Reason},
        clock::Clock,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Method, Request, Response,
        body::Incoming as Body,
        header::{HOST, HeaderName, HeaderValue},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time,
};

/// Header by which an upstream says that it did not run a request: `no`.
pub const RAN_HEADER: &str = "siskinstep-ran";
/// Header that hands on the milliseconds left to the deadline.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Headers that belong to one connection, or that the relay sets itself.
const NOT_RELAYED: [&str; 11] = [
    "connection",
    "content-length",
    "deadline-ms",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What an attempt needs of its thread.
#[derive(Clone)]
pub(super) struct Tools {
    pub(super) clock: Clock,
    pub(super) settings: Settings,
    pub(super) pool: Rc<RefCell<Pool>>,
}

/// Makes the attempt. The connection is pooled only after a complete answer.
pub(super) async fn run(
    tools: &Tools,
    address: SocketAddr,
    call: &mut Call,
) -> Result<Answer, Failure> {
    let left = call.meta.deadline.since(tools.clock.now());
    let mut connection = obtain(tools, address, left).await?;
    let left = call.meta.deadline.since(tools.clock.now());
    let request = encode(call, address, left)?;
    let exchange = exchange(tools, &mut connection, call, request);
    let answer = time::timeout(left, exchange).await;
    // On a timeout the connection is dropped, so that its late answer reaches nobody.
    let answer = answer.map_err(|_| unknown(Reason::AnswerTimeout))??;
    let most = tools.settings.idle_max;
    tools.pool.borrow_mut().keep(address, connection, most);
    Ok(answer)
}

async fn obtain(tools: &Tools, address: SocketAddr, left: Duration) -> Result<Connection, Failure> {
    let keep = Duration::from_millis(tools.settings.idle_ms);
    if let Some(connection) = tools.pool.borrow_mut().take(address, keep) {
        return Ok(connection);
    }
    let limit = Duration::from_millis(tools.settings.connect_ms).min(left);
    let connected = pool::connect(address, limit).await;
    connected.map_err(|_| not_run(Reason::ConnectFailed))
}

async fn exchange(
    tools: &Tools,
    connection: &mut Connection,
    call: &mut Call,
    request: Request<Full<Bytes>>,
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
    if says_not_run(&response) {
        call.mark_unsent();
        return Err(not_run(Reason::UpstreamRefused));
    }
    read(tools, response).await
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
    call: &Call,
    address: SocketAddr,
    left: Duration,
) -> Result<Request<Full<Bytes>>, Failure> {
    let malformed = || not_run(Reason::UnknownKind);
    let method = Method::from_bytes(&call.payload.method).map_err(|_| malformed())?;
    let target = std::str::from_utf8(&call.payload.target).map_err(|_| malformed())?;
    let request = Request::builder().method(method).uri(target);
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
    let host = HeaderValue::from_str(&address.to_string()).map_err(|_| malformed())?;
    headers.insert(HOST, host);
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
