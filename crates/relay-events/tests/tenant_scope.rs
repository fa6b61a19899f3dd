//! Tests of the scope that limits a front end's request to some tenants.

use relay_events::tenants::Scope;

#[test]
fn scope_covers_exact_names_and_prefixes() {
    let scope = Scope(vec!["acme".into(), "team-*".into()]);
    for (name, covered) in [
        ("acme", true),
        ("acme2", false),
        ("team-", true),
        ("team-a", true),
        ("team", false),
        ("", false),
    ] {
        assert_eq!(scope.covers(name), covered, "{name}");
    }
    assert!(Scope(vec!["*".into()]).covers("anything") && !Scope(Vec::new()).covers("acme"));
}
