//! A small upstream: answers requests and announces itself.

use {
    crate::announce::Body,
    rouille::{Request, Response, Server},
    snafu::Snafu,
    std::{
        io::Read,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
};

const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(20);

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
        let shown = name.to_owned();
        let answer = move |request: &Request| answer(&shown, request);
        let server = Server::new("127.0.0.1:0", answer);
        let server = server.map_err(|error| SampleError::Listen {
            text: error.to_string(),
        })?;
        let address = server.server_addr();
        let body = Body {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            incarnation: crate::clock::wall_millis(),
            load: None,
            leaving: false,
        };
        announce(entry, &body)?;
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
                    // A lost announcement is made good by the next one.
                    let _ = announce(entry, &body);
                    std::thread::park_timeout(ANNOUNCE_INTERVAL);
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
pub fn announce(entry: SocketAddr, body: &Body) -> Result<(), SampleError> {
    let refuse = |text: String| SampleError::Announce { text };
    let text = serde_json::to_string(body).map_err(|error| refuse(error.to_string()))?;
    let agent = crate::edge::outbound::agent(ANNOUNCE_LIMIT);
    let answer = agent.post(format!("http://{entry}/v1/announce")).send(text);
    let mut answer = answer.map_err(|error| refuse(error.to_string()))?;
    if answer.status().is_success() {
        return Ok(());
    }
    let text = answer.body_mut().read_to_string();
    Err(refuse(text.unwrap_or_else(|error| error.to_string())))
}
