/** Measured figures and their value at the planned size. */
import {fitLine, valueAt} from '../fit.js';
import type {Line, Point} from '../fit.js';

/** One quantity measured at several sizes of one variable. */
export interface MeasuredSlope {
	readonly role: string;
	readonly quantity: string;
	readonly unit: string;
	/** Variable of the fit. */
	readonly variable: string;
	readonly points: readonly Point[];
	readonly line: Line;
	/** Value of the variable at the planned size. */
	readonly plannedX: number;
	/** Value of the fitted line there. */
	readonly plannedY: number;
}

/** Options of {@link fitSlope}. */
export type FitSlopeOptions = Omit<MeasuredSlope, 'line' | 'plannedY'>;

/** Fits the points and evaluates the line at the planned size. */
export function fitSlope(options: FitSlopeOptions): MeasuredSlope {
	const line = fitLine(options.points);
	return {...options, line, plannedY: valueAt({line, x: options.plannedX})};
}
