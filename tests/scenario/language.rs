//! The scenario language: one statement a line, comments from `#`, errors with line and column.

use {
    std::{fmt, time::Duration},
    winnow::{
        ModalResult, Parser,
        ascii::{digit1, space0, space1},
        combinator::{alt, delimited, opt, preceded, separated_pair},
        token::{rest, take_while},
    },
};

/// A statement with its line, from one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub number: usize,
    pub statement: Statement,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// `control COUNT`
    Control(u64),
    /// `entry NAME in ZONE`
    Entry { name: String, zone: String },
    /// `upstream NAME of SERVICE slots COUNT takes TIME at ENTRY`
    Upstream {
        name: String,
        service: String,
        slots: u64,
        time: Duration,
        entry: String,
    },
    /// `at TIME ACTION`
    At(Duration, Action),
    /// `expect CHECK`
    Expect(Check),
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// `load KIND RATE/s for TIME via ENTRY`
    Load {
        kind: String,
        rate: u64,
        time: Duration,
        entry: String,
    },
    /// `send KIND key KEY via ENTRY`
    Send {
        kind: String,
        key: String,
        entry: String,
    },
    /// `kill VM`, `stop VM`, `cont VM`, `term VM`, `start VM`, `lose-disk VM`
    Process { verb: Verb, vm: String },
    /// `cut VM VM`, `heal VM VM`
    Cut { from: String, to: String, cut: bool },
    /// `order "WORDS"`, `refused "WORDS"`
    Order { words: String, refused: bool },
    /// `fault UPSTREAM FAULT`
    Fault { upstream: String, fault: String },
    /// `leave UPSTREAM`
    Leave(String),
    /// `end UPSTREAM`: its process is lost
    End(String),
    /// `await voters COUNT`
    Voters(u64),
    /// `await version COUNT on ENTRY`
    Await { version: u64, entry: String },
    /// `mark UPSTREAM`: work begun so far does not count for `idle-since-mark`
    Mark(String),
    /// `settle`: wait until every request sent has its answer
    Settle,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Kill,
    Stop,
    Cont,
    Term,
    Start,
    LoseDisk,
}

/// What must hold at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Check {
    /// `runs-at-most-once`
    RunsAtMostOnce,
    /// `complete-answers`
    CompleteAnswers,
    /// `not-run-is-true`
    NotRunIsTrue,
    /// `served at-least COUNT`
    Served(u64),
    /// `refused at-most COUNT`
    RefusedAtMost(u64),
    /// `refused REASON at-least COUNT`
    Refused { reason: String, count: u64 },
    /// `peak UPSTREAM at-most COUNT`
    Peak { upstream: String, count: u64 },
    /// `crashes at-most COUNT`
    Crashes(u64),
    /// `idle-since-mark UPSTREAM`
    IdleSinceMark(String),
    /// `begun UPSTREAM at-least COUNT`
    Begun { upstream: String, count: u64 },
    /// `exit VM COUNT`
    Exit { vm: String, code: u64 },
    /// `moved at-most COUNT permille to UPSTREAM`
    Moved { share: u64, upstream: String },
}

/// A line that could not be read.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable {
    pub line: usize,
    pub column: usize,
    pub text: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: cannot read {:?}",
            self.line, self.column, self.text
        )
    }
}

/// Reads a scenario; every unreadable line is reported.
pub fn parse(text: &str) -> Result<Vec<Line>, Vec<Unreadable>> {
    let (mut lines, mut errors) = (Vec::new(), Vec::new());
    for (at, row) in text.lines().enumerate() {
        let code = row.split('#').next().unwrap_or_default().trim_end();
        if code.trim().is_empty() {
            continue;
        }
        let mut input = code;
        let read = delimited(space0, statement, space0).parse_next(&mut input);
        match read {
            Ok(statement) if input.is_empty() => lines.push(Line {
                number: at + 1,
                statement,
            }),
            _ => errors.push(Unreadable {
                line: at + 1,
                column: code.len() - input.len() + 1,
                text: input.to_owned(),
            }),
        }
    }
    if errors.is_empty() {
        Ok(lines)
    } else {
        Err(errors)
    }
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    alt((control, entry, upstream, at, expect)).parse_next(input)
}

fn control(input: &mut &str) -> ModalResult<Statement> {
    word("control", number)
        .map(Statement::Control)
        .parse_next(input)
}

fn entry(input: &mut &str) -> ModalResult<Statement> {
    let (name, zone) =
        word("entry", separated_pair(name, keyword("in"), name)).parse_next(input)?;
    Ok(Statement::Entry { name, zone })
}

fn upstream(input: &mut &str) -> ModalResult<Statement> {
    let name = word("upstream", name).parse_next(input)?;
    let service = after("of", self::name).parse_next(input)?;
    let slots = after("slots", number).parse_next(input)?;
    let time = after("takes", time).parse_next(input)?;
    let entry = after("at", self::name).parse_next(input)?;
    Ok(Statement::Upstream {
        name,
        service,
        slots,
        time,
        entry,
    })
}

fn at(input: &mut &str) -> ModalResult<Statement> {
    let time = word("at", time).parse_next(input)?;
    space1.parse_next(input)?;
    Ok(Statement::At(time, action(input)?))
}

fn action(input: &mut &str) -> ModalResult<Action> {
    alt((load, send, process, cut, order, fault, other)).parse_next(input)
}

