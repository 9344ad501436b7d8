/** Plots a run as SVG: latency by percentile, measured against the ideal central queue. */
import type {Percentiles, RunFigures} from './report.js';

const WIDTH = 640;
const ROW_HEIGHT = 28;
const LABEL_WIDTH = 220;
const MARGIN = 20;
const BARS: ReadonlyArray<keyof Percentiles> = ['p50', 'p99', 'p999'];

/** Renders horizontal bars, two for each percentile of each service. */
export function renderPlot(figures: RunFigures): string {
	const rows = figures.services.flatMap(({service, latencyMs, idealMs}) => BARS.flatMap(bar => [
		{label: `${service} ${bar}`, valueMs: latencyMs[bar], colour: '#2a6f97'},
		{label: `${service} ${bar}, ideal`, valueMs: idealMs[bar], colour: '#a9a9a9'},
	]));
	const longestMs = Math.max(1, ...rows.map(({valueMs}) => valueMs));
	const bars = rows.map(({label, valueMs, colour}, index) => {
		const y = MARGIN + ((index + 1) * ROW_HEIGHT);
		const length = valueMs / longestMs * (WIDTH - LABEL_WIDTH - (4 * MARGIN));
		return [
			`<text x="${MARGIN}" y="${y}">${label}</text>`,
			`<rect x="${LABEL_WIDTH}" y="${y - 14}" width="${length.toFixed(1)}" height="18" fill="${colour}"/>`,
			`<text x="${LABEL_WIDTH + length + 6}" y="${y}">${valueMs.toFixed(1)} ms</text>`,
		].join('');
	});
	const height = ((rows.length + 2) * ROW_HEIGHT) + MARGIN;
	const title = [figures.scenario, figures.deployment, figures.policy, `seed ${figures.seed}`].join(', ');
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="13">`,
		`<text x="${MARGIN}" y="${MARGIN}">${title}</text>`,
		...bars,
		'</svg>\n',
	].join('');
}
