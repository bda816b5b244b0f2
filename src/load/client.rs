//! Sends one request and reads its whole answer.

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

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Time beyond the deadline for which an answer is awaited, to tell a late one from none.
const GRACE: Duration = Duration::from_millis(500);
const IDLE_MAX: usize = 1_024;

/// The part of a refusal that is counted.
#[derive(Debug, Deserialize)]
struct Problem {
    reason: String,
    ran: String,
}

/// Sends a request of `kind`; the error is the reason that is counted.
pub(super) async fn send(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    kind: &Kind,
    key: u128,
) -> Result<(), String> {
    let limit = Duration::from_millis(kind.deadline_ms) + GRACE;
    let request = encode(address, kind, key).map_err(|error| error.to_string())?;
    let answer = time::timeout(limit, exchange(pool, address, request));
    let (status, body) = answer.await.map_err(|_| "client: timeout".to_owned())??;
    if (200..300).contains(&status) {
        return Ok(());
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => Err(format!("{} (ran: {})", problem.reason, problem.ran)),
        Err(_) => Err(format!("status {status}")),
    }
}

/// Reads a small document.
pub(super) async fn get(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    path: &str,
) -> Result<Bytes, String> {
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let answer = time::timeout(CONNECT_LIMIT, exchange(pool, address, request));
    let (_, body) = answer.await.map_err(|_| "client: timeout".to_owned())??;
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

async fn exchange(
    pool: &RefCell<Pool>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), String> {
    let kept = pool.borrow_mut().take(address, IDLE_LIMIT);
    let mut connection = match kept {
        Some(connection) => connection,
        None => pool::connect(address, CONNECT_LIMIT)
            .await
            .map_err(|_| "client: connect".to_owned())?,
    };
    let response = connection.send_request(request).await;
    let response = response.map_err(|_| "client: cut".to_owned())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| "client: cut".to_owned())?.to_bytes();
    pool.borrow_mut().keep(address, connection, IDLE_MAX);
    Ok((status, body))
}
