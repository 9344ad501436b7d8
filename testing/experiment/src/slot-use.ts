/** Where the time of a service's slots went, from the backend servers' own records. */
import type {Execution} from '@pomelopick/testing.backend-stand-in';

/** Shares of the time of all slots in a window, each from 0 to 1; the rest was idle. */
export interface SlotUse {
	/** Work whose answer was sent. */
	readonly answered: number;
	/** Work that was cancelled, cut or never ended. */
	readonly lost: number;
}

/** Options of {@link measureSlotUse}. */
export interface MeasureSlotUseOptions {
	readonly executions: readonly Execution[];
	readonly slots: number;
	/** Wall clock, in milliseconds. */
	readonly window: {readonly fromMs: number; readonly toMs: number};
}

/** Counts of each execution only the part that lies in the window. */
export function measureSlotUse({executions, slots, window: {fromMs, toMs}}: MeasureSlotUseOptions): SlotUse {
	const busyMs = ({startedAtMs, endedAtMs = toMs}: Execution): number => Math.max(0, Math.min(toMs, endedAtMs) - Math.max(fromMs, startedAtMs));
	const share = (parts: readonly Execution[]): number => parts.reduce((sum, execution) => sum + busyMs(execution), 0) / (slots * (toMs - fromMs));
	return {
		answered: share(executions.filter(({ended}) => ended === 'answered')),
		lost: share(executions.filter(({ended}) => ended !== 'answered')),
	};
}
