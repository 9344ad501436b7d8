/** Measures how short the capacity of a service is at this instance, from the expected waits and the rejections of its servers. */
import type {ServiceFlow} from '@pomelopick/steering.loads';
import {DecayingTally} from './decaying-tally.js';

/** Time constant of the measurement, in milliseconds: the waits of single requests average out, and a rise of a few seconds is noticed while it lasts. */
const DECAY_MS = 1000;
/** Number of requests without a wait that are assumed besides those of the measurement, so that one request alone makes no pressure. */
const ASSUMED_REQUESTS = 2;
/** Weight of the share of sends that servers reject: a request is sent to two servers at most, so that at a half it is on average refused. */
const REJECTION_WEIGHT = 2;
/** Load up to which the pressure is 0, as a share of the maximum wait: a request that waits so long is still answered in time. */
const NO_PRESSURE_LOAD = 0.5;
/** Load from which the pressure is 1, as a share of the maximum wait: the rest is a margin for the most urgent requests, as expected waits are uncertain. */
const FULL_PRESSURE_LOAD = 0.9;

/** The same loads for what organisations send above their usual. */
const NO_RISE_PRESSURE_LOAD = 0.25;
const FULL_RISE_PRESSURE_LOAD = 0.5;

/** Options of {@link ServicePressure.recordWait}. */
export interface RecordWaitOptions {
	/** Expected wait as a share of the maximum wait of the request; 1 when no server takes requests. */
	readonly share: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Keeps the decaying counts of one service, and derives its pressure from them. */
export class ServicePressure {
	readonly #requests: DecayingTally;
	readonly #waits: DecayingTally;
	readonly #sends: DecayingTally;
	readonly #rejections: DecayingTally;

	constructor(nowMs: number) {
		const options = {decayMs: DECAY_MS, nowMs};
		this.#requests = new DecayingTally(options);
		this.#waits = new DecayingTally(options);
		this.#sends = new DecayingTally(options);
		this.#rejections = new DecayingTally(options);
	}

	/** Records the expected wait of a request at the server chosen for it. */
	recordWait({share, nowMs}: RecordWaitOptions): void {
		this.#requests.add(1, nowMs);
		this.#waits.add(Math.min(1, share), nowMs);
	}

	/** Records whether the server of a request rejected it. */
	recordSend({isRejected, nowMs}: {readonly isRejected: boolean; readonly nowMs: number}): void {
		this.#sends.add(1, nowMs);
		this.#rejections.add(Number(isRejected), nowMs);
	}

	/** What becomes of the requests at this instance. */
	measureFlow(nowMs: number): ServiceFlow {
		return {answeredRate: Math.max(0, this.#sends.rate(nowMs) - this.#rejections.rate(nowMs)), waitRate: this.#waits.rate(nowMs), instances: 1};
	}

	/** Load that the rejections stand for, as a share of the maximum wait. */
	rejectionLoad(nowMs: number): number {
		return REJECTION_WEIGHT * this.#rejections.sum(nowMs) / (ASSUMED_REQUESTS + this.#sends.sum(nowMs));
	}

	/** How short the capacity is, as a share of the maximum wait: the mean expected wait, and what the rejections stand for. */
	shortage(nowMs: number): number {
		return (this.#waits.sum(nowMs) / (ASSUMED_REQUESTS + this.#requests.sum(nowMs))) + this.rejectionLoad(nowMs);
	}
}

/** Pressure from 0, where there is room, to 1, where only the most urgent requests may wait. */
export function pressureOf(shortage: number): number {
	return scale({load: shortage, from: NO_PRESSURE_LOAD, to: FULL_PRESSURE_LOAD});
}

/** The same for what organisations send above their usual, which is refused at lower loads: others must not wait for it. */
export function risePressureOf(shortage: number): number {
	return scale({load: shortage, from: NO_RISE_PRESSURE_LOAD, to: FULL_RISE_PRESSURE_LOAD});
}

/** Position of a load between two loads, from 0 to 1. */
function scale({load, from, to}: {readonly load: number; readonly from: number; readonly to: number}): number {
	return Math.min(1, Math.max(0, (load - from) / (to - from)));
}
