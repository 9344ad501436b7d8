/** Formats rows as a human-readable table. */

/** Options of {@link formatTable}. */
export interface FormatTableOptions {
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

const NUMERIC_CELL = /^(?:-?\d+(?:\.\d+)?|-|)$/u;

/** Formats a table; columns of numbers are aligned to the right, others to the left. */
export function formatTable({columns, rows}: FormatTableOptions): string {
	const lines = [columns, ...rows].map(row => row.map(String));
	const widths = columns.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	const isNumeric = columns.map((_, column) => rows.length > 0 && lines.slice(1).every(line => NUMERIC_CELL.test(line[column] ?? '')));
	return lines
		.map(line => line.map((cell, column) => isNumeric[column] ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
}
