/** Checks the result of a round with crashing requests and sound ones, which crash no server. */
import type {CrashEnding} from './crash-endings.js';
import type {CrashFault, CrashRoundResult} from './crash-round.js';

/** Maximum number of runs of a request that crashes servers, long after it had to be quarantined. */
const MAX_LATE_RUNS = 3;
/** Maximum number of servers that a request may crash while gateways can notify each other and the end of a server shows at once: three crashes before the quarantine, and one for a copy that is in flight meanwhile. */
const MAX_CRASHES = 4;

/**
 * Share of the sound requests that may be refused while it shows late which server ended: a request that was in flight at
 * all three ends beside the crashing one is told from it by the next end or answer.
 */
const MAX_QUARANTINED_SHARE = 1 / 50;

/** Options of {@link checkCrashRound}. */
export interface CheckCrashRoundOptions {
	readonly round: Pick<CrashRoundResult, 'crashes' | 'lateRuns' | 'soundStatuses' | 'soundQuarantined'>;
	readonly fault: CrashFault | undefined;
	/** How the end of a server shows; `reset` by default. */
	readonly ending?: CrashEnding;
}

/** Returns a readable description of each violation. */
export function checkCrashRound({round: {crashes, lateRuns, soundStatuses, soundQuarantined}, fault, ending = 'reset'}: CheckCrashRoundOptions): readonly string[] {
	const showsAtOnce = ending === 'reset' && fault !== 'gateways-killed';
	const showsLate = ending !== 'reset' && ending !== 'none';
	const soundCount = Object.values(soundStatuses).reduce((sum, count) => sum + count, 0);
	const maxQuarantined = showsLate ? soundCount * MAX_QUARANTINED_SHARE : 0;
	return [
		...(showsAtOnce && crashes > MAX_CRASHES ? [`${crashes} servers crashed, at most ${MAX_CRASHES} are allowed`] : []),
		...(lateRuns > MAX_LATE_RUNS ? [`the request ran ${lateRuns} times long after it had to be quarantined, at most ${MAX_LATE_RUNS} are allowed`] : []),
		...(soundQuarantined > maxQuarantined ? [`${soundQuarantined} of ${soundCount} sound requests were refused as quarantined`] : []),
	];
}
