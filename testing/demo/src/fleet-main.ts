/** Keeps a demo fleet up with light traffic: `npm run fleet [-- SECONDS [DEPLOYMENT]]`. Prints its endpoints; ends by itself or on SIGINT. */
import process from 'node:process';
import {hebrides, popescuVlad, startFleet} from '@pomelopick/testing.fleet';
import type {Endpoint} from '@pomelopick/core.types';
import {driveCallers} from './traffic.js';

const DEFAULT_SECONDS = 120;
const MOST_SECONDS = 1800;
const ENTRIES = 8;
const CALLERS = 6;
const SEED = 1;
const USAGE_EXIT_CODE = 2;

const [secondsText = String(DEFAULT_SECONDS), name = popescuVlad.name] = process.argv.slice(2);
const seconds = Number(secondsText);
const deployment = [popescuVlad, hebrides].find(known => known.name === name);
if (!Number.isSafeInteger(seconds) || seconds < 1 || seconds > MOST_SECONDS) {
	process.stderr.write(`SECONDS: expected a whole number from 1 to ${MOST_SECONDS}, found ${JSON.stringify(secondsText)}\n`);
	process.exitCode = USAGE_EXIT_CODE;
} else if (deployment) {
	await keepFleet(deployment);
} else {
	process.stderr.write(`DEPLOYMENT: expected ${popescuVlad.name} or ${hebrides.name}, found ${JSON.stringify(name)}\n`);
	process.exitCode = USAGE_EXIT_CODE;
}

async function keepFleet(kept: typeof popescuVlad): Promise<void> {
	process.stdout.write(`starting ${ENTRIES} entry instances of ${kept.name}\n`);
	const fleet = await startFleet({deployment: kept, entries: ENTRIES});
	process.stdout.write(`store ${formatEndpoint(fleet.platform)}\n`);
	for (const {instance: {id, failureDomain, callers, operators}} of fleet.entries) {
		process.stdout.write(`${id} in ${failureDomain}: callers ${formatEndpoint(callers)}, operators ${formatEndpoint(operators)}\n`);
	}

	process.stdout.write(`up for ${seconds} s\n`);
	const interrupted = new AbortController();
	const interrupt = (): void => {
		interrupted.abort();
	};

	process.once('SIGINT', interrupt);
	process.once('SIGTERM', interrupt);
	await driveCallers({
		fleet, deployment: kept, seed: SEED, callers: CALLERS, endsAtMs: Date.now() + (seconds * 1000), signal: interrupted.signal,
	});
	await fleet.stop();
}

function formatEndpoint({address, port}: Endpoint): string {
	return `${address}:${port}`;
}
