/** Obtains this instance's shares of shifts from the store and renews them in one nact actor, so that no call waits for the store. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	dispatch, spawn, start, stop,
} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';
import {Right} from 'purify-ts';
import type {EitherAsync} from 'purify-ts';
import type {
	ConfigurationSet, InstanceId, RegionName, Service, ServiceName, Shift, ShiftName,
} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {
	decodeLedger, emptyLedger, encodeLedger, findGrant, GrantObserver, planGrant, SHIFT_WINDOW_MS, ShiftBudget, ShiftGuard,
} from '@pomelopick/steering.shifts';
import type {ShiftLedger} from '@pomelopick/steering.shifts';
import type {SlotRefusal} from './slot-types.js';

const MILLISECONDS_PER_SECOND = 1000;
const RENEW_INTERVAL_MS = 3000;
const GRANT_DURATION_MS = 20_000;
/** Time after its last use after which a shift's grant is returned, in milliseconds. */
const IDLE_SHIFT_MS = 10_000;
const RETRY_AFTER_MS = 1000;
const STORE_PREFIX = 'pomelopick/shifts/';

/** Options of {@link ShiftGrants}. */
export interface ShiftGrantsOptions {
	readonly instance: InstanceId;
	readonly store: KeyValueStore;
	readonly currentSet: () => ConfigurationSet | undefined;
	/** Version of the active configuration. */
	readonly currentVersion: () => number;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	readonly count: (counter: string) => void;
	/** Called when a shift aborted itself. */
	readonly onAbort: (options: {readonly shift: ShiftName; readonly detail: string}) => void;
}

/** The traffic that a shift limits. */
export interface ShiftedTraffic {
	readonly service: Service;
	readonly from: RegionName;
	readonly to: RegionName;
}

/** Outcome of a call that may have been sent under a shift. */
export interface ShiftedCallEnd {
	readonly service: ServiceName;
	readonly from: RegionName;
	readonly to: RegionName;
	/** Whether the call was neither shed nor failed nor timed out. */
	readonly isGood: boolean;
	/** Time for which the call occupied its slot, in milliseconds. */
	readonly heldMs: number;
}

interface WriteOptions {
	readonly state: ShiftState;
	readonly wantedCallsPerSecond: number;
	readonly capCallsPerSecond: number;
}

interface ShiftState {
	readonly shift: Shift;
	readonly budget: ShiftBudget;
	readonly guard: ShiftGuard;
	readonly observer: GrantObserver;
	lastUsedAtMs: number;
}

