//! A budget of the whole fleet (units at once, or units a second) split into leases. Every server may use its
//! floor at any time; beyond that only what it holds by a lease that its own clock has not ended.
//!
//! Leases are given by one grantor at a time: a voter to whom a majority of the voters has promised, each for
//! one term of its own clock, to promise nobody else. A grantor that is new gives nothing until every lease
//! of those before it has ended. A lease counts for its holder from the moment it *asked*, for the grantor
//! from the moment it *gave* and a margin for drift, so the holder's end always comes first. The grantor
//! counts the largest lease that may still stand for each holder; a smaller one frees the rest only once
//! the holder says that it took it over and uses no more.
//!
//! So at every moment `servers * floor` and all leases together are at most `total`, whatever is lost,
//! doubled, late or out of order, and whoever stops: `tests/model.rs` checks every interleaving of a small
//! fleet, `docs/shared-state.md` states the bounds.

use crate::ServerId;
use crate::clock::{Nanos, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests whose time is remembered, to date the grants that answer them.
const ASKED_MAX: usize = 8;
/// Ballots of which votes still count.
const BALLOTS_MAX: usize = 8;
/// Holders in the grantor's table for each server of the plan: those restarted stand in it until their
/// leases end.
const HOLDERS_PER_SERVER: u64 = 4;

/// Spans in nanoseconds. The same on every server but for `total`, which a reload may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSettings {
    pub name: String,
    /// Units that the whole fleet may use.
    pub total: u64,
    /// Units that each server may use without hearing anybody.
    pub floor: u64,
    /// Servers that may run at once, at most; their floors are set aside.
    pub servers: u64,
    /// Names of the servers that elect the grantor, an odd number of them.
    pub voters: Vec<String>,
    /// How long a lease remaining from its request.
    pub lease: Nanos,
    /// Between requests.
    pub refresh: Nanos,
    /// How long a grantor stays one without a majority's word.
    pub term: Nanos,
    /// What is added to a span before another's clock is taken to have passed it.
    pub margin: Nanos,
    /// Longest that a unit stays in use once taken; nothing is taken that could outlast the lease.
    /// 0 for units
    /// a second.
    pub use_most: Nanos,
}

impl BudgetSettings {
    /// A lease of `lease`, the other spans in proportion; a margin for clocks that differ by a fiftieth.
    pub fn new(
        name: &str,
        total: u64,
        floor: u64,
        servers: u64,
        voters: Vec<String>,
        lease: Nanos,
        use_most: Nanos,
    ) -> BudgetSettings {
        BudgetSettings {
            name: name.to_string(),
            total,
            floor,
            servers,
            voters,
            lease,
            refresh: lease / 8,
            term: lease / 2,
            margin: lease / 50,
            use_most,
        }
    }

    /// What is wrong, naming the setting.
    pub fn check(&self) -> Result<(), String> {
        let refuse = |fault: String| Err(fault);
        if self.name.is_empty() || self.name.len() > crate::NAME_MAX {
            return refuse(format!("name: 1 to {} bytes", crate::NAME_MAX));
        }
        if self.total == 0 || self.total > 1 << 40 || self.servers == 0 || self.servers > 100_000 {
            return refuse("total: 1 to 2^40, servers: 1 to 100000".into());
        }
        if self.floor.saturating_mul(self.servers) > self.total {
            let floors = self.floor.saturating_mul(self.servers);
            return refuse(format!("floor: {} servers' floors are {floors}, over total", self.servers));
        }
        let distinct: BTreeSet<&String> = self.voters.iter().collect();
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 9 || distinct.len() != self.voters.len()
        {
            return refuse(format!("voter: 1, 3, 5, 7 or 9 different names, not {}", self.voters.len()));
        }
        if self.refresh == 0 || self.term == 0 || self.margin == 0 {
            return refuse("lease-ms: too short".into());
        }
        if self.use_most.saturating_add(3 * self.refresh) > self.lease {
            return refuse("use-most-ms: a lease must outlast it by three eighths of the lease".into());
        }
        Ok(())
    }

