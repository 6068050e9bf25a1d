//! Tests the connection state without a socket: parsing of commands, answers and timeouts.

use super::*;
use crate::connection::table::{Connections, Notification};
use crate::resources::buffers::BufferBudget;
use async_channel::Receiver;

const SETTINGS: ConnectionSettings = ConnectionSettings {
    longest_client_timeout: 8_000,
    shortest_client_timeout: 1_000,
    linger: 300,
    cancellation: true,
};
/// Buffer budget, in bytes, that is large enough for every connection of these tests.
const BUDGET_BYTES: usize = 1 << 20;

struct TestConnection {
    state: ConnectionState,
    connections: Connections,
    connection: Rc<Connection>,
    notifications: Receiver<Notification>,
    budget: Rc<BufferBudget>,
}

fn open_connection_with(settings: ConnectionSettings, budget_bytes: usize) -> TestConnection {
    let connections = Connections::default();
    let (connection, notifications) = connections.open(0);
    let budget = BufferBudget::new(budget_bytes);
    let state = ConnectionState::new(settings, connection.clone(), BufferReservation::new(budget.clone()), 0);
    TestConnection { state, connections, connection, notifications, budget }
}

fn open_connection() -> TestConnection {
    open_connection_with(SETTINGS, BUDGET_BYTES)
}

/// Encodes the words of a command as a RESP array.
fn command(words: &[&str]) -> Vec<u8> {
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    let mut bytes = Vec::new();
    resp::put_array(&mut bytes, &words);
    bytes
}

fn call(tag: u64) -> Vec<u8> {
    command(&["RPC.CALL", &tag.to_string(), "checkout", "ref=000000000000000a,since=1,room=1", "body"])
}

impl TestConnection {
    /// Returns the next event parsed from the bytes that the connection received. The test accepts calls of
    /// the operation `checkout` only; a call of another operation is invalid.
    fn poll(&mut self, now: Nanos) -> Option<ReceivedEvent> {
        let connection = self.connection.clone();
        self.state.poll_event(now, |call| match call.operation {
            "checkout" => Ok(Box::new(Request {
                connection,
                tag: call.tag,
                operation: 0,
                reference: call.reference,
                arrival_unix_ms: call.arrival_unix_ms,
                held_kb: call.held_kb,
                tenant: 0,
                client_timeout: None,
                marked_retry: false,
                body: call.body.to_vec(),
                idempotency_key: None,
                sender: None,
            })),
            other => Err(RequestError::UnknownOperation(other.to_string())),
        })
    }

    fn open_call(&mut self, now: Nanos, tag: u64) {
        self.state.handle_bytes(now, &call(tag));
        assert!(matches!(self.poll(now), Some(ReceivedEvent::Request(request)) if request.tag == tag));
    }

    fn transmit_all(&mut self, now: Nanos) -> Vec<u8> {
        let mut sent = Vec::new();
        while !self.state.poll_transmit().is_empty() {
            let bytes = self.state.poll_transmit().to_vec();
            self.state.handle_transmitted(now, bytes.len());
            sent.extend(bytes);
        }
        sent
    }
}

fn answered(tag: u64, answer: &rpc::Answer) -> Vec<u8> {
    let mut bytes = Vec::new();
    rpc::put_answer(&mut bytes, tag, answer, Some(0.5));
    bytes
}

#[test]
fn a_call_in_pieces_becomes_one_request_once_it_is_complete() {
    let mut test = open_connection();
    let bytes = call(7);
    for (at, byte) in bytes.iter().enumerate() {
        assert!(test.poll(at as Nanos).is_none(), "after {at} bytes");
        test.state.handle_bytes(at as Nanos, &[*byte]);
    }
    let Some(ReceivedEvent::Request(request)) = test.poll(500) else { panic!("expected a request") };
    assert_eq!((request.tag, request.reference, request.body.as_slice()), (7, 0xa, &b"body"[..]));
    assert_eq!(test.connection.open_calls.get(), 1);
    assert!(test.poll(500).is_none());
}

#[test]
fn commands_received_together_are_handled_in_order() {
    let mut test = open_connection();
    let together = [call(1), command(&["RPC.HEALTH", "2"]), call(3)].concat();
    test.state.handle_bytes(0, &together);
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Request(request)) if request.tag == 1));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::HealthCheck { tag: 2 })));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Request(request)) if request.tag == 3));
    assert!(test.poll(0).is_none());
}

