/** Runs rounds of drawn faults against fleets until the time is over. */
import {performance} from 'node:perf_hooks';
import {hebrides, popescuVlad} from '@pomelopick/testing.fleet';
import type {Deployment} from '@pomelopick/testing.fleet';
import {runHistory, startProxiedFleet} from '@pomelopick/testing.history';
import type {FaultStep, HistorySummary, Violation} from '@pomelopick/testing.history';
import {drawSteps} from './mix.js';

const ENTRIES = 5;
const WORKERS = 12;
const STEPS_PER_ROUND = 4;
const SERVERS_PER_SERVICE = 6;

/** Options of {@link soak}. */
export interface SoakOptions {
	readonly durationMs: number;
	readonly seed: number;
	/** Called with each round when it has ended. */
	readonly onRound: (round: SoakRound) => void;
}

/** One round: a fresh fleet under a few steps of faults. */
export interface SoakRound {
	readonly seed: number;
	readonly deployment: string;
	readonly steps: readonly FaultStep[];
	readonly violations: readonly Violation[];
	readonly summary: HistorySummary;
}

/** Runs rounds until the time is over; at least one. Round n of a seed is round 1 of seed + n - 1. */
export async function soak({durationMs, seed, onRound}: SoakOptions): Promise<readonly SoakRound[]> {
	const endsAtMs = performance.now() + durationMs;
	const rounds: SoakRound[] = [];
	do {
		const round = await runRound(seed + rounds.length);
		rounds.push(round);
		onRound(round);
	} while (performance.now() < endsAtMs);

	return rounds;
}

async function runRound(seed: number): Promise<SoakRound> {
	const whole: Deployment = seed % 2 === 0 ? hebrides : popescuVlad;
	const [service] = whole.services as [Deployment['services'][number]];
	const deployment = {...whole, services: [{...service, servers: SERVERS_PER_SERVICE}]};
	const steps = drawSteps({seed, steps: STEPS_PER_ROUND});
	const proxied = await startProxiedFleet({deployment, entries: ENTRIES, seed});
	try {
		const {violations, summary} = await runHistory({
			proxied, service: service.name, seed, workers: WORKERS, steps,
		});
		return {
			seed, deployment: whole.name, steps, violations, summary,
		};
	} finally {
		await proxied.stop();
	}
}
