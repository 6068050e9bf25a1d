//! Which service of a tier below a call goes to, without I/O: time (whole nanoseconds), the seed and what is
//! judged of each service go in, a service comes out. `docs/shared-state.md` names the ways weighed.
//!
//! - Of two services drawn at random the less busy one is taken (power of two choices, Mitzenmacher 2001).
//! - Services that the fleet has ejected get no ordinary call, and one that this server alone finds bad loses
//!   to any other. Guards against the black hole: a service that fails at once is always the less busy one.
//! - Both kinds get a probe now and then, of calls that may be repeated, one at a time: without them nobody
//!   would learn that a service is well again, and evidence that fades would let everybody back at once. A
//!   few servers probe for the whole fleet, so that its size does not make the sum.
//! - One that comes back gets its part little by little over [`Settings::ramp`] (slow start). Guards against
//!   the sum of what a whole fleet sends to a cold service: each server counts its part out call by call,
//!   from a random beginning, so that the parts add up to the ramp and not to chance on top of it.
//! - A call made again goes to another service than the last one, where there is one.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

pub type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Services of the tier, at least 1.
    pub services: usize,
    /// A service that is out gets a probe this often from this server; above 0.
    pub probe_every: Nanos,
    /// Over how long one that comes back gets its whole part again.
    pub ramp: Nanos,
}

/// What is judged of a service now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    /// By the fleet, or by this server where it hears nobody.
    pub ejected: bool,
    /// By this server's own calls.
    pub bad_here: bool,
    /// This server is one of those that find out whether it is well again.
    pub probes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chosen {
    pub service: usize,
    pub probe: bool,
}

/// What a call needs of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// Where its last attempt went.
    pub last: Option<usize>,
    /// It may be spent on a service that is likely to fail it: it can be repeated, and this is its first
    /// attempt.
    pub may_probe: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    judged: Judged,
    outstanding: u64,
    probing: bool,
    next_probe: Nanos,
    /// When it came back, and the part of a call that it is due since its last one.
    back: Option<Nanos>,
    due: f64,
}

/// Counts, from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub probes: u64,
    /// Calls that found every service ejected and no probe due.
    pub nowhere: u64,
}

#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    services: Vec<Service>,
    rng: ChaCha8Rng,
    pub counts: Counts,
}

