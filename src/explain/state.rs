//! Bounded buffer of the latest decisions.

use {super::messages::Note, crate::keys::RequestId, std::collections::VecDeque};

/// Bounded buffer of the latest decisions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct State {
    notes: VecDeque<Note>,
}

impl State {
    /// Appends a decision and evicts the oldest ones, so that at most `capacity` remain.
    ///
    /// ```
    /// use siskinstep::{clock::Micros, explain::{Note, Step, state::State}, keys::RequestId};
    /// let note = Note { request: RequestId(7), at: Micros(1), step: Step::Answered { status: 200 } };
    /// let mut state = State::default();
    /// state.record(note, 1);
    /// assert_eq!(state.find(RequestId(7)), [note]);
    /// ```
    pub fn record(&mut self, note: Note, capacity: usize) {
        while self.notes.len() >= capacity {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// Returns the recorded decisions about a request, oldest first.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Vec<Note> {
        let notes = self.notes.iter().filter(|note| note.request == request);
        notes.copied().collect()
    }
}
