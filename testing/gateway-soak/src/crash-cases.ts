/** Cases of crash rounds: other traffic and faults while a crashing request is sent. */
import type {RunCrashRoundOptions} from './crash-round.js';

const DURATION_MS = 12_000;

/** Cases of {@link runCrashRound}. */
export const crashCases: ReadonlyArray<Omit<RunCrashRoundOptions, 'seed'> & {
	readonly name: string;
	/** Whether the tests run a short round of this case. */
	readonly isShort?: boolean;
}> = [
	{
		name: 'alone', durationMs: DURATION_MS, soundPaths: 0, soundPerSecond: 0,
	},
	{
		name: 'beside a few requests that come often', durationMs: DURATION_MS, soundPaths: 4, soundPerSecond: 20, isShort: true,
	},
	{
		name: 'beside many requests', durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40, isShort: true,
	},
	{
		name: 'while some gateways are cut off from the store', durationMs: DURATION_MS, soundPaths: 0, soundPerSecond: 0, fault: 'some-turned-away', faultMs: 10_000,
	},
	{
		name: 'beside many requests, while some gateways are cut off from the store',
		durationMs: DURATION_MS,
		soundPaths: 12, soundPerSecond: 40, fault: 'some-turned-away', faultMs: 10_000, isShort: true,
	},
	{
		name: 'while the store is unavailable', durationMs: DURATION_MS, soundPaths: 0, soundPerSecond: 0, fault: 'store-away', faultMs: 8000, isShort: true,
	},
	{
		name: 'beside many requests, while the store is unavailable', durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40, fault: 'store-away', faultMs: 8000,
	},
	{
		name: 'beside many requests, while gateways are killed', durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40, fault: 'gateways-killed',
	},
];
