//! The processes of a scenario, their settings, and the relays between them.

use {
    super::{
        common::{Fleet, Process, eventually, free_address},
        language::{Line, Statement},
        relay::Relay,
    },
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{collections::BTreeMap, net::SocketAddr, process::Command, time::Duration},
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_siskinstep");
const READ_LIMIT: Duration = Duration::from_secs(5);

struct Vm {
    binary: &'static str,
    settings: Value,
    process: Option<Process>,
}

/// The processes of a scenario.
pub struct World {
    fleet: Fleet,
    vms: BTreeMap<String, Vm>,
    relays: BTreeMap<(String, String), Relay>,
    ledgers: Vec<(String, SocketAddr)>,
}

/// The first three entry VMs are the ledgers, or the first one where there are fewer.
fn ledgers(lines: &[Line]) -> Vec<(String, SocketAddr)> {
    let names = lines.iter().filter_map(|line| match &line.statement {
        Statement::Entry { name, .. } => Some(name.clone()),
        _ => None,
    });
    let names: Vec<String> = names.collect();
    let count = if names.len() < 3 { 1 } else { 3 };
    let names = names.into_iter().take(count);
    names.map(|name| (name, free_address())).collect()
}

impl World {
    /// Starts control VMs first, then entry VMs.
    pub fn start(lines: &[Line]) -> Self {
        let mut world = Self {
            fleet: Fleet::new(),
            vms: BTreeMap::new(),
            relays: BTreeMap::new(),
            ledgers: ledgers(lines),
        };
        let counts = lines.iter().filter_map(|line| match line.statement {
            Statement::Control(count) => Some(count),
            _ => None,
        });
        world.start_control(counts.max().unwrap_or(1));
        for line in lines {
            if let Statement::Entry { name, zone } = &line.statement {
                world.start_entry(name, zone);
            }
        }
        world
    }

    fn start_control(&mut self, count: u64) {
        for at in 1..=count {
            let name = format!("control-{at}");
            let mut settings = self.fleet.settings(&name, "derwent-a");
            settings["listeners"] = json!({
                "operators": free_address(),
                "peers": free_address(),
                "admin": free_address(),
            });
            self.add(&name, CONTROL, settings);
        }
    }

    fn start_entry(&mut self, name: &str, zone: &str) {
        let mut settings = self.fleet.settings(name, zone);
        settings["listeners"] = json!({
            "callers": free_address(),
            "upstreams": free_address(),
            "peers": free_address(),
            "admin": free_address(),
        });
        let control: Vec<SocketAddr> = self
            .named("control-")
            .iter()
            .map(|control| self.way(name, control, "peers"))
            .collect();
        settings["spread"] = json!({ "control": control });
        self.set_ledgers(name, &mut settings);
        self.add(name, ENTRY, settings);
    }

    fn set_ledgers(&self, name: &str, settings: &mut Value) {
        let addresses: Vec<SocketAddr> = self.ledgers.iter().map(|row| row.1).collect();
        settings["claims"] = json!({"groups": [{"name": "derwent", "ledgers": addresses}]});
        if let Some((_, peers)) = self.ledgers.iter().find(|row| row.0 == name) {
            settings["listeners"]["peers"] = json!(peers);
            settings["data_dir"] = json!(self.fleet.folder.path().join(format!("{name}-data")));
        }
    }

    fn add(&mut self, name: &str, binary: &'static str, settings: Value) {
        let process = Some(self.fleet.start(binary, &settings));
        let vm = Vm {
            binary,
            settings,
            process,
        };
        self.vms.insert(name.to_owned(), vm);
    }

    fn named(&self, start: &str) -> Vec<String> {
        let names = self.vms.keys().filter(|name| name.starts_with(start));
        names.cloned().collect()
    }

    /// The address by which `from` reaches a listener of `to`: a relay that can be cut.
    fn way(&mut self, from: &str, to: &str, listener: &str) -> SocketAddr {
        let target = self.address(to, listener);
        let key = (from.to_owned(), to.to_owned());
        let relay = self
            .relays
            .entry(key)
            .or_insert_with(|| Relay::start(target));
        relay.address
    }

    fn address(&self, vm: &str, listener: &str) -> SocketAddr {
        let text = self.vms[vm].settings["listeners"][listener].as_str();
        text.unwrap().parse().unwrap()
    }

    pub fn callers(&self, entry: &str) -> SocketAddr {
        self.address(entry, "callers")
    }

    pub fn upstreams(&self, entry: &str) -> SocketAddr {
        self.address(entry, "upstreams")
    }

    /// The path of a request kind.
    pub fn path(kind: &str) -> String {
        let service = if Self::is_once(kind) {
            "swapdesk"
        } else {
            "cellwatch"
        };
        format!("/{service}/{kind}")
    }

    /// Whether a request kind must run at most once.
    pub fn is_once(kind: &str) -> bool {
        kind == "book"
    }

    pub fn kill(&mut self, vm: &str) {
        self.vm(vm).process = None;
    }

    pub fn signal(&mut self, vm: &str, name: &str) {
        if let Some(process) = &self.vm(vm).process {
            process.signal(name);
        }
    }

    pub fn restart(&mut self, vm: &str) {
        let (binary, settings) = (self.vms[vm].binary, self.vms[vm].settings.clone());
        self.vm(vm).process = None;
        let process = self.fleet.start(binary, &settings);
        self.vm(vm).process = Some(process);
    }

    /// Ends the process and removes its data folder.
    pub fn lose_disk(&mut self, vm: &str) {
        self.kill(vm);
        if let Some(folder) = self.vms[vm].settings["data_dir"].as_str() {
            std::fs::remove_dir_all(folder).unwrap();
        }
    }

    pub fn cut(&mut self, from: &str, to: &str, cut: bool) -> Result<(), String> {
        let mut found = false;
        for ((near, far), relay) in &self.relays {
            let pair = (near.as_str(), far.as_str());
            if pair == (from, to) || pair == (to, from) {
                relay.set_cut(cut);
                found = true;
            }
        }
        if found {
            Ok(())
        } else {
            Err(format!("no relay between {from} and {to}"))
        }
    }

    /// Runs the operator's command line and checks whether it was refused.
    pub fn order(&self, words: &str, refused: bool) -> Result<(), String> {
        let mut command = Command::new(OPERATOR);
        command
            .arg("--secret")
            .arg(self.fleet.folder.path().join("secret"));
        for control in self.named("control-") {
            command
                .arg("--control")
                .arg(self.address(&control, "operators").to_string());
        }
        let output = command.args(words.split_whitespace()).output().unwrap();
        if output.status.success() != refused {
            return Ok(());
        }
        Err(format!(
            "order {words:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        ))
    }

    pub fn await_upstream(&self, entry: &str, name: &str) {
        let quoted = format!("\"name\":\"{name}\"");
        eventually("the upstream is known", || {
            Some(()).filter(|()| self.read(entry, "/status").contains(&quoted))
        });
    }

    pub fn await_version(&self, version: u64, entry: &str) {
        let row = format!("level{{what=\"version\"}} {version}\n");
        eventually("the version is in force", || {
            Some(()).filter(|()| self.read(entry, "/metrics").contains(&row))
        });
    }

    pub fn check_exit(&mut self, vm: &str, code: u64) -> Result<(), String> {
        let process = self
            .vm(vm)
            .process
            .as_mut()
            .ok_or("the process was killed")?;
        let status = process.wait();
        let same = status.code().and_then(|found| u64::try_from(found).ok()) == Some(code);
        if same {
            Ok(())
        } else {
            Err(status.to_string())
        }
    }

    fn read(&self, vm: &str, path: &str) -> String {
        let address = self.address(vm, "admin");
        let answer = outbound::agent(READ_LIMIT)
            .get(format!("http://{address}{path}"))
            .call();
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        body.unwrap_or_default()
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        self.vms
            .get_mut(name)
            .unwrap_or_else(|| panic!("no VM of the name {name}"))
    }
}
