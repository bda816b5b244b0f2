//! Scenario tests: each file under `tests/scenarios` is run against real processes.
//!
//! To run one scenario by hand:
//! `SISKINSTEP_SCENARIO=FILE SISKINSTEP_SEED=1 cargo test --test scenario by_hand`.

#[path = "scenario/cluster.rs"]
mod cluster;
mod common;
#[path = "scenario/fake.rs"]
mod fake;
#[path = "scenario/language.rs"]
mod language;
#[path = "scenario/relay.rs"]
mod relay;
#[path = "scenario/run.rs"]
mod run;

const DEFAULT_SEED: u64 = 1;

fn run_file(path: &str, seed: u64) {
    let text = std::fs::read_to_string(path).unwrap();
    let lines = language::parse(&text).unwrap_or_else(|errors| {
        let errors: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        panic!("{}", errors.join("\n"));
    });
    let failures = run::run(&lines, seed);
    assert!(
        failures.is_empty(),
        "{path}, seed {seed}:\n{}\nto reproduce: SISKINSTEP_SCENARIO={path} SISKINSTEP_SEED={seed} \
         cargo test --test scenario by_hand",
        failures.join("\n")
    );
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            run_file(concat!("tests/scenarios/", stringify!($name), ".scn"), DEFAULT_SEED);
        })*

        #[test]
        fn every_scenario_file_is_listed() {
            let mut listed = vec![$(concat!(stringify!($name), ".scn")),*];
            listed.sort_unstable();
            let folder = std::fs::read_dir("tests/scenarios").unwrap();
            let mut existing: Vec<String> = folder
                .map(|file| file.unwrap().file_name().into_string().unwrap())
                .collect();
            existing.sort_unstable();
            assert_eq!(existing, listed);
        }
    };
}

scenarios! {
    answers_are_complete
    cap_of_a_shift
    cut_answers_are_not_run_again
    cut_during_a_drain
    drain_of_an_upstream
    frozen_control
    kill_during_a_shift
    load_of_a_lost_zone
    lost_region
    lying_reports
    planned_stop
    restart_of_an_entry
    silent_connections
    slots_are_not_exceeded
    surge_spills_over
    two_lost_disks
}

#[test]
fn by_hand() {
    if let Ok(path) = std::env::var("SISKINSTEP_SCENARIO") {
        let seed = std::env::var("SISKINSTEP_SEED").ok();
        run_file(
            &path,
            seed.and_then(|seed| seed.parse().ok())
                .unwrap_or(DEFAULT_SEED),
        );
    }
}

#[test]
fn parse_errors_report_line_and_column() {
    let errors = language::parse("control 1\n\nentry e1 at derwent-a # wrong\n").unwrap_err();
    let error_lines: Vec<usize> = errors.iter().map(|error| error.line).collect();
    assert_eq!(error_lines, [3]);
    assert!(errors[0].to_string().starts_with("line 3, column"));
}
