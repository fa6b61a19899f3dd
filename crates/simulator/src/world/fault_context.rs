//! What faults do to the world: its hosts, its network and the processes of its relays.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Signal};

use super::processes::{control_address, ProcessState, ReplacedProcess};
use super::{host_entry, World};
use crate::faults::{FaultContext, Upgrade};
use crate::history::Observation;
use crate::machine::{AddressFault, Machine, ProcessId, CONFIG_PATH};
use crate::operated;
use crate::peers::connection::wait_until_accepting_clients;
use crate::peers::control_clients::{self, DrainCommand};
use crate::peers::discovery::Discovery;
use crate::peers::host_behavior::HostBehavior;
use crate::script::discovery_address;

/// Time after a move of discovery in which notices may not be received, as they go through the discovery agent.
const NOTICE_OUTAGE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Time after SIGHUP or a start within which the configuration is read.
const CONFIG_READ_TIME: Duration = Duration::from_secs(1);
/// Where relays poll discovery, they count as notified of a change of the host list this long after it at the latest.
const MAX_POLL_DELAY: Duration = Duration::from_secs(6);

impl FaultContext for World<'_> {
    fn machine(&self) -> &Machine {
        &self.machine
    }

    fn discovery(&self) -> &Discovery {
        &self.relays[self.affected_relay].discovery
    }

    fn observe(&self, observation: &Observation<'_>) {
        match observation {
            Observation::DestinationOutage { destination, .. } => self.observe_outage(*destination),
            _ => self.context_of(self.affected_relay).observe(observation),
        }
    }

    fn update_hosts(&self, destination: u16, change: &dyn Fn(&mut HostBehavior)) {
        self.hosts_of(destination)
            .for_each(|host| change(&mut host.behavior.borrow_mut()));
    }

    fn add_latency(&self, destination: u16, by: u64) {
        for (plan, host) in self.script.hosts.iter().zip(&self.hosts) {
            if host.destination == destination {
                let mut behavior = host.behavior.borrow_mut();
                behavior.min_response_ms = plan.response_ms.0 + by;
                behavior.max_response_ms = plan.response_ms.1 + by;
            }
        }
    }

    fn set_address_fault(&self, destination: u16, fault: AddressFault) {
        self.hosts_of(destination)
            .for_each(|host| self.machine.set_address_fault(host.address, fault));
    }

    fn publish_host_status(&self, host: usize, health: &'static str, jump: u64) {
        let host = &self.hosts[host];
        let entry = host_entry(host, health, host.capacity);
        // The change reaches all agents, each with its own publication delay.
        let poll_delay = if self.script.limits.discovery_is_pushed {
            Duration::ZERO
        } else {
            MAX_POLL_DELAY
        };
        for (relay, state) in self.relays.iter().enumerate() {
            let notified_at = state
                .discovery
                .update(self.machine.now(), entry.clone(), jump)
                + poll_delay;
            self.context_of(relay)
                .observe(&Observation::HostStatusListed {
                    host: &entry.host,
                    is_up: entry.health == "up",
                    notified_at,
                });
        }
    }

    fn host_count(&self) -> usize {
        self.hosts.len()
    }

    fn rename_host(&self, host: usize) {
        let name = format!("{}r", self.hosts[host].name.borrow());
        *self.hosts[host].name.borrow_mut() = name;
    }

    fn relay(&self) -> usize {
        self.affected_relay
    }

    fn process(&self) -> ProcessId {
        self.relays[self.affected_relay].process
    }

    fn kill_all_relays(&mut self) {
        let downtime = self.relays[self.affected_relay].downtime;
        for state in &mut self.relays {
            state.downtime = downtime;
            self.machine.kill(state.process);
        }
    }

    fn kill_relays(&mut self, percent: u64) {
        let downtime = self.relays[self.affected_relay].downtime;
        let count = self.relays.len() * percent as usize / 100;
        for state in &mut self.relays[..count] {
            state.downtime = downtime;
            self.machine.kill(state.process);
        }
    }

    fn set_partitioned(&self, destination: u16, is_partitioned: bool) {
        self.hosts_of(destination).for_each(|host| {
            self.machine
                .set_partitioned(self.affected_relay, host.address, is_partitioned)
        });
    }

    fn set_downtime(&mut self, downtime: Duration) {
        self.relays[self.affected_relay].downtime = downtime;
    }

    fn terminate(&mut self, downtime: Duration) {
        let context = self.context_of(self.affected_relay);
        let state = &mut self.relays[self.affected_relay];
        if matches!(state.state, ProcessState::Running) && state.old.is_none() {
            state.state = ProcessState::Terminating(downtime);
            context.observe(&Observation::TerminationRequested);
            self.machine.send_signal(state.process, Signal::Stop);
        }
    }

    fn move_discovery(&mut self) {
        let relay = self.affected_relay;
        self.relays[relay].discovery_moves += 1;
        self.relays[relay].stop_discovery.send_replace(true);
        self.serve_discovery(relay);
        self.write_config(relay);
        self.send_reload(relay, true);
        let now = self.machine.now();
        self.context_of(relay)
            .observe(&Observation::NoticeEndpointDown {
                from: now,
                until: now + NOTICE_OUTAGE_AFTER_MOVE,
            });
    }

    fn start_upgrade(&mut self, plan: Upgrade) {
        let relay = self.affected_relay;
        let state = &self.relays[relay];
        let old = state.process;
        if !matches!(state.state, ProcessState::Running)
            || state.old.is_some()
            || !self.machine.is_alive(old)
        {
            return;
        }
        self.write_config(relay);
        let new = self.spawn_process(relay);
        self.machine
            .note(format_args!("process {new} starts beside {old}"));
        for (process, effects) in [old, new].into_iter().zip(plan.kills) {
            effects
                .into_iter()
                .for_each(|effects| self.machine.kill_after(process, effects));
        }
        let ready_at: Rc<Cell<Option<Duration>>> = Rc::default();
        let state = &mut self.relays[relay];
        state.process = new;
        state.old = Some(ReplacedProcess {
            process: old,
            stop_after: plan.stop_after,
            ready_at: ready_at.clone(),
            kill_at: None,
        });
        let context = self.context_of(relay);
        context.observe(&Observation::UpgradeStarted([old, new]));
        self.context.runtime.spawn(async move {
            wait_until_accepting_clients(&context, control_address(new)).await;
            ready_at.set(Some(context.elapsed()));
        });
    }

    fn set_draining(&mut self, is_draining: bool) {
        let command = if is_draining {
            DrainCommand::Drain
        } else {
            DrainCommand::Resume
        };
        let state = &self.relays[self.affected_relay];
        let switched = control_clients::set_draining(
            self.context_of(self.affected_relay),
            state.control_endpoint.clone(),
            command,
        );
        self.context.runtime.spawn(switched);
    }

    fn reload_settings(&mut self, change: &dyn Fn(&mut serde_json::Value)) {
        let relay = self.affected_relay;
        change(&mut self.relays[relay].settings);
        self.write_config(relay);
        self.send_reload(relay, true);
    }

    fn corrupt_config(&mut self, kind: u64) {
        let (relay, now) = (self.affected_relay, self.machine.now());
        let state = &self.relays[relay];
        // A process that starts with an invalid file exits, which is correct but not what is tested here. A recent change
        // may not have been read yet.
        if !matches!(state.state, ProcessState::Running)
            || state.old.is_some()
            || now < state.config_written_at + CONFIG_READ_TIME
        {
            return;
        }
        let discovery = discovery_address(relay, state.discovery_moves);
        let config = self
            .script
            .config(relay, &state.settings, &self.host_snapshot, discovery);
        let text = operated::corrupt_config(&config, kind);
        self.machine.disk(relay, |disk| disk.put(CONFIG_PATH, text));
        self.send_reload(relay, false);
    }

    fn restore_config(&mut self) {
        self.write_config(self.affected_relay);
    }

    fn kill_after_next_change(&mut self, effects: u64) {
        self.pending_kill.set((self.process(), Some(effects)));
    }
}
