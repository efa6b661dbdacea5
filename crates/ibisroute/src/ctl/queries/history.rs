//! Command `catalogue history`: lists the accepted versions.

use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::ctl::output::format_table;
use crate::ctl::times::format_time;

/// Number of leading digits of a digest that tables show.
const SHORT_DIGEST_CHARS: usize = 12;

/// Prints the history rows of all accepted versions, oldest first.
pub async fn run(cx: &Context) -> Result<(), CommandError> {
    let history = cx.store()?.history().await?;
    cx.output.print(&history, |rows| {
        let rows: Vec<Vec<String>> = rows
            .iter()
            .map(|row| {
                vec![
                    row.version.to_string(),
                    format_time(row.unix_ms),
                    row.author.to_string(),
                    row.digest.to_string()[..SHORT_DIGEST_CHARS].to_string(),
                    row.note.to_string(),
                ]
            })
            .collect();
        format_table(&["VERSION", "TIME", "AUTHOR", "DIGEST", "NOTE"], &rows)
    })
}
