//! JSON-RPC served over a bounded listener. `jsonrpsee` dispatches; the edge bounds and authorizes.

use {
    super::{Handler, Incoming, Outgoing},
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    serde::{Serialize, de::DeserializeOwned},
    std::{rc::Rc, sync::Arc},
};

const BUFFERED_NOTIFICATIONS: usize = 1;

/// Code of the error for parameters that do not fit the schema.
pub const INVALID_PARAMS: i32 = -32_602;
/// Code of the error for a process that cannot take the call now; nothing was run.
pub const UNAVAILABLE: i32 = -32_001;

/// Serves the methods of `module`.
#[must_use]
pub fn handler<C: Send + Sync + 'static>(module: RpcModule<C>) -> Handler {
    let module = Rc::new(module);
    Rc::new(move |incoming| {
        let module = Rc::clone(&module);
        Box::pin(async move { dispatch(&module, incoming).await })
    })
}

async fn dispatch<C>(module: &RpcModule<C>, incoming: Incoming) -> Outgoing {
    if incoming.method != "POST" {
        return Outgoing::refusal(405, "method_not_allowed");
    }
    let Ok(text) = std::str::from_utf8(&incoming.body) else {
        return Outgoing::refusal(400, "malformed");
    };
    match module.raw_json_request(text, BUFFERED_NOTIFICATIONS).await {
        Ok((answer, _)) => Outgoing::new(200, "application/json", answer.get().to_owned()),
        Err(_) => Outgoing::refusal(400, "malformed"),
    }
}

/// Decodes the parameters of a call; the error names the field at fault.
///
/// # Errors
/// A field is unknown, missing or of a wrong type.
pub fn params<T: DeserializeOwned>(
    params: &jsonrpsee::types::Params<'_>,
) -> Result<T, ErrorObjectOwned> {
    let text = params.as_str().unwrap_or("{}");
    serde_json::from_str(text)
        .map_err(|error| ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>))
}

/// An error object with a typed detail.
#[must_use]
pub fn error<T: Serialize>(code: i32, text: &str, detail: T) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, Some(detail))
}

/// A state shared by the methods of a module.
pub type State<C> = Arc<C>;
