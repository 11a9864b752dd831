//! The burn report as a self-contained HTML page.

use damaskloom_lib::burn_snapshot::BurnWindow;

use crate::report_model::{BurnReport, ServiceSummary};
use crate::report_plot::burn_plot;
use crate::report_text::{
    coverage_lines, format_burn_rate, format_cause, format_exhaustion, format_good_share,
    format_objective, format_remaining,
};

const STYLE: &str = "\
:root{color-scheme:light dark}\
body{font:15px/1.4 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem}\
table{border-collapse:collapse;margin:.5rem 0 1rem}\
th,td{text-align:right;padding:.15rem .7rem;border-bottom:1px solid #8884}\
th:first-child,td:first-child{text-align:left}\
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(15rem,1fr));gap:1rem}\
figure{margin:0}svg{width:100%;border-bottom:1px solid #888}\
.within{fill:#4a7fb5}.over{fill:#c8452f}.none{fill:#8884}\
line{stroke:#888;stroke-dasharray:4 3}\
.missing{color:#c8452f;font-weight:600}";

/// Renders the report as an HTML page.
pub fn html_page(report: &BurnReport) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n\
         <body><h1>Service-level burn</h1>\n"
    );
    for (index, line) in coverage_lines(report).iter().enumerate() {
        let class = if index == 0 { "" } else { " class=\"missing\"" };
        page += &format!("<p{class}>{}</p>\n", escape(line));
    }
    for service in &report.services {
        page += &service_section(service);
    }
    page + "</body></html>\n"
}

fn service_section(service: &ServiceSummary) -> String {
    let budget = &service.budget;
    let mut section = format!(
        "<section><h2>{}: {}</h2><p>Objective {}; {}; {}.</p>\n<div class=\"plots\">",
        escape(service.service.as_str()),
        budget.state,
        format_objective(service.objective_ppm),
        format_remaining(budget),
        format_exhaustion(budget),
    );
    for (index, window) in BurnWindow::ALL.iter().enumerate() {
        let plot = burn_plot(&service.history[index], service.objective_ppm);
        section += &format!("<figure>{plot}<figcaption>{window}</figcaption></figure>");
    }
    section += "</div>\n";
    section += &window_table(service);
    section += &cause_table(service);
    section += &customer_table(service);
    section + "</section>\n"
}

fn window_table(service: &ServiceSummary) -> String {
    let rows = BurnWindow::ALL.iter().enumerate().map(|(index, window)| {
        let count = service.windows[index];
        vec![
            window.to_string(),
            count.total.to_string(),
            count.bad.to_string(),
            format_good_share(count),
            format_burn_rate(service.budget.burn_rates[index]),
        ]
    });
    table(&["window", "requests", "failed", "good", "burn"], rows)
}

fn cause_table(service: &ServiceSummary) -> String {
    let rows = service.causes.iter().map(|cause| {
        let counts = cause.windows.iter().map(|count| count.bad.to_string());
        let mut row = vec![format_cause(&cause.cause)];
        row.extend(counts);
        row.push(format!("{:.1}%", cause.share * 100.0));
        row
    });
    let heads = ["burnt by", "5 min", "1 h", "6 h", "3 d", "share"];
    table(&heads, rows)
}

fn customer_table(service: &ServiceSummary) -> String {
    let rows = service.customers.iter().map(|customer| {
        vec![
            customer.customer.clone(),
            customer.windows[3].total.to_string(),
            format_good_share(customer.windows[3]),
            format_burn_rate(customer.budget.burn_rates[1]),
            format_remaining(&customer.budget),
            format_exhaustion(&customer.budget),
        ]
    });
    let heads = [
        "customer",
        "requests, 3 d",
        "good, 3 d",
        "burn, 1 h",
        "left",
        "projection",
    ];
    table(&heads, rows)
}

fn table(heads: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let heads = heads.iter().map(|head| format!("<th>{head}</th>"));
    let mut table = format!("<table><tr>{}</tr>\n", heads.collect::<String>());
    for row in rows {
        let cells = row.iter().map(|cell| format!("<td>{}</td>", escape(cell)));
        table += &format!("<tr>{}</tr>\n", cells.collect::<String>());
    }
    table + "</table>\n"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
