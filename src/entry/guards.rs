//! Starts what guards requests across VMs: the ledger, and the methods that peers call.

use {
    super::{
        links::Links,
        settings::Settings,
        wiring::{StartError, ThreadSnafu},
    },
    crate::{context::Context, edge::Secret, ledger, poison, ring, spread},
    jsonrpsee::RpcModule,
    snafu::ResultExt,
    std::{path::Path, thread::JoinHandle},
    tokio::sync::oneshot,
};

/// Starts the ledger on a VM that is in a group.
pub(super) fn keep_ledger(
    context: &Context,
    settings: &Settings,
    secret: &Secret,
    threads: &mut Vec<JoinHandle<()>>,
    stops: &mut Vec<oneshot::Sender<()>>,
) -> Result<Option<ring::Sender<ledger::Message>>, StartError> {
    let Some(others) = settings.other_ledgers() else {
        return Ok(None);
    };
    let (tx, rx) = ring::bounded(settings.ring);
    // A folder of its own: a control VM may keep its log beside it.
    let folder = Path::new(&settings.data_dir).join("ledger");
    let thread = ledger::spawn(context.clone(), settings.ledger, &folder, rx);
    threads.push(thread.context(ThreadSnafu { name: "ledger" })?);
    let (stop, stopped) = oneshot::channel();
    stops.push(stop);
    let joining = tx.clone();
    let thread = ledger::adopt::spawn(settings.ledger, others, secret.clone(), joining, stopped);
    let name = "ledger-join";
    threads.push(thread.context(ThreadSnafu { name })?);
    Ok(Some(tx))
}

/// The methods that other VMs call.
pub(super) fn methods(
    ledger: Option<&ring::Sender<ledger::Message>>,
    poison: &ring::Sender<poison::Message>,
    links: &Links,
) -> Result<RpcModule<()>, StartError> {
    let mut module = RpcModule::new(());
    spread::register(&mut module, links.source.clone())?;
    ledger::register(&mut module, ledger)?;
    poison::register(&mut module, poison)?;
    Ok(module)
}
