//! The burn report as plain text, and the wording that the HTML page shares.

use std::fmt;
use std::time::Duration;

use damaskloom_lib::burn_budget::ErrorBudget;
use damaskloom_lib::burn_snapshot::{BurnCause, BurnCount, BurnWindow};

use crate::report_model::{BurnReport, ServiceSummary};

/// The customers and causes of a service that are printed.
const SHOWN_LINES: usize = 10;
/// Burn rates beyond this are printed as such, as with an objective of 100%.
const MAX_SHOWN_RATE: f64 = 9_999.0;
/// Budgets overdrawn beyond this are printed as such.
const MIN_SHOWN_LEFT: f64 = -10.0;

/// Writes a span of time in its two largest units.
pub fn span_text(span: Duration) -> String {
    let seconds = span.as_secs();
    let (days, hours) = (seconds / 86_400, seconds / 3_600 % 24);
    let (minutes, rest) = (seconds / 60 % 60, seconds % 60);
    match (days, hours, minutes) {
        (0, 0, 0) => format!("{rest} s"),
        (0, 0, _) => format!("{minutes} min {rest} s"),
        (0, _, _) => format!("{hours} h {minutes} min"),
        _ => format!("{days} d {hours} h"),
    }
}

/// Writes the share of good answers, or a dash if there was no request.
pub fn good_text(count: BurnCount) -> String {
    match count.total {
        0 => "-".to_owned(),
        total => format!("{:.4}%", 100.0 - count.bad as f64 * 100.0 / total as f64),
    }
}

/// Writes an objective in percent.
pub fn objective_text(objective_ppm: u32) -> String {
    format!("{}%", f64::from(objective_ppm) / 1e4)
}

/// Writes a burn rate as a multiple.
pub fn rate_text(rate: f64) -> String {
    match rate > MAX_SHOWN_RATE {
        true => format!(">{MAX_SHOWN_RATE:.0}x"),
        false => format!("{rate:.2}x"),
    }
}

/// Writes the share of the budget that is left.
pub fn left_text(budget: &ErrorBudget) -> String {
    if budget.remaining < MIN_SHOWN_LEFT {
        "overdrawn more than tenfold".to_owned()
    } else if budget.remaining < 0.0 {
        format!("overdrawn by {:.1}%", budget.remaining * -100.0)
    } else {
        format!("{:.1}% of the budget left", budget.remaining * 100.0)
    }
}

/// Writes when the budget will be gone.
pub fn exhaustion_text(budget: &ErrorBudget) -> String {
    match budget.exhausted_in() {
        None => "lasts its period".to_owned(),
        Some(Duration::ZERO) => "gone".to_owned(),
        Some(span) => format!("gone in {}", span_text(span)),
    }
}

/// Writes a cause: the reason, then where it happened.
pub fn cause_text(cause: &BurnCause) -> String {
    let mut text = cause.reason.clone();
    if let Some(target) = &cause.target {
        text += &format!(" at {target}");
    }
    if let Some(data_centre) = &cause.data_centre {
        text += &format!(" in {data_centre}");
    }
    text
}

/// Writes what the report covers and what it lacks, a line each.
pub fn coverage_lines(report: &BurnReport) -> Vec<String> {
    let covered = span_text(Duration::from_millis(report.covered_ms));
    let mut lines = vec![format!(
        "nodes counted: {}; the node that started last has counted for {covered}",
        report.nodes.len()
    )];
    for missing in &report.missing {
        lines.push(format!(
            "NOT REACHED: {}: {}",
            missing.source, missing.cause
        ));
    }
    for repeated in &report.repeated {
        lines.push(format!(
            "left out, its nodes are counted already: {repeated}"
        ));
    }
    lines
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in coverage_lines(self) {
            writeln!(f, "{line}")?;
        }
        for service in &self.services {
            writeln!(f)?;
            write_service(f, service)?;
        }
        Ok(())
    }
}

fn write_service(f: &mut fmt::Formatter<'_>, service: &ServiceSummary) -> fmt::Result {
    let budget = &service.budget;
    writeln!(
        f,
        "{}: {}, objective {}, {}, {}",
        service.service,
        budget.state,
        objective_text(service.objective_ppm),
        left_text(budget),
        exhaustion_text(budget),
    )?;
    for (index, window) in BurnWindow::ALL.iter().enumerate() {
        let count = service.windows[index];
        writeln!(
            f,
            "  {:<6} {:>10} requests {:>8} failed  good {:>9}  burn {}",
            window.to_string(),
            count.total,
            count.bad,
            good_text(count),
            rate_text(budget.burn_rates[index]),
        )?;
    }
    for cause in service.causes.iter().take(SHOWN_LINES) {
        let text = cause_text(&cause.cause);
        writeln!(f, "  burnt by {:>5.1}% {text}", cause.share * 100.0)?;
    }
    for customer in service.customers.iter().take(SHOWN_LINES) {
        writeln!(
            f,
            "  customer {:<16} good over 3 d {:>9}  {}, {}",
            customer.customer,
            good_text(customer.windows[3]),
            left_text(&customer.budget),
            exhaustion_text(&customer.budget),
        )?;
    }
    Ok(())
}
