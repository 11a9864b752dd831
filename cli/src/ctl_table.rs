//! Text tables with aligned columns.

/// Lays out rows under a header in columns that are as wide as their widest cell.
pub fn render_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header = render_row(&header.map(str::to_owned), &widths);
    let rows = rows.iter().map(|row| render_row(row, &widths));
    [header].into_iter().chain(rows).collect()
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells = cells.map(|(cell, width)| format!("{cell:width$}"));
    let line = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}
