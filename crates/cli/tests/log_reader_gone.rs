//! A server that receives the drain notice must exit even if the reader of its log has closed the pipe.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait until the server exits. This limit is far above the stop time of 3.2 s in the
/// configuration.
const EXIT_MAX: Duration = Duration::from_secs(15);

/// Server process that is killed at the end of the test, also if the test panics.
struct Server(Child);

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Writes the README's example configuration with all addresses on the loopback interface. No process listens
/// at the addresses of the peers.
fn configuration() -> std::path::PathBuf {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/server-example.json");
    let text = std::fs::read_to_string(example).unwrap();
    let mut value: serde_json::Value = serde_json::from_str(&text).unwrap();
    for (name, address) in [
        ("listen", "127.0.0.1:0"),
        ("vm", "127.0.0.1:9"),
        ("directory", "127.0.0.1:9"),
        ("records", "127.0.0.1:9"),
    ] {
        value[name] = address.into();
    }
    let path = std::env::temp_dir().join(format!("meadowstream-log-{}.json", std::process::id()));
    std::fs::write(&path, value.to_string()).unwrap();
    path
}

#[test]
fn a_server_exits_after_the_reader_of_its_log_has_closed() {
    let path = configuration();
    let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
    command.args(["serve", "--config"]).arg(&path).stdin(Stdio::null()).stderr(Stdio::piped());
    let mut server = Server(command.spawn().unwrap());
    let mut log = BufReader::new(server.0.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("started") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the server ended before it had started");
    }
    drop(log);
    kill_process(Pid::from_child(&server.0), Signal::TERM).unwrap();
    let began = Instant::now();
    let status = loop {
        if let Some(status) = server.0.try_wait().unwrap() {
            break status;
        }
        assert!(began.elapsed() < EXIT_MAX, "the server still runs after {EXIT_MAX:?}");
        std::thread::sleep(Duration::from_millis(20));
    };
    let _ = std::fs::remove_file(path);
    assert_eq!(status.code(), Some(0));
}
