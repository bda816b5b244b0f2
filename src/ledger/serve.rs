//! RPC methods of the ledger on the peer listener. Typed messages are sent as hexadecimal text.

use {
    super::{messages::Status, thread::Message},
    crate::{edge::rpc, ring::Sender},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::fmt::Write,
    tokio::sync::oneshot,
};

/// Method that applies orders.
pub const APPLY: &str = "ledger.apply";
/// Method that returns the status of the ledger.
pub const STATUS: &str = "ledger.status";
/// Method that returns the rows of one index part to a blank ledger.
pub const PART: &str = "ledger.part";

/// Typed message, encoded as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HexMessage {
    /// Encoded bytes, two digits each.
    pub data: String,
}

/// Request for the rows of one index part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRequest {
    /// Index of the part, from zero.
    pub part: usize,
}

impl HexMessage {
    /// Encodes a message.
    ///
    /// ```
    /// use siskinstep::ledger::serve::HexMessage;
    /// assert_eq!(HexMessage::new(&7_u8).data, "07");
    /// ```
    #[must_use]
    pub fn new(message: &impl Serialize) -> Self {
        let bytes = postcard::to_stdvec(message).unwrap_or_default();
        let mut data = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            // Writing to a string does not fail.
            let _ = write!(data, "{byte:02x}");
        }
        Self { data }
    }

    /// Decodes the message; `None` if it is malformed.
    ///
    /// ```
    /// use siskinstep::ledger::serve::HexMessage;
    /// assert_eq!(HexMessage::new(&300_u16).decode(), Some(300_u16));
    /// assert_eq!(HexMessage { data: "é".into() }.decode::<u8>(), None);
    /// ```
    #[must_use]
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
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

/// Registers the methods on a peer listener's module, none if the VM has no `ledger`.
///
/// # Errors
/// A method is already registered.
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
            let encoded: HexMessage = rpc::params(&params)?;
            let orders = encoded.decode().ok_or_else(malformed)?;
            let replies = query(&ring, |reply| Message::Apply { orders, reply }).await?;
            Ok::<_, ErrorObjectOwned>(HexMessage::new(&replies))
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
            let PartRequest { part } = rpc::params(&params)?;
            let rows = query(&ring, |reply| Message::Part { part, reply }).await?;
            Ok::<_, ErrorObjectOwned>(HexMessage::new(&rows))
        }
    })?;
    Ok(())
}

/// Status of the local ledger; fails if the duty is busy or has exited.
pub(super) async fn status(ring: &Sender<Message>) -> Result<Status, ErrorObjectOwned> {
    query(ring, Message::Status).await
}

async fn query<T: Send + 'static>(
    ring: &Sender<Message>,
    make_message: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> Message,
) -> Result<T, ErrorObjectOwned> {
    let (tx, rx) = oneshot::channel();
    let message = make_message(Box::new(move |reply| drop(tx.send(reply))));
    let unavailable = || rpc::error(rpc::UNAVAILABLE, "the ledger does not accept orders", ());
    ring.offer(message).map_err(|_| unavailable())?;
    rx.await.map_err(|_| unavailable())
}

fn malformed() -> ErrorObjectOwned {
    rpc::error(rpc::INVALID_PARAMS, "malformed data", ())
}
