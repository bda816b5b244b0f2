//! A small upstream: answers requests and announces itself.

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

const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(20);
/// Announcements at most until the first grant.
const JOIN_ROUNDS: usize = 5;

/// Why the sample upstream could not start.
#[derive(Debug, Snafu)]
pub enum SampleError {
    /// Its listener could not start.
    #[snafu(display("sample upstream: {text}"))]
    Listen {
        /// What the library said.
        text: String,
    },
    /// Its entry VM did not take the announcement.
    #[snafu(display("announcement: {text}"))]
    Announce {
        /// What went wrong.
        text: String,
    },
}

/// A sample upstream that runs until it is dropped.
#[derive(Debug)]
pub struct Sample {
    /// Address that takes requests.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sample {
    /// Starts an upstream `name` of `service`, announced to the entry VM at `entry`.
    ///
    /// # Errors
    /// It cannot listen, or the entry VM refuses it.
    pub fn start(
        name: &str,
        service: &str,
        slots: u16,
        entry: SocketAddr,
    ) -> Result<Self, SampleError> {
        let fence: Arc<Mutex<Option<Fence>>> = Arc::default();
        let (shown, seen) = (name.to_owned(), Arc::clone(&fence));
        let serve = move |request: &Request| serve(&shown, &seen, request);
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
                    server.poll_timeout(POLL);
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

impl Drop for Sample {
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

/// Announces until a home grants the lease.
fn join(fence: &Mutex<Option<Fence>>) -> Result<(), SampleError> {
    for _ in 0..JOIN_ROUNDS {
        if round(fence)?.granted {
            return Ok(());
        }
    }
    Err(SampleError::Announce {
        text: "no home grants a lease".to_owned(),
    })
}

/// Announces once and returns the time to the next announcement.
fn renew(fence: &Mutex<Option<Fence>>, entry: SocketAddr) -> Duration {
    match round(fence) {
        Ok(granted) if granted.granted || granted.home.is_some() => {
            Duration::from_millis(granted.renew_ms)
        }
        Ok(_) => POLL,
        Err(_) => {
            if let Some(fence) = lock(fence).as_mut() {
                fence.turn_to(entry);
            }
            ANNOUNCE_INTERVAL
        }
    }
}

fn round(fence: &Mutex<Option<Fence>>) -> Result<LeaseBody, SampleError> {
    let next = lock(fence).as_ref().map(Fence::announcement);
    let (home, body) = next.ok_or(SampleError::Announce {
        text: "not started".to_owned(),
    })?;
    let granted = announce(home, &body)?;
    if let Some(fence) = lock(fence).as_mut() {
        fence.adopt(&granted);
    }
    Ok(granted)
}

fn serve(name: &str, fence: &Mutex<Option<Fence>>, request: &Request) -> Response {
    let holder = request.header(HOLDER_HEADER).unwrap_or_default();
    let entered = lock(fence).as_mut().and_then(|fence| fence.enter(holder));
    let Some(tenure) = entered else {
        let refusal = Response::text("not my home\n").with_status_code(503);
        return refusal.with_additional_header(crate::relay::RAN_HEADER, "no");
    };
    let response = answer(name, request);
    if let Some(fence) = lock(fence).as_mut() {
        fence.leave(tenure);
    }
    response
}

fn answer(name: &str, request: &Request) -> Response {
    let mut body = String::new();
    if let Some(mut data) = request.data() {
        // What cannot be read as text is not echoed.
        let _ = data.read_to_string(&mut body);
    }
    let text = format!("{name} ran {} {} {body}\n", request.method(), request.url());
    Response::text(text).with_additional_header("sample-upstream", name.to_owned())
}

/// Sends one announcement.
///
/// # Errors
/// The entry VM cannot be reached, or refuses it.
pub fn announce(entry: SocketAddr, body: &AnnouncementBody) -> Result<LeaseBody, SampleError> {
    let refuse = |text: String| SampleError::Announce { text };
    let text = serde_json::to_string(body).map_err(|error| refuse(error.to_string()))?;
    let agent = crate::edge::outbound::agent(ANNOUNCE_LIMIT);
    let answer = agent.post(format!("http://{entry}/v1/announce")).send(text);
    let mut answer = answer.map_err(|error| refuse(error.to_string()))?;
    let text = answer.body_mut().read_to_string();
    let text = text.map_err(|error| refuse(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(refuse(text));
    }
    serde_json::from_str(&text).map_err(|error| refuse(error.to_string()))
}
