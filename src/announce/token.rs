//! Lease tokens: the time at which this life of the VM answered, to be echoed by the upstream.
//!
//! A lease counts from the time inside the echoed token, not from the arrival of the echo, so
//! that an announcement delayed on its way cannot prolong it.

use {
    crate::{clock::Micros, context::Context},
    std::fmt::{self, Display},
};

/// A lease token as it goes over the wire: `VM.INCARNATION.MICROS`, numbers in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// VM that answered.
    pub vm: String,
    /// Its life.
    pub life: u64,
    /// When it answered, on its own clock.
    pub at: Micros,
}

impl Token {
    /// A token of this VM's present life.
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
            life: context.incarnation,
            at,
        }
    }

    /// Reads a token; `None` if it is none.
    ///
    /// ```
    /// use siskinstep::announce::Token;
    /// assert_eq!(Token::parse("entry-1.a.ff").unwrap().at.0, 255);
    /// assert!(Token::parse("entry-1").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (vm, life, at) = (parts.next()?, parts.next()?, parts.next()?);
        if parts.next().is_some() {
            return None;
        }
        Some(Self {
            vm: vm.to_owned(),
            life: u64::from_str_radix(life, 16).ok()?,
            at: Micros(u64::from_str_radix(at, 16).ok()?),
        })
    }
}

impl Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.vm, self.life, self.at.0)
    }
}
