//! Tests of idle connections on which bytes arrive between two requests.

use {
    super::super::pool::{self, Pool},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    std::{
        future::{Future, poll_fn},
        io::{Read, Write},
        net::TcpListener,
        sync::mpsc,
        task::Poll,
        thread,
        time::Duration,
    },
    tokio::{runtime::Builder, task::LocalSet, time},
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

/// Guards against a request that is reported as not run and is sent nonetheless, and against one of which nothing was
/// sent and that counts as possibly run: it is given up before the runtime writes to the socket, or after it.
#[test]
fn a_request_that_is_given_up_is_not_sent_later() {
    for polls_socket in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, read) = mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            while let Ok(length @ 1..) = stream.read(&mut [0; 1_024]) {
                sender.send(length).unwrap();
            }
        });
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let has_written = LocalSet::new().block_on(&runtime, async move {
            let mut connection = pool::connect(address, LIMIT).await.unwrap();
            let exposure = connection.exposure();
            let request = Request::new(Full::new(Bytes::new()));
            let mut attempt = Box::pin(connection.try_send_request(request));
            // Gives the request to the task of the connection, which has not run yet.
            let is_pending =
                poll_fn(|cx| Poll::Ready(attempt.as_mut().poll(cx).is_pending())).await;
            assert!(is_pending);
            if polls_socket {
                let _ = time::timeout(Duration::from_millis(200), &mut attempt).await;
            }
            let has_written = exposure.end();
            // The attempt goes on, and writes nothing more.
            let _ = time::timeout(Duration::from_millis(200), &mut attempt).await;
            has_written
        });
        assert_eq!(has_written, polls_socket);
        drop(runtime);
        assert_eq!(read.recv_timeout(LIMIT).is_ok(), polls_socket);
    }
}
