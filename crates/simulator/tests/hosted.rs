//! Days on which administrators change tenants under traffic: a fixed range of seeds, and each rule of theirs seen
//! broken by a planted fault. Long ranges are the tool's (`run --days hosted`).

mod support;

use simulator::machine::PlantedFault;
use simulator::peers::admins::MisbehavingAdmin;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

/// Days that broke a rule once: lines of the registry took the room of ends (7735), what was owed before a restart went out
/// at once (1196 to 9962), an outage was seen too late (4013, 1857), and the checker forgot that a tenant which drains has a share (4884, 6444, 8760).
const MENDED: [u64; 16] = [
    4013, 1857, 7735, 1196, 2768, 3598, 3932, 4664, 5568, 5803, 6432, 7120, 9962, 4884, 6444, 8760,
];

#[test]
fn all_rules_hold_on_the_first_seeds() {
    support::hold(ScenarioKind::Hosted, (0..260).chain(MENDED), 50);
}

#[test]
fn a_seed_gives_the_same_day_again() {
    let digest = |seed| play(&Script::draw_hosted(seed), Options::default()).digest;
    let first: Vec<String> = (0..4).map(digest).collect();
    let again = std::thread::spawn(move || (0..4).rev().map(digest).collect::<Vec<String>>());
    let mut again = again.join().expect("played");
    again.reverse();
    assert_eq!(first, again);
}

fn caught(rule: &str, most: u64, options: Options, change: fn(&mut Script)) {
    support::seeds_until(ScenarioKind::Hosted, rule, 0..most, options, change);
}

#[test]
fn a_registry_that_keeps_nothing_forgets_what_was_answered() {
    caught(
        "registry",
        200,
        Options {
            planted_fault: Some(PlantedFault::DropTenantChanges),
            ..Options::default()
        },
        |_| {},
    );
}

#[test]
fn undone_pause_is_reported_when_messages_are_accepted() {
    caught(
        "admission",
        200,
        Options {
            misbehaving_admin: Some(MisbehavingAdmin::ResumesSecretly),
            ..Options::default()
        },
        |_| {},
    );
}

#[test]
fn a_removal_that_ends_nothing_is_seen_by_what_stays() {
    caught(
        "abandoned",
        200,
        Options {
            misbehaving_admin: Some(MisbehavingAdmin::FinishesSecretly),
            ..Options::default()
        },
        |_| {},
    );
}

#[test]
fn weights_other_than_those_set_are_reported_as_a_starved_tenant() {
    caught(
        "below its share",
        400,
        Options {
            misbehaving_admin: Some(MisbehavingAdmin::ReportsOtherWeights),
            ..Options::default()
        },
        |_| {},
    );
}

#[test]
fn clients_that_need_no_name_speak_for_others() {
    // The world has clients that speak for another, and the relay asks nobody for a name.
    caught("another's", 200, Options::default(), |script| {
        script
            .hosted
            .iter_mut()
            .for_each(|hosted| hosted.requires_auth = false);
    });
}