impl Router {
    /// `Err` names the bad setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, &'static str> {
        if settings.services == 0 || settings.probe_every == 0 {
            return Err("service: at least one; probes: above 0 apart");
        }
        let services = vec![Service::default(); settings.services];
        Ok(Router { settings, services, rng: ChaCha8Rng::seed_from_u64(seed), counts: Counts::default() })
    }

    /// What is judged of each service from `now` on, in their order; the first probe of one that has just
    /// gone out comes after a random part of the period, so that a fleet's probes do not come at once.
    pub fn judged(&mut self, now: Nanos, judged: impl IntoIterator<Item = Judged>) {
        let out = |judged: Judged| judged.ejected || judged.bad_here;
        for (i, new) in judged.into_iter().enumerate().take(self.services.len()) {
            let draw = self.below(self.settings.probe_every) + 1;
            let first = self.rng.next_u64() as f64 / u64::MAX as f64;
            let service = &mut self.services[i];
            if out(new) && !out(service.judged) {
                service.next_probe = now + draw;
            }
            if !out(new) && out(service.judged) {
                (service.back, service.due) = (Some(now), first);
            }
            service.judged = new;
        }
    }

    /// Whether a call would find a service; [`Router::choose`] then finds one too.
    pub fn has_room(&self, now: Nanos, wish: Wish) -> bool {
        self.services.iter().any(|s| !s.judged.ejected) || (wish.may_probe && self.probe(now).is_some())
    }

    /// When this server's next probe is due, where every service is ejected.
    pub fn next_room(&self) -> Option<Nanos> {
        if self.services.iter().any(|s| !s.judged.ejected) {
            return None;
        }
        self.services.iter().filter(|s| s.judged.probes && !s.probing).map(|s| s.next_probe).min()
    }

    /// Chooses for one call, which is out until [`Router::ended`]; `None` where every service is ejected
    /// and no probe is due.
    pub fn choose(&mut self, now: Nanos, wish: Wish) -> Option<Chosen> {
        let probe = wish.may_probe.then(|| self.probe(now)).flatten();
        if let Some(service) = probe {
            let its = &mut self.services[service];
            (its.probing, its.next_probe) = (true, now + self.settings.probe_every);
            its.outstanding += 1;
            self.counts.probes += 1;
            return Some(Chosen { service, probe: true });
        }
        let mut open: Vec<usize> =
            (0..self.services.len()).filter(|i| !self.services[*i].judged.ejected).collect();
        if open.len() > 1 {
            open.retain(|i| wish.last != Some(*i));
        }
        let parts: Vec<f64> = open.iter().map(|i| self.part(now, *i)).collect();
        let warm: Vec<usize> = (0..open.len()).filter(|at| parts[*at] >= 1.0).map(|at| open[at]).collect();
        let among = if warm.is_empty() { &open } else { &warm };
        if among.is_empty() {
            self.counts.nowhere += 1;
            return None;
        }
        let first = self.below(among.len() as u64) as usize;
        // Another one, each as likely, where there is one.
        let others = among.len() as u64 - 1;
        let second = (first + if others > 0 { 1 + self.below(others) as usize } else { 0 }) % among.len();
        let busy = |i: usize| (self.services[i].judged.bad_here, self.services[i].outstanding);
        let (a, b) = (among[first], among[second]);
        let usual = if busy(b) < busy(a) { b } else { a };
        let service = if warm.is_empty() { usual } else { self.due(&open, &parts, usual) };
        self.services[service].outstanding += 1;
        self.counts.calls += 1;
        Some(Chosen { service, probe: false })
    }

    /// The call is over, or given up.
    pub fn ended(&mut self, chosen: Chosen) {
        if let Some(service) = self.services.get_mut(chosen.service) {
            service.outstanding = service.outstanding.saturating_sub(1);
            service.probing &= !chosen.probe;
        }
    }

    /// Calls out to a service.
    pub fn outstanding(&self, service: usize) -> u64 {
        self.services.get(service).map_or(0, |service| service.outstanding)
    }

    /// The service that has waited longest for its probe, of those where one is due.
    fn probe(&self, now: Nanos) -> Option<usize> {
        let out = |s: &Service| s.judged.ejected || s.judged.bad_here;
        let due = |s: &Service| out(s) && s.judged.probes && !s.probing && s.next_probe <= now;
        let due = self.services.iter().enumerate().filter(|(_, s)| due(s));
        due.min_by_key(|(_, s)| s.next_probe).map(|(i, _)| i)
    }

    /// Which part of what a warm service gets this one may have now, 1 once its ramp is over.
    fn part(&self, now: Nanos, i: usize) -> f64 {
        let since = self.services[i].back.map_or(Nanos::MAX, |back| now.saturating_sub(back));
        if since < self.settings.ramp { since as f64 / self.settings.ramp as f64 } else { 1.0 }
    }

    /// Counts out what each service that came back is due of this call; the one that is due a whole call gets
    /// it, unless it is busier than the `usual` choice. Then its call is not made up for later: a cold
    /// service that is slow must not find a burst at its door.
    fn due(&mut self, open: &[usize], parts: &[f64], usual: usize) -> usize {
        for (i, part) in open.iter().zip(parts).filter(|(_, part)| **part < 1.0) {
            let service = &mut self.services[*i];
            service.due = (service.due + part / open.len() as f64).min(1.0);
        }
        let ramping = open.iter().zip(parts).filter(|(_, part)| **part < 1.0).map(|(i, _)| *i);
        let busy = |i: usize| (self.services[i].judged.bad_here, self.services[i].outstanding);
        let first = ramping
            .filter(|i| self.services[*i].due >= 1.0 && busy(*i) <= busy(usual))
            .min_by_key(|i| busy(*i));
        if let Some(first) = first {
            self.services[first].due = 0.0;
        }
        first.unwrap_or(usual)
    }

    fn below(&mut self, most: u64) -> u64 {
        if most == 0 { 0 } else { self.rng.next_u64() % most }
    }
}
