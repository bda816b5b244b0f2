//! Client of the operator RPC, which calls control VMs until one responds.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Leaves enough time for the election of another leader.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(12);
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Reason why a call failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// A control VM rejected the call; nothing was changed.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// JSON-RPC error code.
        code: i32,
        /// Error message of the control VM.
        message: String,
        /// Data of the RPC error, as JSON; empty if there is none.
        detail: String,
    },
    /// All control VMs were unreachable or unavailable. Retrying the same command with the same id
    /// is safe.
    #[snafu(display("no control VM responded; retry with the same id:\n{}", attempts.join("\n")))]
    NoResponse {
        /// Address and error of each attempt of the last round.
        attempts: Vec<String>,
    },
}

/// Client of the operator RPC for a list of control VMs.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    secret: Secret,
}

impl OperatorClient {
    /// Creates a client for the control VMs with the operator listeners `addresses`.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, secret: Secret) -> Self {
        Self { addresses, secret }
    }

    /// Submits a command. Retrying it with the same id is safe.
    ///
    /// # Errors
    /// The command was rejected, or no control VM responded.
    pub async fn submit(&self, command: &Command) -> Result<Accepted, OperatorError> {
        self.call("submit", command).await
    }

    /// Checks whether a command would be accepted, without applying it.
    ///
    /// # Errors
    /// The command would be rejected, or no control VM responded.
    pub async fn check(&self, command: &Command) -> Result<Accepted, OperatorError> {
        self.call("check", command).await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// No control VM responded.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.call("status", &serde_json::json!({})).await
    }

    /// Reads the latest `limit` commands with their results, newest first.
    ///
    /// # Errors
    /// No control VM responded, or `limit` is not in the range 1 to 1000.
    pub async fn history(&self, limit: usize) -> Result<Vec<Receipt>, OperatorError> {
        self.call("history", &serde_json::json!({ "limit": limit }))
            .await
    }

    /// Reads the control VMs and the replication status of each.
    ///
    /// # Errors
    /// No control VM responded.
    pub async fn members(&self) -> Result<Vec<MemberStatus>, OperatorError> {
        self.call("members", &serde_json::json!({})).await
    }

    /// Adds or removes a control VM. Retrying is safe.
    ///
    /// # Errors
    /// The change was rejected, or no control VM responded.
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

    /// Reads the version in force on each entry VM, sorted by name. Each control VM has only the
    /// versions reported to it, so all are queried and the latest report of each entry VM is used.
    ///
    /// # Errors
    /// No control VM responded.
    pub async fn fleet(&self) -> Result<Vec<FleetRow>, OperatorError> {
        let mut attempts = Vec::new();
        let mut rows: Vec<FleetRow> = Vec::new();
        for address in &self.addresses {
            let no_params = serde_json::json!({});
            match self
                .call_one::<Vec<FleetRow>>(*address, "fleet", &no_params)
                .await
            {
                Ok(reported) => rows.extend(reported),
                Err(error) => attempts.push(format!("{address}: {error}")),
            }
        }
        if attempts.len() == self.addresses.len() {
            return NoResponseSnafu { attempts }.fail();
        }
        rows.sort_by(|a, b| (&a.vm, a.age_ms).cmp(&(&b.vm, b.age_ms)));
        rows.dedup_by(|later, first| later.vm == first.vm);
        Ok(rows)
    }

    /// Calls the control VMs in turn, starting with the leader that a refusal named, until one
    /// responds or `TOTAL_TIMEOUT` has passed.
    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, OperatorError> {
        let start = Instant::now();
        let mut remaining = self.addresses.clone();
        loop {
            let mut attempts = Vec::new();
            let mut leader_hint = None;
            while let Some(address) = (!remaining.is_empty()).then(|| remaining.remove(0)) {
                let error = match self.call_one(address, method, params).await {
                    Ok(response) => return Ok(response),
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
                    leader_hint = leader_address(refusal.data().map_or("", |data| data.get()));
                }
                attempts.push(format!("{address}: {error}"));
                if leader_hint.is_some() {
                    break;
                }
            }
            if start.elapsed() >= TOTAL_TIMEOUT {
                return NoResponseSnafu { attempts }.fail();
            }
            sleep(ROUND_INTERVAL).await;
            remaining = leader_hint
                .into_iter()
                .chain(self.addresses.clone())
                .collect();
        }
    }

    async fn call_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &impl Serialize,
    ) -> Result<T, ClientError> {
        let client = Client::new(address, &self.secret, CALL_TIMEOUT)?;
        client.call(method, params).await
    }
}

/// Returns the operator address of the leader, if a refusal names it.
fn leader_address(detail: &str) -> Option<SocketAddr> {
    match serde_json::from_str(detail) {
        Ok(Unavailable::NotLeader { leader }) => leader?.parse().ok(),
        _ => None,
    }
}
