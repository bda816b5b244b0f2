//! Sample upstream that serves requests and announces itself to an entry VM.

use {
    super::fence::Fence,
    crate::{
        announce::{AnnouncementBody, LeaseBody},
        relay::HOLDER_HEADER,
    },
    rouille::{Request, Response, Server},
    snafu::Snafu,
    std::{
        io::Read,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
};

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of announcements until the lease is granted.
const MAX_JOIN_ATTEMPTS: usize = 5;

/// Reason for which the sample upstream could not start.
#[derive(Debug, Snafu)]
pub enum SampleError {
    /// The listener could not start.
    #[snafu(display("sample upstream: {text}"))]
    Listen {
        /// Error of the HTTP server.
        text: String,
    },
    /// The announcement failed, or no entry VM granted a lease.
    #[snafu(display("announcement: {text}"))]
    Announce {
        /// Cause of the failure.
        text: String,
    },
}

/// Sample upstream that runs until it is dropped.
#[derive(Debug)]
pub struct SampleUpstream {
    /// Address of its listener for requests.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SampleUpstream {
    /// Starts an upstream `name` of `service` and announces it to the entry VM at `entry`.
    ///
    /// # Errors
    /// The listener cannot start, an announcement fails, or no entry VM grants a lease.
    pub fn start(
        name: &str,
        service: &str,
        slots: u16,
        entry: SocketAddr,
    ) -> Result<Self, SampleError> {
        let fence: Arc<Mutex<Option<Fence>>> = Arc::default();
        let (server_name, server_fence) = (name.to_owned(), Arc::clone(&fence));
        let serve = move |request: &Request| serve(&server_name, &server_fence, request);
        let server = Server::new("127.0.0.1:0", serve);
        let server = server.map_err(|error| SampleError::Listen {
            text: error.to_string(),
        })?;
        let address = server.server_addr();
        let body = AnnouncementBody {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            incarnation: crate::clock::wall_millis(),
            token: None,
            inherited: None,
            load: None,
            leaving: false,
        };
        *lock(&fence) = Some(Fence::new(body, entry));
        join(&fence)?;
        let stop = Arc::new(AtomicBool::new(false));
        let (serving, announcing) = (Arc::clone(&stop), Arc::clone(&stop));
        let threads = vec![
            std::thread::spawn(move || {
                while !serving.load(Ordering::Relaxed) {
                    server.poll_timeout(POLL_INTERVAL);
                }
            }),
            std::thread::spawn(move || {
                while !announcing.load(Ordering::Relaxed) {
                    let wait = renew(&fence, entry);
                    std::thread::park_timeout(wait);
                }
            }),
        ];
        Ok(Self {
            address,
            stop,
            threads,
        })
    }
}

impl Drop for SampleUpstream {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.thread().unpark();
            // A panicked thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn lock(fence: &Mutex<Option<Fence>>) -> MutexGuard<'_, Option<Fence>> {
    fence.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Announces until an entry VM grants the lease.
///
/// # Errors
/// An announcement fails, or none of `MAX_JOIN_ATTEMPTS` is granted.
fn join(fence: &Mutex<Option<Fence>>) -> Result<(), SampleError> {
    for _ in 0..MAX_JOIN_ATTEMPTS {
        if announce_next(fence)?.granted {
            return Ok(());
        }
    }
    Err(SampleError::Announce {
        text: "no entry VM granted a lease".to_owned(),
    })
}

/// Announces once and returns the time until the next announcement. After an error, the next one
/// goes to `entry`.
fn renew(fence: &Mutex<Option<Fence>>, entry: SocketAddr) -> Duration {
    match announce_next(fence) {
        Ok(lease) if lease.granted || lease.home.is_some() => Duration::from_millis(lease.renew_ms),
        Ok(_) => POLL_INTERVAL,
        Err(_) => {
            if let Some(fence) = lock(fence).as_mut() {
                fence.set_home(entry);
            }
            RETRY_INTERVAL
        }
    }
}

/// Sends the next announcement and applies the response.
fn announce_next(fence: &Mutex<Option<Fence>>) -> Result<LeaseBody, SampleError> {
    let next = lock(fence).as_ref().map(Fence::announcement);
    let (home, body) = next.ok_or(SampleError::Announce {
        text: "upstream not initialized".to_owned(),
    })?;
    let lease = announce(home, &body)?;
    if let Some(fence) = lock(fence).as_mut() {
        fence.apply_lease(&lease);
    }
    Ok(lease)
}

/// Serves a request of the current home; refuses others as not run.
fn serve(name: &str, fence: &Mutex<Option<Fence>>, request: &Request) -> Response {
    let holder = request.header(HOLDER_HEADER).unwrap_or_default();
    let admitted = lock(fence).as_mut().and_then(|fence| fence.admit(holder));
    let Some(tenure) = admitted else {
        let refusal =
            Response::text("the sender is not the home of this upstream\n").with_status_code(503);
        return refusal.with_additional_header(crate::relay::RAN_HEADER, "no");
    };
    let response = respond(name, request);
    if let Some(fence) = lock(fence).as_mut() {
        fence.finish(tenure);
    }
    response
}

/// Returns a response that echoes method, URL and text body.
fn respond(name: &str, request: &Request) -> Response {
    let mut body = String::new();
    if let Some(mut data) = request.data() {
        // A body that is not valid UTF-8 is not echoed.
        let _ = data.read_to_string(&mut body);
    }
    let text = format!("{name} ran {} {} {body}\n", request.method(), request.url());
    Response::text(text).with_additional_header("sample-upstream", name.to_owned())
}

/// Sends one announcement and returns the response.
///
/// # Errors
/// The entry VM cannot be reached, refuses the announcement, or sends an invalid response.
pub fn announce(entry: SocketAddr, body: &AnnouncementBody) -> Result<LeaseBody, SampleError> {
    let failed = |text: String| SampleError::Announce { text };
    let text = serde_json::to_string(body).map_err(|error| failed(error.to_string()))?;
    let agent = crate::edge::outbound::agent(ANNOUNCE_TIMEOUT);
    let response = agent.post(format!("http://{entry}/v1/announce")).send(text);
    let mut response = response.map_err(|error| failed(error.to_string()))?;
    let text = response.body_mut().read_to_string();
    let text = text.map_err(|error| failed(error.to_string()))?;
    if !response.status().is_success() {
        return Err(failed(text));
    }
    serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
}
