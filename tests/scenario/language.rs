//! Parser of the scenario language: one statement per line, comments start with `#`, errors name
//! line and column.

use {
    std::{fmt, time::Duration},
    winnow::{
        ModalResult, Parser,
        ascii::{digit1, space0, space1},
        combinator::{alt, delimited, opt, preceded, separated_pair},
        token::{rest, take_while},
    },
};

/// A statement with its line number, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub number: usize,
    pub statement: Statement,
}

/// Statement of one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// `control COUNT`: number of control VMs
    Control(u64),
    /// `entry NAME in ZONE`: an entry VM in an availability zone
    Entry { name: String, zone: String },
    /// `upstream NAME of SERVICE slots COUNT takes TIME at ENTRY`: a fake upstream that runs each
    /// request for `TIME` and announces itself at `ENTRY`
    Upstream {
        name: String,
        service: String,
        slots: u64,
        time: Duration,
        entry: String,
    },
    /// `at TIME ACTION`: a step, `TIME` after every process and upstream is up
    At(Duration, Action),
    /// `expect CHECK`: a condition evaluated after the last step
    Expect(Check),
}

/// Action of a step. A `TIME` is in `ms` or `s`, without a unit in seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// `load KIND RATE/s for TIME via ENTRY`: open-loop load of that request kind
    Load {
        kind: String,
        rate: u64,
        time: Duration,
        entry: String,
    },
    /// `send KIND key KEY via ENTRY`: one request with an idempotency key
    Send {
        kind: String,
        key: String,
        entry: String,
    },
    /// `kill VM`, `stop VM`, `cont VM`, `term VM`: signals; `start VM`: a restart;
    /// `lose-disk VM`: a kill that also removes the data folder
    Process { operation: Operation, vm: String },
    /// `cut VM VM`, `heal VM VM`: interrupts or restores the connections between an entry VM and a
    /// control VM
    Cut { from: String, to: String, cut: bool },
    /// `order "ARGUMENTS"`: an operator command that must succeed; `refused "ARGUMENTS"`: one that
    /// must fail
    Order { arguments: String, refused: bool },
    /// `fault UPSTREAM FAULT`: sets the injected fault, `none` to clear it
    Fault { upstream: String, fault: String },
    /// `leave UPSTREAM`: announces that the upstream is leaving
    Leave(String),
    /// `end UPSTREAM`: terminates the upstream without notice
    Terminate(String),
    /// `await voters COUNT`: waits until exactly `COUNT` control VMs are alive and vote
    AwaitVoters(u64),
    /// `await version COUNT on ENTRY`: waits until that configuration version is in force there
    AwaitVersion { version: u64, entry: String },
    /// `mark UPSTREAM`: requests begun so far do not count for `idle-since-mark`
    Mark(String),
    /// `settle`: waits until every request sent has its response
    Settle,
}

/// Operation on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Kill,
    Stop,
    Cont,
    Term,
    Start,
    LoseDisk,
}

/// Condition that must hold after the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Check {
    /// `runs-at-most-once`: no non-idempotent request ran more than once
    RunsAtMostOnce,
    /// `complete-answers`: every served request got the complete response to its own key
    CompleteAnswers,
    /// `not-run-is-true`: no request reported as not run did run, keys sent twice excluded
    NotRunIsTrue,
    /// `served at-least COUNT`
    ServedAtLeast(u64),
    /// `refused at-most COUNT`, requests without a response included
    RefusedAtMost(u64),
    /// `refused REASON at-least COUNT`; `lost` is the reason if the response names none
    RefusedAtLeast { reason: String, count: u64 },
    /// `peak UPSTREAM at-most COUNT`: requests that ran at the same time
    PeakAtMost { upstream: String, count: u64 },
    /// `crashes at-most COUNT`, over all upstreams
    CrashesAtMost(u64),
    /// `idle-since-mark UPSTREAM`: no request has begun since its `mark`
    IdleSinceMark(String),
    /// `begun UPSTREAM at-least COUNT`: requests whose run has begun
    BegunAtLeast { upstream: String, count: u64 },
    /// `exit VM CODE`: the process exits with that code
    Exit { vm: String, code: u64 },
    /// `moved at-most COUNT permille to UPSTREAM`: its share of all requests begun
    MovedAtMost { permille: u64, upstream: String },
}

/// Line that is no statement of the language; `text` is the rest from `column`, counted from 1.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError {
    pub line: usize,
    pub column: usize,
    pub text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: invalid statement at {:?}",
            self.line, self.column, self.text
        )
    }
}

