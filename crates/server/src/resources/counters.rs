//! Counters of events since the start of the process. One line of the log shows all counters.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($name:ident)*) => {
        /// Counters of events since the start of the process. The names of the fields appear in the log; see
        /// docs/on-call.md.
        #[derive(Default)]
        pub struct Counters {
            $(#[doc = concat!("The counter `", stringify!($name), "`.")] pub $name: Count),*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
                $(write!(out, concat!(" ", stringify!($name), "={}"), self.$name.0.get())?;)*
                Ok(())
            }
        }
    };
}

/// A counter.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Increments the counter by 1.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    connections_opened connections_closed accepts_failed enough_sent
    invocations cancels health_checks bad_commands malformed
    succeeded throttled errored unanswered late_results
    runs_sent stops_sent runs_ended awaits replies_sent commands_sent_again commands_not_done
    receipts_unknown runs_given_up replays_incomplete
    links notices bad_notices gauges_asked gauges_late
    calls calls_succeeded calls_errored calls_never_ran calls_unknown calls_dropped
    repeats references_reused tokens_full tokens_other calls_left_out
    catalog_reports reloads reloads_refused
}
