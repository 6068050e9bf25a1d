//! Tests of rollouts in which a server cannot finish a change that it has begun. Nobody may be told that such
//! a server goes by its own settings or program while it does not, or will not after a restart.

use crate::harness::{
    ALL, Coordinator, adoption_mark, expect_all_answered, lock_exclusive, program_mark, start_fleet,
    start_loads, write_candidate, write_plan,
};
use meadowstream_test_doubles::fleet::wait_for;
use rustix::fs::{CWD, FileType, Mode, mknodat};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

fn abort(plan: &Path) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
    assert!(command.args(["rollout", "abort"]).arg(plan).status().unwrap().success());
}

/// Guards against a rollback that is called complete while a server runs the change, because the server could
/// not write the mark of the change after it had adopted it.
#[test]
fn a_server_that_cannot_mark_the_change_does_not_keep_it() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(47);
    // A server with this setting rejects most of its load.
    write_candidate(&fleet, "<control reference=\"0.15\"/>");
    let plan = write_plan(&fleet, "unmarked");
    // A folder in the place of the temporary file lets each write of a mark fail.
    for i in ALL {
        let mut temporary = adoption_mark(&fleet, i).into_os_string();
        temporary.push(".new");
        std::fs::create_dir(temporary).unwrap();
    }
    let load = start_loads(&fleet, Duration::from_secs(15));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    assert_eq!(coordinator.wait_for_exit(Duration::from_secs(40)), 1);
    println!("{:#?}", coordinator.lines.lock().unwrap());
    assert!(coordinator.has_printed("refuses: cannot write the file that marks the settings as adopted"));
    assert!(!coordinator.has_printed("NOT CONFIRMED"));
    expect_all_answered(load);
    let replies = expect_all_answered(start_loads(&fleet, Duration::from_secs(4)));
    let throttled: Vec<u64> = replies.iter().map(|each| each.throttled).collect();
    let sent = replies[0].sent;
    assert!(throttled.iter().all(|count| *count * 5 < sent), "throttled {throttled:?} of {sent} each");
}

/// Guards against a rollback that is called complete while a server is about to run the change: it reads the
/// new program when it is ordered back, and reports that it runs its own.
#[test]
fn a_server_that_is_still_adopting_does_not_confirm_a_rollback() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(48);
    // The plan stands in a folder of its own, with the program. Beside the servers' options, a pipe stands in
    // its place, which a server reads until somebody writes.
    let folder = fleet.folder().join("plan");
    std::fs::create_dir_all(&folder).unwrap();
    let program = std::fs::read(env!("CARGO_BIN_EXE_meadowstream")).unwrap();
    let program: Vec<u8> = program.into_iter().chain(*b"next").collect();
    std::fs::write(folder.join("next"), &program).unwrap();
    let pipe = fleet.folder().join("next");
    mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let text = std::fs::read_to_string(write_plan(&fleet, "pipe")).unwrap();
    let plan = folder.join("plan.xml");
    std::fs::write(&plan, text.replace("candidate=\"next.xml\"", "program=\"next\"")).unwrap();
    let load = start_loads(&fleet, Duration::from_secs(20));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.wait_for_output("stage 1 of 3: 1 of 6 servers: ", Duration::from_secs(30));
    std::thread::sleep(Duration::from_secs(1));
    abort(&plan);
    assert_eq!(coordinator.wait_for_exit(Duration::from_secs(30)), 1);
    println!("{:#?}", coordinator.lines.lock().unwrap());
    // The server reads the program at last.
    let writer = std::thread::spawn(move || std::fs::write(pipe, program));
    let marked = |i: &usize| program_mark(&fleet, *i).exists();
    let marked_server = wait_for(Duration::from_secs(10), || ALL.into_iter().find(marked));
    let first = marked_server.expect("the ordered server marks the new program");
    assert!(coordinator.has_printed(&format!("NOT CONFIRMED by s{first}")), "s{first} has the new program");
    writer.join().unwrap().unwrap();
    load.into_iter().for_each(|load| _ = load.join().unwrap());
}
