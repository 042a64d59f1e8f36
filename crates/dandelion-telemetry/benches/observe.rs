//! Cost of recording the metrics of one request, and of rendering all metrics.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_telemetry::Metrics;

fn team(index: usize) -> TeamId {
    format!("team-{index}").parse().expect("valid")
}

fn observe(criterion: &mut Criterion) {
    let metrics = Metrics::open(64).expect("opens");
    let team = team(0);
    let handle = metrics.team(Some(&team), Class::Interactive);
    criterion.bench_function("request with a kept handle", |bencher| {
        bencher.iter(|| {
            handle.begin();
            handle.queued(black_box(Millis(3)));
            handle.first_token(black_box(Millis(40)));
            handle.end(black_box(Millis(250)), 17);
        });
    });
    criterion.bench_function("handle of a team", |bencher| {
        bencher.iter(|| metrics.team(black_box(Some(&team)), Class::Interactive));
    });
}

fn render(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("render");
    for teams in [8, 64, 512] {
        let metrics = Metrics::open(64).expect("opens");
        for index in 0..teams {
            let handle = metrics.team(Some(&team(index)), Class::Interactive);
            handle.begin();
            handle.end(Millis(250), 17);
        }
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| metrics.render().expect("renders").len());
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    observe(&mut criterion);
    render(&mut criterion);
    criterion.final_summary();
}
