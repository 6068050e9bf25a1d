//! What operators ask of the publisher: a change, one to be taken back, who goes by what. A question goes
//! with a ticket and may be repeated; a change is answered once it is committed.

use crate::Nanos;
use crate::member::Member;
use crate::message::{BODY_MAX, Message, Ticket};
use crate::replica::NotPublished;
use crate::revision::{Change, Entry, PARTS_MAX};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Tickets whose outcome is remembered, and changes that may be put together at once.
const ANSWERED_MAX: usize = 256;
const PARTS_UNDER_WAY_MAX: usize = 16;
/// Names that one status tells.
const WAITING_TOLD: usize = 8;
/// Longest part of a reason that a status tells.
const REASON_TOLD: usize = 32;

/// What was answered to a ticket, or will be.
type Outcome = Result<u64, String>;

#[derive(Debug, Default)]
pub(crate) struct Requests {
    parts: HashMap<Ticket, Vec<Option<Vec<Change>>>>,
    /// Published at a number and not committed yet.
    waiting: Vec<(Ticket, u64)>,
    answered: VecDeque<(Ticket, Outcome)>,
}

impl Requests {
    /// The change, once all its parts are there; `None` until then or where they make no sense.
    fn put_together(
        &mut self,
        ticket: &Ticket,
        part: u32,
        parts: u32,
        changes: Vec<Change>,
    ) -> Option<Vec<Change>> {
        let known = self.parts.contains_key(ticket);
        if part >= parts || parts > PARTS_MAX || (!known && self.parts.len() >= PARTS_UNDER_WAY_MAX) {
            return None;
        }
        let all = self.parts.entry(ticket.clone()).or_insert_with(|| vec![None; parts as usize]);
        *all.get_mut(part as usize)? = Some(changes);
        if all.iter().any(Option::is_none) {
            return None;
        }
        let all = self.parts.remove(ticket)?;
        Some(all.into_iter().flatten().flatten().collect())
    }

    fn answered(&self, ticket: &Ticket) -> Option<&Outcome> {
        self.answered.iter().find(|(other, _)| other == ticket).map(|(_, outcome)| outcome)
    }

    fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.waiting.iter().any(|(other, _)| other == ticket)
    }

    fn answer(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.answered.len() == ANSWERED_MAX {
            self.answered.pop_front();
        }
        self.answered.push_back((ticket, outcome));
    }
}

/// What takes back the change of these entries: the values from before it, of the keys that it named.
fn taken_back(member: &Member, number: u64) -> Result<Vec<Change>, String> {
    let history = member.history();
    let entries = history.change_at(number);
    let entries: Vec<Entry> = entries
        .ok_or(format!("no change that is still held ends at {number}"))?
        .into_iter()
        .cloned()
        .collect();
    let first = entries.first().map_or(number, |entry| entry.revision.at.number);
    let before = history.state_at(first - 1).ok_or("what stood before it is not held any more")?;
    let keys: BTreeSet<&String> =
        entries.iter().flat_map(|entry| &entry.changes).map(|change| &change.key).collect();
    let later = history.tail().filter(|entry| entry.revision.at.number > number);
    for entry in later {
        if let Some(change) = entry.changes.iter().find(|change| keys.contains(&change.key)) {
            return Err(format!("{:?} was changed again by {}", change.key, entry.revision.at.number));
        }
    }
    let value = |key: &String| Change { key: key.clone(), value: before.get(key).map(str::to_string) };
    Ok(keys.into_iter().map(value).collect())
}

impl Member {
    pub(crate) fn heard_operator(&mut self, now: Nanos, from: &str, message: Message) {
        let ticket = match &message {
            Message::Submit { ticket, .. }
            | Message::Revert { ticket, .. }
            | Message::AskStatus { ticket } => ticket.clone(),
            _ => return,
        };
        let Some(control) = &self.control else { return };
        if !control.replica.is_publisher() {
            let publisher = self.publisher.clone().filter(|name| *name != self.me);
            return self.send(from, &Message::NotPublisher { ticket, publisher }, now);
        }
        if let Some(outcome) = control.requests.answered(&ticket).cloned() {
            return self.send(from, &Message::Submitted { ticket, outcome }, now);
        }
        if control.requests.is_waiting(&ticket) {
            return;
        }
        match message {
            Message::AskStatus { .. } => self.tell_status(from, ticket, now),
            Message::Revert { number, .. } => {
                let changes = taken_back(self, number);
                self.publish_for(ticket, changes, now);
            }
            Message::Submit { part, parts, changes, .. } => {
                let Some(control) = &mut self.control else { return };
                if let Some(changes) = control.requests.put_together(&ticket, part, parts, changes) {
                    self.publish_for(ticket, Ok(changes), now);
                }
            }
            _ => {}
        }
    }

    fn publish_for(&mut self, ticket: Ticket, changes: Result<Vec<Change>, String>, now: Nanos) {
        let published = changes.and_then(|changes| {
            self.publish(changes, now).map_err(|why| match why {
                NotPublished::NotPublisher => "not the publisher any more".to_string(),
                NotPublished::Busy => "too much waits to be committed: try again".to_string(),
                NotPublished::Bad(why) => why,
            })
        });
        let Some(control) = &mut self.control else { return };
        match published {
            Ok(number) => control.requests.waiting.push((ticket, number)),
            Err(why) => {
                control.requests.answer(ticket.clone(), Err(why.clone()));
                self.send(&ticket.from.clone(), &Message::Submitted { ticket, outcome: Err(why) }, now);
            }
        }
        self.answer_requests(now);
    }

    /// Those whose change is committed hear so; those whose publisher this one was hear that it is no more.
    pub(crate) fn answer_requests(&mut self, now: Nanos) {
        let Some(control) = &mut self.control else { return };
        let (publishes, number) = (control.replica.is_publisher(), self.history.number());
        let over = |(_, at): &(Ticket, u64)| !publishes || *at <= number;
        let (over, waiting) = std::mem::take(&mut control.requests.waiting).into_iter().partition(over);
        control.requests.waiting = waiting;
        let answers: Vec<(Ticket, u64)> = over;
        for (ticket, at) in answers {
            let to = ticket.from.clone();
            if !publishes {
                self.send(&to, &Message::NotPublisher { ticket, publisher: None }, now);
                continue;
            }
            let Some(control) = &mut self.control else { return };
            control.requests.answer(ticket.clone(), Ok(at));
            self.send(&to, &Message::Submitted { ticket, outcome: Ok(at) }, now);
        }
    }

    fn tell_status(&mut self, to: &str, ticket: Ticket, now: Nanos) {
        let number = self.history.complete().revision.at.number;
        // Whoever asks is no server.
        let members = self.members_but(to);
        let mut waiting = self.waiting();
        waiting.retain(|one| one.name != to);
        let told = waiting.iter().take(WAITING_TOLD).map(|one| {
            let why = one
                .refused
                .as_ref()
                .map_or(String::new(), |(_, why)| why.chars().take(REASON_TOLD).collect());
            (one.name.clone(), one.in_force.unwrap_or(0), why)
        });
        let status = Message::Status {
            ticket,
            number,
            members: members as u32,
            in_force: (members - waiting.len()) as u32,
            waiting: told.collect(),
        };
        debug_assert!(status.encode().len() <= BODY_MAX);
        self.send(to, &status, now);
    }
}
