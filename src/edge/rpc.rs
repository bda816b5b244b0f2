//! JSON-RPC over an edge listener. `jsonrpsee` dispatches the calls; the listener enforces resource
//! limits and authorization.

use {
    super::{Handler, Incoming, Outgoing},
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    serde::{Serialize, de::DeserializeOwned},
    std::{rc::Rc, sync::Arc},
};

const NOTIFICATION_BUFFER: usize = 1;

/// Error code for parameters that do not match the schema.
pub const INVALID_PARAMS: i32 = -32_602;
/// Error code for a process that cannot accept the call at present; the call did not run.
pub const UNAVAILABLE: i32 = -32_001;

/// Builds a handler that serves the methods of `module`.
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
    match module.raw_json_request(text, NOTIFICATION_BUFFER).await {
        Ok((response, _)) => Outgoing::new(200, "application/json", response.get().to_owned()),
        Err(_) => Outgoing::refusal(400, "malformed"),
    }
}

/// Decodes the parameters of a call.
///
/// # Errors
/// A field is unknown, missing or of the wrong type; the error names the field.
pub fn params<T: DeserializeOwned>(
    params: &jsonrpsee::types::Params<'_>,
) -> Result<T, ErrorObjectOwned> {
    let text = params.as_str().unwrap_or("{}");
    serde_json::from_str(text)
        .map_err(|error| ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>))
}

/// Builds an error object with a typed detail.
#[must_use]
pub fn error<T: Serialize>(code: i32, text: &str, detail: T) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, Some(detail))
}

/// State that the methods of a module share.
pub type State<C> = Arc<C>;
