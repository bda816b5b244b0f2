//! Lease tokens: the time at which this incarnation of the VM responded, to be echoed by the
//! upstream.
//!
//! A lease starts at the time in the echoed token, not at the arrival of the echo, so that an
//! announcement delayed by the network cannot extend it.

use {
    crate::{clock::Micros, context::Context},
    std::fmt::{self, Display},
};

/// A lease token. Its wire format is `VM.INCARNATION.MICROS`, with hexadecimal numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Name of the VM that issued the token.
    pub vm: String,
    /// Incarnation of that VM.
    pub incarnation: u64,
    /// Time at which it was issued, by the clock of that VM.
    pub at: Micros,
}

impl Token {
    /// Creates a token of the current incarnation of this VM.
    ///
    /// ```
    /// use siskinstep::{announce::Token, clock::Micros, context::Context, keys::ZoneKey};
    /// let context = Context::new("entry-1", ZoneKey(0), Default::default());
    /// assert_eq!(Token::new(&context, Micros(7)).vm, "entry-1");
    /// ```
    #[must_use]
    pub fn new(context: &Context, at: Micros) -> Self {
        Self {
            vm: context.vm.to_string(),
            incarnation: context.incarnation,
            at,
        }
    }

    /// Parses a token; `None` if the text is not a token.
    ///
    /// ```
    /// use siskinstep::announce::Token;
    /// assert_eq!(Token::parse("entry-1.a.ff").unwrap().at.0, 255);
    /// assert!(Token::parse("entry-1").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (vm, incarnation, at) = (parts.next()?, parts.next()?, parts.next()?);
        if parts.next().is_some() {
            return None;
        }
        Some(Self {
            vm: vm.to_owned(),
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
            at: Micros(u64::from_str_radix(at, 16).ok()?),
        })
    }
}

impl Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.vm, self.incarnation, self.at.0)
    }
}
