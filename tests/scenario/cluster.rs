//! Processes of a scenario, their settings, and the relays between them.

use {
    super::{
        common::{Process, TestEnv, eventually, free_address},
        language::{Line, Statement},
        relay::Relay,
    },
    serde_json::{Value, json},
    siskinstep::edge::outbound,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        process::Command,
        time::Duration,
    },
};

const CONTROL: &str = env!("CARGO_BIN_EXE_siskinstep-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_siskinstep-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_siskinstep");
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct Vm {
    binary: &'static str,
    settings: Value,
    process: Option<Process>,
}

/// Processes of a scenario with the relays from entry VMs to control VMs.
pub struct Cluster {
    env: TestEnv,
    vms: BTreeMap<String, Vm>,
    relays: BTreeMap<(String, String), Relay>,
}

impl Cluster {
    /// Starts the control VMs, then the entry VMs.
    pub fn start(lines: &[Line]) -> Self {
        let mut cluster = Self {
            env: TestEnv::new(),
            vms: BTreeMap::new(),
            relays: BTreeMap::new(),
        };
        let counts = lines.iter().filter_map(|line| match line.statement {
            Statement::Control(count) => Some(count),
            _ => None,
        });
        cluster.start_control(counts.max().unwrap_or(1));
        let entries = lines.iter().filter_map(|line| match &line.statement {
            Statement::Entry { name, zone } => Some((name.as_str(), zone.as_str())),
            _ => None,
        });
        cluster.start_entries(&entries.collect::<Vec<_>>());
        cluster
    }

    fn start_control(&mut self, count: u64) {
        let members: Vec<Value> = (1..=count).map(member).collect();
        let mut started = Vec::new();
        for row in &members {
            let name = row["name"].as_str().unwrap();
            let mut settings = self.env.settings(name, "derwent-a");
            settings["listeners"] = json!({
                "operators": row["operators"],
                "peers": row["peers"],
                "admin": free_address(),
            });
            settings["members"] = json!(members);
            settings["data_dir"] = json!(self.env.folder.path().join(name));
            started.push((name.to_owned(), settings));
        }
        for (name, settings) in started {
            self.add(&name, CONTROL, settings);
        }
    }

    /// Starts the entry VMs. The first three have ledgers; with fewer than three VMs, only the first
    /// one has.
    fn start_entries(&mut self, entries: &[(&str, &str)]) {
        let listeners: Vec<Value> = entries.iter().map(|_| listeners()).collect();
        let seeds: Vec<&Value> = listeners.iter().map(|row| &row["members"]).collect();
        let ledger_count = if entries.len() < 3 {
            entries.len().min(1)
        } else {
            3
        };
        let ledgers: Vec<&Value> = listeners[..ledger_count]
            .iter()
            .map(|row| &row["peers"])
            .collect();
        for (index, (name, zone)) in entries.iter().enumerate() {
            let mut settings = self.env.settings(name, zone);
            settings["listeners"] = listeners[index].clone();
            let control: Vec<SocketAddr> = self
                .names_with_prefix("control-")
                .iter()
                .map(|control| self.relay_address(name, control, "peers"))
                .collect();
            settings["spread"] = json!({ "control": control });
            settings["membership"] = json!({"seeds": seeds, "round_ms": 100});
            settings["claims"] = json!({"groups": [{"name": "all", "ledgers": ledgers}]});
            if index < ledgers.len() {
                settings["data_dir"] = json!(self.env.folder.path().join(name));
            }
            self.add(name, ENTRY, settings);
        }
    }

    fn add(&mut self, name: &str, binary: &'static str, settings: Value) {
        let process = Some(self.env.start(binary, &settings));
        let vm = Vm {
            binary,
            settings,
            process,
        };
        self.vms.insert(name.to_owned(), vm);
    }

    fn names_with_prefix(&self, prefix: &str) -> Vec<String> {
        let names = self.vms.keys().filter(|name| name.starts_with(prefix));
        names.cloned().collect()
    }

    /// Address of the relay from `from` to a listener of `to`.
    fn relay_address(&mut self, from: &str, to: &str, listener: &str) -> SocketAddr {
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

    /// Request path of a request kind.
    pub fn path(kind: &str) -> String {
        let service = if Self::is_non_idempotent(kind) {
            "swapdesk"
        } else {
            "cellwatch"
        };
        format!("/{service}/{kind}")
    }

    /// Whether requests of a kind must run at most once.
    pub fn is_non_idempotent(kind: &str) -> bool {
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
        let process = self.env.start(binary, &settings);
        self.vm(vm).process = Some(process);
    }

    /// Kills the process and removes its data folder.
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

    /// Runs an operator command; an error unless it is refused exactly when `refused` is set.
    pub fn run_order(&self, arguments: &str, refused: bool) -> Result<(), String> {
        match self.run_operator(arguments) {
            Ok(_) if refused => Err(format!("order {arguments:?} was not refused")),
            Err(why) if !refused => Err(format!("order {arguments:?}: {why}")),
            _ => Ok(()),
        }
    }

    fn run_operator(&self, arguments: &str) -> Result<String, String> {
        let mut command = Command::new(OPERATOR);
        let secret = self.env.folder.path().join("secret");
        command.arg("--secret").arg(secret);
        for control in self.names_with_prefix("control-") {
            let address = self.address(&control, "operators").to_string();
            command.args(["--control", &address]);
        }
        let output = command.args(arguments.split_whitespace()).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if output.status.success() {
            Ok(text(&output.stdout))
        } else {
            Err(text(&output.stderr))
        }
    }

    pub fn await_upstream(&self, entry: &str, name: &str) {
        let quoted = format!("\"name\":\"{name}\"");
        eventually("the entry VM lists the upstream", || {
            Some(()).filter(|()| self.read(entry, "/status").contains(&quoted))
        });
    }

    /// Waits until exactly this many control VMs are alive and vote.
    pub fn await_voters(&self, count: u64) {
        eventually(
            "the expected number of control VMs is alive and votes",
            || {
                let members = self.run_operator("--output json members").ok()?;
                let rows: Vec<Value> = serde_json::from_str(&members).ok()?;
                let votes = rows
                    .iter()
                    .filter(|row| row["voter"] == true && row["alive"] == true);
                (votes.count() as u64 == count).then_some(())
            },
        );
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
        let matches = status.code().and_then(|found| u64::try_from(found).ok()) == Some(code);
        if matches {
            Ok(())
        } else {
            Err(status.to_string())
        }
    }

    fn read(&self, vm: &str, path: &str) -> String {
        let address = self.address(vm, "admin");
        let response = outbound::agent(READ_TIMEOUT)
            .get(format!("http://{address}{path}"))
            .call();
        let body = response.and_then(|mut response| response.body_mut().read_to_string());
        body.unwrap_or_default()
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        self.vms
            .get_mut(name)
            .unwrap_or_else(|| panic!("no VM is named {name}"))
    }
}

fn member(index: u64) -> Value {
    json!({
        "name": format!("control-{index}"),
        "peers": free_address(),
        "operators": free_address(),
    })
}

fn listeners() -> Value {
    let members = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr();
    json!({
        "callers": free_address(),
        "upstreams": free_address(),
        "peers": free_address(),
        "admin": free_address(),
        "members": members.unwrap(),
    })
}
