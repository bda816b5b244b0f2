//! Thread of the storage duty.

use {
    super::{
        folder::Folder,
        messages::{Ack, Batch, Recovered},
    },
    crate::{
        duty,
        keys::DiskId,
        ring::{Ring, Wait},
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Messages to the duty.
pub enum Message {
    /// Makes a batch durable.
    Write(Batch),
    /// Moves all files into a backup folder and starts as an empty disk with this identity.
    Reinitialize(DiskId),
}

/// Reports of the duty.
pub enum Report {
    /// Result of the latest write attempt, or the failure of a reinitialization.
    Ack(Ack),
    /// The folder was reinitialized and is empty.
    Reinitialized(Recovered),
}

/// Starts the duty, which ends when its ring closes. Without a folder nothing is stored, and every
/// batch is reported as synced.
///
/// # Errors
/// The thread cannot be started.
pub fn spawn(
    mut folder: Option<Folder>,
    ring: Ring<Message>,
    notify: impl Fn(Report) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        let mut next = ring.recv();
        while let Some(message) = next {
            let pending = match message {
                Message::Write(batch) => write(folder.as_mut(), &batch, &ring, &notify),
                Message::Reinitialize(disk) => {
                    reinitialize(folder.as_mut(), disk, &notify);
                    None
                }
            };
            next = pending.or_else(|| ring.recv());
        }
    };
    duty::spawn("storage", run)
}

/// Retries until the batch is durable, the ring closes, or another message arrives, which
/// supersedes the batch and is returned.
fn write(
    folder: Option<&mut Folder>,
    batch: &Batch,
    ring: &Ring<Message>,
    notify: &impl Fn(Report),
) -> Option<Message> {
    if let Some(folder) = folder {
        while let Err(error) = folder.write(batch) {
            let detail = error.to_string();
            notify(Report::Ack(Ack::Failed { detail }));
            match ring.recv_within(RETRY_INTERVAL) {
                Wait::Timeout => {}
                Wait::Message(message) => return Some(message),
                Wait::Closed => return None,
            }
        }
    }
    notify(Report::Ack(Ack::Synced));
    None
}

fn reinitialize(folder: Option<&mut Folder>, disk: DiskId, notify: &impl Fn(Report)) {
    let Some(folder) = folder else { return };
    match folder.reinitialize(disk) {
        Ok(recovered) => notify(Report::Reinitialized(recovered)),
        Err(error) => {
            let detail = error.to_string();
            notify(Report::Ack(Ack::Failed { detail }));
        }
    }
}
