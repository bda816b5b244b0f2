//! Runs one case against the project's own programs: `stand-in CASE RECORD`.

#[path = "4/cold.rs"]
mod cold;
#[path = "2/evacuation.rs"]
mod evacuation;
mod harness;
#[path = "1/late_copy.rs"]
mod late_copy;
#[path = "5/poison.rs"]
mod poison;

use harness::{COULD_NOT_RUN, Record};

/// A script may take 120 s.
const LONGEST_S: u64 = 112;

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, path) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(path.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(COULD_NOT_RUN);
        }
    };
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(LONGEST_S));
        late.line("could not run: the time is over");
        std::process::exit(COULD_NOT_RUN);
    });
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "evacuation" => evacuation::run(&record, trouble),
        "late-copy" => late_copy::run(&record, trouble),
        "cold" => cold::run(&record, trouble),
        "poison" => poison::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    let result = result.unwrap_or_else(|_| Err(std::io::Error::other("a stand-in panicked")));
    let code = result.unwrap_or_else(|error| {
        record.line(&format!("could not run: {error}"));
        println!("could not run: {error}");
        COULD_NOT_RUN
    });
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
