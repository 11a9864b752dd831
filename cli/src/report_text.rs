//! The burn report as plain text, and the formatting that the HTML page shares.

use std::fmt;
use std::time::Duration;

use damaskloom_lib::burn_budget::ErrorBudget;
use damaskloom_lib::burn_snapshot::{BurnCause, BurnCount, BurnWindow};

use crate::report_model::{BurnReport, ServiceSummary};

/// The largest number of customers and of causes that are printed for a service.
const MAX_SHOWN_LINES: usize = 10;
/// Burn rates above this limit are printed as `>9999x`; an objective of 100% makes them infinite.
const MAX_SHOWN_RATE: f64 = 9_999.0;
/// Remaining budgets below this limit are printed as `overdrawn more than tenfold`.
const MIN_SHOWN_REMAINING: f64 = -10.0;

/// Formats a duration in its two largest units.
pub fn format_duration(span: Duration) -> String {
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

/// Formats the share of successful answers, or a dash if there was no request.
pub fn format_good_share(count: BurnCount) -> String {
    match count.total {
        0 => "-".to_owned(),
        total => format!("{:.4}%", 100.0 - count.bad as f64 * 100.0 / total as f64),
    }
}

/// Formats an objective in percent.
pub fn format_objective(objective_ppm: u32) -> String {
    format!("{}%", f64::from(objective_ppm) / 1e4)
}

/// Formats a burn rate as a multiple.
pub fn format_burn_rate(rate: f64) -> String {
    match rate > MAX_SHOWN_RATE {
        true => format!(">{MAX_SHOWN_RATE:.0}x"),
        false => format!("{rate:.2}x"),
    }
}

/// Formats the remaining share of the budget.
pub fn format_remaining(budget: &ErrorBudget) -> String {
    if budget.remaining < MIN_SHOWN_REMAINING {
        "overdrawn more than tenfold".to_owned()
    } else if budget.remaining < 0.0 {
        format!("overdrawn by {:.1}%", budget.remaining * -100.0)
    } else {
        format!("{:.1}% of the budget left", budget.remaining * 100.0)
    }
}

/// Formats the time until the budget is exhausted.
pub fn format_exhaustion(budget: &ErrorBudget) -> String {
    match budget.exhausted_in() {
        None => "lasts its period".to_owned(),
        Some(Duration::ZERO) => "gone".to_owned(),
        Some(span) => format!("gone in {}", format_duration(span)),
    }
}

/// Formats a cause: the reason, then the target and data centre.
pub fn format_cause(cause: &BurnCause) -> String {
    let mut text = cause.reason.clone();
    if let Some(target) = &cause.target {
        text += &format!(" at {target}");
    }
    if let Some(data_centre) = &cause.data_centre {
        text += &format!(" in {data_centre}");
    }
    text
}

/// Returns one line on the nodes covered, and one for each source that is missing or skipped.
pub fn coverage_lines(report: &BurnReport) -> Vec<String> {
    let covered = format_duration(Duration::from_millis(report.covered_ms));
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
        format_objective(service.objective_ppm),
        format_remaining(budget),
        format_exhaustion(budget),
    )?;
    for (index, window) in BurnWindow::ALL.iter().enumerate() {
        let count = service.windows[index];
        writeln!(
            f,
            "  {:<6} {:>10} requests {:>8} failed  good {:>9}  burn {}",
            window.to_string(),
            count.total,
            count.bad,
            format_good_share(count),
            format_burn_rate(budget.burn_rates[index]),
        )?;
    }
    for cause in service.causes.iter().take(MAX_SHOWN_LINES) {
        let text = format_cause(&cause.cause);
        writeln!(f, "  burnt by {:>5.1}% {text}", cause.share * 100.0)?;
    }
    for customer in service.customers.iter().take(MAX_SHOWN_LINES) {
        writeln!(
            f,
            "  customer {:<16} good over 3 d {:>9}  {}, {}",
            customer.customer,
            format_good_share(customer.windows[3]),
            format_remaining(&customer.budget),
            format_exhaustion(&customer.budget),
        )?;
    }
    Ok(())
}
