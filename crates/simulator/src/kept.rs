//! Days on which the relay keeps what it gives up, and operators send it again: partners that apply some calls
//! silently, their status pages, and what strikes the store.
//!
//! Drawn on top of a plain day from numbers of their own, so that the plain days stay as they are.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tenancy::secret::Digest;

use crate::faults;
use crate::history::Idempotency;
use crate::hosted::ADMIN;
use crate::rng::SimulationRng;
use crate::script::Script;

/// The folder of the store.
pub const FOLDER: &str = "/kept";
/// Operators of a day. Each bears a token named as itself.
pub const OPERATORS: usize = 2;
/// They are at work until so long after the last message's time is up.
pub const AFTER: Duration = Duration::from_secs(12);
/// An attempt may take effect for so long after it was sent.
const SETTLE: Duration = Duration::from_secs(1);

/// What such a day has beside a plain one.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The store is struck, so that records may be lost; nothing may be applied twice all the same.
    pub spoilt: bool,
    /// Records are sent again by themselves once a partner is well.
    pub rule: bool,
    /// Messages sent again at once.
    pub at_once: u64,
    /// Of a hundred calls so many end in an error, all day.
    pub fails: u64,
}

/// The store's file.
#[must_use]
pub fn store() -> PathBuf {
    PathBuf::from(FOLDER).join("undeliverable.redb")
}

/// The name and token of an operator.
#[must_use]
pub fn operator(number: usize) -> String {
    format!("op-{number}")
}

/// Where a destination tells what took effect.
#[must_use]
pub fn status_address(block: u16) -> SocketAddr {
    SocketAddr::from(([10, 3, block as u8, 1], 9000))
}

impl Kept {
    /// The operator file.
    pub fn operator_file(&self, blocks: impl Iterator<Item = u16>) -> String {
        let mut text = format!("[admin]\nlisten = \"{ADMIN}\"\nrequests_per_second = 1000\n");
        for name in (0..OPERATORS).map(operator) {
            let digest = Digest::of(name.as_bytes());
            text += &format!(
                "[[admin.tokens]]\nname = {name:?}\nrole = \"operator\"\nsha256 = \"{digest}\"\ntenants = [\"*\"]\n"
            );
        }
        text += &format!(
            "[undeliverable]\nfolder = {FOLDER:?}\nat_once = {}\nsettle_s = {:.1}\nlease_s = 2.0\n",
            self.at_once,
            SETTLE.as_secs_f64()
        );
        for block in blocks {
            text += &format!(
                "[[undeliverable.partners]]\ndestination = {block}\naddress = \"{}\"\npath = \"/s/{{id}}\"\n\
                 applied = [\"done\"]\nnot_applied = [\"absent\"]\ntimeout_ms = 1000\n",
                status_address(block)
            );
        }
        if self.rule {
            text += "[[undeliverable.rules]]\nname = \"back\"\nwhen = \"recovered\"\nper_minute = 600\nresends = 2\n";
        }
        text
    }
}

impl Script {
    /// The day of a seed on which what is given up is kept and sent again.
    #[must_use]
    pub fn draw_kept(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 8));
        // A resend comes after whatever its order would have put behind it.
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
        let struck = faults::of_kept(&mut rng);
        let spoilt = struck.iter().any(|(_, spoils)| *spoils);
        script
            .faults
            .extend(struck.into_iter().map(|(fault, _)| fault));
        script.faults.sort_by_key(|fault| fault.from);
        script.limits.undeliverable_are_resent = true;
        script.limits.undeliverable_store_is_damaged = spoilt;
        script.kept = Some(Kept {
            spoilt,
            rule: rng.percent(40),
            at_once: rng.between(1, 8),
            fails: rng.between(2, 12),
        });
        script
    }
}
