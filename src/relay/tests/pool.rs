//! Tests of idle connections on which bytes arrive between two requests.

use {
    super::super::pool::{self, Pool},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    std::{
        io::{Read, Write},
        net::TcpListener,
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{runtime::Builder, task::LocalSet},
};

const MAX_IDLE: Duration = Duration::from_mins(1);
const LIMIT: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against the second copy of an answer that arrives after the connection was returned to the
/// pool and before the runtime polls its socket: it would be read as the answer to the next request. The
/// same holds for a part of a copy and for a close.
#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    for extra in [ANSWER, b"H", b""] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (returned, is_returned) = mpsc::channel::<()>();
        let (sent, is_sent) = mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 1_024]).unwrap();
            stream.write_all(ANSWER).unwrap();
            is_returned.recv().unwrap();
            if extra.is_empty() {
                drop(stream);
                sent.send(None).unwrap();
            } else {
                stream.write_all(extra).unwrap();
                sent.send(Some(stream)).unwrap();
            }
        });
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let mut pool = Pool::default();
            let mut connection = pool::connect(address, LIMIT).await.unwrap();
            let request = Request::new(Full::new(Bytes::new()));
            let response = connection.try_send_request(request).await.ok().unwrap();
            response.into_body().collect().await.unwrap();
            pool.keep(address, connection, 8);
            // From here on the runtime does not poll the socket, as nothing is awaited.
            returned.send(()).unwrap();
            let _stream = is_sent.recv_timeout(LIMIT).unwrap();
            thread::sleep(Duration::from_millis(20));
            assert!(pool.take(address, MAX_IDLE).is_none(), "{extra:?}");
        });
    }
}

/// Guards against a check for unread bytes that rejects every connection.
#[test]
fn a_quiet_connection_is_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while stream.read(&mut [0; 1_024]).is_ok_and(|length| length > 0) {
            stream.write_all(ANSWER).unwrap();
        }
    });
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let mut pool = Pool::default();
        let mut connection = pool::connect(address, LIMIT).await.unwrap();
        for _ in 0..3 {
            let request = Request::new(Full::new(Bytes::new()));
            let response = connection.try_send_request(request).await.ok().unwrap();
            response.into_body().collect().await.unwrap();
            pool.keep(address, connection, 8);
            connection = pool.take(address, MAX_IDLE).unwrap();
        }
    });
}
