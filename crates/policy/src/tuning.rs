//! The constants of all decisions, with their reasons.

use crate::types::Micros;

pub(crate) const SECOND: Micros = 1_000_000;
/// Span of the rolling error tally; the article's ten seconds.
pub(crate) const TALLY_WINDOW: Micros = 10 * SECOND;
/// Calls of a tally that a process which takes over is told of; all of a busy one's would be too much to write.
pub(crate) const TALLY_TOLD: usize = 64;
/// Calls in the tally before its share of errors counts; the article's 20 never fills at a call a second.
pub(crate) const VOLUME_FLOOR: usize = 4;
/// Share of errors that trips; the article's 50 percent.
pub(crate) const ERROR_SHARE: f64 = 0.5;
/// So many failures with no success between trip below the floor, where they are a fair share of the last calls.
pub(crate) const RUN_TRIP: u32 = 2;
/// So many are an outage, whatever their share: where one call in ten fails by itself, one run in a thousand.
pub(crate) const RUN_OUTAGE: u32 = 3;
/// Rest before a trial: short against deadlines of many seconds, long against one call.
pub(crate) const SLEEP_WINDOW: Micros = 3 * SECOND / 2;
/// A host that failed is avoided so long where another serves.
pub(crate) const AVOID: Micros = 3 * SECOND;
/// Trust in a reported limit: so many times its distance from what was told, as a share of that.
pub(crate) const TRUST: f64 = 2.0;
/// Bounds of the first gap after a refusal; between them it is that of an even part of the limit.
pub(crate) const FIRST_GAP: (f64, f64) = (0.25, 2.0);
/// A refusal makes the gap so many times longer ...
pub(crate) const GAP_GROWS: Micros = 3;
/// ... and a success so many times shorter: with both, one call in three is refused where many crowd.
pub(crate) const GAP_SHRINKS: Micros = 2;
/// The longest rest after refusals.
pub(crate) const REST_MOST: Micros = 20 * SECOND;
/// A refusal with less than this share of the allowance left is due to the limit; reports are noisy.
pub(crate) const ALLOWANCE_SPENT: f64 = 0.1;
/// With more than this share left, it is not.
pub(crate) const ALLOWANCE_UNUSED: f64 = 0.9;
/// Refusals alone for this long, a trial after the sleep window among them, mean shut, not throttled.
pub(crate) const SHUT_AFTER: Micros = 13 * SECOND / 10;
/// A call out this many times its usual length counts as a pending error: slow calls are seldom so slow.
pub(crate) const OVERDUE: f64 = 5.0;
/// An attempt that may be repeated is given up after this many times its usual length, at the earliest.
pub(crate) const PATIENCE: f64 = 10.0;
/// A call that may be repeated is started if it ends before the process even at this many times its usual length.
pub(crate) const CUT_SHORT: f64 = 2.0;
/// Cut of cap and pace by a refusal; gentle, as a second one soon cuts again.
pub(crate) const CAP_CUT: f64 = 0.8;
/// No gap need be longer than so many times that of an even part: all together then ask for 0.7 of the limit.
pub(crate) const GAP_EVEN: f64 = 1.4;
/// What a relay asks for of its even part of a limit where nothing is left of the allowance, where little is, at most.
pub(crate) const PART: (f64, f64, f64) = (0.7, 0.95, 4.0);
/// Less than this share of the allowance is little.
pub(crate) const ALLOWANCE_LITTLE: f64 = 0.3;
/// Rise of the part with each report, for all of the allowance above that.
pub(crate) const PART_RISE: f64 = 0.1;
/// So many relays are few: their trials alone harm nobody.
pub(crate) const FEW: f64 = 6.0;
/// So many relays at most are taken to be busy with one destination at a time.
pub(crate) const SHARERS: f64 = 3.0;
/// Rise of the pace with each success, as a share of the fair part.
pub(crate) const PACE_RISE: f64 = 0.06;
/// Lowest limit that is believed, in calls a second, so that a route is never given up.
pub(crate) const PACE_LEAST: f64 = 0.3;
/// Highest limit that is believed.
pub(crate) const PACE_MOST: f64 = 1e6;
/// Fading of the best rate seen, with each success.
pub(crate) const BEST_FADE: f64 = 0.99;
/// Calls a route may have out before it has shown more.
pub(crate) const FIRST_CAP: f64 = 4.0;
/// The most share of slots for one healthy route; the design's three quarters.
pub(crate) const HEALTHY_SHARE: f64 = 0.75;
/// The share of slots for all doubtful routes together; half would let a hang take the other half's work.
pub(crate) const DOUBTFUL_SHARE: f64 = 0.25;
/// Share of failures in the tally above which unsafe messages wait.
pub(crate) const UNSAFE_DOUBT: f64 = 0.2;
/// Unsafe messages wait no longer once this share of their whole time is left.
pub(crate) const UNSAFE_RESERVE: f64 = 0.25;
/// One part in so many of the hold is kept free for what comes in one round.
pub(crate) const HOLD_ROOM: usize = 10;
/// Between two good calls no further apart nothing was away, whatever was refused or failed between them.
pub(crate) const GLITCH: Micros = 3 * SECOND / 2;
/// An outage counts as at least so long, also what is left of it: most relays see its start late.
pub(crate) const OUTAGE_LEAST: Micros = 5 * SECOND;
/// An outage fails most calls: of so many last ones, this share at least, and two.
pub(crate) const OUTAGE_LAST: usize = 12;
pub(crate) const OUTAGE_SHARE: f64 = 0.4;
/// How far ahead the regret of waiting is judged.
pub(crate) const HORIZON: Micros = 3 * SECOND;
/// Weight of a new sample in the running means.
pub(crate) const SMOOTH: f64 = 0.15;
