//! Fleet membership: each server's view of the members of the fleet. The protocol is SWIM with suspicion and
//! piggybacked updates, as implemented by the `foca` crate.
//!
//! [`Membership`] is a state machine without I/O or clock. The caller passes in received datagrams and the
//! time with [`Membership::handle_datagram`] and [`Membership::handle_timeout`]. The caller takes out
//! datagrams to send, changes of the view and received bodies of shared state with
//! [`Membership::take_transmits`], [`Membership::take_changes`] and [`Membership::take_shared_state`].
//! [`Membership::poll_timeout`] returns the next deadline. Times are whole nanoseconds of the caller's clock.
//!
//! This crate adds to foca:
//!
//! - [`MemberId`]: a member's name, address and incarnation; at one address the later incarnation replaces
//!   the earlier one;
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

/// A time in nanoseconds of the caller's monotonic clock, or a duration in nanoseconds.
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

/// Key that orders the scheduled timers by deadline. Timers with the same deadline fire in the order in which
/// they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Nanos,
    sequence: u64,
}

/// The state machine of one member: the server's view of the fleet, and the state of the membership protocol.
pub struct Membership {
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    /// The latest time that the caller has passed in.
    now: Nanos,
    rng: ChaCha8Rng,
    probe_period: Nanos,
    announce_period: Nanos,

    // State of timers and deadlines.
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    /// Sequence number of the most recently scheduled timer; breaks ties between equal deadlines.
    timer_sequence: u64,
    /// Time of the next comparison of this member's view with another member's view.
    anti_entropy_at: Nanos,
    rejoin: SeedRejoin,
    suspicions: Suspicions,

    // The fields from `sealer` to `shared_state_bodies` are used to receive and send datagrams.
    sealer: Sealer,
    replay_windows: ReplayWindows,
    /// Sequence number of the last datagram that this member sealed in its current incarnation.
    sequence: u64,
    budget: SendBudget,
    transmits: Vec<Transmit>,
    /// Received bodies of the application's shared state that the caller has not taken yet.
    shared_state_bodies: Vec<Vec<u8>>,

    // The fields from `changes` to `counts` are used to report the view and the counts of datagrams to the
    // caller.
    changes: Vec<ViewChange>,
    state_since: HashMap<SocketAddr, StateSince>,
    last_change: Nanos,
    counts: Counts,
}

/// The maximum number of replay windows is the expected number of members times this constant, but at least
/// [`REPLAY_WINDOWS_MIN`]. A replay window records the sequence numbers received from one address. More than
/// one window per member is needed, because the window of an address that no member uses any longer is kept
/// until it is evicted.
const REPLAY_WINDOWS_PER_MEMBER: usize = 4;
const REPLAY_WINDOWS_MIN: usize = 64;
/// The random numbers of this crate are seeded with the exclusive or of the caller's seed and this constant.
/// foca's random numbers are seeded with the caller's seed itself, so the two sequences differ.
const RNG_STREAM: u64 = 0x0065_7863_6861_6e67;

impl Membership {
    /// Creates a member that does not know any other member yet.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid, or if the member's name is empty or too long.
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

    /// Returns this server's own identity. The identity contains the current incarnation.
    pub fn identity(&self) -> &MemberId {
        self.foca.identity()
    }
}
