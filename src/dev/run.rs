//! Starts control, entry and a sample upstream, and sends one request through them.

use {
    super::sample::{SampleError, SampleUpstream},
    crate::{
        control::{self, Control},
        edge::{Secret, outbound},
        entry::{self, Entry},
        keys::ServiceKey,
        observe,
        settings::{
            topology::{Kind, Topology},
            vm::Vm,
        },
    },
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::{ResultExt, Snafu},
    std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration},
};

const SERVICE: &str = "cellwatch";
const KIND: &str = "check";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SLOTS: u16 = 9;
const RING_CAPACITY: usize = 64;

/// Reason for which the system could not be run.
#[derive(Debug, Snafu)]
pub enum DevError {
    /// The control VM's duties could not start.
    #[snafu(display("{source}"), context(false))]
    Control {
        /// Error of the control VM.
        source: control::StartError,
    },
    /// The entry VM's duties could not start.
    #[snafu(display("{source}"), context(false))]
    Entry {
        /// Error of the entry VM.
        source: entry::StartError,
    },
    /// The sample upstream could not start.
    #[snafu(display("{source}"), context(false))]
    Sample {
        /// Error of the sample upstream.
        source: SampleError,
    },
    /// The request failed.
    #[snafu(display("request: {source}"), context(false))]
    Request {
        /// Error of the HTTP client.
        source: ureq::Error,
    },
    /// The secret file could not be written, or no signal handler could be installed.
    #[snafu(display("{source}"))]
    System {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs control, entry and a sample upstream, and sends one request through them. With `once`,
/// returns after the request; otherwise waits for SIGINT or SIGTERM.
///
/// # Errors
/// Control, entry or the upstream cannot start, the look-up or the request fails, the secret file
/// cannot be written, or no signal handler can be installed.
pub fn run(once: bool) -> Result<(), DevError> {
    observe::start_log();
    let secret = format!("{:032x}", rand::random::<u128>());
    let control = Control::start(&control_settings(), &Secret::new(&secret))?;
    let entry = Entry::start(entry_settings(control.peers()), &Secret::new(&secret))?;
    let sample = SampleUpstream::start("sample-1", SERVICE, SLOTS, entry.upstreams())?;
    send(&entry, &sample)?;
    if !once {
        let file = write_secret(&secret).context(SystemSnafu)?;
        print_next_steps(&control, &entry, &file);
        let mut signals = Signals::new([SIGTERM, SIGINT]).context(SystemSnafu)?;
        signals.forever().next();
        // A file that remains is harmless, as its secret is not used again.
        let _ = fs::remove_file(file);
    }
    drop(sample);
    entry.stop();
    control.stop();
    Ok(())
}

fn topology() -> Topology {
    let mut topology = Topology::default();
    topology.add_region("derwent".to_owned(), vec!["derwent-a".to_owned()]);
    let kind = Kind {
        name: KIND.to_owned(),
        service: ServiceKey(0),
        worth: 10,
        deadline_ms: 2_000,
        at_most_once: false,
        repeatable: false,
    };
    topology.add_service(SERVICE.to_owned(), vec![kind]);
    topology
}

fn vm(name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        topology: topology(),
        ring: RING_CAPACITY,
        ..Vm::default()
    }
}

fn control_settings() -> control::Settings {
    control::Settings {
        vm: vm("control-1"),
        ..control::Settings::default()
    }
}

fn entry_settings(control: SocketAddr) -> entry::Settings {
    let mut settings = entry::Settings {
        vm: vm("entry-1"),
        stop_ms: 5_000,
        ..entry::Settings::default()
    };
    settings.spread.control = vec![control];
    settings
}

fn send(entry: &Entry, sample: &SampleUpstream) -> Result<(), DevError> {
    let agent = outbound::agent(CALL_TIMEOUT);
    let lookup = format!("http://{}/v1/lookup", entry.callers());
    let lookup_body = agent.get(&lookup).call()?.body_mut().read_to_string()?;
    println!("look-up   GET {lookup}\n          {lookup_body}");
    let target = format!("http://{}/{SERVICE}/{KIND}/buoy-7", entry.callers());
    let mut response = agent.post(&target).send("cell 3")?;
    println!("request   POST {target}");
    println!(
        "path      caller -> entry-1 {} -> sample-1 {}",
        entry.callers(),
        sample.address
    );
    println!(
        "response  {} {}",
        response.status(),
        response.body_mut().read_to_string()?.trim_end()
    );
    Ok(())
}

/// Prints commands that the user can try next.
fn print_next_steps(control: &Control, entry: &Entry, secret: &std::path::Path) {
    let flags = format!(
        "--control {} --secret {}",
        control.operators(),
        secret.display()
    );
    println!("\nmetrics   curl http://{}/metrics", entry.admin());
    // Printed as it was called, as the program may not be on the search path.
    let program = std::env::args()
        .next()
        .unwrap_or_else(|| "siskinstep".to_owned());
    println!("try next  {program} {flags} drain upstream/sample-1");
    println!(
        "then      curl -d 'cell 3' http://{}/{SERVICE}/{KIND}/buoy-7",
        entry.callers()
    );
    println!("stop      Ctrl-C");
}

fn write_secret(secret: &str) -> io::Result<PathBuf> {
    let file = std::env::temp_dir().join(format!("siskinstep-dev-{}.secret", std::process::id()));
    fs::write(&file, secret)?;
    Ok(file)
}
