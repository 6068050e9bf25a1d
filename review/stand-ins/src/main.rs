//! Stand-ins and tests of the review. `review-stand-ins CASE` plays one case and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod base64;
mod case_cut;
mod case_interpreter;
mod case_revert;
mod client;
mod datagrams;
mod interpreter;
mod json;
mod processes;
mod record;
mod records;
mod relay;
mod resp;
mod site;

use std::process::exit;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest time of a test. After it all processes are ended, and the case counts as one that could not run.
const TEST_MAX: Duration = Duration::from_secs(115);

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// What a test found.
pub enum Finding {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn play(case: fn(&site::Test) -> Result<Finding, String>) -> ! {
    std::thread::spawn(|| {
        std::thread::sleep(TEST_MAX);
        processes::kill_all();
        println!("could not run: the test took too long");
        exit(2);
    });
    let (finding, test) = match site::Test::new() {
        Ok(test) => (case(&test).unwrap_or_else(Finding::CouldNotRun), Some(test)),
        Err(error) => (Finding::CouldNotRun(error.to_string()), None),
    };
    processes::kill_all();
    let (line, code) = match finding {
        Finding::Broken(why) => (format!("rule broken: {why}"), 1),
        Finding::Held(why) => (format!("rule held: {why}"), 0),
        Finding::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    match test {
        Some(test) => test.record.say(&line),
        None => println!("{line}"),
    }
    exit(code)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["interpreter", address, effects, cores] => {
            let cores = cores.parse().unwrap_or(2.0);
            if let Err(error) = interpreter::run(address, effects, cores) {
                eprintln!("interpreter: {error}");
                exit(2);
            }
        }
        ["interpreter-restart"] => play(case_interpreter::play),
        ["site-cut"] => play(case_cut::play),
        ["revert"] => play(case_revert::play),
        _ => {
            eprintln!("unknown words: {words:?}");
            exit(2);
        }
    }
}
