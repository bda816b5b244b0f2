//! The operator's side of the RPC: finds a control VM that answers.

use {
    super::encode::Status,
    crate::{
        edge::{Secret, client::Client},
        policy::{Accepted, Command, state::Receipt},
        spread::FleetRow,
    },
    jsonrpsee::core::ClientError,
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Why a call brought no answer.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// A control VM refused the call; nothing was changed.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// Code of the RPC error.
        code: i32,
        /// What the control VM said.
        message: String,
        /// Typed detail as JSON.
        detail: String,
    },
    /// No control VM answered.
    #[snafu(display("no control VM answered:\n{}", tried.join("\n")))]
    NoAnswer {
        /// Each address with what happened there.
        tried: Vec<String>,
    },
}

/// Calls the operator RPC on any of several control VMs.
#[derive(Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    secret: Secret,
}

impl Operator {
    /// Prepares calls to the control VMs at `addresses`.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, secret: Secret) -> Self {
        Self { addresses, secret }
    }

    /// Submits a command. Sending it again with the same id is safe.
    ///
    /// # Errors
    /// The command was refused, or no control VM answered.
    pub async fn submit(&self, command: &Command) -> Result<Accepted, OperatorError> {
        self.call("submit", command).await
    }

    /// Tries a command without any effect.
    ///
    /// # Errors
    /// The command would be refused, or no control VM answered.
    pub async fn check(&self, command: &Command) -> Result<Accepted, OperatorError> {
        self.call("check", command).await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// No control VM answered.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.call("status", &serde_json::json!({})).await
    }

    /// Reads the latest commands with their answers, newest first.
    ///
    /// # Errors
    /// No control VM answered, or `limit` is not 1 to 1000.
    pub async fn history(&self, limit: usize) -> Result<Vec<Receipt>, OperatorError> {
        self.call("history", &serde_json::json!({ "limit": limit }))
            .await
    }

    /// Reads the version in force on each entry VM, by name. Each control VM knows what it was
    /// told, so all are asked and the latest report of each VM counts.
    ///
    /// # Errors
    /// No control VM answered.
    pub async fn fleet(&self) -> Result<Vec<FleetRow>, OperatorError> {
        let mut tried = Vec::new();
        let mut rows: Vec<FleetRow> = Vec::new();
        for address in &self.addresses {
            let none = serde_json::json!({});
            match self
                .call_one::<Vec<FleetRow>>(*address, "fleet", &none)
                .await
            {
                Ok(told) => rows.extend(told),
                Err(error) => tried.push(format!("{address}: {error}")),
            }
        }
        if tried.len() == self.addresses.len() {
            return NoAnswerSnafu { tried }.fail();
        }
        rows.sort_by(|a, b| (&a.vm, a.age_ms).cmp(&(&b.vm, b.age_ms)));
        rows.dedup_by(|later, first| later.vm == first.vm);
        Ok(rows)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, OperatorError> {
        let mut tried = Vec::new();
        for address in &self.addresses {
            match self.call_one(*address, method, params).await {
                Ok(answer) => return Ok(answer),
                Err(ClientError::Call(error)) if error.code() != crate::edge::rpc::UNAVAILABLE => {
                    return RefusedSnafu {
                        code: error.code(),
                        message: error.message(),
                        detail: error.data().map_or("", |data| data.get()),
                    }
                    .fail();
                }
                Err(error) => tried.push(format!("{address}: {error}")),
            }
        }
        NoAnswerSnafu { tried }.fail()
    }

    async fn call_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, ClientError> {
        let client = Client::new(address, &self.secret, CALL_LIMIT)?;
        client.call(method, params).await
    }
}
