//! Tests of what is known about commands after their link was lost.

use super::*;
use crate::interpreter::commands;

/// Capacity of the queue in these tests.
const COMMANDS_MAX: usize = 8;

/// A command must not be taken for one that was not received if all of it but the end of the line was
/// written: a reader may carry it out, and sending it once more would start the operation again.
#[test]
fn a_command_is_not_received_only_if_it_was_not_written_as_a_whole() {
    let lost = LostLink { received: CommandPosition(10), written_bytes: 28 };
    assert_eq!(lost.receipt(CommandPosition(10)), Receipt::Received);
    assert_eq!(lost.receipt(CommandPosition(20)), Receipt::Unknown);
    assert_eq!(lost.receipt(CommandPosition(29)), Receipt::Unknown);
    assert_eq!(lost.receipt(CommandPosition(30)), Receipt::NotReceived);
}

#[test]
fn a_gauge_response_shows_the_receipt_of_all_earlier_commands_of_its_link() {
    let mut session = InterpreterSession::default();
    assert!(session.send(b"no link\n".to_vec()).is_err());
    let (sender, _writer) = commands::queue(COMMANDS_MAX);
    session.set_link(sender);
    let before = session.send(b"before\n".to_vec()).unwrap();
    let nonce = session.request_gauges(0);
    let after = session.send(b"after\n".to_vec()).unwrap();
    session.record_receipt(nonce + 1);
    assert!(!session.is_received(before), "an unknown response shows nothing");
    session.record_receipt(nonce);
    assert!(session.is_received(before));
    assert!(!session.is_received(after));
    let lost = session.clear_link().expect("there was a link");
    assert_eq!(lost.receipt(before), Receipt::Received);
    assert_eq!(lost.receipt(after), Receipt::NotReceived, "nothing was written");
}

#[test]
fn a_response_to_a_request_of_an_earlier_link_shows_nothing() {
    let mut session = InterpreterSession::default();
    let (sender, _first) = commands::queue(COMMANDS_MAX);
    session.set_link(sender);
    let nonce = session.request_gauges(0);
    session.clear_link();
    let (sender, _second) = commands::queue(COMMANDS_MAX);
    session.set_link(sender);
    let position = session.send(b"x\n".to_vec()).unwrap();
    session.record_receipt(nonce);
    assert!(!session.is_received(position));
}

/// The interpreter does not read. The queue must end the link, and the dropped command may be sent again.
#[test]
fn a_full_queue_takes_no_command() {
    let mut session = InterpreterSession::default();
    let (sender, _writer) = commands::queue(1);
    session.set_link(sender);
    assert!(session.send(b"1\n".to_vec()).is_ok());
    assert!(session.send(b"2\n".to_vec()).is_err());
    assert!(session.send(b"3\n".to_vec()).is_err(), "the queue stays closed");
}
