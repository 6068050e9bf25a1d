//! `meadowstream publish`: an operator's command. It joins the fleet for a moment, submits a change to the
//! publisher, or reverts one, and prints which members have it in force.

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

/// Names of members that are operators' commands begin with this.
const NAME_PREFIX: &str = "publish-";
/// A request is repeated after so long without an answer.
const REPEAT_AFTER_NS: u64 = 300_000_000;

/// What is requested.
pub enum PublishRequest {
    /// The change in this file.
    Publish(PathBuf),
    /// That the revision of this number be reverted.
    Revert(u64),
    /// Only the status.
    Status,
}

/// What `publish` is given.
pub struct PublishArguments {
    /// What is requested.
    pub request: PublishRequest,
    /// The options file of the fleet.
    pub options: PathBuf,
    /// How long all this may take.
    pub wait: Duration,
}

/// Reads all it is given and refuses what cannot be done before the fleet hears of it.
fn questions(arguments: &PublishArguments, request: &RequestId) -> Result<Vec<Message>> {
    match &arguments.request {
        PublishRequest::Status => Ok(Vec::new()),
        PublishRequest::Revert(number) => {
            Ok(vec![Message::Revert { request: request.clone(), number: *number }])
        }
        PublishRequest::Publish(file) => {
            let changes: Vec<Change> =
                load_change(file)?.into_iter().map(|one| Change { key: one.key, value: one.value }).collect();
            if let Err(fault) = changes.iter().try_for_each(Change::check) {
                bail!("{}: {fault}", file.display());
            }
            let parts = split(changes);
            let count = parts.len() as u32;
            ensure!(
                count <= PARTS_MAX,
                "{}: takes {count} parts, of which a change may have {PARTS_MAX}: publish it in several",
                file.display()
            );
            let submit =
                |(part, changes)| Message::Submit { request: request.clone(), part, parts: count, changes };
            Ok((0..).zip(parts).map(submit).collect())
        }
    }
}

/// Carries out the command; an error where the members do not confirm it in time.
pub fn run(arguments: &PublishArguments) -> Result<()> {
    let life = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_nanos() as u64;
    let name = format!("{NAME_PREFIX}{:08x}", (life / 1000) as u32);
    let read = control::read(&arguments.options, Some(&name))?;
    let replicas = read.replication.replicas.clone();
    let request = RequestId { from: name, number: 1 };
    let questions = questions(arguments, &request)?;
    let joined = NonServingMember::join(&read.fleet)?;
    async_io::block_on(ask(joined, questions, request, replicas, arguments.wait))
}

struct Asking {
    joined: NonServingMember,
    replicas: Vec<String>,
    /// Who is asked; the next one where it is not the publisher.
    publisher: usize,
    end: u64,
}

async fn ask(
    joined: NonServingMember,
    questions: Vec<Message>,
    request: RequestId,
    replicas: Vec<String>,
    wait: Duration,
) -> Result<()> {
    let end = joined.now() + wait.as_nanos() as u64;
    let mut asking = Asking { joined, replicas, publisher: 0, end };
    let done = asking.all(questions, request).await;
    asking.joined.leave().await;
    done
}

impl Asking {
    async fn all(&mut self, questions: Vec<Message>, request: RequestId) -> Result<()> {
        let mut wanted = 0;
        if !questions.is_empty() {
            let answer = self.answer(&questions, &request).await?;
            let answer =
                answer.context("no publisher has answered: is a majority of <replica>s reachable?")?;
            let Message::Submitted { outcome, .. } = answer else { bail!("an answer to another question") };
            wanted = match outcome {
                RequestOutcome::Committed { number } => number,
                RequestOutcome::Rejected { reason } => bail!("refused: {reason}"),
            };
            println!("committed as revision {wanted}");
        }
        self.until_in_force(request, wanted, !questions.is_empty()).await
    }

    /// Asks until somebody answers or the time is over.
    async fn answer(&mut self, questions: &[Message], request: &RequestId) -> Result<Option<Message>> {
        let mut next = 0;
        while self.joined.now() < self.end {
            let now = self.joined.now();
            if now >= next {
                next = now + REPEAT_AFTER_NS;
                let to = self.replicas[self.publisher % self.replicas.len()].clone();
                let known = self.joined.directory.address(&to).is_some();
                if !known {
                    self.publisher += 1;
                }
                questions.iter().for_each(|question| self.joined.send(&to, REPLICATION, question.encode()));
            }
            for said in self.joined.turn(next.min(self.end)).await {
                let Some(message) = Message::decode(&said.body).filter(|_| said.topic == REPLICATION) else {
                    continue;
                };
                match message {
                    Message::NotLeader { request: of, leader: publisher } if of == *request => {
                        let named =
                            publisher.and_then(|name| self.replicas.iter().position(|one| *one == name));
                        self.publisher = named.unwrap_or(self.publisher + 1);
                    }
                    Message::Submitted { request: ref of, .. } | Message::Status { request: ref of, .. }
                        if of == request =>
                    {
                        return Ok(Some(message));
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }

    /// Says who goes by the newest revision; where a change was published, until all do.
    async fn until_in_force(&mut self, request: RequestId, wanted: u64, waits: bool) -> Result<()> {
        let mut said = String::new();
        let mut asked = request.number;
        loop {
            asked += 1;
            let request = RequestId { from: request.from.clone(), number: asked };
            let question = [Message::PollStatus { request: request.clone() }];
            let answer = self.answer(&question, &request).await?;
            let Some(Message::Status { number, members, applied: in_force, lagging, .. }) = answer else {
                bail!("not all go by it yet: {said}");
            };
            said = format!("revision {number}: {in_force} of {members} members go by it");
            let tell = |LaggingSummary { name, applied, reason }: &LaggingSummary| match reason.is_empty() {
                true => format!("{name} goes by {applied}"),
                false => format!("{name} goes by {applied} and refused: {reason}"),
            };
            let lacking: Vec<String> = lagging.iter().map(tell).collect();
            if !lacking.is_empty() {
                said.push_str(&format!("; {}", lacking.join(", ")));
            }
            let all = in_force == members && number >= wanted;
            let refused = lagging.iter().any(|one| !one.reason.is_empty());
            if all || !waits {
                println!("{said}");
                return Ok(());
            }
            ensure!(!refused || self.joined.now() + REPEAT_AFTER_NS < self.end, "{said}");
            let pause = self.joined.now() + REPEAT_AFTER_NS / 3;
            self.joined.turn(pause).await;
        }
    }
}

/// The options that a `publish` without `--wait` waits for.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(10);
