/** Runs the outage of the platform for its whole time: `node outage-main.js [OUTAGE_MS]`. Exits with 1 when something that must hold does not. */
import process from 'node:process';
import type {Endpoint} from '@pomelopick/core.types';
import {
	popescuVlad, runOutage, startFleet, VersionSampler, waitUntil,
} from '@pomelopick/testing.fleet';

const DEFAULT_OUTAGE_MS = 60_000;
const ENTRIES = 9;
const BOUND_MS = 13_000;
/** Most that an instance's own account of its view's age may fall short of the outage, in milliseconds. */
const AGE_SLACK_MS = 1000;

const outageMs = Number(process.argv[2] ?? DEFAULT_OUTAGE_MS);
let seeds: readonly Endpoint[] = [];
const fleet = await startFleet({
	deployment: {...popescuVlad, services: popescuVlad.services.map(service => ({...service, servers: 1}))},
	entries: ENTRIES,
	adjustSettings: settings => ({...settings, seeds: [...seeds]}),
});
const sampler = new VersionSampler({fleet});
sampler.start();
const first = await sampler.publish({set: fleet.configurationSet(), publishId: 'before-the-outage'});
const answers = await runOutage({
	fleet, outageMs, setSeeds(given) {
		seeds = given;
	},
});
const second = await sampler.publish({set: fleet.configurationSet(), publishId: 'after-the-outage'});
const version = second.kind === 'accepted' ? second.version : 0;
await waitUntil({
	description: 'the next version is in force everywhere',
	boundMs: BOUND_MS,
	holds: () => sampler.arrivals().filter(arrival => arrival.version === version && Number.isFinite(arrival.delayMs)).length >= ENTRIES,
});
sampler.stop();
const violations = await sampler.check({boundMs: BOUND_MS});
const firstVersion = first.kind === 'accepted' ? first.version : 0;
const faults = answers.filter(({configurationVersion, viewAgeMs = 0, outageAgeMs, named}) =>
	configurationVersion !== firstVersion || viewAgeMs < outageAgeMs - AGE_SLACK_MS || named.length === 0);
const delays = sampler.arrivals().filter(arrival => arrival.version === version).map(({delayMs}) => Math.round(delayMs));
process.stdout.write(`${JSON.stringify({
	outageMs, answers, violations, faults, delays,
})}\n`);
await fleet.stop();
process.exitCode = violations.length > 0 || faults.length > 0 ? 1 : 0;
