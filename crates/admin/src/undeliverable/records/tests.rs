//! Tests of the model of records.

use super::model::Attestation;

/// The API returns the error text to the client, so the type's name is part of the API.
#[test]
fn wrong_type_is_reported_under_the_name_of_the_schema() {
    let error = serde_json::from_str::<Attestation>("[]").expect_err("a list is no attestation");
    assert_eq!(
        error.to_string(),
        "invalid length 0, expected struct Attestation with 1 element at line 1 column 2"
    );
}
