/** Least-squares fit of a line through measured points. */

/** One measured point. */
export interface Point {
	readonly x: number;
	readonly y: number;
}

/** A fitted line. */
export interface Line {
	readonly slope: number;
	readonly intercept: number;
	/** Root mean square of the residuals, as a part of the mean of y. */
	readonly relativeResidual: number;
}

/** Fits y = intercept + slope * x. Needs two points with different x. */
export function fitLine(points: readonly Point[]): Line {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const covariance = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
	const variance = sum(points.map(({x}) => (x - meanX) ** 2));
	const slope = variance === 0 ? 0 : covariance / variance;
	const intercept = meanY - (slope * meanX);
	const meanSquare = mean(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2));
	return {slope, intercept, relativeResidual: meanY === 0 ? 0 : Math.sqrt(meanSquare) / Math.abs(meanY)};
}

/** Value of a line at x. */
export function valueAt({line, x}: {readonly line: Line; readonly x: number}): number {
	return line.intercept + (line.slope * x);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
	return values.length === 0 ? 0 : sum(values) / values.length;
}
