/** Phases in which a simulated server is slow, since it shares its machine with others. */
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawPart} from './draw.js';

/** How servers slow down. */
export interface SlowPhases {
	/** Share of the time in which a server is slow, from 0 to 1. */
	readonly share: number;
	/** Mean length of a slow phase, in milliseconds. */
	readonly meanMs: number;
	/** Time of work in a slow phase as a multiple of the usual time. */
	readonly factor: number;
}

/** The phases of one server, drawn as time passes. */
export class SpeedPhases {
	readonly #phases: SlowPhases;
	readonly #random: RandomGenerator;
	#isSlow = false;
	#endsAtMs = 0;

	constructor({phases, random}: {readonly phases: SlowPhases; readonly random: RandomGenerator}) {
		this.#phases = phases;
		this.#random = random;
		// The first phase drawn is the other one.
		this.#isSlow = drawPart(random) >= phases.share;
	}

	/** Time of work that begins at a time, as a multiple of the usual time; the time never decreases from call to call. */
	factorAt(nowMs: number): number {
		const {share, meanMs, factor} = this.#phases;
		while (this.#endsAtMs <= nowMs) {
			this.#isSlow = !this.#isSlow;
			const phaseMs = this.#isSlow ? meanMs : meanMs * (1 - share) / share;
			this.#endsAtMs -= Math.log(drawPart(this.#random)) * phaseMs;
		}

		return this.#isSlow ? factor : 1;
	}
}
