//! Measures parsing and checking of a published tree, by number of classes.

use std::fmt::Write as _;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use kingcupwinch_config::{Tree, load_texts};

/// Numbers of classes; the first is that of a typical deployment.
const CLASSES: [usize; 4] = [5, 50, 200, 1_000];

/// Returns the canonical JSON of a tree with this many classes and objectives, 43 customers and
/// 7 domains.
fn tree_json(classes: usize) -> String {
    let mut text = String::new();
    for i in 0..classes {
        let _ = writeln!(
            text,
            "[classes.class-{i}]\nkind = 'live'\ndeadline_ms = 900"
        );
        let _ = writeln!(text, "[objectives.class-{i}]\nwaiting_ms = 250");
    }
    for i in 0..43 {
        let _ = writeln!(text, "[customers.team-{i}]\nweight = 2\nquota = 0.02");
    }
    for i in 0..7 {
        let _ = writeln!(text, "[domains.domain-{i}]\nregion = 'one'");
    }
    let loaded = load_texts([("a.toml", text.as_str())]).expect("a valid tree");
    loaded.tree.to_canonical_json()
}

fn read_record(c: &mut Criterion) {
    let mut group = c.benchmark_group("tree_from_json");
    for classes in CLASSES {
        let json = tree_json(classes);
        println!("{classes} classes: {} bytes", json.len());
        group.throughput(Throughput::Bytes(json.len() as u64));
        group.bench_with_input(BenchmarkId::from_parameter(classes), &json, |b, json| {
            b.iter(|| Tree::from_json(black_box(json)));
        });
    }
    group.finish();
}

criterion_group!(benches, read_record);
criterion_main!(benches);
