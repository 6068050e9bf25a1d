//! Stand-in for the interpreter, a process of its own. It follows the protocol page: notices are numbered from
//! 1, the last 4,000 are kept, a new link replaces the previous one, and runs continue while there is no link.
//!
//! The body of a request is text. Its words say what the run does: `work=MS` is how long it runs, and `call`
//! makes it wait for one downstream call at half of its time. Each run that begins or ends is appended to the
//! file of effects, which survives the process.

use crate::base64;
use crate::json::{self, Json};
use crate::unix_ms;
use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NOTICES_MAX: usize = 4000;

struct Run {
    handler: String,
    began: Instant,
    /// Work left until the next event of the run: its call or its end.
    until: Instant,
    work: Duration,
    calls_left: u32,
    awaits: bool,
}

struct State {
    started: Instant,
    cores: f64,
    effects: File,
    runs: HashMap<String, Run>,
    last_index: u64,
    notices: VecDeque<(u64, String)>,
    link: Option<(u64, TcpStream)>,
    links: u64,
}

impl State {
    fn record(&mut self, what: &str, task: &str, handler: &str) {
        let line = format!("{} {what} {task} {handler}\n", unix_ms());
        let _ = self.effects.write_all(line.as_bytes());
    }

    fn send(&mut self, line: &str) {
        if let Some((_, stream)) = &mut self.link {
            if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    /// Keeps a numbered notice and sends it over the present link.
    fn notify(&mut self, rest: &str) {
        self.last_index += 1;
        let line = format!("{{\"index\":{},{rest}}}", self.last_index);
        self.notices.push_back((self.last_index, line.clone()));
        if self.notices.len() > NOTICES_MAX {
            self.notices.pop_front();
        }
        self.send(&line);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let due: Vec<String> =
            self.runs.iter().filter(|(_, run)| !run.awaits && now >= run.until).map(|(task, _)| task.clone()).collect();
        for task in due {
            let run = self.runs.get_mut(&task).expect("the run is in the table");
            if run.calls_left > 0 {
                run.calls_left -= 1;
                run.awaits = true;
                let body = base64::encode(format!("call of {task}").as_bytes());
                self.notify(&format!("\"verb\":\"AWAIT\",\"task\":\"{task}\",\"bytes\":\"{body}\""));
                continue;
            }
            let run = self.runs.remove(&task).expect("the run is in the table");
            self.record("ended", &task, &run.handler);
            let (spent, body) = (run.began.elapsed().as_millis(), base64::encode(format!("result of {task}").as_bytes()));
            self.notify(&format!(
                "\"verb\":\"VALUE\",\"task\":\"{task}\",\"outcome\":\"ok\",\"spent\":{spent},\"bytes\":\"{body}\""
            ));
        }
    }

    fn command(&mut self, command: &Json) -> bool {
        let task = command.text("task").unwrap_or("").to_string();
        match command.text("verb") {
            Some("CONNECT") => self.connect(command),
            Some("APPLY") => self.apply(&task, command),
            Some("BREAK") => {
                if let Some(run) = self.runs.remove(&task) {
                    self.record("halted", &task, &run.handler);
                    self.notify(&format!("\"verb\":\"VALUE\",\"task\":\"{task}\",\"outcome\":\"halted\",\"spent\":0"));
                }
            }
            Some("RESOLVE") => {
                if let Some(run) = self.runs.get_mut(&task).filter(|run| run.awaits) {
                    run.awaits = false;
                    run.until = Instant::now() + run.work / 2;
                }
            }
            Some("TOP") => {
                let runnable = self.runs.values().filter(|run| !run.awaits).count() as f64;
                let busy = (runnable / self.cores).min(1.0);
                let nonce = command.text("nonce").unwrap_or("").to_string();
                self.send(&format!(
                    "{{\"verb\":\"TOPS\",\"nonce\":\"{nonce}\",\"readings\":[{busy},{runnable},0.1,4]}}"
                ));
            }
            _ => return false,
        }
        true
    }

    fn connect(&mut self, command: &Json) {
        let age = self.started.elapsed();
        let (state, spent) = (if age < Duration::from_secs(16) { "cold" } else { "warm" }, age.as_millis());
        self.send(&format!("{{\"verb\":\"BANNER\",\"outcome\":\"{state}\",\"spent\":{spent}}}"));
        let after = command.number("index").unwrap_or(0.0) as u64;
        let missed: Vec<String> =
            self.notices.iter().filter(|(index, _)| *index > after).map(|(_, line)| line.clone()).collect();
        missed.iter().for_each(|line| self.send(line));
    }

    fn apply(&mut self, task: &str, command: &Json) {
        if self.runs.contains_key(task) {
            return;
        }
        let handler = command.text("handler").unwrap_or("").to_string();
        let body = command.text("bytes").and_then(base64::decode).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let work = body.split(' ').find_map(|word| word.strip_prefix("work=")?.parse().ok()).unwrap_or(250);
        let calls_left = body.split(' ').filter(|word| *word == "call").count() as u32;
        let (now, work) = (Instant::now(), Duration::from_millis(work));
        let until = now + if calls_left > 0 { work / 2 } else { work };
        self.record("begun", task, &handler);
        self.runs.insert(task.to_string(), Run { handler, began: now, until, work, calls_left, awaits: false });
    }
}

/// Serves links until the process is killed.
pub fn run(address: &str, effects: &str, cores: f64) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let effects = File::options().create(true).append(true).open(effects)?;
    let state = State {
        started: Instant::now(),
        cores,
        effects,
        runs: HashMap::new(),
        last_index: 0,
        notices: VecDeque::new(),
        link: None,
        links: 0,
    };
    let state = Arc::new(Mutex::new(state));
    let ticking = state.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(1));
        ticking.lock().expect("no thread panics").tick();
    });
    for stream in listener.incoming() {
        let (stream, state) = (stream?, state.clone());
        std::thread::spawn(move || link(stream, &state));
    }
    Ok(())
}

fn link(stream: TcpStream, state: &Mutex<State>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let number = {
        let mut state = state.lock().expect("no thread panics");
        state.links += 1;
        let number = state.links;
        state.link = Some((number, stream));
        number
    };
    for line in BufReader::new(reading).lines() {
        let Ok(line) = line else { break };
        let mut state = state.lock().expect("no thread panics");
        let current = state.link.as_ref().is_some_and(|(link, _)| *link == number);
        if !current || !json::parse(&line).is_some_and(|command| state.command(&command)) {
            break;
        }
    }
    let mut state = state.lock().expect("no thread panics");
    if state.link.as_ref().is_some_and(|(link, _)| *link == number) {
        state.link = None;
    }
}
