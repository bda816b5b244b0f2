//! A TCP relay on loopback that can be cut and healed.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// A relay to one address. While cut, open connections end and new ones are closed.
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
                inner.join(near, target);
            }
        });
        relay
    }

    /// Cuts or heals the way.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in self.open.lock().unwrap().drain(..) {
                // It may have ended already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn join(&self, near: TcpStream, target: SocketAddr) {
        if self.cut.load(Ordering::SeqCst) {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let copies = (near.try_clone(), far.try_clone());
        let (Ok(near_copy), Ok(far_copy)) = copies else {
            return;
        };
        let mut open = self.open.lock().unwrap();
        open.extend([near.try_clone(), far.try_clone()].into_iter().flatten());
        thread::spawn(move || pump(near, far));
        thread::spawn(move || pump(far_copy, near_copy));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
