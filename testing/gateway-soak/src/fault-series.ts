/** Injects faults one after the other without waiting for earlier ones to end, so that they overlap. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Draw} from './draw.js';

/** Options of {@link runFaultSeries}. */
export interface RunFaultSeriesOptions<Name> {
	/** Returns the next fault, given the number of faults so far. Undefined ends the series. */
	readonly next: (count: number) => Name | undefined;
	/** Injects a fault and resolves when it has ended. */
	readonly inject: (name: Name) => Promise<void>;
	readonly draw: Draw;
	/** Maximum time between the starts of two faults, in milliseconds. */
	readonly pauseMs: number;
}

/** Injects a series of faults. Resolves with the names of its faults when all have ended. */
export async function runFaultSeries<Name>({next, inject: bring, draw, pauseMs}: RunFaultSeriesOptions<Name>): Promise<readonly Name[]> {
	const faults: Name[] = [];
	const running: Array<Promise<void>> = [];
	for (let name = next(0); name !== undefined; name = next(faults.length)) {
		faults.push(name);
		running.push(bring(name));
		await sleep(draw(pauseMs));
	}

	await Promise.all(running);
	return faults;
}
