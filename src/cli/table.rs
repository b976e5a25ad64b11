//! Plain-text tables for terminal output.

/// Prints the table that [`render`] returns to standard output.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    print!("{}", render(heading, rows));
}

/// Renders a heading and rows as left-aligned text.
///
/// Each column is as wide as its longest cell, and lines have no trailing
/// whitespace.
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
