//! Starts what guards requests across VMs: the ledger, and the methods that peers call.

use {
    super::{
        duties::{Base, Stops},
        links::Links,
        wiring::{StartError, ThreadSnafu},
    },
    crate::{ledger, poison, ring, shift, spread},
    jsonrpsee::RpcModule,
    snafu::ResultExt,
    std::{path::Path, thread::JoinHandle},
};

/// Starts the ledger on a VM that is in a group.
pub(super) fn keep_ledger(
    base: Base,
    threads: &mut Vec<JoinHandle<()>>,
    stops: &mut Stops,
) -> Result<Option<ring::Sender<ledger::Message>>, StartError> {
    let settings = base.settings;
    let Some(others) = settings.other_ledgers() else {
        return Ok(None);
    };
    let (tx, rx) = ring::bounded(settings.vm.ring);
    // A folder of its own: a control VM may keep its log beside it.
    let folder = Path::new(&settings.vm.data_dir).join("ledger");
    let thread = ledger::spawn(base.context.clone(), settings.ledger, &folder, rx);
    threads.push(thread.context(ThreadSnafu { name: "ledger" })?);
    let (secret, joining) = (base.secret.clone(), tx.clone());
    let thread = ledger::bootstrap::spawn(settings.ledger, others, secret, joining, stops.stop());
    let name = "ledger-join";
    threads.push(thread.context(ThreadSnafu { name })?);
    Ok(Some(tx))
}

/// The methods that other VMs call.
pub(super) fn methods(
    base: Base,
    ledger: Option<&ring::Sender<ledger::Message>>,
    links: &Links,
) -> Result<RpcModule<()>, StartError> {
    let mut module = RpcModule::new(());
    spread::register(&mut module, links.source.clone())?;
    ledger::register(&mut module, ledger)?;
    poison::register(&mut module, &base.rings.poison)?;
    shift::register(
        &mut module,
        base.context.clone(),
        base.settings.shift,
        base.rings.shift.clone(),
        base.rings.slots.clone(),
    )?;
    Ok(module)
}
