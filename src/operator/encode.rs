//! JSON-RPC methods as messages to the agree duty, and answers back.

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

/// Code of the error for a command that was refused and changed nothing.
pub const REJECTED: i32 = -32_000;

const MOST_HISTORY: usize = 1_000;

/// The configuration in force, as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the control VM that answered.
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

type Answer<T> = Result<T, ErrorObjectOwned>;

/// Serves the methods of the schema.
///
/// # Errors
/// Two methods have one name.
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
        check_name(&name)?;
        let change = MemberChange::Add {
            name,
            peers,
            operators,
        };
        members(&state, Some(change)).await
    })?;
    module.register_async_method("remove_member", |params, state, _| async move {
        let RemoveParams { name } = rpc::params(&params)?;
        check_name(&name)?;
        members(&state, Some(MemberChange::Remove { name })).await
    })?;
    Ok(())
}

async fn members(state: &State, change: Option<MemberChange>) -> Answer<Vec<MemberStatus>> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |answer| drop(tx.send(answer)));
    offer(state, Message::Members { change, reply })?;
    let changed = rx.await.map_err(|_| unavailable(Unavailable::Unknown))?;
    let changed = changed.map_err(unavailable)?;
    changed.map_err(|text| {
        let findings = vec![text];
        rejected(Rejection::Invalid { findings })
    })
}

fn check_name(name: &str) -> Answer<()> {
    if is_name(name) {
        return Ok(());
    }
    let findings = vec!["name: expected 1 to 64 letters, digits, '-' or '_'".to_owned()];
    Err(rejected(Rejection::Invalid { findings }))
}

async fn submit(state: &State, command: Command) -> Answer<Accepted> {
    check_names(state, &command)?;
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |answer| drop(tx.send(answer)));
    offer(state, Message::Submit { command, reply })?;
    let submitted = rx.await.map_err(|_| unavailable(Unavailable::Unknown))?;
    submitted.map_err(unavailable)?.map_err(rejected)
}

/// Applies the command to a copy of the configuration in force.
async fn check(state: &State, command: Command) -> Answer<Accepted> {
    check_names(state, &command)?;
    let mut copy = Policy::clone(&*read(state).await?);
    policy::apply(&mut copy, command).map_err(rejected)
}

async fn status(state: &State) -> Answer<Status> {
    let policy = read(state).await?;
    Ok(Status {
        vm: state.context.vm.to_string(),
        version: policy.version,
        shifts: policy.shifts.clone(),
        drains: policy.drains.clone(),
        caps: policy.caps.clone(),
    })
}

async fn history(state: &State, limit: usize) -> Answer<Vec<Receipt>> {
    if !(1..=MOST_HISTORY).contains(&limit) {
        let text = format!("limit: expected 1 to {MOST_HISTORY}");
        return Err(rpc::error(INVALID_PARAMS, &text, ()));
    }
    let policy = read(state).await?;
    Ok(policy.receipts.iter().rev().take(limit).cloned().collect())
}

async fn read(state: &State) -> Answer<Arc<Policy>> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |answer| drop(tx.send(answer)));
    offer(state, Message::Read { reply })?;
    let read = rx.await.map_err(|_| unavailable(Unavailable::Busy))?;
    read.map_err(unavailable)
}

fn offer(state: &State, message: Message) -> Answer<()> {
    state
        .ring
        .offer(message)
        .map_err(|_| unavailable(Unavailable::Busy))
}

/// Refuses names that the settings do not declare.
fn check_names(state: &State, command: &Command) -> Answer<()> {
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
