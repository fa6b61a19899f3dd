//! The plan of a soak run, drawn from its seed.

use std::time::Duration;

use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::clients::Misbehavior;
use crate::support::{ok, ok_text, status, Host, HostResponse};

/// Destinations, each with one host.
pub const DESTINATIONS: u16 = 4;
const TURNS: u64 = 2;
/// Signals that may be sent besides the first SIGTERM.
const SIGNALS: [&str; 3] = ["-TERM", "-HUP", "-INT"];

/// How a host behaves.
#[derive(Clone, Copy, Debug)]
pub enum HostBehavior {
    Healthy,
    /// Answers with a delay.
    Slow,
    /// Answers every third call with an error.
    Errors,
    /// Closes the connection on every fourth call.
    Closes,
    /// Never answers.
    Hangs,
}

impl HostBehavior {
    pub fn start(self) -> Host {
        Host::new(move |_, before| match self {
            HostBehavior::Healthy => ok(),
            HostBehavior::Slow => HostResponse::Delayed(150, ok_text()),
            HostBehavior::Errors if before % 3 == 0 => status("500 Error"),
            HostBehavior::Closes if before % 4 == 0 => HostResponse::Close,
            HostBehavior::Hangs => HostResponse::Hang,
            HostBehavior::Errors | HostBehavior::Closes => ok(),
        })
    }
}

/// Faults of the relay's system calls, in percent of the calls, and the step of its wall clock in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disturbance {
    pub short_transfers: i64,
    pub network_failures: i64,
    pub file_failures: i64,
    pub wall_clock_step_ms: i64,
}

/// The period from one start of the relay to the next.
#[derive(Clone, Debug)]
pub struct Turn {
    pub clients: u64,
    pub pause: Duration,
    /// Connections that send nothing.
    pub idle_connections: u64,
    pub quiet: Duration,
    pub disturbance: Disturbance,
    pub disturbed: Duration,
    /// Whether SIGTERM is sent before SIGKILL.
    pub stops_first: bool,
    pub signals: Vec<&'static str>,
    pub signal_pause: Duration,
}

/// What happens in the run of a seed.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: Vec<HostBehavior>,
    pub max_sockets: u64,
    pub turns: Vec<Turn>,
    /// What the clients do that misbehave beside the others; empty if there are none.
    pub misbehaviors: Vec<Misbehavior>,
}

struct Random(SplitMix64);

impl Random {
    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.0.next_u64() % (to - from + 1)
    }

    fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.between(from, to))
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.between(1, count) == 1
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.between(0, from.len() as u64 - 1) as usize]
    }
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut random = Random(SplitMix64::seed_from_u64(seed));
        let behaviors = [
            HostBehavior::Healthy,
            HostBehavior::Slow,
            HostBehavior::Errors,
            HostBehavior::Closes,
            HostBehavior::Hangs,
        ];
        let hosts = (0..DESTINATIONS).map(|_| random.pick(&behaviors)).collect();
        let is_crowded = random.one_in(4);
        Plan {
            seed,
            hosts,
            max_sockets: if is_crowded { 160 } else { 1024 },
            turns: (0..TURNS)
                .map(|_| draw_turn(&mut random, is_crowded))
                .collect(),
            misbehaviors: draw_misbehaviors(&mut random),
        }
    }
}

fn draw_turn(random: &mut Random, is_crowded: bool) -> Turn {
    let mut signals = vec!["-TERM"];
    signals.extend((0..random.between(0, 4)).map(|_| random.pick(&SIGNALS)));
    if random.one_in(3) {
        signals.insert(0, "-HUP");
    }
    Turn {
        clients: random.between(3, 12),
        pause: random.milliseconds(2, 40),
        idle_connections: if is_crowded {
            200
        } else {
            random.between(0, 5)
        },
        quiet: random.milliseconds(50, 600),
        disturbance: draw_disturbance(random),
        disturbed: random.milliseconds(100, 1200),
        stops_first: !random.one_in(4),
        signals,
        signal_pause: random.milliseconds(0, 120),
    }
}

fn draw_misbehaviors(random: &mut Random) -> Vec<Misbehavior> {
    if random.one_in(3) {
        return Vec::new();
    }
    let kinds = random.between(1, 4);
    (0..kinds).map(|_| random.pick(&Misbehavior::ALL)).collect()
}

fn draw_disturbance(random: &mut Random) -> Disturbance {
    let mut percent = |most| {
        if random.one_in(2) {
            random.between(1, most) as i64
        } else {
            0
        }
    };
    let (short_transfers, network_failures, file_failures) =
        (percent(40), percent(15), percent(60));
    let wall_clock_step_ms = if random.one_in(2) {
        random.pick(&[-3_600_000, -5_000, 5_000, 3_600_000])
    } else {
        0
    };
    Disturbance {
        short_transfers,
        network_failures,
        file_failures,
        wall_clock_step_ms,
    }
}
