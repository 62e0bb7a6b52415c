use std::sync::Arc;

use kingcupwinch_cell::JobId;
use rustc_hash::FxHashMap;

use super::choose_relay;

/// Guards against jobs whose starts are all lost, since the instance that accepted them is gone and its
/// announcement is not: each start took 1.3 s until it counted as lost, and the next one went there too.
#[test]
fn a_silent_instance_sends_no_orders() {
    let name = |n: usize| Arc::<str>::from(format!("instance-{n}"));
    let address = |n: usize| Arc::<str>::from(format!("127.0.0.1:{n}"));
    let addresses: FxHashMap<_, _> = (0..6).map(|n| (name(n), address(n))).collect();
    for job in 0..100_u64 {
        let job = JobId::parse(&format!("{job:016x}")).unwrap();
        let choose = |silent: &[usize]| {
            let silent: Vec<Arc<str>> = silent.iter().map(|n| address(*n)).collect();
            let is_silent = |address: &Arc<str>| silent.contains(address);
            choose_relay(&addresses, &name(0), Some(&name(3)), job, is_silent).cloned()
        };
        assert_eq!(choose(&[]), Some(address(3)));
        assert_eq!(choose(&[1, 2, 3, 4]), Some(address(5)));
        assert_eq!(choose(&[1, 2, 3, 4, 5]), None, "sent by the owner itself");
    }
}