    /// What may be given beyond all floors.
    pub fn to_give(&self) -> u64 {
        self.total.saturating_sub(self.floor.saturating_mul(self.servers))
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Names one time in office, unlike every other: the grantor's incarnation and rank among the voters, and how
/// often that one stood. Grants of two terms are never told apart by order: those before have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    pub incarnation: u64,
    pub rank: u64,
    pub election: u64,
}

/// What servers say to each other of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// To a voter: promise me that I am the grantor.
    VoteRequest { ballot: u64 },
    /// To whoever asked, in that incarnation of it.
    VoteResponse { incarnation: u64, ballot: u64, given: bool },
    /// To the grantor: what I want beyond my floor, what I use beyond it, the grant I go by.
    LeaseRequest { number: u64, wants: u64, uses: u64, adopted: (Term, u64) },
    /// To whoever wanted, in that incarnation of it; in answer to that number.
    LeaseGrant { incarnation: u64, number: u64, term: Term, id: u64, amount: u64 },
    /// Not mine to give, or not yet: who gives, as far as is known here.
    Redirect { grantor: Option<String> },
}

/// What was refused or came to nothing, from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counts {
    /// Grants that answer no request of this incarnation.
    pub unasked: u64,
    /// Grants of more than there is, or by one that is no voter.
    pub beyond: u64,
    /// Grants older than the lease that stands, or over before they came.
    pub stale: u64,
    /// Leases claimed that were never given.
    pub claimed: u64,
    /// Votes asked of or by one that is no voter, wants beyond all there is, holders beyond the table.
    pub absurd: u64,
    pub elected: u64,
    pub given: u64,
    pub adopted: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    to: ServerId,
    /// By the slow clock.
    until: Nanos,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    /// Id, amount, end by the slow clock.
    grants: Vec<(u64, u64, Nanos)>,
    wants: u64,
    heard: Nanos,
}

