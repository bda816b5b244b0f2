//! The thread on a control VM that copies the catalogue from a member while the VM has no place in the log
//! itself: it is not a member, or no leader reaches it.

use {
    super::{
        pages::{self, Page, PageRequest, Standing, Want},
        replica::Replica,
        serve::Source,
    },
    crate::{
        agree::{Followed, Message},
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
    },
    std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

/// Milliseconds for which a member may hold back a response.
const HOLD_MS: u64 = 400;
/// Response timeout beyond that: three round trips between distant regions, and as long again for a busy
/// member.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum time in milliseconds for which a copy is current after a response: the next response and its loss.
const MAX_VALID_MS: u64 = 1_500;
/// Time without a leader after which a member copies too: two elections.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Identity of this control VM, and the control VMs of its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its listener for peers.
    pub local: SocketAddr,
    /// Its availability zone, by name; empty if unknown.
    pub zone: String,
    /// Peer listeners of the control VMs that its settings list.
    pub seeds: Vec<SocketAddr>,
}

struct Duty {
    context: Context,
    setup: Setup,
    secret: Secret,
    source: Source,
    copy: Replica,
    standing: Standing,
    standing_hash: u64,
    is_reached: bool,
}

/// Starts the duty, which exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    setup: Setup,
    secret: Secret,
    source: Source,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("mirror", move || {
        let duty = Duty {
            context,
            setup,
            secret,
            source,
            copy: Replica::default(),
            standing: Standing::default(),
            standing_hash: 0,
            is_reached: false,
        };
        duty::run_until(stop, duty.run())
    })
}

impl Duty {
    async fn run(mut self) {
        let random = rand::random();
        let mut turn = 0;
        loop {
            self.wait_until_needed().await;
            let Some((address, client)) = self.connect(turn, random) else {
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            let mut has_moved = false;
            while !has_moved && !*self.source.is_led.borrow() && self.poll(&client).await {
                has_moved = turn == 0 && self.address(0, random) != Some(address);
                if !self.is_reached {
                    self.is_reached = true;
                    report(Event::CONTROL_REACHED, format_args!("{address}, a member"));
                }
            }
            if has_moved || *self.source.is_led.borrow() {
                continue;
            }
            if self.is_reached {
                self.is_reached = false;
                report(
                    Event::CONTROL_UNREACHABLE,
                    format_args!("{address}, a member"),
                );
            }
            turn += 1;
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns when this VM has had no leader for a while. Without a place in the log, it never has one.
    async fn wait_until_needed(&mut self) {
        loop {
            // If the channel is closed, the duty is about to end.
            if self.source.is_led.wait_for(|is_led| !is_led).await.is_err() {
                return time::sleep(PATIENCE).await;
            }
            let is_member = self.source.members.borrow().contains(&self.setup.local);
            if !is_member {
                return;
            }
            let led = self.source.is_led.wait_for(|is_led| *is_led);
            if time::timeout(PATIENCE, led).await.is_err() {
                return;
            }
        }
    }

    /// Member to poll at that turn: one of the local zone, otherwise any.
    fn address(&self, turn: usize, random: u64) -> Option<SocketAddr> {
        // That of the log while it leads this VM, afterwards that of the member that it copies.
        let control = Arc::clone(&self.source.control.borrow());
        let members: Vec<_> = control.iter().filter(|row| row.member).cloned().collect();
        let mut all = pages::order(
            &members,
            &self.setup.seeds,
            (&self.setup.zone, true),
            random,
        );
        all.retain(|address| *address != self.setup.local);
        all.get(turn.checked_rem(all.len())?).copied()
    }

    fn connect(&self, turn: usize, random: u64) -> Option<(SocketAddr, Client)> {
        let address = self.address(turn, random)?;
        let timeout = Duration::from_millis(HOLD_MS) + RESPONSE_MARGIN;
        let client = Client::new(address, &self.secret, timeout).ok()?;
        Some((address, client))
    }

    /// Polls a member for the next page. Returns whether it responded.
    async fn poll(&mut self, client: &Client) -> bool {
        // The agree duty may have published a newer one, received by the log.
        let published = Arc::clone(&self.source.policies.borrow().catalog);
        if published.revision > self.copy.revision() {
            self.copy = Replica::new(published);
        }
        let request = PageRequest {
            revision: self.copy.revision(),
            hold_ms: HOLD_MS,
            want: Want::Copy,
            standing: self.standing_hash,
        };
        let Ok(page) = pages::poll(client, &request).await else {
            self.context.metrics.count("mirror_unreachable", 1);
            return false;
        };
        let valid_ms = valid_ms(&page);
        if let Some(standing) = page.standing {
            self.standing_hash = standing.hash();
            self.standing = standing;
        }
        if let Some(delta) = page.delta {
            self.copy.apply(page.revision, delta);
        }
        // All that the member knows has arrived.
        if self.copy.is_complete() && self.copy.revision() >= page.revision {
            let is_new = self.copy.revision() > self.source.policies.borrow().catalog.revision;
            let followed = Followed {
                catalog: is_new.then(|| Arc::clone(self.copy.catalog())),
                control: Arc::new(self.standing.control.clone()),
                leader: self.standing.leader,
                valid_ms,
            };
            // With a full ring, the copy expires and the next poll repeats it.
            let _ = self.source.ring.offer(Message::Followed(followed));
        }
        true
    }
}

/// Milliseconds for which a copy is current after this page. The member's own catalogue may be as old as its lease
/// allows, so the copy gets what is left of that; otherwise the ages of both would add up.
pub(super) fn valid_ms(page: &Page) -> u64 {
    page.valid_ms.unwrap_or(MAX_VALID_MS).min(MAX_VALID_MS)
}
