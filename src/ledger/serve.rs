//! The ledger's methods on the peer listener. Typed messages travel as hexadecimal text.

use {
    super::{messages::Status, thread::Message},
    crate::{edge::rpc, ring::Sender},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::fmt::Write,
    tokio::sync::oneshot,
};

/// Carries orders out.
pub const APPLY: &str = "ledger.apply";
/// Says who the ledger is.
pub const STATUS: &str = "ledger.status";
/// Yields rows for a ledger without memory.
pub const PART: &str = "ledger.part";

/// A typed message as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Packed {
    /// Its bytes, two digits each.
    pub data: String,
}

/// A question for one part of the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Place of the part, from zero.
    pub part: usize,
}

impl Packed {
    /// Packs a message.
    ///
    /// ```
    /// use siskinstep::ledger::serve::Packed;
    /// assert_eq!(Packed::new(&7_u8).data, "07");
    /// ```
    #[must_use]
    pub fn new(message: &impl Serialize) -> Self {
        let bytes = postcard::to_stdvec(message).unwrap_or_default();
        let mut data = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            // Writing to a text in memory does not fail.
            let _ = write!(data, "{byte:02x}");
        }
        Self { data }
    }

    /// Unpacks a message, or `None` if it is malformed.
    ///
    /// ```
    /// use siskinstep::ledger::serve::Packed;
    /// assert_eq!(Packed::new(&300_u16).open(), Some(300_u16));
    /// assert_eq!(Packed { data: "é".into() }.open::<u8>(), None);
    /// ```
    #[must_use]
    pub fn open<T: DeserializeOwned>(&self) -> Option<T> {
        let digits = self.data.as_bytes().chunks(2);
        let bytes: Option<Vec<u8>> = digits
            .map(|pair| {
                let pair = std::str::from_utf8(pair).ok()?;
                u8::from_str_radix(pair, 16).ok()
            })
            .collect();
        postcard::from_bytes(&bytes?).ok()
    }
}

/// Adds the methods to a peer listener's module; without a `ledger` they are not there.
///
/// # Errors
/// A method is there already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    ledger: Option<&Sender<Message>>,
) -> Result<(), RegisterMethodError> {
    let Some(ledger) = ledger else {
        return Ok(());
    };
    let ring = ledger.clone();
    module.register_async_method(APPLY, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let packed: Packed = rpc::params(&params)?;
            let orders = packed.open().ok_or_else(malformed)?;
            let replies = ask(&ring, |reply| Message::Apply { orders, reply }).await?;
            Ok::<_, ErrorObjectOwned>(Packed::new(&replies))
        }
    })?;
    let ring = ledger.clone();
    module.register_async_method(STATUS, move |_, _, _| {
        let ring = ring.clone();
        async move { status(&ring).await }
    })?;
    let ring = ledger.clone();
    module.register_async_method(PART, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let Ask { part } = rpc::params(&params)?;
            let rows = ask(&ring, |reply| Message::Part { part, reply }).await?;
            Ok::<_, ErrorObjectOwned>(Packed::new(&rows))
        }
    })?;
    Ok(())
}

/// Asks this VM's ledger who it is.
pub(super) async fn status(ring: &Sender<Message>) -> Result<Status, ErrorObjectOwned> {
    ask(ring, Message::Status).await
}

async fn ask<T: Send + 'static>(
    ring: &Sender<Message>,
    make: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> Message,
) -> Result<T, ErrorObjectOwned> {
    let (tx, rx) = oneshot::channel();
    let message = make(Box::new(move |answer| drop(tx.send(answer))));
    let unavailable = || rpc::error(rpc::UNAVAILABLE, "the ledger takes no orders", ());
    ring.offer(message).map_err(|_| unavailable())?;
    rx.await.map_err(|_| unavailable())
}

fn malformed() -> ErrorObjectOwned {
    rpc::error(rpc::INVALID_PARAMS, "malformed data", ())
}