#[test]
fn an_answer_closes_its_call_and_is_sent_unchanged() {
    let mut test = open_connection();
    test.open_call(10, 7);
    assert!(test.state.close_call(7));
    let answer = rpc::Answer::Succeeded(b"done".to_vec());
    test.state.queue_answer(20, 7, &answer, Some(0.5)).unwrap();
    assert_eq!(test.connection.open_calls.get(), 0);
    let expected = answered(7, &answer);
    let (first, rest) = expected.split_at(3);
    assert_eq!(&test.state.poll_transmit()[..3], first);
    test.state.handle_transmitted(30, 3);
    assert_eq!(test.transmit_all(40), rest);
    assert_eq!(test.connection.last_used.get(), 40);
    assert!(!test.state.is_finished(), "the peer may send another call");
}

#[test]
fn a_cancelled_call_is_not_answered() {
    let mut test = open_connection();
    test.open_call(0, 7);
    test.state.handle_bytes(0, &command(&["RPC.CANCEL", "7"]));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Cancelled { tag: 7, was_open: true })));
    assert!(!test.state.close_call(7));
    test.state.handle_bytes(0, &command(&["RPC.CANCEL", "7"]));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Cancelled { tag: 7, was_open: false })));
}

#[test]
fn cancellation_is_invalid_where_the_settings_disable_it() {
    let mut test = open_connection_with(ConnectionSettings { cancellation: false, ..SETTINGS }, BUDGET_BYTES);
    test.open_call(0, 7);
    test.state.handle_bytes(0, &command(&["RPC.CANCEL", "7"]));
    let Some(ReceivedEvent::Invalid { answer_to, error }) = test.poll(0) else {
        panic!("expected an invalid command")
    };
    assert_eq!((answer_to, error), (None, InvalidCommand::CancellationUnused));
    assert!(test.state.close_call(7), "the call stays open");
}

#[test]
fn an_invalid_command_is_answered_unless_an_open_call_has_its_tag() {
    let mut test = open_connection();
    test.open_call(0, 7);
    test.state.handle_bytes(0, &call(7));
    let Some(ReceivedEvent::Invalid { answer_to, error }) = test.poll(0) else {
        panic!("expected an invalid command")
    };
    assert_eq!((answer_to, error), (None, InvalidCommand::TagInUse(7)));
    test.state
        .handle_bytes(0, &command(&["RPC.CALL", "8", "none", "ref=000000000000000a,since=1,room=1", ""]));
    let Some(ReceivedEvent::Invalid { answer_to, error }) = test.poll(0) else {
        panic!("expected an invalid command")
    };
    assert_eq!(answer_to, Some(8));
    assert_eq!(error.to_string(), "unknown operation \"none\"");
    test.state.handle_bytes(0, &command(&["RPC.CALL", "0", "checkout", "", ""]));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Invalid { answer_to: None, .. })));
}

#[test]
fn after_malformed_bytes_reading_stops_and_open_calls_are_still_answered() {
    let mut test = open_connection();
    test.open_call(0, 7);
    test.state.handle_bytes(0, b"+OK\r\n");
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Malformed(_))));
    assert!(test.poll(0).is_none() && !test.state.wants_read() && !test.state.is_finished());
    assert!(test.state.close_call(7));
    test.state.queue_answer(0, 7, &rpc::Answer::Failed, Some(0.5)).unwrap();
    assert!(!test.state.is_finished());
    assert_eq!(test.transmit_all(0), answered(7, &rpc::Answer::Failed));
    assert!(test.state.is_finished() && !test.state.peer_closed());
}

#[test]
fn a_peer_that_closes_its_side_still_gets_its_answers() {
    let mut test = open_connection();
    test.open_call(0, 7);
    test.state.handle_end_of_stream();
    assert!(test.state.peer_closed() && !test.state.is_finished());
    assert!(test.state.close_call(7));
    assert!(test.state.is_finished());
}

#[test]
fn a_connection_without_a_command_expires_after_half_the_shortest_client_timeout() {
    let test = open_connection();
    assert_eq!(test.state.poll_timeout(), Some(500));
    assert_eq!(test.state.handle_timeout(499), Expiry::NotYet);
    assert_eq!(test.state.handle_timeout(500), Expiry::PeerIdle);
}

#[test]
fn the_timeout_of_an_incomplete_command_starts_at_its_first_poll_and_is_not_extended() {
    let mut test = open_connection();
    test.open_call(0, 7);
    assert_eq!(test.state.poll_timeout(), None, "a connection with an open call does not expire");
    assert!(test.state.close_call(7));
    assert_eq!(test.state.poll_timeout(), None, "an idle connection does not expire");
    test.state.handle_bytes(600, b"*5\r\n");
    assert!(test.poll(600).is_none());
    test.state.handle_bytes(900, b"$8\r\n");
    assert!(test.poll(900).is_none());
    assert_eq!(test.state.poll_timeout(), Some(1_100));
}

