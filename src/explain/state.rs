//! The latest decisions, oldest first.

use {super::messages::Note, crate::keys::RequestId, std::collections::VecDeque};

/// The latest decisions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct State {
    notes: VecDeque<Note>,
}

impl State {
    /// Remembers a decision and forgets the oldest ones beyond `most`.
    ///
    /// ```
    /// use siskinstep::{clock::Micros, explain::{Note, Step, state::State}, keys::RequestId};
    /// let note = Note { request: RequestId(7), at: Micros(1), step: Step::Answered { status: 200 } };
    /// let mut state = State::default();
    /// state.remember(note, 1);
    /// assert_eq!(state.of(RequestId(7)), [note]);
    /// ```
    pub fn remember(&mut self, note: Note, most: usize) {
        while self.notes.len() >= most {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// The decisions about a request, oldest first.
    #[must_use]
    pub fn of(&self, request: RequestId) -> Vec<Note> {
        let notes = self.notes.iter().filter(|note| note.request == request);
        notes.copied().collect()
    }
}
