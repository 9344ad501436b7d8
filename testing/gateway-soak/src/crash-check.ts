/** Checks the result of a round with crashing requests and sound ones, which crash no server. */
import type {CrashEnding} from './crash-endings.js';
import type {CrashFault, CrashRoundResult} from './crash-round.js';

/** Maximum number of runs of a request that crashes servers, long after it had to be quarantined. */
const MAX_LATE_RUNS = 3;
/** Maximum number of servers that a request may crash while gateways can notify each other and the end of a server shows at once: three crashes before the quarantine, and one for a copy that is in flight meanwhile. */
const MAX_CRASHES = 4;

/** Options of {@link checkCrashRound}. */
export interface CheckCrashRoundOptions {
	readonly round: Pick<CrashRoundResult, 'crashes' | 'lateRuns' | 'soundQuarantined'>;
	readonly fault: CrashFault | undefined;
	/** How the end of a server shows; `reset` by default. */
	readonly ending?: CrashEnding;
}

/** Returns a readable description of each violation. */
export function checkCrashRound({round: {crashes, lateRuns, soundQuarantined}, fault, ending = 'reset'}: CheckCrashRoundOptions): readonly string[] {
	const showsAtOnce = ending === 'reset' && fault !== 'gateways-killed';
	return [
		...(showsAtOnce && crashes > MAX_CRASHES ? [`${crashes} servers crashed, at most ${MAX_CRASHES} are allowed`] : []),
		...(lateRuns > MAX_LATE_RUNS ? [`the request ran ${lateRuns} times long after it had to be quarantined, at most ${MAX_LATE_RUNS} are allowed`] : []),
		...(soundQuarantined > 0 ? [`${soundQuarantined} sound requests were refused as quarantined`] : []),
	];
}