#[test]
fn a_peer_that_does_not_read_is_disconnected_after_the_longest_client_timeout() {
    let mut test = open_connection();
    test.state.handle_bytes(0, &command(&["RPC.HEALTH", "2"]));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::HealthCheck { tag: 2 })));
    test.state.queue_answer(50, 2, &rpc::Answer::Health(true), None).unwrap();
    assert_eq!(test.state.poll_timeout(), Some(8_050));
    test.state.handle_transmitted(100, 1);
    assert_eq!(test.state.handle_timeout(8_099), Expiry::NotYet);
    assert_eq!(test.state.handle_timeout(8_100), Expiry::PeerNotReading);
}

#[test]
fn a_draining_connection_lingers_once_it_is_idle() {
    let mut test = open_connection();
    test.open_call(0, 7);
    test.connection.drain();
    assert!(matches!(test.notifications.try_recv(), Ok(Notification::Drain)));
    test.state.queue_drain(10).unwrap();
    assert_eq!(test.transmit_all(20), b"*2\r\n$1\r\n0\r\n$6\r\nenough\r\n");
    assert_eq!(test.state.poll_timeout(), None);
    assert!(test.state.close_call(7));
    assert_eq!(test.state.poll_timeout(), Some(320));
    assert_eq!(test.state.handle_timeout(320), Expiry::PeerIdle);
}

#[test]
fn an_idle_connection_asked_to_close_is_finished_unless_a_command_arrives() {
    let mut test = open_connection();
    assert!(!test.connections.close_one_idle(49_999_999));
    assert!(test.connections.close_one_idle(50_000_000));
    assert!(test.state.is_finished());
    test.state.handle_bytes(50_000_000, &call(7));
    assert!(matches!(test.poll(50_000_000), Some(ReceivedEvent::Request(_))));
    assert!(!test.state.is_finished());
}

#[test]
fn calls_beyond_the_limit_of_open_calls_stay_unread() {
    let mut test = open_connection();
    for tag in 1..=OPEN_CALLS_MAX as u64 {
        test.open_call(0, tag);
    }
    test.state.handle_bytes(0, &call(99));
    assert!(test.poll(0).is_none() && !test.state.wants_read() && !test.state.waits_for_buffers());
    assert!(test.state.close_call(1));
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Request(request)) if request.tag == 99));
}

#[test]
fn reading_is_suspended_while_the_buffer_budget_is_used_up() {
    let mut test = open_connection_with(SETTINGS, 1);
    let mut other = BufferReservation::new(test.budget.clone());
    other.resize(1);
    test.state.handle_bytes(0, &call(7));
    assert!(test.poll(0).is_none() && test.state.waits_for_buffers() && !test.state.wants_read());
    drop(other);
    assert!(!test.state.waits_for_buffers());
    assert!(matches!(test.poll(0), Some(ReceivedEvent::Request(_))));
    assert!(test.state.waits_for_buffers(), "the open call and its answer are reserved");
    drop(test.state);
    assert!(test.budget.has_capacity());
}

#[test]
fn answers_that_do_not_fit_are_an_error_and_queue_nothing() {
    let mut test = open_connection();
    let answer = rpc::Answer::Succeeded(vec![b'x'; resp::WORD_MAX]);
    let mut queued = 0;
    while test.state.queue_answer(0, 7, &answer, None).is_ok() {
        queued += 1;
    }
    assert!(queued >= OPEN_CALLS_MAX);
    let error = test.state.queue_answer(0, 7, &answer, None).unwrap_err();
    assert!(error.bytes > resp::WORD_MAX);
    assert_eq!(test.transmit_all(0).len() % error.bytes, 0);
}

/// Calls that were received before the peer closed its sending side must be answered, although the memory for
/// buffers was in use when the end was read.
#[test]
fn calls_received_before_the_end_of_the_stream_are_not_dropped() {
    let mut test = open_connection();
    let mut others = BufferReservation::new(test.budget.clone());
    test.state.handle_bytes(1, &[call(1), call(2)].concat());
    others.resize(BUDGET_BYTES);
    assert!(test.poll(1).is_none());
    test.state.handle_end_of_stream();
    assert!(!test.state.is_finished() && test.state.waits_for_buffers());
    others.resize(0);
    for tag in [1, 2] {
        assert!(matches!(test.poll(2), Some(ReceivedEvent::Request(request)) if request.tag == tag));
    }
    assert!(test.poll(2).is_none() && !test.state.is_finished());
}
