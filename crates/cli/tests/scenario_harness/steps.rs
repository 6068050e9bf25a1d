//! Executes the steps of a scenario file. Each group of steps has a function, such as `balancer_step`. The
//! function executes a step of its group and returns `false` for a step of another group.

use super::ScenarioHarness;
use super::balancer::{Balancer, encode_array, encode_call, unescape};
use super::options::{many_tenants, one_tenant};
use super::sockets::{accept, connect_with_small_buffer, fill_queue, listener, with_timeout};
use rustix::net;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Returns the rest of a line after its first `words` words. Words are separated by single spaces.
fn rest_of(line: &str, words: usize) -> &str {
    line.splitn(words + 1, ' ').nth(words).unwrap_or("")
}

/// Interval between two connection attempts in the step `come until refused`.
const CALLERS_INTERVAL: Duration = Duration::from_millis(50);
/// Steps that may be part of a replay, by their first word. In a replay, the interpreter resends notices
/// after its banner. Any other step ends the replay.
const REPLAY_STEPS: [&str; 6] = ["ok", "ok-big", "awaits", "notice", "long", "waits"];

impl ScenarioHarness {
    /// Executes one line of a scenario; panics if an expected event does not occur.
    pub fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let Some(link) = self.link.as_ref().filter(|_| !REPLAY_STEPS.contains(&words[0])) {
            link.end_replay();
        }
        let known = self.process_step(line, &words)
            || self.configuration_step(line, &words)
            || self.balancer_step(line, &words)
            || self.interpreter_step(line, &words)
            || self.service_step(line, &words);
        assert!(known, "unknown step {line:?}");
    }

    /// Executes a step on the server process: start, exit, log or counters. Returns `false` for any other
    /// step.
    fn process_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["start"] => {
                self.start();
                let line = self.wait_for_log_line(" listen=");
                self.listen = line.split(" listen=").nth(1).unwrap().trim().to_string();
            }
            ["start", "again"] => {
                self.configuration["listen"] = json!(self.listen);
                self.start();
                self.wait_for_log_line(" listen=");
            }
            ["fails", ..] => {
                self.start();
                self.expect_exit(Some(1));
                assert!(
                    self.log_lines.len() == 1 && self.log_lines[0].contains(rest_of(line, 1)),
                    "{:?}",
                    self.log_lines
                );
            }
            ["waits", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["kill"] => {
                self.signal("KILL");
                self.expect_exit(None);
                (self.link, self.downstream_call) = (None, None);
            }
            ["signal", name] => self.signal(name),
            ["exits", code] => self.expect_exit(Some(code.parse().unwrap())),
            // The number of invocations must equal the sum of all results. `unanswered` counts the
            // invocations whose caller cancelled or disconnected.
            ["adds", "up"] => {
                let line = self.wait_for_log_line("ended; counters:");
                let count = |name: &str| -> u64 {
                    let found =
                        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
                    found.expect("a counter").parse().unwrap()
                };
                let ends = ["succeeded", "throttled", "errored", "unanswered"].map(count);
                assert_eq!(count("invocations"), ends.iter().sum::<u64>(), "{line}");
            }
            ["log", what] => self.log_held.store(*what == "held", Relaxed),
            ["logs", ..] => drop(self.wait_for_log_line(rest_of(line, 1))),
            ["descriptors", most] => self.descriptors = Some(most.to_string()),
            ["holds-at-most", most] => {
                let id = self.server.as_ref().expect("started").id();
                let held = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
                assert!(held <= most.parse().unwrap(), "{held} descriptors");
            }
            ["counted", name, count] => {
                assert_eq!(self.counter(name), count.parse::<u64>().unwrap(), "{name}");
            }
            ["counts", name, least] => self.wait_for_counter(name, least.parse().unwrap()),
            ["forget", "log"] => {
                self.log_lines.extend(self.log.try_iter());
                self.log_lines.clear();
            }
            ["until-weight", name, weight] => self.wait_for_weight(name, weight),
            ["pauses-at-most", ms] => self.expect_pauses_at_most("pause_us", ms.parse().unwrap()),
            ["busy-at-most", ms] => self.expect_pauses_at_most("processor_us", ms.parse().unwrap()),
            ["repeat", count, ..] => {
                for n in 1..=count.parse::<usize>().unwrap() {
                    self.step(&rest_of(line, 2).replace('%', &n.to_string()));
                }
            }
            _ => return false,
        }
        true
    }

    /// Executes a step that changes the configuration file or the options file of the server. Returns `false`
    /// for any other step.
    fn configuration_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["config", path, ..] => self.configure(path, rest_of(line, 2)),
            ["options", ..] => self.options = Some(rest_of(line, 1).replace("\\n", "\n")),
            ["moves"] => {
                (self.interpreter, self.downstream_service) = (listener(), Some(listener()));
                self.configuration["vm"] = json!(self.interpreter.local_addr().unwrap());
                self.configuration["records"] =
                    json!(self.downstream_service.as_ref().unwrap().local_addr().unwrap());
                self.step("rewrite");
            }
            ["rewrite"] => {
                self.write_files();
                self.signal("HUP");
            }
            ["half-rewrite"] => {
                let whole = self.configuration.to_string();
                std::fs::write(self.configuration_path(), &whole[..whole.len() / 2]).unwrap();
                self.signal("HUP");
            }
            ["half-rewrite-options"] => {
                self.write_files();
                let file = self.configuration_path().with_extension("xml");
                let whole = std::fs::read_to_string(&file).unwrap();
                std::fs::write(&file, &whole[..whole.len() / 2]).unwrap();
                self.signal("HUP");
            }
            ["many-tenants", count, weight] => self.options = Some(many_tenants(count, weight)),
            ["one-tenant", name, weight, accounts] => self.options = Some(one_tenant(name, weight, accounts)),
            _ => return false,
        }
        true
    }

    /// Executes a step on a balancer's connection to the server. Returns `false` for any other step.
    fn balancer_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["open", name] => {
                let stream = with_timeout(TcpStream::connect(&self.listen).unwrap());
                self.balancers.insert(name.to_string(), Balancer { stream, replies: Vec::new() });
            }
            ["open", name, "tiny"] => {
                let balancer = Balancer {
                    stream: with_timeout(connect_with_small_buffer(&self.listen)),
                    replies: Vec::new(),
                };
                self.balancers.insert(name.to_string(), balancer);
            }
            ["come", "until", "refused", ms] => {
                self.connect_until_refused(Duration::from_millis(ms.parse().unwrap()))
            }
            ["rubbish", name, bytes] => {
                let rubbish = vec![b'#'; bytes.parse().unwrap()];
                let mut stream = self.balancer(name).stream.get_ref().try_clone().unwrap();
                std::thread::spawn(move || stream.write_all(&rubbish));
            }
            // Closing a connection that has unread data makes the kernel reset the connection.
            ["reset", name] => {
                let balancer = self.balancers.remove(*name).expect("open");
                assert_eq!(balancer.stream.get_ref().peek(&mut [0]).expect("in time"), 1);
            }
            // The requests are encoded in chunks while they are sent. Encoding all requests first would leave
            // the connection idle for so long that the server would drain it.
            ["flood", name, count] => {
                let mut stream = self.balancer(name).stream.get_ref().try_clone().unwrap();
                let count: usize = count.parse().unwrap();
                std::thread::spawn(move || {
                    (1..=count).collect::<Vec<_>>().chunks(1000).try_for_each(|tags| {
                        let health_check = |tag: &usize| encode_array(&["RPC.HEALTH", &tag.to_string(), ""]);
                        stream.write_all(&tags.iter().flat_map(health_check).collect::<Vec<u8>>())
                    })
                });
            }
            ["drink", name, count] => {
                for tag in 1..=count.parse::<usize>().unwrap() {
                    let mut words = self.balancer(name).read_array().expect("an answer");
                    // Skips drain notices. The server sends a drain notice on a connection that has made no
                    // progress for long.
                    while words[1] == "enough" {
                        words = self.balancer(name).read_array().expect("an answer");
                    }
                    assert_eq!(words[0], tag.to_string());
                }
            }
            ["unheard", name, tag] => {
                assert!(self.balancer(name).replies.iter().all(|words| words[0] != *tag));
            }
            ["close", name] => drop(self.balancers.remove(*name)),
            ["half-close", name] => self.balancer(name).stream.get_ref().shutdown(Shutdown::Write).unwrap(),
            ["call", name, tag, operation, body, ..] => {
                self.write(name, &encode_call(tag, operation, body, words.get(5).copied()));
            }
            ["big", name, tag, operation, len] => {
                self.write(name, &encode_call(tag, operation, &"x".repeat(len.parse().unwrap()), None));
            }
            ["bytewise", name, tag, operation, body] => {
                encode_call(tag, operation, body, None).iter().for_each(|byte| self.write(name, &[*byte]));
            }
            ["health", name, tag] => self.write(name, &encode_array(&["RPC.HEALTH", tag, ""])),
            ["send", name, ..] => self.write(name, &unescape(rest_of(line, 2))),
            ["hears", name, tag, word] => self.expect_reply(name, tag, word, None),
            ["hears", name, tag, word, body] => self.expect_reply(name, tag, word, Some(body)),
            ["hears-fields", name, tag, word, ..] => {
                let answer = self.balancer(name).wait_for_reply(tag);
                assert!(answer[1] == *word && words[4..].iter().all(|f| answer[2].contains(f)), "{answer:?}");
            }
            ["ends-cleanly", name] => {
                let end = self.balancer(name).stream.read(&mut [0]);
                assert!(matches!(end, Ok(0)), "{end:?}");
            }
            ["ends", name] => assert_eq!(self.balancer(name).read_array(), None),
            _ => return false,
        }
        true
    }

    /// Opens connections until the server refuses one. Each connection is closed after the next connection is
    /// open.
    fn connect_until_refused(&self, within: Duration) {
        let end = Instant::now() + within;
        let mut previous = None;
        while let Ok(caller) = TcpStream::connect(&self.listen) {
            assert!(Instant::now() < end, "still accepted after {within:?}");
            std::thread::sleep(CALLERS_INTERVAL);
            drop(previous.replace(caller));
        }
    }

    /// Executes a step of the interpreter's test double or of its link to the server. Returns `false` for any
    /// other step.
    fn interpreter_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["link", index] => {
                let command = self.take_link();
                assert_eq!(command, json!({"verb": "CONNECT", "index": index.parse::<u64>().unwrap()}));
            }
            ["unlink"] => self.link = None,
            ["banner", state, age @ ..] => {
                self.link.as_ref().expect("linked").begin_replay();
                let age = age
                    .first()
                    .map_or(self.interpreter_started.elapsed().as_millis(), |age| age.parse().unwrap());
                self.send_notice(&format!(r#"{{"verb":"BANNER","outcome":"{state}","spent":{age}}}"#))
            }
            ["half-a-banner"] => {
                let link = &mut self.link.as_mut().expect("linked").stream;
                link.write_all(br#"{"verb":"BANNER","outcome":"#).unwrap();
            }
            ["vm", "full"] => self.queue_fillers.push(fill_queue(&self.interpreter)),
            ["vm", "takes"] => {
                drop(accept(&self.interpreter));
                net::listen(&self.interpreter, 128).unwrap();
            }
            ["a", "dial", "given", "up"] => drop(TcpStream::connect(self.interpreter.local_addr().unwrap())),
            ["dials", "anew"] => self.wait_for_second_connect(),
            ["any-told", verb] => assert_eq!(self.command()["verb"], json!(verb)),
            ["told", verb, tag] => self.expect_command(verb, tag, None),
            ["told", verb, tag, body] => self.expect_command(verb, tag, Some(body)),
            ["notice", ..] => self.send_notice(rest_of(line, 1)),
            ["long", "notice"] => self.send_notice(&"x".repeat(40_000)),
            ["gauges", state] => self.gauges.store(*state == "on", Relaxed),
            ["ok", index, tag, body] => {
                let run = format!(r##""index":{index},"task":"#{tag}","outcome":"ok","spent":1"##);
                self.send_notice(&format!(r#"{{"verb":"VALUE",{run},"bytes":"={body}="}}"#));
            }
            ["ok-big", index, tag, len] => {
                let body = "x".repeat(len.parse().unwrap());
                self.step(&format!("ok {index} {tag} {body}"));
            }
            ["awaits", index, tag, body] => {
                let run = format!(r##""index":{index},"task":"#{tag}""##);
                self.send_notice(&format!(r#"{{"verb":"AWAIT",{run},"bytes":"={body}="}}"#));
            }
            _ => return false,
        }
        true
    }

    /// Executes a step of the test double of the downstream service or of the service registry. Returns
    /// `false` for any other step.
    fn service_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["records", "full"] => self.queue_fillers.push(fill_queue(
                self.downstream_service.as_ref().expect("the scenario has not closed the service"),
            )),
            ["records", "takes"] => {
                let service =
                    self.downstream_service.as_ref().expect("the scenario has not closed the service");
                drop(accept(service));
                net::listen(service, 128).unwrap();
            }
            ["closed", "unused"] => {
                let service =
                    self.downstream_service.as_ref().expect("the scenario has not closed the service");
                let mut byte = [0];
                assert_eq!(
                    accept(service).read(&mut byte).expect("in time"),
                    0,
                    "the connection carries a call"
                );
            }
            ["no", "catalog"] => {
                let other = UdpSocket::bind("127.0.0.1:0").unwrap();
                self.configuration["directory"] = json!(other.local_addr().unwrap().to_string());
            }
            ["called", tag, body] => self.expect_downstream_call(tag, body),
            ["reply", status, body, ..] => self.send_downstream_reply(status, body, rest_of(line, 3)),
            ["hang", "up"] => self.downstream_call = None,
            ["given", "up"] => {
                let mut byte = [0];
                assert_eq!(self.downstream_call.take().expect("a call").read(&mut byte).expect("in time"), 0);
            }
            ["no", "records"] => self.downstream_service = None,
            ["reported", ..] => {
                let mut datagram = [0; 100];
                let len = self.registry.recv(&mut datagram).expect("a report in time");
                assert_eq!(std::str::from_utf8(&datagram[..len]).unwrap(), rest_of(line, 1));
            }
            _ => return false,
        }
        true
    }
}
