//! The operator's side of the RPC: finds a control VM that answers.

use {
    super::encode::Status,
    crate::{
        agree::{MemberChange, MemberStatus, Unavailable},
        edge::{Secret, client::Client, rpc::UNAVAILABLE},
        policy::{Accepted, Command, state::Receipt},
        spread::FleetRow,
    },
    jsonrpsee::core::ClientError,
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Time in which another leader can have been elected.
const TOTAL_LIMIT: Duration = Duration::from_secs(12);
const ROUND_PAUSE: Duration = Duration::from_millis(200);

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
    /// No control VM answered; the same command with the same id may be sent again.
    #[snafu(display("no control VM answered; send it again with the same id:\n{}", tried.join("\n")))]
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

    /// Reads the control VMs and how far each is.
    ///
    /// # Errors
    /// No control VM answered.
    pub async fn members(&self) -> Result<Vec<MemberStatus>, OperatorError> {
        self.call("members", &serde_json::json!({})).await
    }

    /// Adds or removes a control VM. Sending it again is safe.
    ///
    /// # Errors
    /// The change was refused, or no control VM answered.
    pub async fn change_members(
        &self,
        change: &MemberChange,
    ) -> Result<Vec<MemberStatus>, OperatorError> {
        match change {
            MemberChange::Add {
                name,
                peers,
                operators,
            } => {
                let params =
                    serde_json::json!({"name": name, "peers": peers, "operators": operators});
                self.call("add_member", &params).await
            }
            MemberChange::Remove { name } => {
                let params = serde_json::json!({ "name": name });
                self.call("remove_member", &params).await
            }
        }
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

    /// Goes round the control VMs, the one that is said to lead first, until one answers.
    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, OperatorError> {
        let start = Instant::now();
        let mut next = self.addresses.clone();
        loop {
            let mut tried = Vec::new();
            let mut hint = None;
            while let Some(address) = (!next.is_empty()).then(|| next.remove(0)) {
                let error = match self.call_one(address, method, params).await {
                    Ok(answer) => return Ok(answer),
                    Err(error) => error,
                };
                if let ClientError::Call(refusal) = &error {
                    if refusal.code() != UNAVAILABLE {
                        return RefusedSnafu {
                            code: refusal.code(),
                            message: refusal.message(),
                            detail: refusal.data().map_or("", |data| data.get()),
                        }
                        .fail();
                    }
                    hint = leader(refusal.data().map_or("", |data| data.get()));
                }
                tried.push(format!("{address}: {error}"));
                if hint.is_some() {
                    break;
                }
            }
            if start.elapsed() >= TOTAL_LIMIT {
                return NoAnswerSnafu { tried }.fail();
            }
            sleep(ROUND_PAUSE).await;
            next = hint.into_iter().chain(self.addresses.clone()).collect();
        }
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

/// The address of the leader that a control VM names in its refusal.
fn leader(detail: &str) -> Option<SocketAddr> {
    match serde_json::from_str(detail) {
        Ok(Unavailable::NotLeader { leader }) => leader?.parse().ok(),
        _ => None,
    }
}
