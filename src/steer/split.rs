//! Traffic splits: the service of each request of a route.

use {super::state::State, crate::catalog::Route, std::sync::Arc};

/// Picks the service of a traffic split by smooth weighted round-robin, so that each gets its exact share.
pub(super) fn pick_service(state: &mut State, name: &Arc<str>, route: &Route) -> Option<Arc<str>> {
    if let [part] = route.parts.as_slice() {
        return Some(part.service.as_str().into());
    }
    if state
        .splits
        .get(name)
        .is_none_or(|given| given.len() != route.parts.len())
    {
        state
            .splits
            .insert(Arc::clone(name), vec![0; route.parts.len()]);
    }
    let current_weights = state.splits.get_mut(name)?;
    let mut total = 0;
    for (value, part) in current_weights.iter_mut().zip(&route.parts) {
        let weight = i128::from(part.weight);
        *value += weight;
        total += weight;
    }
    let has_weight = |at: &usize| route.parts[*at].weight > 0;
    let best = (0..route.parts.len())
        .filter(has_weight)
        .max_by_key(|at| current_weights[*at])?;
    current_weights[best] -= total;
    Some(route.parts[best].service.as_str().into())
}