/// Parses a scenario; on failure, returns an error for each invalid line.
pub fn parse(text: &str) -> Result<Vec<Line>, Vec<ParseError>> {
    let (mut lines, mut errors) = (Vec::new(), Vec::new());
    for (index, row) in text.lines().enumerate() {
        let code = row.split('#').next().unwrap_or_default().trim_end();
        if code.trim().is_empty() {
            continue;
        }
        let mut input = code;
        let parsed = delimited(space0, statement, space0).parse_next(&mut input);
        match parsed {
            Ok(statement) if input.is_empty() => lines.push(Line {
                number: index + 1,
                statement,
            }),
            _ => errors.push(ParseError {
                line: index + 1,
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
    keyword("control", number)
        .map(Statement::Control)
        .parse_next(input)
}

fn entry(input: &mut &str) -> ModalResult<Statement> {
    let (name, zone) =
        keyword("entry", separated_pair(name, separator("in"), name)).parse_next(input)?;
    Ok(Statement::Entry { name, zone })
}

fn upstream(input: &mut &str) -> ModalResult<Statement> {
    let name = keyword("upstream", name).parse_next(input)?;
    let service = clause("of", self::name).parse_next(input)?;
    let slots = clause("slots", number).parse_next(input)?;
    let time = clause("takes", time).parse_next(input)?;
    let entry = clause("at", self::name).parse_next(input)?;
    Ok(Statement::Upstream {
        name,
        service,
        slots,
        time,
        entry,
    })
}

fn at(input: &mut &str) -> ModalResult<Statement> {
    let time = keyword("at", time).parse_next(input)?;
    space1.parse_next(input)?;
    Ok(Statement::At(time, action(input)?))
}

fn action(input: &mut &str) -> ModalResult<Action> {
    alt((load, send, process, cut, order, fault, other)).parse_next(input)
}

fn load(input: &mut &str) -> ModalResult<Action> {
    let kind = keyword("load", name).parse_next(input)?;
    let rate = preceded(space1, (number, "/s")).parse_next(input)?.0;
    let time = clause("for", time).parse_next(input)?;
    let entry = clause("via", name).parse_next(input)?;
    Ok(Action::Load {
        kind,
        rate,
        time,
        entry,
    })
}

fn send(input: &mut &str) -> ModalResult<Action> {
    let kind = keyword("send", name).parse_next(input)?;
    let key = clause("key", name).parse_next(input)?;
    let entry = clause("via", name).parse_next(input)?;
    Ok(Action::Send { kind, key, entry })
}

fn process(input: &mut &str) -> ModalResult<Action> {
    let operation = alt((
        "kill".value(Operation::Kill),
        "stop".value(Operation::Stop),
        "cont".value(Operation::Cont),
        "term".value(Operation::Term),
        "start".value(Operation::Start),
        "lose-disk".value(Operation::LoseDisk),
    ));
    let (operation, vm) = separated_pair(operation, space1, name).parse_next(input)?;
    Ok(Action::Process { operation, vm })
}

fn cut(input: &mut &str) -> ModalResult<Action> {
    let cut = alt(("cut".value(true), "heal".value(false))).parse_next(input)?;
    let (from, to) = preceded(space1, separated_pair(name, space1, name)).parse_next(input)?;
    Ok(Action::Cut { from, to, cut })
}

fn order(input: &mut &str) -> ModalResult<Action> {
    let refused = alt(("order".value(false), "refused".value(true))).parse_next(input)?;
    let quoted = delimited('"', take_while(1.., |c| c != '"'), '"');
    let arguments: &str = preceded(space1, quoted).parse_next(input)?;
    Ok(Action::Order {
        arguments: arguments.to_owned(),
        refused,
    })
}

fn fault(input: &mut &str) -> ModalResult<Action> {
    let upstream = keyword("fault", name).parse_next(input)?;
    let fault: &str = preceded(space1, rest).parse_next(input)?;
    Ok(Action::Fault {
        upstream,
        fault: fault.to_owned(),
    })
}

fn other(input: &mut &str) -> ModalResult<Action> {
    let await_version = (phrase("await version", number), clause("on", name));
    alt((
        "settle".value(Action::Settle),
        keyword("leave", name).map(Action::Leave),
        keyword("end", name).map(Action::Terminate),
        phrase("await voters", number).map(Action::AwaitVoters),
        keyword("mark", name).map(Action::Mark),
        await_version.map(|(version, entry)| Action::AwaitVersion { version, entry }),
    ))
    .parse_next(input)
}

fn expect(input: &mut &str) -> ModalResult<Statement> {
    let check = alt((
        "runs-at-most-once".value(Check::RunsAtMostOnce),
        "complete-answers".value(Check::CompleteAnswers),
        "not-run-is-true".value(Check::NotRunIsTrue),
        phrase("served at-least", number).map(Check::ServedAtLeast),
        phrase("refused at-most", number).map(Check::RefusedAtMost),
        refused,
        peak,
        begun,
        phrase("crashes at-most", number).map(Check::CrashesAtMost),
        phrase("idle-since-mark", name).map(Check::IdleSinceMark),
        (keyword("exit", name), preceded(space1, number))
            .map(|(vm, code)| Check::Exit { vm, code }),
        moved,
    ));
    keyword("expect", check)
        .map(Statement::Expect)
        .parse_next(input)
}

fn refused(input: &mut &str) -> ModalResult<Check> {
    let reason = keyword("refused", name).parse_next(input)?;
    let count = clause("at-least", number).parse_next(input)?;
    Ok(Check::RefusedAtLeast { reason, count })
}

fn peak(input: &mut &str) -> ModalResult<Check> {
    let upstream = keyword("peak", name).parse_next(input)?;
    let count = clause("at-most", number).parse_next(input)?;
    Ok(Check::PeakAtMost { upstream, count })
}

fn begun(input: &mut &str) -> ModalResult<Check> {
    let upstream = keyword("begun", name).parse_next(input)?;
    let count = clause("at-least", number).parse_next(input)?;
    Ok(Check::BegunAtLeast { upstream, count })
}

fn moved(input: &mut &str) -> ModalResult<Check> {
    let permille = phrase("moved at-most", number).parse_next(input)?;
    let upstream = clause("permille to", name).parse_next(input)?;
    Ok(Check::MovedAtMost { permille, upstream })
}

/// Keyword, space, and what follows.
fn keyword<'a, T>(
    text: &'static str,
    mut then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    move |input: &mut &'a str| {
        (text, space1).parse_next(input)?;
        then.parse_next(input)
    }
}

/// Same as [`keyword`], for several words.
fn phrase<'a, T>(
    text: &'static str,
    then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    keyword(text, then)
}

/// Space, keyword, space, and what follows.
fn clause<'a, T>(
    text: &'static str,
    then: impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<&'a str, T, winnow::error::ErrMode<winnow::error::ContextError>> {
    preceded(space1, keyword(text, then))
}

fn separator<'a>(
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