fn load(input: &mut &str) -> ModalResult<Action> {
    let kind = word("load", name).parse_next(input)?;
    let rate = preceded(space1, (number, "/s")).parse_next(input)?.0;
    let time = after("for", time).parse_next(input)?;
    let entry = after("via", name).parse_next(input)?;
    Ok(Action::Load {
        kind,
        rate,
        time,
        entry,
    })
}

fn send(input: &mut &str) -> ModalResult<Action> {
    let kind = word("send", name).parse_next(input)?;
    let key = after("key", name).parse_next(input)?;
    let entry = after("via", name).parse_next(input)?;
    Ok(Action::Send { kind, key, entry })
}

fn process(input: &mut &str) -> ModalResult<Action> {
    let verb = alt((
        "kill".value(Verb::Kill),
        "stop".value(Verb::Stop),
        "cont".value(Verb::Cont),
        "term".value(Verb::Term),
        "start".value(Verb::Start),
        "lose-disk".value(Verb::LoseDisk),
    ));
    let (verb, vm) = separated_pair(verb, space1, name).parse_next(input)?;
    Ok(Action::Process { verb, vm })
}

fn cut(input: &mut &str) -> ModalResult<Action> {
    let cut = alt(("cut".value(true), "heal".value(false))).parse_next(input)?;
    let (from, to) = preceded(space1, separated_pair(name, space1, name)).parse_next(input)?;
    Ok(Action::Cut { from, to, cut })
}

fn order(input: &mut &str) -> ModalResult<Action> {
    let refused = alt(("order".value(false), "refused".value(true))).parse_next(input)?;
    let quoted = delimited('"', take_while(1.., |c| c != '"'), '"');
    let words: &str = preceded(space1, quoted).parse_next(input)?;
    Ok(Action::Order {
        words: words.to_owned(),
        refused,
    })
}

fn fault(input: &mut &str) -> ModalResult<Action> {
    let upstream = word("fault", name).parse_next(input)?;
    let fault: &str = preceded(space1, rest).parse_next(input)?;
    Ok(Action::Fault {
        upstream,
        fault: fault.to_owned(),
    })
}

fn other(input: &mut &str) -> ModalResult<Action> {
    let awaited = (after_start("await version", number), after("on", name));
    alt((
        "settle".value(Action::Settle),
        word("leave", name).map(Action::Leave),
        word("end", name).map(Action::End),
        after_start("await voters", number).map(Action::Voters),
        word("mark", name).map(Action::Mark),
        awaited.map(|(version, entry)| Action::Await { version, entry }),
    ))
    .parse_next(input)
}

fn expect(input: &mut &str) -> ModalResult<Statement> {
    let check = alt((
        "runs-at-most-once".value(Check::RunsAtMostOnce),
        "complete-answers".value(Check::CompleteAnswers),
        "not-run-is-true".value(Check::NotRunIsTrue),
        after_start("served at-least", number).map(Check::Served),
        after_start("refused at-most", number).map(Check::RefusedAtMost),
        refused,
        peak,
        begun,
        after_start("crashes at-most", number).map(Check::Crashes),
        after_start("idle-since-mark", name).map(Check::IdleSinceMark),
        (word("exit", name), preceded(space1, number)).map(|(vm, code)| Check::Exit { vm, code }),
        moved,
    ));
    word("expect", check)
        .map(Statement::Expect)
        .parse_next(input)
}

fn refused(input: &mut &str) -> ModalResult<Check> {
    let reason = word("refused", name).parse_next(input)?;
    let count = after("at-least", number).parse_next(input)?;
    Ok(Check::Refused { reason, count })
}

fn peak(input: &mut &str) -> ModalResult<Check> {
    let upstream = word("peak", name).parse_next(input)?;
    let count = after("at-most", number).parse_next(input)?;
    Ok(Check::Peak { upstream, count })
}

fn begun(input: &mut &str) -> ModalResult<Check> {
    let upstream = word("begun", name).parse_next(input)?;
    let count = after("at-least", number).parse_next(input)?;
    Ok(Check::Begun { upstream, count })
}

fn moved(input: &mut &str) -> ModalResult<Check> {
    let share = after_start("moved at-most", number).parse_next(input)?;
    let upstream = after("permille to", name).parse_next(input)?;
    Ok(Check::Moved { share, upstream })
}

/// A word, space, and what follows.
fn word<'a, T>(
    text: &'static str,
    mut then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    move |input: &mut &'a str| {
        (text, space1).parse_next(input)?;
        then.parse_next(input)
    }
}

/// The same under a name that reads well for several words.
fn after_start<'a, T>(
    text: &'static str,
    then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    word(text, then)
}

/// Space, a word, space, and what follows.
fn after<'a, T>(
    text: &'static str,
    then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    preceded(space1, word(text, then))
}

fn keyword<'a>(
    text: &'static str,
) -> impl Parser<&'a str, (), winnow::error::ErrMode<winnow::error::ContextError>> {
    (space1, text, space1).void()
}

fn name(input: &mut &str) -> ModalResult<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    take_while(1.., allowed)
        .map(str::to_owned)
        .parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<u64> {
    digit1.parse_to().parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Duration> {
    let (count, unit) = (number, opt(alt(("ms", "s")))).parse_next(input)?;
    Ok(match unit {
        Some("ms") => Duration::from_millis(count),
        _ => Duration::from_secs(count),
    })
}
