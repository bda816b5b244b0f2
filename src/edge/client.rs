//! JSON-RPC client for calls to another process of the system.

use {
    super::secret::{SECRET_HEADER, Secret},
    hyper::header::{HeaderMap, HeaderValue},
    jsonrpsee::{
        core::{ClientError, client::ClientT, params::ObjectParams},
        http_client::{HttpClient, HttpClientBuilder},
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// A client of one peer; calls reuse its connection.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HttpClient,
}

impl Client {
    /// Creates a client for `address` whose calls time out after `timeout`; sends nothing yet.
    ///
    /// # Errors
    /// The secret is not a valid header value.
    pub fn new(
        address: SocketAddr,
        secret: &Secret,
        timeout: Duration,
    ) -> Result<Self, ClientError> {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(secret.expose());
        let value = value.map_err(|error| ClientError::Custom(error.to_string()))?;
        headers.insert(SECRET_HEADER, value);
        let inner = HttpClientBuilder::default()
            .request_timeout(timeout)
            .set_headers(headers)
            .build(format!("http://{address}/rpc"))?;
        Ok(Self { inner })
    }

    /// Calls `method` with the fields of `params`.
    ///
    /// # Errors
    /// The peer is unreachable, the call timed out, or the peer returned an error.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, ClientError> {
        let fields = serde_json::to_value(params).map_err(ClientError::ParseError)?;
        let mut named = ObjectParams::new();
        if let Value::Object(fields) = fields {
            for (name, value) in fields {
                named
                    .insert(&name, value)
                    .map_err(ClientError::ParseError)?;
            }
        }
        self.inner.request(method, named).await
    }
}
