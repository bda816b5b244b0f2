//! Changes of configuration: checked whole, in force whole.

use {
    super::{
        messages::{ChangeId, Configuration, Edit, Limits, Route, Service},
        state::{Catalog, LIMITS, MOST_ACCEPTED},
        table::{Row, Table},
    },
    crate::policy::Rejection,
};

/// Applies an edit on top of version `versions.0`, which makes version `versions.1`. Whether it changed anything.
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
    let next = target(catalog, edit);
    let mut findings = findings(&next);
    if version <= catalog.version {
        let now = catalog.version;
        findings.push(format!(
            "version: expected one above {now}, found {version}"
        ));
    }
    if !findings.is_empty() {
        return Err(Rejection::Invalid { findings });
    }
    let revision = catalog.revision + 1;
    settle(&mut catalog.routes, next.routes, revision);
    settle(&mut catalog.services, next.services, revision);
    let limits: Vec<(String, Limits)> = next
        .limits
        .map(|row| (LIMITS.to_owned(), row))
        .into_iter()
        .collect();
    settle(&mut catalog.limits, limits, revision);
    catalog.version = version;
    catalog.accepted.push(identity);
    if catalog.accepted.len() > MOST_ACCEPTED {
        catalog.accepted.remove(0);
    }
    Ok(true)
}

fn pairs<T: Clone>(rows: &[Row<T>]) -> Vec<(String, T)> {
    let pair = |row: &Row<T>| (row.name.clone(), row.value.clone());
    rows.iter().map(pair).collect()
}

/// The configuration that an edit asks for.
fn target(catalog: &Catalog, edit: Edit) -> Configuration {
    match edit {
        Edit::Replace(mut next) => {
            next.routes.sort_by(|a, b| a.0.cmp(&b.0));
            next.services.sort_by(|a, b| a.0.cmp(&b.0));
            next
        }
        Edit::Update {
            put,
            routes,
            services,
        } => Configuration {
            routes: merged(pairs(catalog.routes.rows()), put.routes, &routes),
            services: merged(pairs(catalog.services.rows()), put.services, &services),
            limits: put.limits.or_else(|| catalog.bounds().cloned()),
        },
    }
}

fn merged<T>(
    mut rows: Vec<(String, T)>,
    put: Vec<(String, T)>,
    gone: &[String],
) -> Vec<(String, T)> {
    rows.retain(|(name, _)| !gone.contains(name));
    for (name, value) in put {
        match rows.binary_search_by(|row| row.0.cmp(&name)) {
            Ok(at) => rows[at].1 = value,
            Err(at) => rows.insert(at, (name, value)),
        }
    }
    rows
}

fn settle<T: Clone + PartialEq>(table: &mut Table<T>, next: Vec<(String, T)>, revision: u64) {
    let stays = |name: &str| {
        next.binary_search_by(|row| row.0.as_str().cmp(name))
            .is_ok()
    };
    let gone: Vec<String> = table
        .rows()
        .iter()
        .filter(|row| !stays(&row.name))
        .map(|row| row.name.clone())
        .collect();
    for name in gone {
        table.remove(&name, revision);
    }
    for (name, value) in next {
        table.put(&name, value, revision);
    }
}

/// Everything that is wrong with a configuration, each finding with its place.
fn findings(next: &Configuration) -> Vec<String> {
    let mut findings = Vec::new();
    for pair in next.services.windows(2) {
        if pair[0].0 == pair[1].0 {
            findings.push(format!("service {}: named twice", pair[0].0));
        }
    }
    for pair in next.routes.windows(2) {
        if pair[0].0 == pair[1].0 {
            findings.push(format!("route {}: named twice", pair[0].0));
        }
    }
    for (name, route) in &next.routes {
        let mut find = |text: String| findings.push(format!("route {name}: {text}"));
        check(route, &next.services, &mut find);
    }
    let place = |row: &(String, Route)| (row.1.host.clone(), row.1.prefix.clone());
    let mut places: Vec<_> = next.routes.iter().map(place).collect();
    places.sort_unstable();
    for pair in places.windows(2) {
        if pair[0] == pair[1] {
            let (host, prefix) = &pair[0];
            findings.push(format!("{host}{prefix}: two routes share this place"));
        }
    }
    findings
}

fn check(route: &Route, services: &[(String, Service)], find: &mut impl FnMut(String)) {
    if route.host.is_empty() {
        find("host: expected a name".to_owned());
    }
    if !route.prefix.starts_with('/') {
        find("prefix: expected a slash first".to_owned());
    }
    if route.timeout_ms == 0 {
        find("timeout: expected more than 0 ms".to_owned());
    }
    if route.parts.is_empty() {
        find("services: expected one or more".to_owned());
    }
    for part in &route.parts {
        let known = services.binary_search_by(|row| row.0.cmp(&part.service));
        if known.is_err() {
            find(format!(
                "service {}: not in the configuration",
                part.service
            ));
        }
    }
}
