//! The thread of the storage duty.

use {
    super::{
        folder::Folder,
        messages::{Ack, Batch, Recovered},
    },
    crate::{
        duty,
        keys::DiskKey,
        ring::{Ring, Wait},
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const RETRY: Duration = Duration::from_millis(500);

/// What the duty is told.
pub enum Message {
    /// Make this durable.
    Write(Batch),
    /// Set everything aside and start again as the disk of that identity.
    Renew(DiskKey),
}

/// What the duty tells.
pub enum Report {
    /// Of the batch given last.
    Ack(Ack),
    /// The folder is empty again.
    Renewed(Recovered),
}

/// Starts the duty; it ends when its ring closes. Without a folder nothing is kept.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    mut folder: Option<Folder>,
    ring: Ring<Message>,
    tell: impl Fn(Report) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        let mut next = ring.recv();
        while let Some(message) = next {
            let interrupted = match message {
                Message::Write(batch) => write(folder.as_mut(), &batch, &ring, &tell),
                Message::Renew(disk) => {
                    renew(folder.as_mut(), disk, &tell);
                    None
                }
            };
            next = interrupted.or_else(|| ring.recv());
        }
    };
    duty::spawn("storage", run)
}

/// Tries until the batch is durable, the ring closes, or a message comes that makes it void.
fn write(
    folder: Option<&mut Folder>,
    batch: &Batch,
    ring: &Ring<Message>,
    tell: &impl Fn(Report),
) -> Option<Message> {
    if let Some(folder) = folder {
        while let Err(error) = folder.write(batch) {
            let detail = error.to_string();
            tell(Report::Ack(Ack::Failed { detail }));
            match ring.recv_within(RETRY) {
                Wait::Timeout => {}
                Wait::Message(message) => return Some(message),
                Wait::Closed => return None,
            }
        }
    }
    tell(Report::Ack(Ack::Synced));
    None
}

fn renew(folder: Option<&mut Folder>, disk: DiskKey, tell: &impl Fn(Report)) {
    let Some(folder) = folder else { return };
    match folder.renew(disk) {
        Ok(recovered) => tell(Report::Renewed(recovered)),
        Err(error) => {
            let detail = error.to_string();
            tell(Report::Ack(Ack::Failed { detail }));
        }
    }
}
