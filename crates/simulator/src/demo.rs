//! A first look at the relay: the real process on loopback sockets, between the same clients, partners and
//! discovery that the simulation plays. It ends by itself and leaves nothing behind.

use std::time::Duration;

use runtime::{OsRuntime, Runtime};
use tokio::sync::watch;

use crate::dice::Dice;
use crate::history::{Idempotency, Observation};
use crate::loopback::{block_on, configuration, free_address, stage, Process};
use crate::peers::clients::{Client, ClientBehavior, PlannedMessage};
use crate::peers::connection::until_ready;
use crate::peers::discovery::{Discovery, HostEntry};
use crate::peers::host_behavior::HostBehavior;
use crate::peers::hosts::Host;

/// Messages are handed in for this long, so many a second.
const ARRIVALS: (u64, u64) = (10, 30);
/// The partner that breaks, and when it is broken, in seconds.
const BROKEN: (u16, u64, u64) = (2, 2, 5);
/// The relay is killed at this second.
const KILLED: u64 = 7;
/// Time that a message has.
const LEFT: u64 = 8_000;
/// Seconds that the demo waits for the last messages' ends.
const AFTER: u64 = 10;

/// The relay itself, in a process of its own.
///
/// # Errors
///
/// The relay's own line.
pub fn relay() -> Result<(), String> {
    block_on(async {
        let ended = relay::run(OsRuntime, None).await;
        ended.map_err(|error| error.to_string())
    })
}

/// Plays the demo. False if a rule was broken.
///
/// # Errors
///
/// One plain line if a process or port cannot be had.
pub fn run() -> Result<bool, String> {
    block_on(async {
        tokio::select! {
            biased;
            // What it started and wrote goes with it.
            _ = tokio::signal::ctrl_c() => Err("stopped".into()),
            played = play() => played,
        }
    })
}

fn plans(window: Duration) -> Vec<Vec<PlannedMessage>> {
    let mut clients = vec![Vec::new(); 4];
    for number in 0..ARRIVALS.0 * ARRIVALS.1 {
        let (class, idempotency) = match number % 3 {
            0 => ("update", Idempotency::Idempotent),
            1 => (
                "event",
                Idempotency::Keyed {
                    window,
                    zone_only: false,
                },
            ),
            _ => ("payout", Idempotency::NonIdempotent),
        };
        clients[number as usize % 4].push(PlannedMessage {
            at: Duration::from_millis(number * 1000 / ARRIVALS.1),
            name: format!("m{number:04}"),
            tenant: "acme".into(),
            class,
            idempotency,
            ordering_key: 0,
            is_ordered: false,
            non_idempotent_from: None,
            destination: 1 + (number / 3 % 3) as u16,
            time_to_live_ms: LEFT,
            body_bytes: 100,
            behavior: ClientBehavior::Regular,
        });
    }
    clients
}

