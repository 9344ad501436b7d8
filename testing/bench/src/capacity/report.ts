/** Renders measured slopes as the tables of `docs/CAPACITY.md`. */
import type {MeasuredSlope} from './figure.js';

const START_MARK = '<!-- capacity table: start -->';
const END_MARK = '<!-- capacity table: end -->';
const SIGNIFICANT_DIGITS = 3;
const PERCENT = 100;

/** Renders slopes as a Markdown table, one row a quantity. */
export function renderSlopes(slopes: readonly MeasuredSlope[]): string {
	const header = ['role', 'quantity', 'unit', 'variable', 'measured at', 'measured', 'slope', 'residual', 'at the planned size'];
	const rows = slopes.map(({role, quantity, unit, variable, points, line, plannedX, plannedY}) => [
		role,
		quantity,
		unit,
		variable,
		points.map(({x}) => formatNumber(x)).join(', '),
		points.map(({y}) => formatNumber(y)).join(', '),
		formatNumber(line.slope),
		`${formatNumber(line.relativeResidual * PERCENT)} %`,
		`${formatNumber(plannedY)} at ${formatNumber(plannedX)}`,
	]);
	return renderTable({header, rows});
}

/** Options of {@link renderTable}. */
export interface RenderTableOptions {
	readonly header: readonly string[];
	readonly rows: ReadonlyArray<readonly string[]>;
}

/** Renders a Markdown table. */
export function renderTable({header, rows}: RenderTableOptions): string {
	return [header, header.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Replaces the part of a page between the marks; the page must have both. */
export function replaceMarkedPart({page, content}: {readonly page: string; readonly content: string}): string {
	const start = page.indexOf(START_MARK);
	const end = page.indexOf(END_MARK);
	if (start === -1 || end < start) {
		throw new Error(`the page lacks ${START_MARK} or ${END_MARK}`);
	}

	return `${page.slice(0, start)}${START_MARK}\n\n${content}\n\n${page.slice(end)}`;
}

/** Formats with three significant digits and thousands separated. */
export function formatNumber(value: number): string {
	const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
	return rounded.toLocaleString('en-US', {maximumFractionDigits: 6});
}
