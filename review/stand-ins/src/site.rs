//! What the tests share: the folder of a test, its addresses, and waiting for something.

use crate::record::Record;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Test {
    /// Whether the test plays the disruption.
    pub trouble: bool,
    /// Folder of the test's configuration files and logs. Removed by run.sh.
    pub folder: PathBuf,
    pub record: Arc<Record>,
}

impl Test {
    /// Reads the environment that run.sh sets.
    pub fn new() -> std::io::Result<Test> {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let variable = |name: &str| std::env::var(name).map_err(|_| std::io::Error::other(format!("{name} is not set")));
        let record = Arc::new(Record::create(&PathBuf::from(variable("REVIEW_CASE")?).join("record.txt"))?);
        Ok(Test { trouble, folder: PathBuf::from(variable("REVIEW_TEMP")?), record })
    }

    /// Writes a file into the folder of the test.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("the temporary folder can be written");
        path
    }

    pub fn log(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }
}

/// Returns a loopback address with a free TCP port.
pub fn free_tcp() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address").to_string()
}

/// Opens a UDP socket that takes the server's reports to the catalog. Nothing answers them.
pub fn catalog() -> (UdpSocket, String) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("its address").to_string();
    (socket, address)
}

/// Waits until `condition` holds. Returns false if it does not within `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    condition()
}
