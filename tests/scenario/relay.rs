//! TCP relay on loopback whose connections can be interrupted and restored.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Forwards connections to one address. While cut, open connections are shut down and new ones are
/// closed after they are accepted.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            cut: Arc::default(),
            open: Arc::default(),
        };
        let inner = relay.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                inner.connect(near, target);
            }
        });
        relay
    }

    /// Interrupts (`true`) or restores (`false`) the connection to the target.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in self.open.lock().unwrap().drain(..) {
                // The stream may be closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn connect(&self, near: TcpStream, target: SocketAddr) {
        if self.cut.load(Ordering::SeqCst) {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let clones = (near.try_clone(), far.try_clone());
        let (Ok(near_clone), Ok(far_clone)) = clones else {
            return;
        };
        let mut open = self.open.lock().unwrap();
        open.extend([near.try_clone(), far.try_clone()].into_iter().flatten());
        thread::spawn(move || copy(near, far));
        thread::spawn(move || copy(far_clone, near_clone));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
