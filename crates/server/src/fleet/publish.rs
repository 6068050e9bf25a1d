//! `meadowstream publish`: a command for operators, which changes the replicated configuration of a fleet.
//!
//! The command joins the fleet while it runs. The command asks the publisher to publish a change or to revert
//! a revision. Afterwards the command prints how many members use the newest revision.

use crate::fleet::control_machine as control;
use crate::fleet::joined::NonServingMember;
use anyhow::{Context, Result, bail, ensure};
use meadowstream_configuration::change::load_change;
use meadowstream_replication::change::Change;
use meadowstream_replication::entry::{PARTS_MAX, split};
use meadowstream_replication::message::{LaggingSummary, Message, RequestId, RequestOutcome};
use meadowstream_shared_state::REPLICATION;
use std::path::PathBuf;
use std::time::Duration;

/// Prefix of the member name under which the `publish` command joins the fleet.
const NAME_PREFIX: &str = "publish-";
/// Time, in nanoseconds, to wait for the publisher's answer. After this time the `publish` command sends its
/// request again.
const REPEAT_AFTER_NS: u64 = 300_000_000;

/// Action that the operator requests with the `publish` command.
pub enum PublishRequest {
    /// Publish the change of the replicated configuration that the file at this path describes.
    Publish(PathBuf),
    /// Revert this revision of the replicated configuration, which is identified by its number.
    Revert(u64),
    /// Print the status only.
    Status,
}

/// Arguments of the `publish` command: the requested action, the options file, and the time limit.
pub struct PublishArguments {
    /// The action to perform.
    pub request: PublishRequest,
    /// Path of the options file that contains the fleet settings.
    pub options: PathBuf,
    /// Maximum duration of the whole `publish` command.
    pub wait: Duration,
}

/// Builds the messages that ask the publisher to make a change. A request for the status alone needs no
/// messages. Called before the process joins the fleet, so that errors in a change file are reported first.
fn messages(arguments: &PublishArguments, request: &RequestId) -> Result<Vec<Message>> {
    match &arguments.request {
        PublishRequest::Status => Ok(Vec::new()),
        PublishRequest::Revert(number) => {
            Ok(vec![Message::Revert { request: request.clone(), number: *number }])
        }
        PublishRequest::Publish(file) => {
            let changes: Vec<Change> =
                load_change(file)?.into_iter().map(|set| Change { key: set.key, value: set.value }).collect();
            if let Err(fault) = changes.iter().try_for_each(Change::check) {
                bail!("{}: {fault}", file.display());
            }
            let parts = split(changes);
            let count = parts.len() as u32;
            ensure!(
                count <= PARTS_MAX,
                "{}: needs {count} parts, but a change may have {PARTS_MAX} at most: split it into several",
                file.display()
            );
            let submit =
                |(part, changes)| Message::Submit { request: request.clone(), part, parts: count, changes };
            Ok((0..).zip(parts).map(submit).collect())
        }
    }
}

/// Runs the `publish` command. Returns an error if the members do not confirm the change within the time
/// limit.
pub fn run(arguments: &PublishArguments) -> Result<()> {
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_nanos() as u64;
    let name = format!("{NAME_PREFIX}{:08x}", (started / 1000) as u32);
    let settings = control::read_settings(&arguments.options, Some(&name))?;
    let replicas = settings.replication.replicas.clone();
    let request = RequestId { from: name, number: 1 };
    let messages = messages(arguments, &request)?;
    let fleet_member = NonServingMember::join(&settings.fleet)?;
    async_io::block_on(submit(fleet_member, messages, request, replicas, arguments.wait))
}

/// Appends the revisions of the members to the status, preceded by `label`; nothing if there are no members.
fn append_members(status: &mut String, label: &str, members: &[LaggingSummary]) {
    let describe = |member: &LaggingSummary| {
        let LaggingSummary { name, applied, reason } = member;
        let has_refused = !reason.is_empty() && !member.is_away();
        let refusal = if has_refused { format!(" and refused: {reason}") } else { String::new() };
        format!("{name} goes by {applied}{refusal}")
    };
    if !members.is_empty() {
        let descriptions: Vec<String> = members.iter().map(describe).collect();
        status.push_str(&format!("; {label}{}", descriptions.join(", ")));
    }
}

