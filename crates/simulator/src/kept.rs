//! Scenarios in which the relay stores undeliverable messages and operators resend them: partners that apply some calls
//! without a response, their status pages, and faults of the store.
//!
//! They extend a plain scenario with draws from a random sequence of their own, so that the plain scenarios stay the same.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tenancy::secret::Digest;

use crate::faults;
use crate::history::Idempotency;
use crate::hosted::ADMIN_ADDRESS;
use crate::late_calls;
use crate::rng::SimulationRng;
use crate::script::Script;

/// Directory of the store.
pub const DIRECTORY: &str = "/kept";
/// Number of operators. The token of each is its name.
pub const OPERATORS: usize = 2;
/// Time after the last message's deadline for which operators go on.
pub const OPERATOR_TIME: Duration = Duration::from_secs(12);
/// Time after the end of a call in which it may still take effect.
pub const EFFECT_DELAY: Duration = Duration::from_secs(1);

/// The parameters that such a scenario adds to a plain one.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Whether faults of the store may lose records. Messages must not be applied twice even then.
    pub store_is_damaged: bool,
    /// Whether a rule resends records automatically once a partner has recovered.
    pub resends_on_recovery: bool,
    /// Maximum number of concurrent resends.
    pub max_concurrent_resends: u64,
    /// Percentage of calls that end in an error, over the whole scenario.
    pub error_percent: u64,
    /// Maximum time that hosts work on a call before it takes effect; zero if calls take effect as they arrive.
    pub max_work: Duration,
}

/// Path of the store's file.
#[must_use]
pub fn store_path() -> PathBuf {
    PathBuf::from(DIRECTORY).join("undeliverable.redb")
}

/// The name of an operator, which is also its token.
#[must_use]
pub fn operator_name(number: usize) -> String {
    format!("op-{number}")
}

/// Address of a destination's status pages, which report what took effect.
#[must_use]
pub fn status_address(destination: u16) -> SocketAddr {
    SocketAddr::from(([10, 3, destination as u8, 1], 9000))
}

impl Kept {
    /// The contents of the operator file.
    pub fn operator_file(&self, destinations: impl Iterator<Item = u16>) -> String {
        let mut text =
            format!("[admin]\nlisten = \"{ADMIN_ADDRESS}\"\nrequests_per_second = 1000\n");
        for name in (0..OPERATORS).map(operator_name) {
            let digest = Digest::of(name.as_bytes());
            text += &format!(
                "[[admin.tokens]]\nname = {name:?}\nrole = \"operator\"\nsha256 = \"{digest}\"\ntenants = [\"*\"]\n"
            );
        }
        text += &format!(
            "[undeliverable]\nfolder = {DIRECTORY:?}\nat_once = {}\nsettle_s = {:.1}\nlease_s = 2.0\n",
            self.max_concurrent_resends,
            EFFECT_DELAY.as_secs_f64()
        );
        for destination in destinations {
            text += &format!(
                "[[undeliverable.partners]]\ndestination = {destination}\naddress = \"{}\"\npath = \"/s/{{id}}\"\n\
                 applied = [\"done\"]\nnot_applied = [\"absent\"]\ntimeout_ms = 1000\n",
                status_address(destination)
            );
        }
        if self.resends_on_recovery {
            text += "[[undeliverable.rules]]\nname = \"back\"\nwhen = \"recovered\"\nper_minute = 600\nresends = 2\n";
        }
        text
    }
}

impl Script {
    /// Draws the scenario of a seed in which undeliverable messages are stored and resent.
    #[must_use]
    pub fn draw_kept(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 8));
        // Classes are unordered, as a resend comes after later messages of its ordering key.
        for class in script.settings["services"]
            .as_array_mut()
            .into_iter()
            .flatten()
        {
            class["fifoByKey"] = false.into();
        }
        script
            .clients
            .iter_mut()
            .flatten()
            .for_each(|plan| plan.is_ordered = false);
        for plan in script.clients.iter_mut().flatten() {
            if rng.percent(50) {
                (plan.class, plan.idempotency) = ("payout", Idempotency::NonIdempotent);
            }
        }
        let drawn = faults::draw_undeliverable_store_faults(&mut rng);
        let is_damaged = drawn.iter().any(|(_, damages_store)| *damages_store);
        script
            .faults
            .extend(drawn.into_iter().map(|(fault, _)| fault));
        script.faults.sort_by_key(|fault| fault.from);
        script.limits.undeliverable_are_resent = true;
        script.limits.undeliverable_store_is_damaged = is_damaged;
        script.kept = Some(Kept {
            store_is_damaged: is_damaged,
            resends_on_recovery: rng.percent(40),
            max_concurrent_resends: rng.between(1, 8),
            error_percent: rng.between(2, 12),
            max_work: Duration::ZERO,
        });
        if late_calls::applies_to(seed) {
            late_calls::add_to(&mut script);
        }
        script
    }
}
