/** Prints rows as a table for a person. */

/** Options of {@link formatTable}. */
export interface FormatTableOptions {
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

/** Aligns the columns: the first to the left, the others to the right. */
export function formatTable({columns, rows}: FormatTableOptions): string {
	const lines = [columns, ...rows].map(row => row.map(String));
	const widths = columns.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	return lines
		.map(line => line.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
		.join('\n');
}
