/** Formats rows as plain text tables. */

/** The values of one row, by column. */
export type Row = Readonly<Record<string, unknown>>;

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - The rows; a missing value is shown as `-`.
 * @param columns - The columns to show, in order.
 * @returns The lines of the table, with the column names in the first.
 */
export function formatTable(rows: readonly Row[], columns: readonly string[]): string {
  const lines = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((text, index) => text.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
