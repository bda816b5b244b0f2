//! Decisions of an entry VM: which tokens it spends, keeps and asks for.

use {
    super::messages::{LeaseRequest, LeaseResponse, RequestRow},
    crate::{clock::Micros, keys::WorkspaceKey},
    slotmap::SecondaryMap,
    std::sync::Arc,
};

/// Time from a call to the expiry of the tokens that it renews or that its answer grants, in milliseconds.
pub const VALID_MS: u64 = 2_000;
/// Age of a call above which its answer is dropped, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 500;
/// Interval of calls while tokens are used, in milliseconds.
const CALL_MS: u64 = 400;
/// Delay after a failed call, in milliseconds: a control VM that refuses calls must not be called in a loop.
const RETRY_MS: u64 = 50;
/// Time a request waits for a token at most, in milliseconds: two calls to a leader in another region, as one may be in
/// progress.
pub const WAIT_MS: u64 = 250;
/// Window in which the demand is counted, in milliseconds.
const DEMAND_MS: u64 = 1_000;
/// The entry VM keeps the tokens of its demand divided by this: half a second's.
const KEPT_PART: u64 = 2;

/// Requests of one workspace in this and the last window.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    began: Micros,
    current: u64,
    last: u64,
}

impl Demand {
    fn roll(&mut self, now: Micros) {
        let windows = now.0.saturating_sub(self.began.0) / (DEMAND_MS * 1_000);
        if windows > 0 {
            self.last = if windows == 1 { self.current } else { 0 };
            self.current = 0;
            self.began = self.began.plus_millis(windows * DEMAND_MS);
        }
    }

    /// Requests of the last second, estimated.
    fn per_second(&self, now: Micros) -> u64 {
        let elapsed = now.0.saturating_sub(self.began.0).min(DEMAND_MS * 1_000);
        let left = DEMAND_MS * 1_000 - elapsed;
        self.current + self.last * left / (DEMAND_MS * 1_000)
    }

    fn is_idle(&self) -> bool {
        self.current == 0 && self.last == 0
    }
}

/// Tokens of one workspace.
#[derive(Debug)]
struct Holding {
    name: Arc<str>,
    held: u32,
    /// Tokens spent, counted from the number of the last call times 2^32: a count that began again after the workspace was
    /// forgotten is larger than the former one, so that the leader never takes spent tokens for returned ones.
    spent: u64,
    /// Those of them in the last call.
    reported: u64,
    /// Requests that wait for a token.
    waiting: u32,
    /// Whether some of them began to wait after the last call.
    is_urgent: bool,
    /// Whether the leader may have a row.
    is_listed: bool,
    /// Before this time the leader has no token.
    denied_until: Micros,
    demand: Demand,
}

impl Holding {
    fn kept(&self, now: Micros) -> u32 {
        let kept = self.demand.per_second(now) / KEPT_PART;
        u32::try_from(kept).unwrap_or(u32::MAX)
    }

    fn has_news(&self) -> bool {
        self.spent != self.reported || self.waiting > 0 || self.is_listed
    }

    fn is_due(&self, now: Micros) -> bool {
        self.is_urgent && self.waiting > 0 && now >= self.denied_until
    }
}

/// A token that a request has taken: the number of the last call before that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(u64);

/// Result of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The request may be sent.
    Token(Token),
    /// The request waits for the leader's answer, [`WAIT_MS`] at most.
    Wait,
    /// The workspace is over its limit.
    Denied {
        /// Milliseconds after which the limit permits a request.
        retry_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    sequence: u64,
    sent_at: Micros,
}

/// Tokens of an entry VM.
#[derive(Debug)]
pub struct Hold {
    vm: String,
    incarnation: u64,
    sequence: u64,
    workspaces: SecondaryMap<WorkspaceKey, Holding>,
    /// When the held tokens expire.
    valid_until: Micros,
    /// When the next call may be made, and when the next one that is not urgent.
    next_at: Micros,
    due_at: Micros,
    call: Option<Call>,
}

