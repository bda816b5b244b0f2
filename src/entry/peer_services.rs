//! Starts the ledger, and registers the RPC methods that peers call.

use {
    super::{
        duties::{StartInputs, StopSignals},
        watches::SharedState,
        wiring::{StartError, ThreadSnafu},
    },
    crate::{ledger, poison, ring, shift, spread},
    jsonrpsee::RpcModule,
    snafu::ResultExt,
    std::{path::Path, thread::JoinHandle},
};

/// Starts the ledger if this VM belongs to a ledger group, and returns its ring.
pub(super) fn start_ledger(
    inputs: StartInputs,
    threads: &mut Vec<JoinHandle<()>>,
    stop_signals: &mut StopSignals,
) -> Result<Option<ring::Sender<ledger::Message>>, StartError> {
    let settings = inputs.settings;
    let Some(others) = settings.other_ledgers() else {
        return Ok(None);
    };
    let (tx, rx) = ring::bounded(settings.vm.ring);
    // A separate folder, as a control VM may store its log in the same data folder.
    let folder = Path::new(&settings.vm.data_dir).join("ledger");
    let thread = ledger::spawn(inputs.context.clone(), settings.ledger, &folder, rx);
    threads.push(thread.context(ThreadSnafu { name: "ledger" })?);
    let (secret, join_ring) = (inputs.secret.clone(), tx.clone());
    let thread = ledger::bootstrap::spawn(
        settings.ledger,
        others,
        secret,
        join_ring,
        stop_signals.subscribe(),
    );
    let name = "ledger-join";
    threads.push(thread.context(ThreadSnafu { name })?);
    Ok(Some(tx))
}

/// Registers the RPC methods that other VMs call.
pub(super) fn methods(
    inputs: StartInputs,
    ledger: Option<&ring::Sender<ledger::Message>>,
    shared: &SharedState,
) -> Result<RpcModule<()>, StartError> {
    let mut module = RpcModule::new(());
    spread::register(&mut module, shared.source.clone())?;
    ledger::register(&mut module, ledger)?;
    poison::register(&mut module, &inputs.rings.poison)?;
    shift::register(
        &mut module,
        inputs.context.clone(),
        inputs.settings.shift,
        inputs.rings.shift.clone(),
        inputs.rings.slots.clone(),
    )?;
    Ok(module)
}
