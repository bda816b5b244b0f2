//! HTTP client of the load generator: sends one request and reads the complete response.

use {
    super::plan::Kind,
    crate::relay::pool::{self, Pool},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, header::HOST},
    serde::Deserialize,
    std::{cell::RefCell, net::SocketAddr, time::Duration},
    tokio::time,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond the deadline for which the client waits, to distinguish a late response from a
/// missing one.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
const MAX_IDLE: usize = 1_024;

/// Fields of a refusal by which it is counted.
#[derive(Debug, Deserialize)]
struct Problem {
    reason: String,
    ran: String,
}

/// Sends a request of `kind` and waits for the response.
///
/// # Errors
/// Returns the reason by which the failure is counted: the refusal's reason and `ran`, the status
/// of another unsuccessful response, or a text that starts with `client:`.
pub(super) async fn send(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    kind: &Kind,
    key: u128,
) -> Result<(), String> {
    let limit = Duration::from_millis(kind.deadline_ms) + RESPONSE_GRACE;
    let request = encode(address, kind, key).map_err(|error| error.to_string())?;
    let response = time::timeout(limit, exchange(pool, address, request));
    let (status, body) = response.await.map_err(|_| "client: timeout".to_owned())??;
    if (200..300).contains(&status) {
        return Ok(());
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => Err(format!("{} (ran: {})", problem.reason, problem.ran)),
        Err(_) => Err(format!("status {status}")),
    }
}

/// Fetches a small document within `CONNECT_TIMEOUT`; the status is not checked.
///
/// # Errors
/// Returns the reason for which there is no response, as a text.
pub(super) async fn get(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    path: &str,
) -> Result<Bytes, String> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let response = time::timeout(CONNECT_TIMEOUT, exchange(pool, address, request));
    let (_, body) = response.await.map_err(|_| "client: timeout".to_owned())??;
    Ok(body)
}

fn encode(
    address: SocketAddr,
    kind: &Kind,
    key: u128,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let method = if kind.is_lookup() { "GET" } else { "POST" };
    let mut request = Request::builder()
        .method(method)
        .uri(&kind.path)
        .header(HOST, address.to_string())
        .header("deadline-ms", kind.deadline_ms);
    if kind.once {
        request = request.header("idempotency-key", format!("{key:032x}"));
    }
    request.body(Full::default())
}

/// Sends a request on a pooled or new connection and returns status and body of the response.
async fn exchange(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), String> {
    let pooled = pool.borrow_mut().take(address, IDLE_TIMEOUT);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => pool::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|_| "client: connect".to_owned())?,
    };
    let response = connection.try_send_request(request).await;
    let response = response.map_err(|_| "client: cut".to_owned())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| "client: cut".to_owned())?.to_bytes();
    pool.borrow_mut().keep(address, connection, MAX_IDLE);
    Ok((status, body))
}