#[expect(
    clippy::too_many_lines,
    reason = "to be divided with the second part of readable code, see docs/ROADMAP.md"
)]
async fn play() -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the demo: {e}"))?;
    let (state, file) = (
        folder.path().join("state"),
        folder.path().join("config.json"),
    );
    std::fs::create_dir(&state).map_err(|e| format!("no folder for the journal: {e}"))?;
    let program = std::env::current_exe().map_err(|e| format!("cannot find this program: {e}"))?;
    let (relay, discovery_at) = (free_address()?, free_address()?);
    let mut hosts = Vec::new();
    let mut lines = Vec::new();
    for block in 1..=3 {
        let address = free_address()?;
        let name = format!("partner-{block}");
        lines.push(HostEntry {
            host: name.clone(),
            address,
            zone: "a".into(),
            destination: block,
            health: "up",
            calls_per_second: 60,
        });
        hosts.push(Host::new(
            &name,
            block,
            "a",
            address,
            60.0,
            Dice::new(0, u64::from(block)),
        ));
    }
    let discovery = Discovery::new(lines);
    let (config, limits) = configuration(
        relay,
        discovery_at,
        &state,
        &discovery.full_snapshot(),
        LEFT,
    );
    std::fs::write(&file, config.to_string())
        .map_err(|e| format!("cannot write the configuration: {e}"))?;

    let runtime = OsRuntime;
    let stage = stage(limits);
    let checker = stage.checker.clone();
    for host in &hosts {
        let served = host.clone().serve(stage.clone());
        runtime.spawn(async move { drop(served.await) });
    }
    let (_open, closing) = watch::channel(false);
    let served = discovery
        .clone()
        .serve(stage.clone(), discovery_at, closing);
    runtime.spawn(async move { drop(served.await) });

    let say = |line: String| println!("{:5.1} s  {line}", stage.at().as_secs_f64());
    say(format!(
        "three partners and discovery listen; the configuration is {}",
        file.display()
    ));
    let mut process = Some(Process::start(&program, &["relay"], &file, &state)?);
    stage.observe(&Observation::ProcessStarted(1));
    let ready = runtime
        .timeout(Duration::from_secs(20), until_ready(&stage, relay))
        .await;
    ready.map_err(|_| "the relay did not get ready within 20 s")?;
    stage.observe(&Observation::ProcessReady);
    say(format!(
        "the relay is ready at {relay}; {} messages a second come in",
        ARRIVALS.1
    ));
    let start = stage.at();
    let window = Duration::from_secs(20);
    for plans in plans(window) {
        let shifted = plans
            .into_iter()
            .map(|plan| PlannedMessage {
                at: plan.at + start,
                ..plan
            })
            .collect();
        let client = Client::new(stage.clone(), vec![relay], 0, shifted, None);
        runtime.spawn(client.run());
    }
    let set_behavior = |block: u16, behavior: HostBehavior| {
        *hosts[usize::from(block) - 1].behavior.borrow_mut() = behavior;
    };
    for second in 1..=ARRIVALS.0 + AFTER {
        runtime
            .sleep_until(stage.instant(start + Duration::from_secs(second)))
            .await;
        if second == BROKEN.1 {
            set_behavior(
                BROKEN.0,
                HostBehavior {
                    error_percent: 100,
                    ..HostBehavior::default()
                },
            );
            stage.observe(&Observation::DestinationOutage {
                destination: BROKEN.0,
                is_down: true,
            });
            say(format!(
                "partner {} breaks: every call to it ends in an error",
                BROKEN.0
            ));
        }
        if second == BROKEN.2 {
            set_behavior(BROKEN.0, HostBehavior::default());
            stage.observe(&Observation::DestinationOutage {
                destination: BROKEN.0,
                is_down: false,
            });
            say(format!("partner {} is mended", BROKEN.0));
        }
        if second == KILLED {
            // Dropped, it is killed.
            drop(process.take());
            stage.observe(&Observation::ProcessTerminated);
            say("the relay is killed with SIGKILL, and starts again on its journal".into());
            process = Some(Process::start(&program, &["relay"], &file, &state)?);
            stage.observe(&Observation::ProcessStarted(2));
            let ready = runtime
                .timeout(Duration::from_secs(20), until_ready(&stage, relay))
                .await;
            ready.map_err(|_| "the relay did not get ready again within 20 s")?;
            stage.observe(&Observation::ProcessReady);
        }
        stage.observe(&Observation::Tick);
        let (counts, open) = (checker.borrow().counts, checker.borrow().open_messages());
        let ended = counts.undeliverable + counts.deferred;
        say(format!(
            "{} handed in, {} taken on, {} delivered, {ended} ended undelivered, {open} on their way",
            counts.submitted, counts.accepted, counts.delivered
        ));
        if open == 0 && second > ARRIVALS.0 {
            break;
        }
    }
    let ended_well = match process.take() {
        Some(process) => process.stop(&runtime).await,
        None => false,
    };
    say(format!(
        "the relay was told to stop and {}",
        if ended_well {
            "ended"
        } else {
            "did not end well"
        }
    ));
    let checker = checker.borrow();
    let (counts, open) = (checker.counts, checker.open_messages());
    println!();
    println!(
        "Taken on: {}. Delivered: {}.",
        counts.accepted, counts.delivered
    );
    println!(
        "Ended by a notice: {} failed, {} refused.",
        counts.undeliverable, counts.deferred
    );
    println!("Without an end: {open}. Calls made: {}.", counts.calls);
    match checker.violation() {
        Some(violation) => println!("A rule was broken at {violation}"),
        None => {
            println!("No rule was broken: nothing lost, no payout twice, one end for each message.")
        }
    }
    Ok(ended_well && open == 0 && checker.violation().is_none())
}
