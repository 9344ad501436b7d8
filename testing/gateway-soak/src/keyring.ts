/** Organisations of a round and their keys, of which one is replaced with each configuration. */
import type {FleetOrganisation} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';

/** Time in which a key belongs to an organisation. */
export interface KeyPeriod {
	readonly key: string;
	readonly organisation: string;
	/** Monotonic times, in milliseconds: when the store held the key first, and when it no longer did. */
	readonly fromMs: number;
	toMs: number;
}

/** Keys that are valid throughout a round, by organisation. */
const lastingKeys: ReadonlyArray<Pick<KeyPeriod, 'key' | 'organisation'>> = [{key: 'key-of-first', organisation: 'first'}, {key: 'key-of-second', organisation: 'second'}];
const ROTATING = 'rotating';

/** Keys of a round. */
export class Keyring {
	readonly periods: KeyPeriod[] = lastingKeys.map(lasting => ({...lasting, fromMs: Number.NEGATIVE_INFINITY, toMs: Number.POSITIVE_INFINITY}));
	#rotations = 0;

	constructor() {
		this.#begin();
	}

	/** Organisations with the keys that are valid now. */
	get organisations(): readonly FleetOrganisation[] {
		const valid = this.periods.filter(({toMs}) => toMs === Number.POSITIVE_INFINITY);
		return [...new Set(valid.map(({organisation}) => organisation))].map(name => ({name, keys: valid.filter(({organisation}) => organisation === name).map(({key}) => key)}));
	}

	/** Draws a key for a request, sometimes the one that was replaced last. */
	draw(draw: Draw): string {
		const recent = this.periods.slice(-2);
		const drawn = draw(lastingKeys.length + 1);
		return drawn < lastingKeys.length ? lastingKeys[drawn]!.key : recent[draw(recent.length)]!.key;
	}

	/** Replaces the key of one organisation, just before the store gets it. Returns a function that ends the period of the replaced one, to be called once the store has it. */
	rotate(): () => void {
		const replaced = this.periods.at(-1)!;
		replaced.toMs = Number.MAX_VALUE;
		this.#begin();
		return () => {
			replaced.toMs = performance.now();
		};
	}

	#begin(): void {
		this.#rotations += 1;
		this.periods.push({
			key: `key-of-rotating-${this.#rotations}`, organisation: ROTATING, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY,
		});
	}
}
