/** Plots the share of requests that were answered in their target latency as SVG bars. */
import type {PlayFigures} from './figures.js';

const WIDTH = 640;
const ROW_HEIGHT = 24;
const LABEL_WIDTH = 230;
const MARGIN = 20;
const PERCENT = 100;

/** One bar. */
export interface PlotRow {
	readonly policy: string;
	readonly load: number;
	readonly figures: PlayFigures;
}

/** Renders one bar a placement and load. */
export function renderPlot({rows, title}: {readonly rows: readonly PlotRow[]; readonly title: string}): string {
	const bars = rows.map(({policy, load, figures}, index) => {
		const y = MARGIN + ((index + 2) * ROW_HEIGHT);
		const share = figures.shares['in-target'];
		const length = share * (WIDTH - LABEL_WIDTH - (4 * MARGIN));
		return [
			`<text x="${MARGIN}" y="${y}">load ${load}, ${policy}</text>`,
			`<rect x="${LABEL_WIDTH}" y="${y - 12}" width="${length.toFixed(1)}" height="16" fill="#2a6f97"/>`,
			`<text x="${(LABEL_WIDTH + length + 6).toFixed(1)}" y="${y}">${(share * PERCENT).toFixed(1)} %</text>`,
		].join('');
	});
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${((rows.length + 2) * ROW_HEIGHT) + MARGIN}" font-family="sans-serif" font-size="13">`,
		`<text x="${MARGIN}" y="${MARGIN}">${title}</text>`,
		...bars,
		'</svg>\n',
	].join('');
}
