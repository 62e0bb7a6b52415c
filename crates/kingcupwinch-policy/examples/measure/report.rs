//! Table of the figures.

use std::fmt::Write;

use kingcupwinch_time::Span;

use crate::driver::Figures;

/// Returns a Markdown table with one row per run and class.
pub(crate) fn table(figures: &[Figures]) -> String {
    let mut text = String::from(
        "| site | load % | variant | scheduler | class | submitted | not run % | wait p50 ms | wait p99 ms | \
         wait max ms | least held | packing % | fullest % | useful % | overrun % | starts/first | tries/start |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in figures {
        let s = &run.scenario;
        for stream in run.streams.iter().filter(|c| c.submitted > 0) {
            let refused = 100.0 * stream.refused as f64 / stream.submitted as f64;
            let least = stream
                .min_share_ratio
                .map_or(String::from("-"), |l| format!("{l:.2}"));
            // Writing to a String can't fail.
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {} | {refused:.2} | {} | {} | {} | {least} | {:.1} | {:.1} | {:.1} | {:.2} | {:.3} | {:.2} |",
                s.site.name,
                s.load,
                s.variant.name(),
                s.kind.name(),
                stream.name,
                stream.submitted,
                millis(stream.wait(0.5)),
                millis(stream.wait(0.99)),
                millis(stream.wait(1.0)),
                100.0 * run.packing,
                100.0 * run.fullest,
                100.0 * run.useful,
                100.0 * run.overruns,
                run.amplification,
                run.placement_attempts,
            );
        }
    }
    text
}

fn millis(span: Span) -> String {
    format!("{:.1}", span.as_micros() as f64 / 1000.0)
}
