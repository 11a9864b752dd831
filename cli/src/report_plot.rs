//! Plots of the burn report, as inline SVG.

use std::fmt::Write;

use damaskloom_lib::burn_snapshot::BurnCount;

const WIDTH: f64 = 300.0;
const HEIGHT: f64 = 90.0;
/// The height of a bar at which its failures are the objective's share.
const OBJECTIVE_HEIGHT: f64 = 30.0;
const GAP: f64 = 1.0;

/// Draws the failures of a window's parts as bars, on a scale where the dashed line is the share of
/// failures that the objective allows; taller bars are cut at the top.
pub fn burn_plot(parts: &[BurnCount], objective_ppm: u32) -> String {
    let allowed = (1e6 - f64::from(objective_ppm)) / 1e6;
    let step = WIDTH / parts.len().max(1) as f64;
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\"><title>failures against the \
         objective</title>"
    );
    for (index, part) in parts.iter().enumerate() {
        let height = bar_height(*part, allowed);
        let class = match (part.total, height > OBJECTIVE_HEIGHT) {
            (0, _) => "none",
            (_, true) => "over",
            (_, false) => "within",
        };
        // A part without failures shows as a thin line, and one without requests as a faint one.
        let height = height.max(1.0);
        write!(
            svg,
            "<rect class=\"{class}\" x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\">\
             <title>{} of {} failed</title></rect>",
            index as f64 * step,
            HEIGHT - height,
            (step - GAP).max(0.5),
            part.bad,
            part.total,
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

fn bar_height(part: BurnCount, allowed: f64) -> f64 {
    if part.bad == 0 {
        return 0.0;
    }
    if allowed <= 0.0 {
        return HEIGHT;
    }
    let share = part.bad as f64 / part.total.max(1) as f64;
    (share / allowed * OBJECTIVE_HEIGHT).min(HEIGHT)
}