impl Held {
    fn most(&self) -> u64 {
        self.grants.iter().map(|(_, amount, _)| *amount).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ballot {
    number: u64,
    /// By the fast clock.
    asked: Nanos,
    votes: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Office {
    term: Term,
    /// The latest last. Votes of an earlier one count, too: on a slow
    /// and lossy network a majority for the last
    /// one alone came too late too often: 0.57 of a budget was used where 0.8 is wanted.
    ballots: VecDeque<Ballot>,
    /// Grantor until then, by the fast clock; `None` while it only stands.
    until: Option<Nanos>,
    /// Gives nothing before, by the slow clock.
    gives_from: Nanos,
    last_id: u64,
    table: BTreeMap<ServerId, Held>,
}

impl Office {
    /// When the latest vote was called.
    fn asked(&self) -> Nanos {
        self.ballots.back().map_or(0, |ballot| ballot.asked)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    grant: (Term, u64),
    amount: u64,
    /// By the fast clock.
    until: Nanos,
}

/// What a server may use, for its module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Allowance {
    pub floor: u64,
    pub leased: u64,
    /// How long the lease still remaining, by the fast clock; 0 where there is none.
    pub remaining: Nanos,
}

/// One server's part in one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    me: ServerId,
    plan: BudgetSettings,
    rank: Option<u64>,
    // As a voter.
    votes_from: Nanos,
    promise: Option<Promise>,
    // As a candidate or the grantor.
    office: Option<Office>,
    last_ballot: u64,
    /// When a grantor was last known of, by the fast clock.
    quiet_since: Nanos,
    // As a holder.
    /// By the slow clock: what a life before this one still has in use below is over by then.
    floor_from: Nanos,
    lease: Lease,
    asked: VecDeque<(u64, Nanos)>,
    last_number: u64,
    next_want: Nanos,
    wants: u64,
    uses: u64,
    grantor: Option<String>,
    unanswered: u32,
    pub counts: Counts,
}

/// To whom by name, and what.
pub type Out = Vec<(String, BudgetMessage)>;

impl Budget {
    /// `Err` names the bad setting.
    pub fn new(me: ServerId, plan: BudgetSettings, time: Time) -> Result<Budget, String> {
        plan.check()?;
        let rank = plan.voters.iter().position(|name| *name == me.name).map(|rank| rank as u64);
        Ok(Budget {
            rank,
            // What it promised before it was started again is not known any more, so it waits it out.
            votes_from: time.slow + plan.term + plan.margin,
            promise: None,
            office: None,
            last_ballot: 0,
            quiet_since: time.fast,
            floor_from: time.slow + plan.use_most,
            lease: Lease::default(),
            asked: VecDeque::new(),
            last_number: 0,
            next_want: time.fast,
            wants: 0,
            uses: 0,
            grantor: None,
            unanswered: 0,
            counts: Counts::default(),
            me,
            plan,
        })
    }

    pub fn plan(&self) -> &BudgetSettings {
        &self.plan
    }

    /// Another total, from a reload. A smaller one holds once the leases that stand have ended or shrunk, one
    /// lease time at the latest. Refused where the floors alone pass it.
    pub fn set_total(&mut self, total: u64) -> Result<(), String> {
        let plan = BudgetSettings { total, ..self.plan.clone() };
        plan.check()?;
        self.plan = plan;
        Ok(())
    }

    /// What is wanted and what is in use, in units, floor included.
    pub fn set_demand(&mut self, wants: u64, uses: u64) {
        self.wants = wants.saturating_sub(self.plan.floor).min(self.plan.to_give());
        self.uses = uses.saturating_sub(self.plan.floor);
    }

    pub fn allowance(&self, time: Time) -> Allowance {
        let remaining = self.lease.until.saturating_sub(time.fast);
        let leased = if remaining > 0 { self.lease.amount } else { 0 };
        let floor = if time.slow >= self.floor_from { self.plan.floor } else { 0 };
        Allowance { floor, leased, remaining }
    }

    /// Whether one more unit may be taken while so many are in use: beyond the floor only where it is given
    /// back before the lease ends at the latest.
    pub fn may_acquire(&self, time: Time, uses: u64) -> bool {
        let ceiling = self.allowance(time);
        let leased = if ceiling.remaining > self.plan.use_most { ceiling.leased } else { 0 };
        uses < ceiling.floor + leased
    }

    /// Whether this server gives leases now.
    pub fn is_grantor(&self, time: Time) -> bool {
        self.office.as_ref().is_some_and(|office| office.until.is_some_and(|until| time.fast < until))
    }

    pub fn grantor(&self) -> Option<&str> {
        self.grantor.as_deref()
    }

    /// Leases that this grantor counts as standing, in units.
    pub fn outstanding(&self) -> u64 {
        self.office.iter().flat_map(|office| office.table.values()).map(Held::most).sum()
    }

    /// For the model check alone: as if a new grantor did not wait for the leases of those before it.
    #[doc(hidden)]
    pub fn forget_who_gave_before(&mut self) {
        self.office.iter_mut().for_each(|office| office.gives_from = 0);
    }

    /// What is due by `time`. `draw` is any number, for the choice of whom to ask.
    pub fn advance(&mut self, time: Time, draw: u64) -> Out {
        let mut out = Vec::new();
        if let Some(office) = &self.office {
            let over = match office.until {
                Some(until) => time.fast >= until,
                None => time.fast >= office.asked() + self.plan.term / 2,
            };
            if over {
                (self.office, self.quiet_since) = (None, time.fast);
            }
        }
        if let Some(rank) = self.rank {
            let patience = self.plan.term + rank * self.plan.term / 2;
            let renew = self.office.as_ref().is_some_and(|office| {
                office.until.is_some() && time.fast >= office.asked() + (self.plan.term / 8).max(1)
            });
            let lonely = self.office.is_none()
                && time.slow >= self.votes_from
                && time.fast >= self.quiet_since + patience;
            if renew || lonely {
                self.call_a_vote(time, &mut out);
            }
        }
        if time.fast >= self.next_want {
            self.next_want = time.fast + self.plan.refresh;
            self.want(time, draw, &mut out);
        }
        out
    }

    fn call_a_vote(&mut self, time: Time, out: &mut Out) {
        self.last_ballot += 1;
        let ballot = Ballot { number: self.last_ballot, asked: time.fast, votes: BTreeSet::new() };
        match &mut self.office {
            Some(office) => {
                office.ballots.push_back(ballot);
                if office.ballots.len() > BALLOTS_MAX {
                    office.ballots.pop_front();
                }
            }
            None => {
                let (incarnation, rank) = (self.me.incarnation, self.rank.unwrap_or(0));
                let term = Term { incarnation, rank, election: self.last_ballot };
                let (until, gives_from, last_id, table) = (None, 0, 0, BTreeMap::new());
                let ballots = VecDeque::from([ballot]);
                self.office = Some(Office { term, ballots, until, gives_from, last_id, table });
            }
        }
        let number = self.last_ballot;
        let others = self.plan.voters.iter().filter(|name| **name != self.me.name);
        out.extend(others.map(|name| (name.clone(), BudgetMessage::VoteRequest { ballot: number })));
        let me = self.me.clone();
        if self.promises(time, &me) {
            self.count_vote(time, me.name, number);
        }
    }

    /// Whether this voter promises itself to `to` for a term.
    fn promises(&mut self, time: Time, to: &ServerId) -> bool {
        let free = match &self.promise {
            Some(promise) => promise.to == *to || time.slow >= promise.until,
            None => true,
        };
        let given = free && time.slow >= self.votes_from;
        if given {
            let until = time.slow + self.plan.term + self.plan.margin;
            self.promise = Some(Promise { to: to.clone(), until });
            self.quiet_since = time.fast;
        }
        given
    }

    fn count_vote(&mut self, time: Time, from: String, number: u64) {
        let Some(office) = &mut self.office else { return };
        let Some(ballot) = office.ballots.iter_mut().find(|ballot| ballot.number == number) else { return };
        ballot.votes.insert(from);
        let until = ballot.asked + self.plan.term;
        let won = ballot.votes.len() >= self.plan.majority();
        if !won || time.fast >= until || office.until.is_some_and(|known| known >= until) {
            return;
        }
        if office.until.is_none() {
            // Every lease of those before ends first: the last was asked for before the last of them ended.
            office.gives_from = time.slow + self.plan.lease + self.plan.margin;
            self.counts.elected += 1;
        }
        office.until = Some(until);
        self.grantor = Some(self.me.name.clone());
    }

    /// Asks for what is wanted, whoever is thought to be the grantor, or any voter.
    fn want(&mut self, time: Time, draw: u64, out: &mut Out) {
        self.last_number += 1;
        self.asked.push_back((self.last_number, time.fast));
        if self.asked.len() > ASKED_MAX {
            self.asked.pop_front();
        }
        self.unanswered += 1;
        if self.unanswered > 2 {
            self.grantor = None;
        }
        let any = &self.plan.voters[(draw % self.plan.voters.len() as u64) as usize];
        let to = self.grantor.clone().unwrap_or_else(|| any.clone());
        let (number, wants, uses) = (self.last_number, self.wants, self.uses);
        let want = BudgetMessage::LeaseRequest { number, wants, uses, adopted: self.lease.grant };
        if to == self.me.name {
            let me = self.me.clone();
            let answers = self.heard(time, &me, want);
            out.extend(answers);
        } else {
            out.push((to, want));
        }
    }

    /// One message of this budget; answers go back by name.
    pub fn heard(&mut self, time: Time, from: &ServerId, say: BudgetMessage) -> Out {
        let answer = match say {
            BudgetMessage::VoteRequest { ballot: number } => {
                if self.rank.is_none() || !self.plan.voters.contains(&from.name) {
                    self.counts.absurd += 1;
                    return Vec::new();
                }
                let given = self.promises(time, from);
                Some(BudgetMessage::VoteResponse { incarnation: from.incarnation, ballot: number, given })
            }
            BudgetMessage::VoteResponse { incarnation: to, ballot: number, given } => {
                if to != self.me.incarnation || !self.plan.voters.contains(&from.name) {
                    self.counts.absurd += 1;
                } else if given {
                    self.count_vote(time, from.name.clone(), number);
                }
                None
            }
            BudgetMessage::LeaseRequest { number, wants, uses, adopted } => {
                Some(self.wanted(time, from, number, wants, uses, adopted))
            }
            BudgetMessage::LeaseGrant { incarnation: to, number, term, id, amount } => {
                self.granted(time, from, (to, number), (term, id), amount);
                None
            }
            BudgetMessage::Redirect { grantor: to } => {
                // A grantor that names itself lives, and gives later.
                self.unanswered = 0;
                self.grantor = to.filter(|name| self.plan.voters.contains(name));
                if self.grantor.is_some() {
                    self.quiet_since = time.fast;
                }
                None
            }
        };
        let Some(answer) = answer else { return Vec::new() };
        if *from == self.me {
            return self.heard(time, from, answer);
        }
        vec![(from.name.clone(), answer)]
    }

    fn wanted(
        &mut self,
        time: Time,
        from: &ServerId,
        number: u64,
        wants: u64,
        uses: u64,
        adopted: (Term, u64),
    ) -> BudgetMessage {
        let gives = self.is_grantor(time);
        let plan = &self.plan;
        let Some(office) = self.office.as_mut().filter(|_| gives) else {
            let known = self.promise.as_ref().filter(|promise| time.slow < promise.until);
            return BudgetMessage::Redirect { grantor: known.map(|promise| promise.to.name.clone()) };
        };
        if time.slow < office.gives_from {
            return BudgetMessage::Redirect { grantor: Some(self.me.name.clone()) };
        }
        for held in office.table.values_mut() {
            held.grants.retain(|(_, _, until)| time.slow < *until);
        }
        let over = plan.lease + plan.margin;
        office.table.retain(|_, held| !held.grants.is_empty() || time.slow < held.heard + over);
        let room = plan.servers * HOLDERS_PER_SERVER;
        if !office.table.contains_key(from) && office.table.len() as u64 >= room {
            self.counts.absurd += 1;
            return BudgetMessage::Redirect { grantor: None };
        }
        self.counts.absurd += u64::from(wants > plan.to_give());
        let held = office.table.entry(from.clone()).or_default();
        (held.wants, held.heard) = (wants.min(plan.to_give()), time.slow);
        if adopted.0 == office.term {
            let taken = held.grants.iter().find(|(id, ..)| *id == adopted.1).map(|(_, amount, _)| *amount);
            match taken {
                // It goes by that one now, and by none before it; what it still uses beyond stands.
                Some(amount) if uses <= amount => held.grants.retain(|(id, ..)| *id >= adopted.1),
                Some(_) => {}
                None => self.counts.claimed += u64::from(adopted.1 > office.last_id),
            }
        }
        let others: u64 =
            office.table.iter().filter(|(who, _)| *who != from).map(|(_, held)| held.most()).sum();
        let wished: Vec<(u64, u64)> = office.table.values().map(|held| (held.wants, held.most())).collect();
        let mine = office.table.keys().position(|who| who == from).expect("entered above");
        let share = fair_share(plan.to_give(), &wished, mine);
        let amount = share.min(plan.to_give().saturating_sub(others));
        office.last_id += 1;
        let (term, id, until) = (office.term, office.last_id, time.slow + over);
        office.table.get_mut(from).expect("entered above").grants.push((id, amount, until));
        self.counts.given += 1;
        BudgetMessage::LeaseGrant { incarnation: from.incarnation, number, term, id, amount }
    }

    fn granted(
        &mut self,
        time: Time,
        from: &ServerId,
        (to, number): (u64, u64),
        grant: (Term, u64),
        amount: u64,
    ) {
        let asked = self.asked.iter().find(|(n, _)| *n == number).map(|(_, at)| *at);
        let Some(asked) = asked.filter(|_| to == self.me.incarnation) else {
            // A grant to one that is no more is measured from a request that this one never sent.
            self.counts.unasked += 1;
            return;
        };
        if amount > self.plan.to_give() || !self.plan.voters.contains(&from.name) {
            self.counts.beyond += 1;
            return;
        }
        let until = asked + self.plan.lease;
        let stands = time.fast < self.lease.until;
        let newer = grant.0 == self.lease.grant.0 && grant.1 > self.lease.grant.1;
        if time.fast >= until || (stands && !newer) {
            self.counts.stale += 1;
            return;
        }
        self.lease = Lease { grant, amount, until };
        (self.grantor, self.unanswered) = (Some(from.name.clone()), 0);
        (self.quiet_since, self.counts.adopted) = (time.fast, self.counts.adopted + 1);
    }
}

/// The max-min fair share of the one at `mine` among all that want so much: nobody gets more than it wants,
/// those who want more than their part get equal parts of what is left, whole units that do not divide going
/// to those who hold most (the second figure of each) and of equals to the later ones. Guards against a
/// budget of one that went to and fro between two who want it, so that neither had it for long.
pub fn fair_share(capacity: u64, wants: &[(u64, u64)], mine: usize) -> u64 {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|i| (wants[*i], *i));
    let mut left = capacity;
    for (done, i) in order.iter().enumerate() {
        let part = wants[*i].0.min(left / (wants.len() - done) as u64);
        if *i == mine {
            return part;
        }
        left -= part;
    }
    0
}
