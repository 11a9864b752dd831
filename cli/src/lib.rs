//! The parts of the command-line programs.

pub mod report_html;
pub mod report_input;
pub mod report_model;
pub mod report_plot;
pub mod report_text;