struct PublishSession {
    fleet_member: NonServingMember,
    replicas: Vec<String>,
    /// Index of the replica to which the `publish` command sends its requests, because this replica is
    /// assumed to be the publisher. The index may exceed the number of replicas, and is taken modulo this
    /// number.
    publisher: usize,
    /// Time at which the `publish` command stops waiting and fails, in Unix nanoseconds.
    deadline: u64,
}

async fn submit(
    fleet_member: NonServingMember,
    messages: Vec<Message>,
    request: RequestId,
    replicas: Vec<String>,
    wait: Duration,
) -> Result<()> {
    let deadline = fleet_member.now() + wait.as_nanos() as u64;
    let mut session = PublishSession { fleet_member, replicas, publisher: 0, deadline };
    let result = session.run(messages, request).await;
    session.fleet_member.leave().await;
    result
}

impl PublishSession {
    async fn run(&mut self, messages: Vec<Message>, request: RequestId) -> Result<()> {
        let mut wanted = 0;
        if !messages.is_empty() {
            let answer = self.request(&messages, &request).await?;
            let answer =
                answer.context("no publisher has answered: is a majority of <replica>s reachable?")?;
            let Message::Submitted { outcome, .. } = answer else {
                bail!("the publisher sent an unexpected answer")
            };
            wanted = match outcome {
                RequestOutcome::Committed { number } => number,
                RequestOutcome::Rejected { reason } => bail!("refused: {reason}"),
            };
            println!("committed as revision {wanted}");
        }
        self.wait_until_in_force(request, wanted, !messages.is_empty()).await
    }

    /// Sends the messages to the publisher, repeatedly, until the publisher answers the request. Returns
    /// `None` if no answer arrives before the deadline.
    async fn request(&mut self, messages: &[Message], request: &RequestId) -> Result<Option<Message>> {
        let mut next = 0;
        while self.fleet_member.now() < self.deadline {
            let now = self.fleet_member.now();
            if now >= next {
                next = now + REPEAT_AFTER_NS;
                let to = self.replicas[self.publisher % self.replicas.len()].clone();
                let known = self.fleet_member.directory.address(&to).is_some();
                if !known {
                    self.publisher += 1;
                }
                messages
                    .iter()
                    .for_each(|message| self.fleet_member.send(&to, REPLICATION, message.encode()));
            }
            for received in self.fleet_member.step(next.min(self.deadline)).await {
                let message = Message::decode(&received.body).filter(|_| received.topic == REPLICATION);
                let Some(message) = message else { continue };
                match message {
                    Message::NotLeader { request: id, leader } if id == *request => {
                        let index =
                            leader.and_then(|name| self.replicas.iter().position(|replica| *replica == name));
                        self.publisher = index.unwrap_or(self.publisher + 1);
                    }
                    Message::Submitted { request: ref id, .. } | Message::Status { request: ref id, .. }
                        if id == request =>
                    {
                        return Ok(Some(message));
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }

    /// Prints how many members use the newest revision, and names the members that do not use this revision.
    /// If `waits` is true, first waits until all members use the newest revision and the number of this
    /// revision is at least `wanted`. Members that are away are named, but not waited for.
    async fn wait_until_in_force(&mut self, request: RequestId, wanted: u64, waits: bool) -> Result<()> {
        let mut status = String::new();
        let mut request_number = request.number;
        loop {
            request_number += 1;
            let request = RequestId { from: request.from.clone(), number: request_number };
            let message = [Message::PollStatus { request: request.clone() }];
            let answer = self.request(&message, &request).await?;
            let Some(Message::Status { number, members, applied: in_force, lagging, .. }) = answer else {
                bail!("not all members have the revision in force yet: {status}");
            };
            let (away, lagging): (Vec<_>, Vec<_>) = lagging.into_iter().partition(LaggingSummary::is_away);
            status = format!("revision {number}: {in_force} of {members} members go by it");
            append_members(&mut status, "", &lagging);
            append_members(&mut status, "not counted, since away: ", &away);
            let all = in_force == members && number >= wanted;
            let refused = lagging.iter().any(|member| !member.reason.is_empty());
            if all || !waits {
                println!("{status}");
                return Ok(());
            }
            ensure!(!refused || self.fleet_member.now() + REPEAT_AFTER_NS < self.deadline, "{status}");
            let pause = self.fleet_member.now() + REPEAT_AFTER_NS / 3;
            self.fleet_member.step(pause).await;
        }
    }
}

/// Maximum duration of a `publish` command without the option `--wait`.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(10);
