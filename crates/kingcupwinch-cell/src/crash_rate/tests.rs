use super::log_ratio;

#[test]
fn a_crash_under_a_young_run_on_few_workers_points_to_its_task() {
    assert!(log_ratio(0.3, 0.05, 0.0) > 3.5);
    assert!(log_ratio(0.3, 0.05, 30.0) > log_ratio(0.3, 0.05, 0.0));
}

#[test]
fn a_crash_under_an_old_run_on_most_workers_points_away_from_its_task() {
    assert!(log_ratio(6.0, 0.9, 0.0) < 0.0);
    assert!(log_ratio(2.5, 0.9, 0.0).abs() < 0.5);
}
