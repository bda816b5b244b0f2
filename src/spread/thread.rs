//! The entry side: asks control for what is new and hands it on.

use {
    super::{
        decide,
        messages::{Fetch, Fetched, Subscribers},
        serve::FETCH,
        settings::Settings,
    },
    crate::{
        context::Context,
        edge::{Secret, client::Client},
        observe::{Event, report},
    },
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

/// Time for an answer beyond the time it may be held back.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Starts the duty; it ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    subscribers: Subscribers,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        runtime.block_on(async {
            tokio::select! {
                () = follow(&context, &settings, &secret, &subscribers) => {}
                _ = stop => {}
            }
        });
    };
    std::thread::Builder::new()
        .name("spread".to_owned())
        .spawn(run)
}

async fn follow(
    context: &Context,
    settings: &Settings,
    secret: &Secret,
    subscribers: &Subscribers,
) {
    let mut version = 0;
    let mut reachable = true;
    loop {
        let mut answered = false;
        for address in &settings.control {
            let Some(fetched) = fetch(context, settings, secret, *address, version).await else {
                context.metrics.count("control_unreachable", 1);
                continue;
            };
            answered = true;
            if let Some(policy) = fetched
                .policy
                .filter(|policy| decide::is_newer(version, policy))
            {
                version = policy.version;
                subscribers.notify(&Arc::new(policy));
                context
                    .metrics
                    .level("version", usize::try_from(version).unwrap_or(usize::MAX));
                report(Event::CONFIG_APPLIED, format_args!("version {version}"));
            }
            break;
        }
        if reachable && !answered {
            report(
                Event::CONTROL_UNREACHABLE,
                format_args!("{:?}", settings.control),
            );
        }
        reachable = answered;
        if !answered {
            time::sleep(Duration::from_millis(settings.retry_ms)).await;
        }
    }
}

async fn fetch(
    context: &Context,
    settings: &Settings,
    secret: &Secret,
    address: SocketAddr,
    version: u64,
) -> Option<Fetched> {
    let limit = Duration::from_millis(settings.hold_ms) + ANSWER_MARGIN;
    let client = Client::new(address, secret, limit).ok()?;
    let question = Fetch {
        vm: context.vm.to_string(),
        version,
        hold_ms: settings.hold_ms,
    };
    client.call(FETCH, &question).await.ok()
}
