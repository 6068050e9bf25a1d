//! The fleet's view as each server keeps it: SWIM with suspicion and piggybacked updates, by the `foca`
//! crate.
//!
//! [`Membership`] is a state machine without I/O or clock. Datagrams and the time go in by
//! [`Membership::handle_datagram`] and [`Membership::handle_timeout`]; datagrams to send, changes of the view
//! and bodies of shared state come out by [`Membership::take_transmits`], [`Membership::take_changes`] and
//! [`Membership::take_shared_state`]; [`Membership::poll_timeout`] names the next deadline. Times are whole
//! nanoseconds of the caller's clock.
//!
//! What this crate adds to foca:
//!
//! - [`MemberId`]: name, address and incarnation; at one address the later incarnation wins;
//! - [`envelope`] and [`replay_window`]: an authenticated, versioned and numbered datagram;
//! - [`messages`] and [`digest`]: anti-entropy between views, and verdicts sent to the member concerned;
//! - a bound on the bytes sent in a second, a timer queue, and counts of dropped datagrams by reason.
//!
//! `docs/membership.md` has the design, the alternatives and the bounds.
#![deny(missing_docs, clippy::too_many_lines)]

mod anti_entropy;
pub mod digest;
pub mod directory;
mod dissemination;
pub mod envelope;
mod identity;
pub mod messages;
mod rejoin;
pub mod replay_window;
mod runtime;
mod settings;
pub mod simulation;
mod state_machine;
mod suspicion;
mod view;

pub use identity::{MemberId, NAME_BYTES_MAX};
pub use settings::{DEFAULT_BYTES_PER_SECOND, Settings, SettingsError};
pub use view::{Change, Counts, MemberState, MemberStatus, ViewChange};

use dissemination::SendBudget;
use envelope::Sealer;
use foca::{Foca, PostcardCodec, Timer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rejoin::SeedRejoin;
use replay_window::ReplayWindows;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use suspicion::Suspicions;
use view::StateSince;

/// Nanoseconds by the caller's clock, which does not go back.
pub type Nanos = u64;

/// Why a [`Membership`] cannot be made.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MembershipError {
    /// A setting that cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The member's own name is empty or too long.
    #[error("name: 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Name {
        /// Length of the name given.
        bytes: usize,
    },
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Address that the datagram goes to.
    pub to: SocketAddr,
    /// The datagram, sealed.
    pub datagram: Vec<u8>,
}

/// Timers fire in the order of their deadline, and of their scheduling where that is the same.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Nanos,
    sequence: u64,
}

/// The membership of one server.
pub struct Membership {
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    /// The latest time that the caller has given.
    now: Nanos,
    rng: ChaCha8Rng,
    probe_period: Nanos,
    announce_period: Nanos,

    // What is due when.
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    /// Number of the last timer scheduled.
    timer_sequence: u64,
    /// When the view is next compared with another member's.
    anti_entropy_at: Nanos,
    rejoin: SeedRejoin,
    suspicions: Suspicions,

    // Datagrams in and out.
    sealer: Sealer,
    replay_windows: ReplayWindows,
    /// Number of the last datagram sealed under the present incarnation.
    sequence: u64,
    budget: SendBudget,
    transmits: Vec<Transmit>,
    /// Bodies of shared state received and not yet taken by the caller.
    shared_state_bodies: Vec<Vec<u8>>,

    // The view as the caller reads it.
    changes: Vec<ViewChange>,
    state_since: HashMap<SocketAddr, StateSince>,
    last_change: Nanos,
    counts: Counts,
}

/// Replay windows kept for each expected member: some for addresses that members have left.
const REPLAY_WINDOWS_PER_MEMBER: usize = 4;
const REPLAY_WINDOWS_MIN: usize = 64;
/// Sets the random draws of this crate apart from foca's, which start from the same seed.
const RNG_STREAM: u64 = 0x0065_7863_6861_6e67;

impl Membership {
    /// A member that knows no other yet. An error names the setting that cannot be used.
    pub fn new(me: MemberId, settings: &Settings, seed: u64, now: Nanos) -> Result<Self, MembershipError> {
        settings.check()?;
        let bytes = me.name.len();
        if bytes == 0 || bytes > NAME_BYTES_MAX {
            return Err(MembershipError::Name { bytes });
        }
        let windows = (settings.expected_members as usize).saturating_mul(REPLAY_WINDOWS_PER_MEMBER);
        Ok(Membership {
            foca: Foca::new(me, settings.foca(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec),
            now,
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM),
            probe_period: settings.probe_period,
            announce_period: settings.announce_period,
            timers: BTreeMap::new(),
            timer_sequence: 0,
            anti_entropy_at: now + settings.probe_period,
            rejoin: SeedRejoin::new(settings.probe_period),
            suspicions: Suspicions::new(settings.suspicion(), now),
            sealer: Sealer::new(&settings.fleet, &settings.key, settings.packet_max),
            replay_windows: ReplayWindows::new(windows.max(REPLAY_WINDOWS_MIN)),
            sequence: 0,
            budget: SendBudget::new(settings, now),
            transmits: Vec::new(),
            shared_state_bodies: Vec::new(),
            changes: Vec::new(),
            state_since: HashMap::new(),
            last_change: now,
            counts: Counts::default(),
        })
    }

    /// This server's own identity, with its present incarnation.
    pub fn identity(&self) -> &MemberId {
        self.foca.identity()
    }
}
