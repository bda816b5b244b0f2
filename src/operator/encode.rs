//! Server side of the operator RPC: converts JSON-RPC calls into messages to the agree duty, and
//! its replies into responses.

use {
    crate::{
        agree::{MemberChange, MemberStatus, Message, Unavailable},
        context::Context,
        edge::{
            Handler,
            rpc::{self, INVALID_PARAMS, UNAVAILABLE},
        },
        policy::{self, Accepted, Cap, Command, Drain, Policy, Rejection, Shift, state::Receipt},
        ring::Sender,
        settings::section::is_name,
        spread::Fleet,
    },
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::oneshot,
};

/// JSON-RPC error code for a rejected command, which changed nothing.
pub const REJECTED: i32 = -32_000;

const MAX_HISTORY: usize = 1_000;

/// Configuration in force, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the control VM that responded.
    pub vm: String,
    /// Version in force.
    pub version: u64,
    /// Shifts in force.
    pub shifts: Vec<Shift>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Caps in force.
    pub caps: Vec<Cap>,
}

/// Parameters of a method that takes none.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Nothing {}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryParams {
    limit: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AddParams {
    name: String,
    peers: SocketAddr,
    operators: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RemoveParams {
    name: String,
}

struct State {
    context: Context,
    ring: Sender<Message>,
    fleet: Fleet,
}

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Creates the handler that serves the methods of the schema.
///
/// # Errors
/// Two methods have the same name.
pub fn handler(
    context: &Context,
    ring: Sender<Message>,
    fleet: Fleet,
) -> Result<Handler, jsonrpsee::core::RegisterMethodError> {
    let context = context.clone();
    let mut module = RpcModule::new(State {
        context,
        ring,
        fleet,
    });
    module.register_async_method("submit", |params, state, _| async move {
        submit(&state, rpc::params(&params)?).await
    })?;
    module.register_async_method("check", |params, state, _| async move {
        check(&state, rpc::params(&params)?).await
    })?;
    module.register_async_method("status", |params, state, _| async move {
        let Nothing {} = rpc::params(&params)?;
        status(&state).await
    })?;
    module.register_async_method("history", |params, state, _| async move {
        let HistoryParams { limit } = rpc::params(&params)?;
        history(&state, limit).await
    })?;
    register_members(&mut module)?;
    module.register_method("fleet", |params, state, _| {
        let Nothing {} = rpc::params(&params)?;
        Ok::<_, ErrorObjectOwned>(state.fleet.rows())
    })?;
    Ok(rpc::handler(module))
}

fn register_members(
    module: &mut RpcModule<State>,
) -> Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_async_method("members", |params, state, _| async move {
        let Nothing {} = rpc::params(&params)?;
        members(&state, None).await
    })?;
    module.register_async_method("add_member", |params, state, _| async move {
        let AddParams {
            name,
            peers,
            operators,
        } = rpc::params(&params)?;
        validate_name(&name)?;
        let change = MemberChange::Add {
            name,
            peers,
            operators,
        };
        members(&state, Some(change)).await
    })?;
    module.register_async_method("remove_member", |params, state, _| async move {
        let RemoveParams { name } = rpc::params(&params)?;
        validate_name(&name)?;
        members(&state, Some(MemberChange::Remove { name })).await
    })?;
    Ok(())
}

async fn members(state: &State, change: Option<MemberChange>) -> RpcResult<Vec<MemberStatus>> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    enqueue(state, Message::Members { change, reply })?;
    let changed = rx.await.map_err(|_| unavailable(Unavailable::Unknown))?;
    let changed = changed.map_err(unavailable)?;
    changed.map_err(|text| {
        let findings = vec![text];
        rejected(Rejection::Invalid { findings })
    })
}

fn validate_name(name: &str) -> RpcResult<()> {
    if is_name(name) {
        return Ok(());
    }
    let findings = vec!["name: expected 1 to 64 letters, digits, '-' or '_'".to_owned()];
    Err(rejected(Rejection::Invalid { findings }))
}

async fn submit(state: &State, command: Command) -> RpcResult<Accepted> {
    validate_names(state, &command)?;
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    enqueue(state, Message::Submit { command, reply })?;
    let submitted = rx.await.map_err(|_| unavailable(Unavailable::Unknown))?;
    submitted.map_err(unavailable)?.map_err(rejected)
}

/// Applies the command to a copy of the configuration in force and discards the copy.
async fn check(state: &State, command: Command) -> RpcResult<Accepted> {
    validate_names(state, &command)?;
    let mut copy = Policy::clone(&*read_policy(state).await?);
    policy::apply(&mut copy, command).map_err(rejected)
}

async fn status(state: &State) -> RpcResult<Status> {
    let policy = read_policy(state).await?;
    Ok(Status {
        vm: state.context.vm.to_string(),
        version: policy.version,
        shifts: policy.shifts.clone(),
        drains: policy.drains.clone(),
        caps: policy.caps.clone(),
    })
}

async fn history(state: &State, limit: usize) -> RpcResult<Vec<Receipt>> {
    if !(1..=MAX_HISTORY).contains(&limit) {
        let text = format!("limit: expected 1 to {MAX_HISTORY}");
        return Err(rpc::error(INVALID_PARAMS, &text, ()));
    }
    let policy = read_policy(state).await?;
    Ok(policy.receipts.iter().rev().take(limit).cloned().collect())
}

async fn read_policy(state: &State) -> RpcResult<Arc<Policy>> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    enqueue(state, Message::Read { reply })?;
    let result = rx.await.map_err(|_| unavailable(Unavailable::Busy))?;
    result.map_err(unavailable)
}

fn enqueue(state: &State, message: Message) -> RpcResult<()> {
    state
        .ring
        .offer(message)
        .map_err(|_| unavailable(Unavailable::Busy))
}

/// Rejects names that the settings do not declare.
fn validate_names(state: &State, command: &Command) -> RpcResult<()> {
    let findings = command.change.unknown_names(&state.context.topology);
    if findings.is_empty() {
        return Ok(());
    }
    Err(rejected(Rejection::Invalid { findings }))
}

fn rejected(rejection: Rejection) -> ErrorObjectOwned {
    let text = rejection.to_string();
    rpc::error(REJECTED, &text, rejection)
}

fn unavailable(detail: Unavailable) -> ErrorObjectOwned {
    rpc::error(UNAVAILABLE, "this control VM cannot answer now", detail)
}
