/** Brings faults about one after the other, while earlier ones last. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Draw} from './draw.js';

/** Options of {@link bringSeries}. */
export interface BringSeriesOptions<Name> {
	/** Name of the next fault after so many; undefined ends the series. */
	readonly next: (count: number) => Name | undefined;
	/** Brings a fault about and ends it. */
	readonly bring: (name: Name) => Promise<void>;
	readonly draw: Draw;
	/** Longest time between the beginnings of two faults, in milliseconds. */
	readonly pauseMs: number;
}

/** Brings a series about; resolves with its faults when all have ended. */
export async function bringSeries<Name>({next, bring, draw, pauseMs}: BringSeriesOptions<Name>): Promise<readonly Name[]> {
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
