//! Tests that cancellations are read by later owners as they were meant.

use kingcupwinch_cell::Requester;
use rstest::rstest;

use super::{decode, encode};

/// A cancellation that loses its customer would be carried out for any caller.
#[rstest]
#[case(Requester::Anyone, "1")]
#[case(Requester::Public, r#"{"customer":null}"#)]
#[case(Requester::Customer("house".into()), r#"{"customer":"house"}"#)]
fn the_requester_is_kept(#[case] requester: Requester, #[case] text: &str) {
    let value = encode(&requester).unwrap();
    assert_eq!(value, text);
    assert_eq!(decode(&value), requester);
}

/// Earlier versions write `1`; their cancellations must go on having an effect.
#[rstest]
#[case(b"1")]
#[case(b"")]
#[case(b"true")]
fn a_value_of_an_earlier_version_holds_for_any_job(#[case] value: &[u8]) {
    assert_eq!(decode(value), Requester::Anyone);
}
