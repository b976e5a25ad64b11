//! Tables for people.

/// Prints rows under a heading, with columns as wide as their longest cell.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    print!("{}", render(heading, rows));
}

/// Returns rows under a heading, with columns as wide as their longest cell.
pub fn render(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heading: Vec<String> = heading.iter().map(ToString::to_string).collect();
    let mut text = String::new();
    for row in std::iter::once(&heading).chain(rows) {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
