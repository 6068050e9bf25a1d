//! Fleet membership: each server's view of the members of the fleet. The protocol is SWIM with suspicion and
//! piggybacked updates, as implemented by the `foca` crate.
//!
//! [`Membership`] is a state machine without I/O or clock. The caller passes in received datagrams and the
//! time with [`Membership::handle_datagram`] and [`Membership::handle_timeout`]. It takes out datagrams to
//! send, changes of the view and received bodies of shared state with [`Membership::take_transmits`],
//! [`Membership::take_changes`] and [`Membership::take_shared_state`]. [`Membership::poll_timeout`] returns
//! the next deadline. Times are whole nanoseconds of the caller's clock.
//!
//! This crate adds to foca:
//!
//! - [`MemberId`]: a member's name, address and incarnation; at one address the later incarnation wins;
//! - [`envelope`] and [`replay_window`]: authenticated, versioned and numbered datagrams;
//! - [`messages`] and [`digest`]: anti-entropy between views, and verdicts sent to the affected members;
//! - a limit on the bytes sent per second, a timer queue, and counts of dropped datagrams by reason.
//!
//! `docs/membership.md` describes the design, the alternatives that were considered, and the bounds.
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

/// Nanoseconds of the caller's monotonic clock; also a duration in nanoseconds.
pub type Nanos = u64;

/// Reason why a [`Membership`] cannot be created.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MembershipError {
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The member's own name is empty or too long.
    #[error("name: 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Name {
        /// Length of the name, in bytes.
        bytes: usize,
    },
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Destination address.
    pub to: SocketAddr,
    /// The sealed datagram.
    pub datagram: Vec<u8>,
}

/// Key that orders timers by deadline. Timers with the same deadline fire in the order of their scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Nanos,
    sequence: u64,
}

/// One server's view of the fleet, and its part in the membership protocol.
pub struct Membership {
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    /// The latest time passed in by the caller.
    now: Nanos,
    rng: ChaCha8Rng,
    probe_period: Nanos,
    announce_period: Nanos,

    // Timers and deadlines.
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    /// Sequence number of the last timer scheduled.
    timer_sequence: u64,
    /// When this member next compares its view with another member's.
    anti_entropy_at: Nanos,
    rejoin: SeedRejoin,
    suspicions: Suspicions,

    // Incoming and outgoing datagrams.
    sealer: Sealer,
    replay_windows: ReplayWindows,
    /// Sequence number of the last datagram sealed in the current incarnation.
    sequence: u64,
    budget: SendBudget,
    transmits: Vec<Transmit>,
    /// Received bodies of shared state that the caller has not taken yet.
    shared_state_bodies: Vec<Vec<u8>>,

    // The view as presented to the caller.
    changes: Vec<ViewChange>,
    state_since: HashMap<SocketAddr, StateSince>,
    last_change: Nanos,
    counts: Counts,
}

/// Number of replay windows kept per expected member. More than one, because addresses that members no longer
/// use keep their windows for a while.
const REPLAY_WINDOWS_PER_MEMBER: usize = 4;
const REPLAY_WINDOWS_MIN: usize = 64;
/// Combined with the seed by exclusive or, so that this crate's random numbers differ from foca's, which are
/// generated from the same seed.
const RNG_STREAM: u64 = 0x0065_7863_6861_6e67;

impl Membership {
    /// Creates a member that does not know any other member yet.
    ///
    /// # Errors
    /// If a setting or the length of the member's name is invalid.
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

    /// This server's own identity, with its current incarnation.
    pub fn identity(&self) -> &MemberId {
        self.foca.identity()
    }
}
