/** The key-value service and the instance list are out while half of the instances are replaced. */
import type {Endpoint} from '@pomelopick/core.types';
import {pause, waitUntil} from './control-network.js';
import {getJson} from './json-requests.js';
import type {EntryProcess, Fleet} from './fleet.js';

const START_BOUND_MS = 13_000;

/** Options of {@link runOutage}. */
export interface RunOutageOptions {
	readonly fleet: Fleet;
	readonly outageMs: number;
	/** Endpoints that new instances ask while the list does not answer; the test's settings hand them over. */
	readonly setSeeds: (seeds: readonly Endpoint[]) => void;
}

/** What a replaced instance answered during the outage. */
export interface OutageAnswer {
	readonly instance: string;
	readonly configurationVersion: number | undefined;
	/** Age of its view as its look-up answer says, in milliseconds. */
	readonly viewAgeMs: number | undefined;
	/** Time since the outage began, in milliseconds. */
	readonly outageAgeMs: number;
	/** Entry instances that its look-up answer names. */
	readonly named: readonly string[];
}

/** Replaces half of the instances during an outage. Answers what the new ones said at its end. */
export async function runOutage({fleet, outageMs, setSeeds}: RunOutageOptions): Promise<readonly OutageAnswer[]> {
	const beganAtMs = Date.now();
	await fleet.setPlatformFaults({outage: true});
	const replaced = fleet.entries.slice(0, Math.floor(fleet.entries.length / 2));
	setSeeds(fleet.entries.filter(entry => !replaced.includes(entry)).map(({instance}) => instance.peers));
	const started: EntryProcess[] = [];
	for (const entry of replaced) {
		const {id, failureDomain} = entry.instance;
		await fleet.killEntry(entry);
		started.push(await fleet.startEntry({id: `${id}-new`, failureDomain}));
	}

	await waitUntil({
		description: 'the new instances have a version', boundMs: START_BOUND_MS, async holds() {
			const statuses = await Promise.all(started.map(async ({instance}) => getJson<{configurationVersion?: number}>({endpoint: instance.operators, path: '/v1/status'})));
			return statuses.every(({configurationVersion}) => configurationVersion !== undefined);
		},
	});
	await pause(Math.max(0, outageMs - (Date.now() - beganAtMs)));
	const answers = await Promise.all(started.map(async entry => askLookup({entry, beganAtMs})));
	await fleet.setPlatformFaults({outage: false});
	return answers;
}

async function askLookup({entry, beganAtMs}: {readonly entry: EntryProcess; readonly beganAtMs: number}): Promise<OutageAnswer> {
	const answer = await getJson<LookupAnswer>({endpoint: entry.instance.callers, path: '/v1/entries?service=corrections&client=127.0.2.9'});
	return {
		instance: entry.instance.id,
		configurationVersion: answer.configurationVersion,
		viewAgeMs: answer.viewAgeMs,
		outageAgeMs: Date.now() - beganAtMs,
		named: answer.entries.map(({instance}) => instance),
	};
}

/** What a look-up answers, as far as it is looked at here. */
interface LookupAnswer {
	readonly configurationVersion?: number;
	readonly viewAgeMs?: number;
	readonly entries: ReadonlyArray<{readonly instance: string}>;
}