/** Shares of shifts. Without an active grant no call is sent under a shift. */
export class ShiftGrants {
	readonly #options: ShiftGrantsOptions;
	readonly #states = new Map<ShiftName, ShiftState>();
	#system: ActorSystemRef | undefined;
	#renewer: Ref<ShiftName> | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ShiftGrantsOptions) {
		this.#options = options;
	}

	/** Starts renewing grants. */
	start(): void {
		this.#system = start();
		this.#renewer = spawn(this.#system, async (_state: undefined, shift: ShiftName) => {
			await this.#renew(shift);
			return undefined;
		}, 'shift-grants');
		this.#timer = setInterval(() => {
			for (const name of this.#states.keys()) {
				this.#requestRenewal(name);
			}
		}, RENEW_INTERVAL_MS);
	}

	/** Returns all grants and stops. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all([...this.#states.values()].filter(({budget}) => budget.callsPerSecond > 0).map(async state => this.#returnGrant(state)));
		if (this.#system) {
			stop(this.#system);
		}
	}

	/** Admits one call under the shift between the regions; returns a refusal when its cap or grant does not allow the call. */
	admit({service, from, to}: ShiftedTraffic): SlotRefusal | undefined {
		const shift = this.#options.currentSet()?.shifts.find(candidate => candidate.service === service.name && candidate.from === from && candidate.to === to);
		if (!shift) {
			return undefined;
		}

		const state = this.#state(shift);
		const nowMs = this.#options.now();
		state.lastUsedAtMs = nowMs;
		const refused = state.budget.tryAdmit({nowMs, capCallsPerSecond: shift.capCallsPerSecond, rampShare: state.guard.share(nowMs)}).swap().toMaybe().extract();
		if (refused === undefined) {
			return undefined;
		}

		this.#options.count(`shift.${refused}`);
		return {reason: refused, detail: `shift ${shift.name} from ${from} to ${to}`, retryAfterMs: RETRY_AFTER_MS};
	}

	/** Returns the calls per second that this instance admitted under each shift in the last window. */
	listUse(): ReadonlyMap<ShiftName, number> {
		const nowMs = this.#options.now();
		return new Map([...this.#states].map(([name, {budget}]) => [name, budget.recentCalls(nowMs) * MILLISECONDS_PER_SECOND / SHIFT_WINDOW_MS]));
	}

	/** Records the outcome of a call that was sent under a shift. */
	recordEnd({service, from, to, isGood, heldMs}: ShiftedCallEnd): void {
		for (const {shift, guard} of this.#states.values()) {
			if (shift.service === service && shift.from === from && shift.to === to) {
				guard.recordUse({isGood, heldMs, nowMs: this.#options.now()});
			}
		}
	}

	#state(shift: Shift): ShiftState {
		const known = this.#states.get(shift.name);
		if (known) {
			return known;
		}

		const state: ShiftState = {
			shift,
			budget: new ShiftBudget(),
			guard: new ShiftGuard({
				rampMs: shift.rampMs, nowMs: this.#options.now(), onAbort: detail => {
					this.#options.count('shift.aborted');
					this.#options.onAbort({shift: shift.name, detail});
				},
			}),
			observer: new GrantObserver({windowMs: SHIFT_WINDOW_MS}),
			lastUsedAtMs: this.#options.now(),
		};
		this.#states.set(shift.name, state);
		this.#requestRenewal(shift.name);
		return state;
	}

	#requestRenewal(name: ShiftName): void {
		if (this.#renewer) {
			dispatch(this.#renewer, name);
		}
	}

	async #renew(name: ShiftName): Promise<void> {
		const state = this.#states.get(name);
		const cap = this.#options.currentSet()?.shifts.find(shift => shift.name === name)?.capCallsPerSecond;
		if (!state) {
			return;
		}

		if (cap === undefined || this.#options.now() - state.lastUsedAtMs > IDLE_SHIFT_MS) {
			await this.#returnGrant(state);
			this.#states.delete(name);
			return;
		}

		await this.#write({state, wantedCallsPerSecond: cap, capCallsPerSecond: cap});
	}

	/** Removes the grant from the store once its last calls are outside the window. */
	async #returnGrant(state: ShiftState): Promise<void> {
		await this.#write({state, wantedCallsPerSecond: 0, capCallsPerSecond: state.shift.capCallsPerSecond});
	}

	async #write({state, wantedCallsPerSecond, capCallsPerSecond}: WriteOptions): Promise<void> {
		const {store, now, instance, count, currentVersion} = this.#options;
		const {shift, budget, observer} = state;
		const key = `${STORE_PREFIX}${shift.name}`;
		const read = await readLedger({store, key}).run();
		if (read.isLeft()) {
			count('shift.store-failure');
			return;
		}

		const {ledger, index} = read.unsafeCoerce();
		const requestedAtMs = now();
		const planned = planGrant({
			ledger,
			holder: instance,
			wantedCallsPerSecond,
			capCallsPerSecond,
			configurationVersion: currentVersion(),
			durationMs: GRANT_DURATION_MS,
			ended: observer.observe({ledger, nowMs: requestedAtMs}),
		}).toMaybe().extract();
		if (!planned) {
			count('shift.configuration-outdated');
			return;
		}

		const grant = findGrant({ledger: planned, holder: instance});
		if (!budget.mayStore({grant, nowMs: requestedAtMs})) {
			await sleep(SHIFT_WINDOW_MS);
			await this.#write({state, wantedCallsPerSecond, capCallsPerSecond});
			return;
		}

		const written = await store.compareAndSwap({key, value: new TextEncoder().encode(encodeLedger(planned)), expectedIndex: index}).run();
		// When the answer is lost, either grant may be stored: the budget stays within both the current and the planned one until the next write or until they expire.
		if (written.orDefault(false)) {
			budget.useGrant({grant, askedAtMs: requestedAtMs});
		} else {
			count('shift.store-failure');
		}
	}
}

interface StoredLedger {
	readonly ledger: ShiftLedger;
	/** Index of the write that stored it; 0 when there is none. */
	readonly index: number;
}

function readLedger({store, key}: {readonly store: KeyValueStore; readonly key: string}): EitherAsync<string, StoredLedger> {
	return store.get(key)
		.mapLeft(({message}) => message)
		.chain(async stored => stored
			? decodeLedger(new TextDecoder().decode(stored.value)).map(ledger => ({ledger, index: stored.modifyIndex}))
			: Right({ledger: emptyLedger, index: 0}));
}
