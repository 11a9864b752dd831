//! The plots of the burn report, as inline SVG.

use std::fmt::Write;

use damaskloom_lib::burn_snapshot::BurnCount;

const WIDTH: f64 = 300.0;
const HEIGHT: f64 = 90.0;
/// The height of a bar whose share of failures is exactly what the objective allows.
const OBJECTIVE_HEIGHT: f64 = 30.0;
const BAR_GAP: f64 = 1.0;

/// Draws the share of failures in each bucket of a window as a bar.
///
/// The dashed line is the share that the objective allows. Bars beyond the plot's height are
/// clipped.
pub fn burn_plot(buckets: &[BurnCount], objective_ppm: u32) -> String {
    let allowed = (1e6 - f64::from(objective_ppm)) / 1e6;
    let step = WIDTH / buckets.len().max(1) as f64;
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\"><title>failures against the \
         objective</title>"
    );
    for (index, bucket) in buckets.iter().enumerate() {
        let height = bar_height(*bucket, allowed);
        let class = match (bucket.total, height > OBJECTIVE_HEIGHT) {
            (0, _) => "none",
            (_, true) => "over",
            (_, false) => "within",
        };
        // Without failures, a bucket is drawn as a thin line; without requests, as a faint one.
        let height = height.max(1.0);
        write!(
            svg,
            "<rect class=\"{class}\" x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\">\
             <title>{} of {} failed</title></rect>",
            index as f64 * step,
            HEIGHT - height,
            (step - BAR_GAP).max(0.5),
            bucket.bad,
            bucket.total,
        )
        .expect("writing to a string succeeds");
    }
    let line = HEIGHT - OBJECTIVE_HEIGHT;
    write!(
        svg,
        "<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{line}\" y2=\"{line}\"/></svg>"
    )
    .expect("writing to a string succeeds");
    svg
}

fn bar_height(bucket: BurnCount, allowed: f64) -> f64 {
    if bucket.bad == 0 {
        return 0.0;
    }
    if allowed <= 0.0 {
        return HEIGHT;
    }
    let share = bucket.bad as f64 / bucket.total.max(1) as f64;
    (share / allowed * OBJECTIVE_HEIGHT).min(HEIGHT)
}