impl Hold {
    /// Tokens of the process `incarnation` of an entry VM: none.
    ///
    /// ```
    /// use siskinstep::{clock::Micros, shares::Hold};
    /// assert!(Hold::new("entry-1", 7).next_call(Micros(0)).is_none());
    /// ```
    #[must_use]
    pub fn new(vm: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.to_owned(),
            incarnation,
            sequence: 0,
            workspaces: SecondaryMap::new(),
            valid_until: Micros(0),
            next_at: Micros(0),
            due_at: Micros(0),
            call: None,
        }
    }

    /// Takes a token for a request of the workspace `key`.
    pub fn take(&mut self, key: WorkspaceKey, name: &Arc<str>, now: Micros) -> Taken {
        self.expire(now);
        if !self.workspaces.contains_key(key) {
            let spent = self.sequence << 32;
            let holding = Holding {
                name: Arc::clone(name),
                held: 0,
                spent,
                reported: spent,
                waiting: 0,
                is_urgent: false,
                is_listed: false,
                denied_until: Micros(0),
                demand: Demand {
                    began: now,
                    ..Demand::default()
                },
            };
            self.workspaces.insert(key, holding);
        }
        let holding = &mut self.workspaces[key];
        holding.demand.roll(now);
        holding.demand.current += 1;
        if holding.waiting == 0 && holding.held > 0 {
            holding.held -= 1;
            holding.spent += 1;
            return Taken::Token(Token(self.sequence));
        }
        if holding.denied_until > now.plus_millis(WAIT_MS) {
            let wait = holding.denied_until.since(now).as_millis();
            let retry_ms = u64::try_from(wait).unwrap_or(u64::MAX);
            return Taken::Denied { retry_ms };
        }
        holding.waiting += 1;
        holding.is_urgent = true;
        Taken::Wait
    }

    /// Takes a token for a request that waits. The request stays among those that wait if there is none.
    pub fn take_waiting(&mut self, key: WorkspaceKey, now: Micros) -> Option<Token> {
        self.expire(now);
        let holding = self.workspaces.get_mut(key)?;
        if holding.held == 0 || holding.waiting == 0 {
            return None;
        }
        holding.held -= 1;
        holding.waiting -= 1;
        holding.spent += 1;
        Some(Token(self.sequence))
    }

    /// Ends the wait of a request. Returns the milliseconds until the limit permits a request if the leader has
    /// denied one; 0 if there was no answer.
    pub fn stop_waiting(&mut self, key: WorkspaceKey, now: Micros) -> u64 {
        let Some(holding) = self.workspaces.get_mut(key) else {
            return 0;
        };
        holding.waiting = holding.waiting.saturating_sub(1);
        let wait = holding.denied_until.since(now).as_millis();
        u64::try_from(wait).unwrap_or(u64::MAX)
    }

    /// Whether a request that may wait until `until` need not: the leader has no token before.
    #[must_use]
    pub fn is_denied(&self, key: WorkspaceKey, until: Micros) -> bool {
        let holding = self.workspaces.get(key);
        holding.is_some_and(|holding| holding.denied_until > until)
    }

    /// Gives back the token of a request that has not run. Once a call has reported it as spent, the leader may have
    /// replaced it, so it stays spent. Returns whether the token is held again.
    pub fn give_back(&mut self, key: WorkspaceKey, token: Token) -> bool {
        let Some(holding) = self.workspaces.get_mut(key) else {
            return false;
        };
        let is_held = token.0 == self.sequence && holding.spent > holding.reported;
        if is_held {
            holding.spent -= 1;
            holding.held += 1;
        }
        is_held
    }

    /// Forgets the workspaces for which `keep` is false: they have been removed or have no limit any more.
    pub fn retain(&mut self, keep: impl Fn(WorkspaceKey) -> bool) {
        self.workspaces.retain(|key, _| keep(key));
    }

    /// Time at which [`Self::next_call`] may have a call, if nothing else happens.
    #[must_use]
    pub fn next_call_at(&self, now: Micros) -> Option<Micros> {
        if let Some(call) = self.call {
            return Some(call.sent_at.plus_millis(CALL_TIMEOUT_MS));
        }
        let active = |holding: &Holding| {
            let at = if holding.is_urgent && holding.waiting > 0 {
                self.due_at.min(holding.denied_until)
            } else {
                self.due_at
            };
            holding.has_news().then_some(at)
        };
        let next = self.workspaces.values().filter_map(active).min();
        next.map(|next| next.max(self.next_at).max(now))
    }

    /// The next call to the leader, if one is due.
    pub fn next_call(&mut self, now: Micros) -> Option<LeaseRequest> {
        self.expire(now);
        let timeout = |call: Call| now >= call.sent_at.plus_millis(CALL_TIMEOUT_MS);
        if self.call.is_some_and(timeout) {
            self.failed(now);
        }
        let mut all = self.workspaces.values();
        let is_due = if now >= self.due_at {
            all.any(Holding::has_news)
        } else {
            all.any(|holding| holding.is_due(now))
        };
        if self.call.is_some() || now < self.next_at || !is_due {
            return None;
        }
        self.sequence += 1;
        self.due_at = now.plus_millis(CALL_MS);
        self.call = Some(Call {
            sequence: self.sequence,
            sent_at: now,
        });
        let mut rows = Vec::new();
        for holding in self.workspaces.values_mut() {
            holding.demand.roll(now);
            if !holding.has_news() {
                continue;
            }
            let kept = holding.kept(now);
            // Twice as many, so that demand that varies does not return tokens and ask for them in turn.
            if holding.held > kept.saturating_mul(2) {
                holding.held = kept;
            }
            holding.reported = holding.spent;
            holding.is_urgent = false;
            let wanted = kept.saturating_add(holding.waiting);
            let wanted = wanted.saturating_sub(holding.held);
            holding.is_listed = holding.held > 0 || wanted > 0;
            rows.push(RequestRow {
                name: holding.name.to_string(),
                spent: holding.spent,
                held: holding.held,
                wanted,
            });
        }
        // The answer has the rows in the same order.
        rows.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Some(LeaseRequest {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            rows,
        })
    }

    /// Applies the answer to the call in progress; drops one that is too old. Requests that wait are then to be
    /// tried again.
    pub fn answered(&mut self, response: &LeaseResponse, now: Micros) {
        let is_answer = |call: &Call| call.sequence == response.sequence;
        let Some(call) = self.call.filter(is_answer) else {
            return;
        };
        if now >= call.sent_at.plus_millis(CALL_TIMEOUT_MS) {
            return;
        }
        self.expire(now);
        self.call = None;
        self.valid_until = call.sent_at.plus_millis(VALID_MS);
        for holding in self.workspaces.values_mut() {
            let rows = &response.rows;
            let row = rows
                .binary_search_by(|row| row.name.as_str().cmp(&holding.name))
                .map(|at| &rows[at]);
            let Ok(row) = row else { continue };
            holding.held = holding.held.saturating_add(row.granted);
            // Some of those that wait may need another call.
            holding.is_urgent = holding.waiting > 0;
            holding.denied_until = now.plus_millis(u64::from(row.retry_ms));
        }
        let is_idle = |holding: &Holding| !holding.has_news() && holding.demand.is_idle();
        self.workspaces.retain(|_, holding| !is_idle(holding));
    }

    /// Ends the call in progress without an answer. Tokens that it was granted are not used.
    pub fn failed(&mut self, now: Micros) {
        self.call = None;
        self.next_at = now.plus_millis(RETRY_MS);
        for holding in self.workspaces.values_mut() {
            holding.is_urgent = holding.waiting > 0;
            holding.is_listed = true;
        }
    }

    fn expire(&mut self, now: Micros) {
        if self.valid_until != Micros(0) && now >= self.valid_until {
            self.valid_until = Micros(0);
            for holding in self.workspaces.values_mut() {
                holding.held = 0;
                // Spent tokens that are given back have expired too.
                holding.reported = holding.spent;
            }
        }
    }
}
