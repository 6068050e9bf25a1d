//! What operators ask of the leader: a change, one to be taken back, who goes by what. A question goes
//! with a request and may be repeated; a change is answered once it is committed.

use crate::Nanos;
use crate::member::Member;
use crate::message::{BODY_MAX, Message, RequestId};
use crate::replica::ProposeError;
use crate::revision::{Change, Entry, PARTS_MAX};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Requests whose outcome is remembered, and changes that may be put together at once.
const ANSWERED_MAX: usize = 256;
const PARTS_UNDER_WAY_MAX: usize = 16;
/// Names that one status tells.
const WAITING_TOLD: usize = 8;
/// Longest part of a reason that a status tells.
const REASON_TOLD: usize = 32;

/// What was answered to a request, or will be.
type Outcome = Result<u64, String>;

#[derive(Debug, Default)]
pub(crate) struct Requests {
    parts: HashMap<RequestId, Vec<Option<Vec<Change>>>>,
    /// Published at a number and not committed yet.
    waiting: Vec<(RequestId, u64)>,
    answered: VecDeque<(RequestId, Outcome)>,
}

impl Requests {
    /// The change, once all its parts are there; `None` until then or where they make no sense.
    fn assemble(
        &mut self,
        request: &RequestId,
        part: u32,
        parts: u32,
        changes: Vec<Change>,
    ) -> Option<Vec<Change>> {
        let known = self.parts.contains_key(request);
        if part >= parts || parts > PARTS_MAX || (!known && self.parts.len() >= PARTS_UNDER_WAY_MAX) {
            return None;
        }
        let all = self.parts.entry(request.clone()).or_insert_with(|| vec![None; parts as usize]);
        *all.get_mut(part as usize)? = Some(changes);
        if all.iter().any(Option::is_none) {
            return None;
        }
        let all = self.parts.remove(request)?;
        Some(all.into_iter().flatten().flatten().collect())
    }

    fn answered(&self, request: &RequestId) -> Option<&Outcome> {
        self.answered.iter().find(|(other, _)| other == request).map(|(_, outcome)| outcome)
    }

    fn is_waiting(&self, request: &RequestId) -> bool {
        self.waiting.iter().any(|(other, _)| other == request)
    }

    fn answer(&mut self, request: RequestId, outcome: Outcome) {
        if self.answered.len() == ANSWERED_MAX {
            self.answered.pop_front();
        }
        self.answered.push_back((request, outcome));
    }
}

/// What takes back the change of these entries: the values from before it, of the keys that it named.
fn inverse_of_change(member: &Member, number: u64) -> Result<Vec<Change>, String> {
    let log = member.log();
    let entries = log.change_at(number);
    let entries: Vec<Entry> = entries
        .ok_or(format!("no change that is still held ends at {number}"))?
        .into_iter()
        .cloned()
        .collect();
    let first = entries.first().map_or(number, |entry| entry.revision.position.number);
    let before = log.state_at(first - 1).ok_or("what stood before it is not held any more")?;
    let keys: BTreeSet<&String> =
        entries.iter().flat_map(|entry| &entry.changes).map(|change| &change.key).collect();
    let later = log.tail().filter(|entry| entry.revision.position.number > number);
    for entry in later {
        if let Some(change) = entry.changes.iter().find(|change| keys.contains(&change.key)) {
            return Err(format!("{:?} was changed again by {}", change.key, entry.revision.position.number));
        }
    }
    let value = |key: &String| Change { key: key.clone(), value: before.get(key).map(str::to_string) };
    Ok(keys.into_iter().map(value).collect())
}

impl Member {
    pub(crate) fn on_operator_request(&mut self, now: Nanos, from: &str, message: Message) {
        let request = match &message {
            Message::Submit { request, .. }
            | Message::Revert { request, .. }
            | Message::PollStatus { request } => request.clone(),
            _ => return,
        };
        let Some(control) = &self.control else { return };
        if !control.replica.is_leader() {
            let leader = self.leader.clone().filter(|name| *name != self.me);
            return self.send(from, &Message::NotLeader { request, leader }, now);
        }
        if let Some(outcome) = control.requests.answered(&request).cloned() {
            return self.send(from, &Message::Submitted { request, outcome }, now);
        }
        if control.requests.is_waiting(&request) {
            return;
        }
        match message {
            Message::PollStatus { .. } => self.send_status(from, request, now),
            Message::Revert { number, .. } => {
                let changes = inverse_of_change(self, number);
                self.propose_for(request, changes, now);
            }
            Message::Submit { part, parts, changes, .. } => {
                let Some(control) = &mut self.control else { return };
                if let Some(changes) = control.requests.assemble(&request, part, parts, changes) {
                    self.propose_for(request, Ok(changes), now);
                }
            }
            _ => {}
        }
    }

    fn propose_for(&mut self, request: RequestId, changes: Result<Vec<Change>, String>, now: Nanos) {
        let published = changes.and_then(|changes| {
            self.propose(changes, now).map_err(|why| match why {
                ProposeError::NotLeader => "not the leader any more".to_string(),
                ProposeError::Busy => "too much waits to be committed: try again".to_string(),
                ProposeError::Invalid(why) => why,
            })
        });
        let Some(control) = &mut self.control else { return };
        match published {
            Ok(number) => control.requests.waiting.push((request, number)),
            Err(why) => {
                control.requests.answer(request.clone(), Err(why.clone()));
                self.send(&request.from.clone(), &Message::Submitted { request, outcome: Err(why) }, now);
            }
        }
        self.answer_requests(now);
    }

    /// Those whose change is committed hear so; those whose leader this one was hear that it is no more.
    pub(crate) fn answer_requests(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let (publishes, number) = (control.replica.is_leader(), self.log.number());
        let over = |(_, at): &(RequestId, u64)| !publishes || *at <= number;
        let (over, waiting) = std::mem::take(&mut control.requests.waiting).into_iter().partition(over);
        control.requests.waiting = waiting;
        let answers: Vec<(RequestId, u64)> = over;
        for (request, at) in answers {
            let to = request.from.clone();
            if !publishes {
                self.send(&to, &Message::NotLeader { request, leader: None }, now);
                continue;
            }
            let Some(control) = &mut self.control else { return };
            control.requests.answer(request.clone(), Ok(at));
            self.send(&to, &Message::Submitted { request, outcome: Ok(at) }, now);
        }
    }

    fn send_status(&mut self, to: &str, request: RequestId, now: Nanos) {
        let number = self.log.complete().revision.position.number;
        // Whoever asks is no server.
        let members = self.members_but(to);
        let mut waiting = self.lagging();
        waiting.retain(|one| one.name != to);
        let told = waiting.iter().take(WAITING_TOLD).map(|one| {
            let why = one
                .rejected
                .as_ref()
                .map_or(String::new(), |(_, why)| why.chars().take(REASON_TOLD).collect());
            (one.name.clone(), one.applied.unwrap_or(0), why)
        });
        let status = Message::Status {
            request,
            number,
            members: members as u32,
            applied: (members - waiting.len()) as u32,
            waiting: told.collect(),
        };
        debug_assert!(status.encode().len() <= BODY_MAX);
        self.send(to, &status, now);
    }
}
