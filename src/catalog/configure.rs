//! Configuration changes, validated completely and applied atomically.

use {
    super::{
        messages::{ChangeId, Configuration, Edit, Limits, Route, Service, Workspace},
        state::{Catalog, LIMITS_ROW, MAX_ACCEPTED},
        table::{Row, Table},
    },
    crate::{policy::Rejection, workspaces::Digest},
};

/// Applies `edit` to the configuration. `versions` contains the base version and the new version.
/// Returns whether the catalogue changed: a change that was accepted before has no effect.
pub(super) fn apply(
    catalog: &mut Catalog,
    versions: (u64, u64),
    identity: ChangeId,
    edit: Edit,
) -> Result<bool, Rejection> {
    if catalog.accepted.contains(&identity) {
        return Ok(false);
    }
    let (base, version) = versions;
    if base != catalog.version {
        return Err(Rejection::Conflict {
            version: catalog.version,
            winner: String::new(),
            command: String::new(),
        });
    }
    let next = edited(catalog, edit);
    let mut findings = findings(&next);
    if version <= catalog.version {
        let current = catalog.version;
        findings.push(format!(
            "version: expected a number above {current}, found {version}"
        ));
    }
    if !findings.is_empty() {
        return Err(Rejection::Invalid { findings });
    }
    let revision = catalog.revision + 1;
    replace_rows(&mut catalog.routes, next.routes, revision);
    replace_rows(&mut catalog.services, next.services, revision);
    catalog.has_workspaces = next.workspaces.is_some();
    let workspaces = next.workspaces.unwrap_or_default();
    replace_rows(&mut catalog.workspaces, workspaces, revision);
    let limits: Vec<(String, Limits)> = next
        .limits
        .map(|row| (LIMITS_ROW.to_owned(), row))
        .into_iter()
        .collect();
    replace_rows(&mut catalog.limits, limits, revision);
    catalog.version = version;
    catalog.accepted.push(identity);
    if catalog.accepted.len() > MAX_ACCEPTED {
        catalog.accepted.remove(0);
    }
    Ok(true)
}

fn pairs<T: Clone>(rows: &[Row<T>]) -> Vec<(String, T)> {
    let pair = |row: &Row<T>| (row.name.clone(), row.value.clone());
    rows.iter().map(pair).collect()
}

/// The complete configuration after an edit, rows in ascending order of name.
fn edited(catalog: &Catalog, edit: Edit) -> Configuration {
    match edit {
        Edit::Replace(mut next) => {
            next.routes.sort_by(|a, b| a.0.cmp(&b.0));
            next.services.sort_by(|a, b| a.0.cmp(&b.0));
            if let Some(workspaces) = &mut next.workspaces {
                workspaces.sort_by(|a, b| a.0.cmp(&b.0));
            }
            next
        }
        Edit::Update {
            put,
            routes,
            services,
            workspaces,
        } => Configuration {
            routes: merged(pairs(catalog.routes.rows()), put.routes, &routes),
            services: merged(pairs(catalog.services.rows()), put.services, &services),
            limits: put.limits.or_else(|| catalog.bounds().cloned()),
            workspaces: {
                let has_workspaces = catalog.has_workspaces || put.workspaces.is_some();
                let rows = pairs(catalog.workspaces.rows());
                let put = put.workspaces.unwrap_or_default();
                has_workspaces.then(|| merged(rows, put, &workspaces))
            },
        },
    }
}

fn merged<T>(
    mut rows: Vec<(String, T)>,
    put: Vec<(String, T)>,
    removed: &[String],
) -> Vec<(String, T)> {
    rows.retain(|(name, _)| !removed.contains(name));
    for (name, value) in put {
        match rows.binary_search_by(|row| row.0.cmp(&name)) {
            Ok(at) => rows[at].1 = value,
            Err(at) => rows.insert(at, (name, value)),
        }
    }
    rows
}

/// Makes `next`, in ascending order of name, the content of `table`. Rows that are equal keep
/// their revision.
fn replace_rows<T: Clone + PartialEq>(table: &mut Table<T>, next: Vec<(String, T)>, revision: u64) {
    let is_kept = |name: &str| {
        next.binary_search_by(|row| row.0.as_str().cmp(name))
            .is_ok()
    };
    let removed: Vec<String> = table
        .rows()
        .iter()
        .filter(|row| !is_kept(&row.name))
        .map(|row| row.name.clone())
        .collect();
    for name in removed {
        table.remove(&name, revision);
    }
    for (name, value) in next {
        table.put(&name, value, revision);
    }
}

/// Every violation in a configuration, each with its location.
fn findings(next: &Configuration) -> Vec<String> {
    let mut findings = Vec::new();
    find_duplicates("service", &next.services, &mut findings);
    find_duplicates("route", &next.routes, &mut findings);
    if let Some(workspaces) = &next.workspaces {
        find_duplicates("workspace", workspaces, &mut findings);
        find_shared_keys(workspaces, &mut findings);
    }
    for (name, route) in &next.routes {
        let mut add = |text: String| findings.push(format!("route {name}: {text}"));
        check(route, &next.services, &mut add);
    }
    let pattern = |row: &(String, Route)| (row.1.host.clone(), row.1.prefix.clone());
    let mut patterns: Vec<_> = next.routes.iter().map(pattern).collect();
    patterns.sort_unstable();
    for pair in patterns.windows(2) {
        if pair[0] == pair[1] {
            let (host, prefix) = &pair[0];
            findings.push(format!(
                "{host}{prefix}: two routes have this host and prefix"
            ));
        }
    }
    findings
}

/// Adds a finding for each name that two rows have.
fn find_duplicates<T>(kind: &str, rows: &[(String, T)], findings: &mut Vec<String>) {
    for pair in rows.windows(2) {
        if pair[0].0 == pair[1].0 {
            findings.push(format!("{kind} {}: duplicate name", pair[0].0));
        }
    }
}

/// Adds a finding for each pair of workspaces that share an API key, without the key.
fn find_shared_keys(workspaces: &[(String, Workspace)], findings: &mut Vec<String>) {
    let keys_of = |row: &(String, Workspace)| -> Vec<(Digest, String)> {
        let keys = row.1.keys.iter();
        keys.map(|key| (*key, row.0.clone())).collect()
    };
    let mut owners: Vec<(Digest, String)> = workspaces.iter().flat_map(keys_of).collect();
    owners.sort_unstable();
    for pair in owners.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        if first.0 == second.0 && first.1 != second.1 {
            findings.push(format!(
                "workspaces {} and {}: share an API key",
                first.1, second.1
            ));
        }
    }
}

fn check(route: &Route, services: &[(String, Service)], add: &mut impl FnMut(String)) {
    if route.host.is_empty() {
        add("host: expected a host name, found none".to_owned());
    }
    if !route.prefix.starts_with('/') {
        add("prefix: expected a leading slash".to_owned());
    }
    if route.timeout_ms == 0 {
        add("timeout: expected more than 0 ms".to_owned());
    }
    if route.parts.is_empty() {
        add("services: expected at least one".to_owned());
    }
    for part in &route.parts {
        let found = services.binary_search_by(|row| row.0.cmp(&part.service));
        if found.is_err() {
            add(format!(
                "service {}: not in the configuration",
                part.service
            ));
        }
    }
}
