/** Cases of crash rounds: other traffic and faults while a crashing request is sent. */
import type {RunCrashRoundOptions} from './crash-round.js';

const DURATION_MS = 12_000;
/** Duration of a round in which every third run crashes its server, in milliseconds. */
const LONG_DURATION_MS = 20_000;

/** Cases of {@link runCrashRound}. */
export const crashCases: ReadonlyArray<Omit<RunCrashRoundOptions, 'seed'> & {
	readonly name: string;
	/** Whether the tests run a short round of this case. */
	readonly isShort?: boolean;
	/** Whether the tests run this case in full: the end of a server shows late. */
	readonly showsLate?: boolean;
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
	...(['silent', 'caller-left'] as const).flatMap(ending => [
		{
			name: `${ending}, alone`, ending, durationMs: DURATION_MS, soundPaths: 0, soundPerSecond: 0,
		},
		{
			name: `${ending}, beside a few requests that come often`, ending, durationMs: DURATION_MS, soundPaths: 4, soundPerSecond: 20,
		},
		{
			name: `${ending}, beside many requests`, ending, durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40, showsLate: true,
		},
		{
			name: `${ending}, beside many requests, while gateways are restarted`, ending, durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40, fault: 'gateways-restarted' as const,
		},
	]),
	{
		name: 'silent-after-caller, alone', ending: 'silent-after-caller', durationMs: DURATION_MS, soundPaths: 0, soundPerSecond: 0,
	},
	{
		name: 'silent-after-caller, beside many requests', ending: 'silent-after-caller', durationMs: DURATION_MS, soundPaths: 12, soundPerSecond: 40,
	},
	{
		name: 'one-of-three, alone', ending: 'one-of-three', durationMs: LONG_DURATION_MS, soundPaths: 0, soundPerSecond: 0,
	},
	{
		name: 'one-of-three, beside many requests', ending: 'one-of-three', durationMs: LONG_DURATION_MS, soundPaths: 12, soundPerSecond: 40, showsLate: true,
	},
	{
		name: 'none, many requests while a third of the servers fall silent at once',
		ending: 'none',
		durationMs: DURATION_MS,
		soundPaths: 12,
		soundPerSecond: 40,
		fault: 'servers-silent',
		showsLate: true,
	},
	{
		name: 'none, many requests whose callers often leave while servers crash',
		ending: 'none',
		durationMs: DURATION_MS,
		soundPaths: 12,
		soundPerSecond: 40,
		callersLeave: true,
		fault: 'servers-crash',
	},
];
