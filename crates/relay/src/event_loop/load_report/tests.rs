//! Tests of [`parse_load_report`].

use policy::types::ReportField;

use super::parse_load_report;

#[test]
fn incomplete_or_out_of_range_load_report_is_ignored() {
    let names = ["x0".to_string(), "x1".to_string()];
    let fields = [ReportField::AllowanceLeft, ReportField::LimitPerSecond];
    let parse = |text| parse_load_report(names.iter().zip(&fields), text);
    assert_eq!(parse("x0=0.4,x1=25"), Some(vec![0.4, 25.0]));
    assert_eq!(parse(" x1 = 0 , y=7 , x0 = 1.05 "), Some(vec![1.05, 0.0]));
    for text in [
        "",
        "x0=0.4",
        "x1=25",
        "x0=,x1=25",
        "x0=nan,x1=25",
        "x0=0.4,x1=inf",
        "x0=-1,x1=25",
    ] {
        assert_eq!(parse(text), None, "{text}");
    }
    for text in [
        "x0=0.4,x1=1e30",
        "x0=900,x1=25",
        "x0=0.4,x1=-25",
        "\u{fffd}",
        "x0=0.4x1=25",
    ] {
        assert_eq!(parse(text), None, "{text}");
    }
}
